//! Timings of connections, and the dialling of one.

use super::Context;
use super::handshake::{self, HandshakeError, Proven};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use types::Milliseconds;

/// Longest wait for a connection at the first dial; a cut link or a machine
/// that is not up yet answers nothing, and what was sent to it is lost.
pub(super) const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The wait doubles with each dial up to this, for links that take long.
pub(super) const LAST_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest handshake, at both ends.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for room to write.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often the listening end acknowledges what it read.
pub(super) const ACKNOWLEDGE_INTERVAL: Duration = Duration::from_millis(500);
/// A connection on which nothing sent is acknowledged for so long is dead.
pub(super) const ACKNOWLEDGE_TIMEOUT: Milliseconds = Milliseconds(2_500);
/// The dialling end closes a connection that has carried nothing for so long.
pub(super) const IDLE_TIMEOUT: Milliseconds = Milliseconds(30_000);
/// The listening end gives up later, when the dialling end must be gone.
pub(super) const ABANDONED_TIMEOUT: Duration = Duration::from_secs(90);

/// Connects from the listener's IP within `timeout`, and proves both ends.
pub(super) async fn dial(
    context: &Context,
    to: SocketAddr,
    timeout: Duration,
) -> Result<(TcpStream, Proven), HandshakeError> {
    let connecting = connect(context.options.listen, to);
    let mut stream = within(timeout, connecting).await??;
    let shaking = handshake::dialled(&mut stream, &context.key, &context.own);
    let proven = within(HANDSHAKE_TIMEOUT, shaking).await??;
    Ok((stream, proven))
}

/// Proves both ends of an accepted connection.
pub(super) async fn accept(
    context: &Context,
    stream: &mut TcpStream,
) -> Result<Proven, HandshakeError> {
    stream.set_nodelay(true)?;
    let shaking = handshake::accepted(stream, &context.key, &context.own);
    within(HANDSHAKE_TIMEOUT, shaking).await?
}

async fn connect(listen: SocketAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if listen.is_ipv4() == to.is_ipv4() {
        socket.bind(SocketAddr::new(listen.ip(), 0))?;
    }
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// The future's output, or an error of the kind "timed out".
pub(super) async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> io::Result<T> {
    timeout(limit, work)
        .await
        .map_err(|_| io::ErrorKind::TimedOut.into())
}
