//! A daemon rejects connections without the cluster key and bytes that were
//! changed, replayed or random, and keeps serving its other peers.
#![allow(clippy::unwrap_used)]

mod common;

use common::{Daemon, KEY, Proxy, Tampering, numbered_message, with_timeout};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use transport::{PROTOCOL_VERSION, PeerMessage};
use types::NodeId;

const RESEND_INTERVAL: Duration = Duration::from_millis(100);
const PROOF_BYTES: usize = 32;
/// Length of the magic, the version and the length field of a hello, in bytes.
const HELLO_HEADER_BYTES: usize = 10;

/// Writes `bytes` to `to`, and returns all bytes received until the peer closes.
async fn exchange(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let mut answer = Vec::new();
    // Both can fail: the connection is reset if the peer closes it with unread
    // bytes.
    let _ = stream.write_all(bytes).await;
    let _ = with_timeout(stream.read_to_end(&mut answer)).await;
    answer
}

/// Asserts that a daemon with the cluster key reaches `daemon`, and that no other
/// message was received before.
async fn assert_still_serving(daemon: &mut Daemon) {
    let peer = Daemon::start(77, KEY).await;
    let envelope = with_timeout(peer.send_until_received(daemon)).await;
    assert_eq!(envelope.from.node, NodeId(77));
}

/// Returns the length of the hello with which the recorded bytes begin.
fn hello_bytes(recorded: &[u8]) -> usize {
    let length = u16::from_le_bytes(recorded[8..HELLO_HEADER_BYTES].try_into().unwrap());
    HELLO_HEADER_BYTES + usize::from(length)
}

#[tokio::test]
async fn dialling_daemon_with_other_key_is_rejected_before_first_frame() {
    let mut daemon = Daemon::start(1, KEY).await;
    let intruder = Daemon::start(2, "another secret").await;
    let mut proxy = Proxy::start(daemon.socket()).await;
    intruder.transport.send(proxy.socket, numbered_message(1));
    let recorded = proxy.next_closed().await;
    let handshake = hello_bytes(&recorded.bytes) + PROOF_BYTES;
    assert_eq!(
        recorded.bytes.len(),
        handshake,
        "the dialling end sent a frame after its proof"
    );
    assert_still_serving(&mut daemon).await;
}

#[tokio::test]
async fn listening_daemon_with_other_key_receives_no_message() {
    let daemon = Daemon::start(1, KEY).await;
    let mut intruder = Daemon::start(2, "another secret").await;
    let mut proxy = Proxy::start(intruder.socket()).await;
    daemon.transport.send(proxy.socket, numbered_message(1));
    let recorded = proxy.next_closed().await;
    let handshake = hello_bytes(&recorded.bytes) + PROOF_BYTES;
    assert_eq!(recorded.bytes.len(), handshake);
    assert!(intruder.inbox.try_recv_arrival().is_none());
}

#[tokio::test]
async fn listener_that_echoes_all_bytes_is_rejected() {
    let daemon = Daemon::start(1, KEY).await;
    let echo = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = echo.local_addr().unwrap();
    daemon.transport.send(socket, numbered_message(1));
    let (mut stream, _) = with_timeout(echo.accept()).await.unwrap();
    let mut echoed = Vec::new();
    let mut chunk = [0u8; 1024];
    while let Ok(length @ 1..) = with_timeout(stream.read(&mut chunk)).await {
        echoed.extend_from_slice(&chunk[..length]);
        if stream.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    assert_eq!(echoed.len(), hello_bytes(&echoed) + PROOF_BYTES);
}

#[tokio::test]
async fn replayed_connection_is_rejected_without_server_proof() {
    let mut daemon = Daemon::start(1, KEY).await;
    let sender = Daemon::start(2, KEY).await;
    let mut proxy = Proxy::start(daemon.socket()).await;
    sender.transport.send(proxy.socket, numbered_message(1));
    assert_eq!(daemon.receive().await.body, numbered_message(1));
    sender.transport.shutdown().await;
    let recorded = proxy.next_closed().await.bytes;
    assert!(recorded.len() > hello_bytes(&recorded) + PROOF_BYTES);
    let answer = exchange(daemon.socket(), &recorded).await;
    assert_eq!(
        answer.len(),
        hello_bytes(&answer),
        "the daemon sent its proof to a replayed connection"
    );
    assert_still_serving(&mut daemon).await;
}

#[tokio::test]
async fn changed_byte_in_handshake_or_frame_closes_connection() {
    let mut daemon = Daemon::start(1, KEY).await;
    let sender = Daemon::start(2, KEY).await;
    let mut proxy = Proxy::start(daemon.socket()).await;
    sender.transport.send(proxy.socket, numbered_message(1));
    daemon.receive().await;
    sender.transport.shutdown().await;
    let recorded = proxy.next_closed().await.bytes;
    // The length field of the frame is left out: with a greater length, the daemon
    // would only wait for more bytes.
    let proof = hello_bytes(&recorded);
    let frame = proof + PROOF_BYTES;
    let offsets = [4, HELLO_HEADER_BYTES, proof, frame + 4, recorded.len() - 1];
    for (attempt, offset) in (0..).zip(offsets) {
        let sender = Daemon::start(10 + attempt, KEY).await;
        let mut proxy = Proxy::start(daemon.socket()).await;
        *proxy.next_tampering.lock().unwrap() = Some(Tampering::FlipBitAt(offset));
        let first = numbered_message(100 + u32::try_from(attempt).unwrap());
        sender.transport.send(proxy.socket, first.clone());
        proxy.next_closed().await;
        let later = numbered_message(200 + u32::try_from(attempt).unwrap());
        loop {
            let body = with_timeout(send_until_any_received(
                &mut daemon,
                &sender,
                &proxy,
                &later,
            ))
            .await;
            // A failed handshake leaves the message in the queue, so the next connection
            // may deliver it. A message in a changed frame must not be delivered.
            assert!(body != first || offset < frame, "byte {offset}");
            if body == later {
                break;
            }
        }
    }
}

#[tokio::test]
async fn repeated_frame_closes_connection() {
    let mut daemon = Daemon::start(1, KEY).await;
    let sender = Daemon::start(2, KEY).await;
    let mut proxy = Proxy::start(daemon.socket()).await;
    sender.transport.send(proxy.socket, numbered_message(1));
    daemon.receive().await;
    sender.transport.shutdown().await;
    let frame = hello_bytes(&proxy.next_closed().await.bytes) + PROOF_BYTES;
    let sender = Daemon::start(3, KEY).await;
    *proxy.next_tampering.lock().unwrap() = Some(Tampering::RepeatFrom(frame));
    sender.transport.send(proxy.socket, numbered_message(2));
    assert_eq!(daemon.receive().await.body, numbered_message(2));
    proxy.next_closed().await;
    let later = numbered_message(3);
    let next = send_until_any_received(&mut daemon, &sender, &proxy, &later);
    assert_eq!(with_timeout(next).await, later);
}

/// Sends a message repeatedly, since it may be lost, until the daemon receives any
/// message, and returns that one.
async fn send_until_any_received(
    daemon: &mut Daemon,
    sender: &Daemon,
    proxy: &Proxy,
    message: &PeerMessage,
) -> PeerMessage {
    loop {
        sender.transport.send(proxy.socket, message.clone());
        let received = tokio::time::timeout(RESEND_INTERVAL, daemon.inbox.recv());
        if let Ok(envelope) = received.await {
            return envelope.unwrap().body;
        }
    }
}

#[tokio::test]
async fn other_protocol_version_is_answered_with_own_version() {
    let mut daemon = Daemon::start(1, KEY).await;
    let mut hello_start = b"CYPD".to_vec();
    hello_start.extend_from_slice(&(PROTOCOL_VERSION + 1).to_le_bytes());
    let answer = exchange(daemon.socket(), &hello_start).await;
    assert_eq!(answer[..4], *b"CYPD");
    assert_eq!(answer[4..8], PROTOCOL_VERSION.to_le_bytes());
    assert_still_serving(&mut daemon).await;
}

#[tokio::test]
async fn random_bytes_close_only_their_connection() {
    let mut daemon = Daemon::start(1, KEY).await;
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for round in 0..60 {
        let mut bytes = vec![0u8; rng.random_range(1..600)];
        rng.fill(&mut bytes[..]);
        if round % 2 == 0 {
            let mut hello = b"CYPD".to_vec();
            hello.extend_from_slice(&PROTOCOL_VERSION.to_le_bytes());
            hello.extend_from_slice(&(rng.random_range(0..200u16)).to_le_bytes());
            hello.extend(bytes);
            bytes = hello;
        }
        let mut stream = TcpStream::connect(daemon.socket()).await.unwrap();
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = with_timeout(stream.read_to_end(&mut answer)).await;
    }
    assert_still_serving(&mut daemon).await;
}
