//! Message exchange between two transports, with restarts, full queues, oversize
//! messages and stalled connections.
#![allow(clippy::unwrap_used)]

mod common;

use common::{
    Daemon, KEY, MAX_FRAME_BYTES, Proxy, message_of_size, numbered_message, with_timeout,
};
use std::time::Duration;
use tokio::net::TcpStream;
use transport::clock;
use types::{Milliseconds, NodeId, WallTime};

#[tokio::test]
async fn messages_arrive_in_order_with_authenticated_sender() {
    let mut first = Daemon::start(1, KEY).await;
    let mut second = Daemon::start(2, KEY).await;
    for number in 0..10 {
        first
            .transport
            .send(second.socket(), numbered_message(number));
    }
    for number in 0..10 {
        let envelope = second.receive().await;
        assert_eq!(envelope.body, numbered_message(number));
        assert_eq!(&envelope.from, first.transport.own());
        assert_eq!(envelope.via, None);
    }
    second
        .transport
        .send(first.socket(), message_of_size(MAX_FRAME_BYTES / 2));
    let answer = first.receive().await;
    assert_eq!(answer.from.node, NodeId(2));
    assert_eq!(answer.body, message_of_size(MAX_FRAME_BYTES / 2));
}

#[tokio::test]
async fn outgoing_connection_uses_ip_of_listener() {
    let mut receiver = Daemon::start(1, KEY).await;
    let sender = Daemon::start_at(2, KEY, "127.0.0.2:0", MAX_FRAME_BYTES).await;
    let mut proxy = Proxy::start(receiver.socket()).await;
    sender.transport.send(proxy.socket, numbered_message(1));
    receiver.receive().await;
    sender.transport.shutdown().await;
    let recorded = proxy.next_closed().await;
    assert_eq!(recorded.dialled_from.ip(), sender.socket().ip());
}

#[tokio::test]
async fn full_queue_drops_oldest_messages() {
    let sender = Daemon::start(1, KEY).await;
    let mut receiver = Daemon::start(2, KEY).await;
    // The test runs on a single thread, so the task of the sender does not run
    // before the next await.
    for number in 0..100 {
        sender
            .transport
            .send(receiver.socket(), numbered_message(number));
    }
    for number in 84..100 {
        assert_eq!(receiver.receive().await.body, numbered_message(number));
    }
}

#[tokio::test]
async fn oversize_message_is_dropped_by_sender() {
    let sender = Daemon::start(1, KEY).await;
    let mut receiver = Daemon::start(2, KEY).await;
    let mut proxy = Proxy::start(receiver.socket()).await;
    sender.transport.send(proxy.socket, numbered_message(1));
    sender
        .transport
        .send(proxy.socket, message_of_size(MAX_FRAME_BYTES));
    sender.transport.send(proxy.socket, numbered_message(2));
    assert_eq!(receiver.receive().await.body, numbered_message(1));
    assert_eq!(receiver.receive().await.body, numbered_message(2));
    sender.transport.shutdown().await;
    let recorded = proxy.next_closed().await;
    assert!(recorded.bytes.len() < MAX_FRAME_BYTES);
}

#[tokio::test]
async fn receiver_closes_connection_on_oversize_frame() {
    let sender = Daemon::start(1, KEY).await;
    let mut receiver = Daemon::start_at(2, KEY, "127.0.0.1:0", 100).await;
    let mut proxy = Proxy::start(receiver.socket()).await;
    sender
        .transport
        .send(proxy.socket, message_of_size(MAX_FRAME_BYTES / 2));
    proxy.next_closed().await;
    let envelope = with_timeout(sender.send_until_received(&mut receiver)).await;
    assert_eq!(envelope.body, numbered_message(0));
}

#[tokio::test]
async fn restarted_peer_is_redialled() {
    let sender = Daemon::start(1, KEY).await;
    let mut receiver = Daemon::start(2, KEY).await;
    with_timeout(sender.send_until_received(&mut receiver)).await;
    let socket = receiver.socket().to_string();
    receiver.transport.shutdown().await;
    while receiver.inbox.recv().await.is_some() {}
    let mut restarted = Daemon::start_at(3, KEY, &socket, MAX_FRAME_BYTES).await;
    with_timeout(sender.send_until_received(&mut restarted)).await;
    with_timeout(restarted.send_until_received(&mut Daemon::start(4, KEY).await)).await;
}

#[tokio::test]
async fn connection_without_acknowledgements_is_closed_and_redialled() {
    let sender = Daemon::start(1, KEY).await;
    let mut receiver = Daemon::start(2, KEY).await;
    let mut proxy = Proxy::start(receiver.socket()).await;
    sender.transport.send(proxy.socket, numbered_message(1));
    assert_eq!(receiver.receive().await.body, numbered_message(1));
    proxy.stall_first_connection();
    // Messages are sent continuously, so that the connection is not closed as idle.
    let socket = proxy.socket;
    let keep_sending = async {
        loop {
            sender.transport.send(socket, numbered_message(2));
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::select! {
        () = keep_sending => {}
        _ = proxy.next_closed() => {}
    }
    sender.transport.send(proxy.socket, numbered_message(3));
    while receiver.receive().await.body != numbered_message(3) {}
}

#[tokio::test]
async fn drop_of_last_transport_clone_closes_inbox_and_listener() {
    let mut receiver = Daemon::start(1, KEY).await;
    let sender = Daemon::start(2, KEY).await;
    with_timeout(sender.send_until_received(&mut receiver)).await;
    let socket = receiver.socket();
    drop(receiver.transport.clone());
    with_timeout(sender.send_until_received(&mut receiver)).await;
    let Daemon {
        transport,
        mut inbox,
    } = receiver;
    drop(transport);
    while with_timeout(inbox.recv()).await.is_some() {}
    assert!(TcpStream::connect(socket).await.is_err());
    sender.transport.shutdown().await;
    sender.transport.send(socket, numbered_message(1));
}

#[test]
fn monotonic_clock_does_not_decrease_and_wall_clock_is_recent() {
    let first = clock::now();
    let second = clock::now();
    assert!(second.monotonic >= first.monotonic);
    let september_2020 = WallTime(0) + Milliseconds::from_seconds(1_600_000_000);
    assert!(first.wall > september_2020);
}
