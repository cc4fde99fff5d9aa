//! What comes without the cluster key, changed, or a second time is rejected,
//! and never ends the daemon.
#![allow(clippy::unwrap_used)]

mod common;

use common::{Daemon, KEY, Proxy, Spoil, guarded, numbered};
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
/// Magic, version and length of a keep-alive.
const HELLO_HEADER_BYTES: usize = 10;

/// Writes bytes and reads until the other end closes.
async fn exchange(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let mut answer = Vec::new();
    // Either may fail half way when the other end closes on unread bytes.
    let _ = stream.write_all(bytes).await;
    let _ = guarded(stream.read_to_end(&mut answer)).await;
    answer
}

/// The next thing the daemon receives is what a friend sends it.
async fn assert_undisturbed(daemon: &mut Daemon) {
    let friend = Daemon::start(77, KEY).await;
    let envelope = guarded(friend.reach(daemon)).await;
    assert_eq!(envelope.from.node, NodeId(77));
}

/// Length of the keep-alive that a recording begins with.
fn hello_bytes(recorded: &[u8]) -> usize {
    let length = u16::from_le_bytes(recorded[8..HELLO_HEADER_BYTES].try_into().unwrap());
    HELLO_HEADER_BYTES + usize::from(length)
}

#[tokio::test]
async fn a_daemon_with_another_key_is_refused() {
    let mut daemon = Daemon::start(1, KEY).await;
    let stranger = Daemon::start(2, "another secret").await;
    let mut proxy = Proxy::start(daemon.socket()).await;
    stranger.transport.send(proxy.socket, numbered(1));
    let recorded = proxy.ended().await;
    let handshake = hello_bytes(&recorded.bytes) + PROOF_BYTES;
    assert_eq!(recorded.bytes.len(), handshake, "no frame may follow");
    assert_undisturbed(&mut daemon).await;
}

#[tokio::test]
async fn a_listener_with_another_key_gets_no_message() {
    let daemon = Daemon::start(1, KEY).await;
    let mut stranger = Daemon::start(2, "another secret").await;
    let mut proxy = Proxy::start(stranger.socket()).await;
    daemon.transport.send(proxy.socket, numbered(1));
    let recorded = proxy.ended().await;
    let handshake = hello_bytes(&recorded.bytes) + PROOF_BYTES;
    assert_eq!(recorded.bytes.len(), handshake);
    assert!(stranger.inbox.try_arrival().is_none());
}

#[tokio::test]
async fn a_mirror_is_refused() {
    let daemon = Daemon::start(1, KEY).await;
    let mirror = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = mirror.local_addr().unwrap();
    daemon.transport.send(socket, numbered(1));
    let (mut stream, _) = guarded(mirror.accept()).await.unwrap();
    let mut seen = Vec::new();
    let mut piece = [0u8; 1024];
    while let Ok(length @ 1..) = guarded(stream.read(&mut piece)).await {
        seen.extend_from_slice(&piece[..length]);
        if stream.write_all(&piece[..length]).await.is_err() {
            break;
        }
    }
    assert_eq!(seen.len(), hello_bytes(&seen) + PROOF_BYTES);
}

#[tokio::test]
async fn a_recorded_connection_is_refused() {
    let mut daemon = Daemon::start(1, KEY).await;
    let sender = Daemon::start(2, KEY).await;
    let mut proxy = Proxy::start(daemon.socket()).await;
    sender.transport.send(proxy.socket, numbered(1));
    assert_eq!(daemon.receive().await.body, numbered(1));
    sender.transport.shutdown().await;
    let recorded = proxy.ended().await.bytes;
    assert!(recorded.len() > hello_bytes(&recorded) + PROOF_BYTES);
    let answer = exchange(daemon.socket(), &recorded).await;
    assert_eq!(
        answer.len(),
        hello_bytes(&answer),
        "nothing was proved to it"
    );
    assert_undisturbed(&mut daemon).await;
}

#[tokio::test]
async fn a_changed_byte_anywhere_ends_the_connection() {
    let mut daemon = Daemon::start(1, KEY).await;
    let sender = Daemon::start(2, KEY).await;
    let mut proxy = Proxy::start(daemon.socket()).await;
    sender.transport.send(proxy.socket, numbered(1));
    daemon.receive().await;
    sender.transport.shutdown().await;
    let recorded = proxy.ended().await.bytes;
    // Not the frame's length: a longer one would only be waited for.
    let keep_alive = hello_bytes(&recorded);
    let frame = keep_alive + PROOF_BYTES;
    let places = [
        4,
        HELLO_HEADER_BYTES,
        keep_alive,
        frame + 4,
        recorded.len() - 1,
    ];
    for (attempt, place) in (0..).zip(places) {
        let sender = Daemon::start(10 + attempt, KEY).await;
        let mut proxy = Proxy::start(daemon.socket()).await;
        *proxy.spoil.lock().unwrap() = Some(Spoil::Flip(place));
        let spoiled = numbered(100 + u32::try_from(attempt).unwrap());
        sender.transport.send(proxy.socket, spoiled.clone());
        proxy.ended().await;
        let later = numbered(200 + u32::try_from(attempt).unwrap());
        loop {
            let body = guarded(receive_sending(&mut daemon, &sender, &proxy, &later)).await;
            // A handshake that failed has cost no message.
            assert!(body != spoiled || place < frame, "byte {place}");
            if body == later {
                break;
            }
        }
    }
}

#[tokio::test]
async fn a_repeated_frame_ends_the_connection() {
    let mut daemon = Daemon::start(1, KEY).await;
    let sender = Daemon::start(2, KEY).await;
    let mut proxy = Proxy::start(daemon.socket()).await;
    sender.transport.send(proxy.socket, numbered(1));
    daemon.receive().await;
    sender.transport.shutdown().await;
    let frame = hello_bytes(&proxy.ended().await.bytes) + PROOF_BYTES;
    let sender = Daemon::start(3, KEY).await;
    *proxy.spoil.lock().unwrap() = Some(Spoil::Repeat(frame));
    sender.transport.send(proxy.socket, numbered(2));
    assert_eq!(daemon.receive().await.body, numbered(2));
    proxy.ended().await;
    let later = numbered(3);
    let next = receive_sending(&mut daemon, &sender, &proxy, &later);
    assert_eq!(guarded(next).await, later);
}

/// Sends a message, again when it was lost, until something is received.
async fn receive_sending(
    daemon: &mut Daemon,
    sender: &Daemon,
    proxy: &Proxy,
    message: &PeerMessage,
) -> PeerMessage {
    loop {
        sender.transport.send(proxy.socket, message.clone());
        let waiting = tokio::time::timeout(RESEND_INTERVAL, daemon.inbox.recv());
        if let Ok(envelope) = waiting.await {
            return envelope.unwrap().body;
        }
    }
}

#[tokio::test]
async fn another_protocol_version_is_told_ours() {
    let mut daemon = Daemon::start(1, KEY).await;
    let mut keep_alive = b"CYPD".to_vec();
    keep_alive.extend_from_slice(&(PROTOCOL_VERSION + 1).to_le_bytes());
    let answer = exchange(daemon.socket(), &keep_alive).await;
    assert_eq!(answer[..4], *b"CYPD");
    assert_eq!(answer[4..8], PROTOCOL_VERSION.to_le_bytes());
    assert_undisturbed(&mut daemon).await;
}

#[tokio::test]
async fn random_bytes_end_nothing_but_their_connection() {
    let mut daemon = Daemon::start(1, KEY).await;
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for round in 0..60 {
        let mut bytes = vec![0u8; rng.random_range(1..600)];
        rng.fill(&mut bytes[..]);
        if round % 2 == 0 {
            let mut start = b"CYPD".to_vec();
            start.extend_from_slice(&PROTOCOL_VERSION.to_le_bytes());
            start.extend_from_slice(&(rng.random_range(0..200u16)).to_le_bytes());
            start.extend(bytes);
            bytes = start;
        }
        let mut stream = TcpStream::connect(daemon.socket()).await.unwrap();
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = guarded(stream.read_to_end(&mut answer)).await;
    }
    assert_undisturbed(&mut daemon).await;
}
