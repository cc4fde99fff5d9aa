//! Setup of connections, and the timeouts that apply to them.

use super::Context;
use super::handshake::{self, Authenticated, HandshakeError};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use types::Milliseconds;

/// Connect timeout of the first attempt. A partitioned or still booting machine
/// sends no reply to the first packet, so an early retry succeeds sooner than a
/// longer wait.
pub(super) const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum connect timeout. The timeout doubles with each attempt up to this
/// value, for links with a high latency.
pub(super) const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum duration of a handshake, at each end.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum duration of one write of frames or of an acknowledgement.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the listening end acknowledges received frames.
pub(super) const ACKNOWLEDGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a new acknowledgement, while frames are unacknowledged, after
/// which the dialling end closes the connection.
pub(super) const ACKNOWLEDGE_TIMEOUT: Milliseconds = Milliseconds(2_500);
/// Time without a message after which the dialling end closes the connection.
pub(super) const IDLE_TIMEOUT: Milliseconds = Milliseconds(30_000);
/// Time without a frame after which the listening end closes the connection.
/// Exceeds [`IDLE_TIMEOUT`], so it applies only if the dialling end has failed.
pub(super) const READ_TIMEOUT: Duration = Duration::from_secs(90);

/// Connects to `to` from the IP address of the listener within `timeout`, and
/// performs the handshake.
pub(super) async fn dial(
    context: &Context,
    to: SocketAddr,
    timeout: Duration,
) -> Result<(TcpStream, Authenticated), HandshakeError> {
    let connecting = connect(context.options.listen, to);
    let mut stream = within(timeout, connecting).await??;
    let handshake = handshake::connect(&mut stream, &context.key, &context.own);
    let authenticated = within(HANDSHAKE_TIMEOUT, handshake).await??;
    Ok((stream, authenticated))
}

/// Performs the handshake on an accepted connection.
pub(super) async fn accept(
    context: &Context,
    stream: &mut TcpStream,
) -> Result<Authenticated, HandshakeError> {
    stream.set_nodelay(true)?;
    let handshake = handshake::accept(stream, &context.key, &context.own);
    within(HANDSHAKE_TIMEOUT, handshake).await?
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

/// Runs `work` for at most `limit`. A timeout is returned as an [`io::Error`] of
/// the kind `TimedOut`.
pub(super) async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> io::Result<T> {
    timeout(limit, work)
        .await
        .map_err(|_| io::ErrorKind::TimedOut.into())
}
