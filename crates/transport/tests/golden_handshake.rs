//! Compares the bytes of hellos, proofs and frames with the protocol.
//!
//! Nonces are random, so a hello is compared with the recorded one after its nonce
//! is set to zero. Proofs and tags depend on the nonces. They are compared with
//! those of a second implementation in this file, which follows the description of
//! the protocol and shares no code with the daemon.

mod common;
mod golden;

use common::{KEY, MAX_FRAME_BYTES, numbered_message, with_timeout};
use golden::bytes::{Codec, Sample, assert_recorded, from_hex};
use golden::samples::address;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use transport::{ClusterKey, Inbox, PROTOCOL_VERSION, Transport, TransportOptions};
use types::Role;

const RECORDED: &str = include_str!("golden/handshake.txt");
/// Length of the magic, the version and the length field of a hello, in bytes.
const HELLO_HEADER_BYTES: usize = 10;
const LENGTH_OFFSET: usize = 8;
const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
const TAG_BYTES: usize = 16;
/// Number in the message that the tests send.
const SENT_NUMBER: u32 = 300;
/// Encoding of that message: variant of the message, variant of the bootstrap step,
/// number as a varint.
const SENT_BODY: [u8; 4] = [0x02, 0x00, 0xAC, 0x02];

const CLIENT_PROOF: &str = "client proof";
const SERVER_PROOF: &str = "server proof";
const SESSION: &str = "session";
const CLIENT_FRAMES: &str = "client frames";
const SERVER_FRAMES: &str = "server frames";

/// Starts a daemon whose hello contains the sample address of `node`, independent
/// of `listen`.
async fn start(node: u64, role: Role, listen: SocketAddr) -> (Transport, Inbox) {
    let options = TransportOptions {
        listen,
        queue_length: 16,
        max_frame_bytes: MAX_FRAME_BYTES,
    };
    let own = address(node, role);
    let started = Transport::start(options, ClusterKey::new(KEY), own).await;
    started.unwrap()
}

/// Returns a loopback socket whose port is free at the time of the call.
async fn free_socket() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

async fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    with_timeout(stream.read_exact(&mut bytes)).await.unwrap();
    bytes
}

/// Reads a hello, including its header.
async fn read_hello(stream: &mut TcpStream) -> Vec<u8> {
    let mut hello = read(stream, HELLO_HEADER_BYTES).await;
    let length = [hello[LENGTH_OFFSET], hello[LENGTH_OFFSET + 1]];
    let length = usize::from(u16::from_le_bytes(length));
    hello.extend(read(stream, length).await);
    hello
}

/// Returns the hello with its nonce set to zero.
fn without_nonce(hello: &[u8]) -> Vec<u8> {
    let mut zeroed = hello.to_vec();
    zeroed[HELLO_HEADER_BYTES..HELLO_HEADER_BYTES + NONCE_BYTES].fill(0);
    zeroed
}

/// Asserts that the hello of a daemon equals the recorded line of this name.
fn assert_hello(name: &'static str, hello: &[u8]) {
    let line = RECORDED
        .lines()
        .filter(|line| line.split(' ').next() == Some(name));
    let line: String = line.collect();
    let codec = Codec {
        encode: Vec::clone,
        decode: <[u8]>::to_vec,
    };
    let value = without_nonce(hello);
    assert_recorded(&line, &[Sample { name, value }], &codec);
}

/// Returns the recorded hello of this name with the fixed nonce of the test.
fn test_hello(name: &str) -> Vec<u8> {
    let prefix = format!("{name} ");
    let mut lines = RECORDED.lines();
    let mut hello = from_hex(lines.find_map(|line| line.strip_prefix(&prefix)).unwrap());
    hello[HELLO_HEADER_BYTES..HELLO_HEADER_BYTES + NONCE_BYTES].fill(0x5A);
    hello
}

fn hmac(secret: &[u8], parts: &[&[u8]]) -> Vec<u8> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).unwrap();
    for part in parts {
        mac.update(part);
    }
    mac.finalize().into_bytes().to_vec()
}

fn labelled(secret: &[u8], label: &str, content: &[u8]) -> Vec<u8> {
    let length = (label.len() as u64).to_le_bytes();
    hmac(secret, &[&length, label.as_bytes(), content])
}

/// Both hellos, over which the proofs are computed.
struct Handshake {
    transcript: Vec<u8>,
}

impl Handshake {
    fn new(client_hello: &[u8], server_hello: &[u8]) -> Self {
        let mut transcript = PROTOCOL_VERSION.to_le_bytes().to_vec();
        for hello in [client_hello, server_hello] {
            let body = &hello[HELLO_HEADER_BYTES..];
            transcript.extend((body.len() as u64).to_le_bytes());
            transcript.extend(body);
        }
        Self { transcript }
    }

    fn proof(&self, label: &str) -> Vec<u8> {
        labelled(KEY.as_bytes(), label, &self.transcript)
    }

    /// Returns a frame: length, tag, body. The tag covers the sequence number, the
    /// length and the body.
    fn frame(&self, direction: &str, sequence: u64, body: &[u8]) -> Vec<u8> {
        let secret = labelled(&self.proof(SESSION), direction, &[]);
        let length = u32::try_from(body.len()).unwrap().to_le_bytes();
        let tag = hmac(&secret, &[&sequence.to_le_bytes(), &length, body]);
        [&length, &tag[..TAG_BYTES], body].concat()
    }
}

/// Accepts a connection and performs the handshake of the listening end.
async fn accept(listener: &TcpListener) -> (TcpStream, Handshake) {
    let (mut stream, _) = with_timeout(listener.accept()).await.unwrap();
    let client_hello = read_hello(&mut stream).await;
    assert_hello("hello.gateway", &client_hello);
    let server_hello = test_hello("hello.agent");
    stream.write_all(&server_hello).await.unwrap();
    let handshake = Handshake::new(&client_hello, &server_hello);
    let proof = read(&mut stream, PROOF_BYTES).await;
    assert_eq!(proof, handshake.proof(CLIENT_PROOF));
    let test_proof = handshake.proof(SERVER_PROOF);
    stream.write_all(&test_proof).await.unwrap();
    (stream, handshake)
}

/// Dials a daemon and performs the handshake of the dialling end.
async fn dial(to: SocketAddr) -> (TcpStream, Handshake) {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let client_hello = test_hello("hello.gateway");
    stream.write_all(&client_hello).await.unwrap();
    let server_hello = read_hello(&mut stream).await;
    assert_hello("hello.agent", &server_hello);
    let handshake = Handshake::new(&client_hello, &server_hello);
    let test_proof = handshake.proof(CLIENT_PROOF);
    stream.write_all(&test_proof).await.unwrap();
    let proof = read(&mut stream, PROOF_BYTES).await;
    assert_eq!(proof, handshake.proof(SERVER_PROOF));
    (stream, handshake)
}

#[tokio::test]
async fn dialling_daemon_sends_expected_hello_proof_and_frames() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (transport, _inbox) = start(920, Role::Gateway, "127.0.0.1:0".parse().unwrap()).await;
    let to = listener.local_addr().unwrap();
    transport.send(to, numbered_message(SENT_NUMBER));
    let (mut stream, handshake) = accept(&listener).await;
    for sequence in [0, 1] {
        let expected = handshake.frame(CLIENT_FRAMES, sequence, &SENT_BODY);
        assert_eq!(read(&mut stream, expected.len()).await, expected);
        transport.send(to, numbered_message(SENT_NUMBER));
    }
}

#[tokio::test]
async fn listening_daemon_accepts_expected_frames_and_acknowledges_them() {
    let listen = free_socket().await;
    let (_transport, mut inbox) = start(921, Role::Agent, listen).await;
    let (mut stream, handshake) = dial(listen).await;
    for sequence in [0, 1] {
        let frame = handshake.frame(CLIENT_FRAMES, sequence, &SENT_BODY);
        stream.write_all(&frame).await.unwrap();
        let envelope = with_timeout(inbox.recv()).await.unwrap();
        assert_eq!(envelope.body, numbered_message(SENT_NUMBER));
        assert_eq!(envelope.from, address(920, Role::Gateway));
        let received_count = (sequence + 1).to_le_bytes();
        let expected = handshake.frame(SERVER_FRAMES, sequence, &received_count);
        assert_eq!(read(&mut stream, expected.len()).await, expected);
    }
}
