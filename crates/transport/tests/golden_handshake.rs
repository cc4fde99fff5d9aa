//! Hellos, proofs and frames keep their bytes.
//!
//! A daemon draws its nonce at random, so its hello is compared with the nonce
//! blanked out. The proofs and tags, which the nonces go into, are compared with
//! what a second implementation of the protocol makes of the bytes seen: it
//! stands here, from the written description, and shares no code with the
//! daemon.

mod common;
mod golden;

use common::{KEY, MAX_FRAME_BYTES, guarded, numbered};
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
/// Magic, version and length of a hello.
const HELLO_HEADER_BYTES: usize = 10;
const LENGTH_OFFSET: usize = 8;
const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
const TAG_BYTES: usize = 16;
/// The number that the message sent here carries, and its whole encoding:
/// variant of the message, variant of the bootstrap, number.
const SENT_NUMBER: u32 = 300;
const SENT_BODY: [u8; 4] = [0x02, 0x00, 0xAC, 0x02];

const CLIENT_PROOF: &str = "client proof";
const SERVER_PROOF: &str = "server proof";
const SESSION: &str = "session";
const CLIENT_FRAMES: &str = "client frames";
const SERVER_FRAMES: &str = "server frames";

/// A daemon whose hello always names the same address, wherever it listens.
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

/// A socket that was free a moment ago.
async fn free_socket() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

async fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    guarded(stream.read_exact(&mut bytes)).await.unwrap();
    bytes
}

/// A hello with its header.
async fn read_hello(stream: &mut TcpStream) -> Vec<u8> {
    let mut hello = read(stream, HELLO_HEADER_BYTES).await;
    let length = [hello[LENGTH_OFFSET], hello[LENGTH_OFFSET + 1]];
    let length = usize::from(u16::from_le_bytes(length));
    hello.extend(read(stream, length).await);
    hello
}

fn without_nonce(hello: &[u8]) -> Vec<u8> {
    let mut blanked = hello.to_vec();
    blanked[HELLO_HEADER_BYTES..HELLO_HEADER_BYTES + NONCE_BYTES].fill(0);
    blanked
}

/// Compares the hello of a daemon with a recorded line.
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

/// A hello under a nonce of our own, from a recorded one.
fn own_hello(name: &str) -> Vec<u8> {
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

/// Both hellos, as the proofs cover them.
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

    /// A frame: length, tag over place, length and body, and the body.
    fn frame(&self, direction: &str, place: u64, body: &[u8]) -> Vec<u8> {
        let secret = labelled(&self.proof(SESSION), direction, &[]);
        let length = u32::try_from(body.len()).unwrap().to_le_bytes();
        let tag = hmac(&secret, &[&place.to_le_bytes(), &length, body]);
        [&length, &tag[..TAG_BYTES], body].concat()
    }
}

/// Listens in the place of a daemon, up to the end of the handshake.
async fn accept(listener: &TcpListener) -> (TcpStream, Handshake) {
    let (mut stream, _) = guarded(listener.accept()).await.unwrap();
    let client_hello = read_hello(&mut stream).await;
    assert_hello("hello.gateway", &client_hello);
    let server_hello = own_hello("hello.agent");
    stream.write_all(&server_hello).await.unwrap();
    let handshake = Handshake::new(&client_hello, &server_hello);
    let proof = read(&mut stream, PROOF_BYTES).await;
    assert_eq!(proof, handshake.proof(CLIENT_PROOF));
    let own_proof = handshake.proof(SERVER_PROOF);
    stream.write_all(&own_proof).await.unwrap();
    (stream, handshake)
}

/// Dials a daemon, up to the end of the handshake.
async fn dial(to: SocketAddr) -> (TcpStream, Handshake) {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let client_hello = own_hello("hello.gateway");
    stream.write_all(&client_hello).await.unwrap();
    let server_hello = read_hello(&mut stream).await;
    assert_hello("hello.agent", &server_hello);
    let handshake = Handshake::new(&client_hello, &server_hello);
    let own_proof = handshake.proof(CLIENT_PROOF);
    stream.write_all(&own_proof).await.unwrap();
    let proof = read(&mut stream, PROOF_BYTES).await;
    assert_eq!(proof, handshake.proof(SERVER_PROOF));
    (stream, handshake)
}

#[tokio::test]
async fn a_daemon_that_dials_sends_the_recorded_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (transport, _inbox) = start(920, Role::Gateway, "127.0.0.1:0".parse().unwrap()).await;
    let to = listener.local_addr().unwrap();
    transport.send(to, numbered(SENT_NUMBER));
    let (mut stream, handshake) = accept(&listener).await;
    for place in [0, 1] {
        let expected = handshake.frame(CLIENT_FRAMES, place, &SENT_BODY);
        assert_eq!(read(&mut stream, expected.len()).await, expected);
        transport.send(to, numbered(SENT_NUMBER));
    }
}

#[tokio::test]
async fn a_daemon_that_listens_takes_the_recorded_bytes_and_acknowledges_them() {
    let listen = free_socket().await;
    let (_transport, mut inbox) = start(921, Role::Agent, listen).await;
    let (mut stream, handshake) = dial(listen).await;
    for place in [0, 1] {
        let frame = handshake.frame(CLIENT_FRAMES, place, &SENT_BODY);
        stream.write_all(&frame).await.unwrap();
        let envelope = guarded(inbox.recv()).await.unwrap();
        assert_eq!(envelope.body, numbered(SENT_NUMBER));
        assert_eq!(envelope.from, address(920, Role::Gateway));
        let taken = (place + 1).to_le_bytes();
        let expected = handshake.frame(SERVER_FRAMES, place, &taken);
        assert_eq!(read(&mut stream, expected.len()).await, expected);
    }
}
