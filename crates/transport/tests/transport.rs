//! Two daemons' transports talk, over restarts and oversize messages.
#![allow(clippy::unwrap_used)]

mod common;

use common::{Daemon, KEY, MAX_FRAME_BYTES, Proxy, guarded, numbered, sized};
use std::time::Duration;
use tokio::net::TcpStream;
use transport::clock;
use types::{Milliseconds, NodeId, WallTime};

#[tokio::test]
async fn messages_arrive_in_order_with_their_proven_sender() {
    let mut first = Daemon::start(1, KEY).await;
    let mut second = Daemon::start(2, KEY).await;
    for number in 0..10 {
        first.transport.send(second.socket(), numbered(number));
    }
    for number in 0..10 {
        let envelope = second.receive().await;
        assert_eq!(envelope.body, numbered(number));
        assert_eq!(&envelope.from, first.transport.own());
        assert_eq!(envelope.via, None);
    }
    second
        .transport
        .send(first.socket(), sized(MAX_FRAME_BYTES / 2));
    let answer = first.receive().await;
    assert_eq!(answer.from.node, NodeId(2));
    assert_eq!(answer.body, sized(MAX_FRAME_BYTES / 2));
}

#[tokio::test]
async fn connections_leave_from_the_listening_address() {
    let mut receiver = Daemon::start(1, KEY).await;
    let sender = Daemon::start_at(2, KEY, "127.0.0.2:0", MAX_FRAME_BYTES).await;
    let mut proxy = Proxy::start(receiver.socket()).await;
    sender.transport.send(proxy.socket, numbered(1));
    receiver.receive().await;
    sender.transport.shutdown().await;
    let recorded = proxy.ended().await;
    assert_eq!(recorded.dialled_from.ip(), sender.socket().ip());
}

#[tokio::test]
async fn a_full_queue_drops_its_oldest_messages() {
    let sender = Daemon::start(1, KEY).await;
    let mut receiver = Daemon::start(2, KEY).await;
    // The test's single thread lets the sender's task run only at an await.
    for number in 0..100 {
        sender.transport.send(receiver.socket(), numbered(number));
    }
    for number in 84..100 {
        assert_eq!(receiver.receive().await.body, numbered(number));
    }
}

#[tokio::test]
async fn an_oversize_message_is_dropped_by_its_sender() {
    let sender = Daemon::start(1, KEY).await;
    let mut receiver = Daemon::start(2, KEY).await;
    let mut proxy = Proxy::start(receiver.socket()).await;
    sender.transport.send(proxy.socket, numbered(1));
    sender.transport.send(proxy.socket, sized(MAX_FRAME_BYTES));
    sender.transport.send(proxy.socket, numbered(2));
    assert_eq!(receiver.receive().await.body, numbered(1));
    assert_eq!(receiver.receive().await.body, numbered(2));
    sender.transport.shutdown().await;
    let recorded = proxy.ended().await;
    assert!(recorded.bytes.len() < MAX_FRAME_BYTES);
}

#[tokio::test]
async fn an_oversize_frame_ends_the_connection_at_the_receiver() {
    let sender = Daemon::start(1, KEY).await;
    let mut receiver = Daemon::start_at(2, KEY, "127.0.0.1:0", 100).await;
    let mut proxy = Proxy::start(receiver.socket()).await;
    sender
        .transport
        .send(proxy.socket, sized(MAX_FRAME_BYTES / 2));
    proxy.ended().await;
    let envelope = guarded(sender.reach(&mut receiver)).await;
    assert_eq!(envelope.body, numbered(0));
}

#[tokio::test]
async fn a_restarted_peer_is_dialled_again() {
    let sender = Daemon::start(1, KEY).await;
    let mut receiver = Daemon::start(2, KEY).await;
    guarded(sender.reach(&mut receiver)).await;
    let socket = receiver.socket().to_string();
    receiver.transport.shutdown().await;
    while receiver.inbox.recv().await.is_some() {}
    let mut restarted = Daemon::start_at(3, KEY, &socket, MAX_FRAME_BYTES).await;
    guarded(sender.reach(&mut restarted)).await;
    guarded(restarted.reach(&mut Daemon::start(4, KEY).await)).await;
}

#[tokio::test]
async fn a_connection_that_went_silent_is_given_up_and_dialled_again() {
    let sender = Daemon::start(1, KEY).await;
    let mut receiver = Daemon::start(2, KEY).await;
    let mut proxy = Proxy::start(receiver.socket()).await;
    sender.transport.send(proxy.socket, numbered(1));
    assert_eq!(receiver.receive().await.body, numbered(1));
    proxy.silence_first();
    // Sent all the time, so that the connection never counts as idle.
    let socket = proxy.socket;
    let void = async {
        loop {
            sender.transport.send(socket, numbered(2));
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::select! {
        () = void => {}
        _ = proxy.ended() => {}
    }
    sender.transport.send(proxy.socket, numbered(3));
    while receiver.receive().await.body != numbered(3) {}
}

#[tokio::test]
async fn everything_ends_with_the_last_transport() {
    let mut receiver = Daemon::start(1, KEY).await;
    let sender = Daemon::start(2, KEY).await;
    guarded(sender.reach(&mut receiver)).await;
    let socket = receiver.socket();
    drop(receiver.transport.clone());
    guarded(sender.reach(&mut receiver)).await;
    let Daemon {
        transport,
        mut inbox,
    } = receiver;
    drop(transport);
    while guarded(inbox.recv()).await.is_some() {}
    assert!(TcpStream::connect(socket).await.is_err());
    sender.transport.shutdown().await;
    sender.transport.send(socket, numbered(1));
}

#[test]
fn the_clocks_read_sensibly() {
    let first = clock::now();
    let second = clock::now();
    assert!(second.monotonic >= first.monotonic);
    let recent = WallTime(0) + Milliseconds::from_seconds(1_600_000_000);
    assert!(first.wall > recent);
}
