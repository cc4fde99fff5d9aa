//! Time until a message reaches a destination that starts during the dial.
//!
//! Packets sent before the start of the destination are lost, so without an early
//! retry a dial would wait for its connect timeout.
#![allow(clippy::unwrap_used)]

mod common;

use common::{Daemon, KEY, MAX_FRAME_BYTES, numbered_message};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Time after which a connect to a full listener counts as unanswered.
const UNANSWERED_AFTER: Duration = Duration::from_millis(50);

/// A socket that does not answer a connect, like that of a machine that is down.
/// The backlog of its listener is full, and no connection is accepted.
struct UnresponsiveSocket {
    socket: SocketAddr,
    _listener: TcpListener,
    /// Connections that fill the backlog of the listener.
    _backlog: Vec<TcpStream>,
}

impl UnresponsiveSocket {
    async fn start() -> Self {
        let bound = TcpSocket::new_v4().unwrap();
        bound.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = bound.listen(1).unwrap();
        let socket = listener.local_addr().unwrap();
        let mut backlog = Vec::new();
        while let Ok(stream) = timeout(UNANSWERED_AFTER, TcpStream::connect(socket)).await {
            backlog.push(stream.unwrap());
        }
        Self {
            socket,
            _listener: listener,
            _backlog: backlog,
        }
    }

    /// Closes the listener and starts a daemon at the same socket.
    async fn start_daemon(self) -> Daemon {
        let socket = self.socket.to_string();
        drop(self);
        Daemon::start_at(2, KEY, &socket, MAX_FRAME_BYTES).await
    }
}

#[tokio::test]
async fn daemon_started_during_first_dial_is_reached_within_600_ms() {
    let sender = Daemon::start(1, KEY).await;
    let unresponsive = UnresponsiveSocket::start().await;
    sender
        .transport
        .send(unresponsive.socket, numbered_message(1));
    sleep(Duration::from_millis(100)).await;

    let mut started = unresponsive.start_daemon().await;
    let started_at = Instant::now();
    assert_eq!(started.receive().await.body, numbered_message(1));
    let waited = started_at.elapsed();
    assert!(waited < Duration::from_millis(600), "{waited:?}");
}

#[tokio::test]
async fn daemon_that_connects_during_long_dial_is_redialled_at_once() {
    let mut sender = Daemon::start(1, KEY).await;
    let unresponsive = UnresponsiveSocket::start().await;
    sender
        .transport
        .send(unresponsive.socket, numbered_message(1));
    // The dial in progress by now has the maximum connect timeout of 1 s.
    sleep(Duration::from_millis(1_300)).await;

    let mut started = unresponsive.start_daemon().await;
    let started_at = Instant::now();
    started.transport.send(sender.socket(), numbered_message(2));
    assert_eq!(sender.receive().await.body, numbered_message(2));
    assert_eq!(started.receive().await.body, numbered_message(1));
    let waited = started_at.elapsed();
    assert!(waited < Duration::from_millis(400), "{waited:?}");
}
