//! A listener with a maximum number of open connections.

use axum::serve::Listener;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum number of open HTTP connections. Further ones wait in the backlog of the
/// kernel.
const MAX_CONNECTIONS: usize = 2_048;

/// Listener that accepts a connection only while fewer than [`MAX_CONNECTIONS`] are
/// open.
#[derive(Debug)]
pub struct LimitedListener {
    listener: TcpListener,
    permits: Arc<Semaphore>,
}

impl LimitedListener {
    /// Creates a listener without open connections from a bound socket.
    pub fn new(listener: TcpListener) -> Self {
        Self {
            listener,
            permits: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
        }
    }
}

impl Listener for LimitedListener {
    type Io = LimitedStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (LimitedStream, SocketAddr) {
        // The semaphore is never closed, so acquiring a permit does not fail.
        let permit = self.permits.clone().acquire_owned().await.ok();
        let (stream, peer) = Listener::accept(&mut self.listener).await;
        if let Err(problem) = stream.set_nodelay(true) {
            tracing::debug!(%problem, "setting TCP_NODELAY failed");
        }
        let stream = LimitedStream {
            stream,
            _permit: permit,
        };
        (stream, peer)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// Connection that counts against the maximum until it is dropped.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
