//! How soon a daemon is reached that answered nothing and then came up.
#![allow(clippy::unwrap_used)]

mod common;

use common::{Daemon, KEY, MAX_FRAME_BYTES, numbered};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// A connection that is not made within this time is not made at all.
const UNANSWERED: Duration = Duration::from_millis(50);

/// A socket that answers no dial, like that of a machine that is not up: its
/// listener takes no connections and has no room for more.
struct Silent {
    socket: SocketAddr,
    _listener: TcpListener,
    _filling: Vec<TcpStream>,
}

impl Silent {
    async fn start() -> Self {
        let bound = TcpSocket::new_v4().unwrap();
        bound.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = bound.listen(1).unwrap();
        let socket = listener.local_addr().unwrap();
        let mut filling = Vec::new();
        while let Ok(stream) = timeout(UNANSWERED, TcpStream::connect(socket)).await {
            filling.push(stream.unwrap());
        }
        Self {
            socket,
            _listener: listener,
            _filling: filling,
        }
    }

    /// The machine comes up with a daemon.
    async fn come_up(self) -> Daemon {
        let socket = self.socket.to_string();
        drop(self);
        Daemon::start_at(2, KEY, &socket, MAX_FRAME_BYTES).await
    }
}

#[tokio::test]
async fn a_daemon_that_comes_up_a_little_later_is_dialled_again_soon() {
    let sender = Daemon::start(1, KEY).await;
    let silent = Silent::start().await;
    sender.transport.send(silent.socket, numbered(1));
    sleep(Duration::from_millis(100)).await;

    let mut late = silent.come_up().await;
    let up_at = Instant::now();
    assert_eq!(late.receive().await.body, numbered(1));
    let waited = up_at.elapsed();
    assert!(waited < Duration::from_millis(600), "{waited:?}");
}

#[tokio::test]
async fn a_daemon_that_is_heard_of_is_dialled_at_once() {
    let mut sender = Daemon::start(1, KEY).await;
    let silent = Silent::start().await;
    sender.transport.send(silent.socket, numbered(1));
    // By now a dial is going on that is given a whole second.
    sleep(Duration::from_millis(1_300)).await;

    let mut late = silent.come_up().await;
    let up_at = Instant::now();
    late.transport.send(sender.socket(), numbered(2));
    assert_eq!(sender.receive().await.body, numbered(2));
    assert_eq!(late.receive().await.body, numbered(1));
    let waited = up_at.elapsed();
    assert!(waited < Duration::from_millis(400), "{waited:?}");
}
