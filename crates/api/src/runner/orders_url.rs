//! URL to which the agent posts a runner's orders.

use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum length of a URL, in bytes.
const MAX_URL_BYTES: usize = 256;
const SCHEME: &str = "http://";

/// URL of the form `http://<ip>:<port>/<path>`. The host must be an IP address,
/// since names are not resolved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrdersUrl {
    socket: SocketAddr,
    path: String,
}

/// Error of a URL that is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OrdersUrlError {
    /// The scheme is missing or is not `http`.
    #[error("must begin with http://")]
    Scheme,
    /// The host is not an IP address with a port.
    #[error("must name an IP and a port, such as http://127.0.0.1:7500/orders")]
    Host,
    /// The IP address is unspecified or multicast, or the port is 0.
    #[error("the IP must be that of one machine")]
    Unusable,
    /// The path contains characters that are not allowed in a path.
    #[error("the path must be printable ASCII without spaces and #")]
    Path,
    /// The URL is longer than 256 bytes.
    #[error("must have at most 256 bytes")]
    TooLong,
}

impl OrdersUrl {
    /// Parses a URL.
    ///
    /// # Errors
    ///
    /// Fails if the URL is too long or does not have the form
    /// `http://<ip>:<port>/<path>`.
    pub fn new(text: &str) -> Result<Self, OrdersUrlError> {
        if text.len() > MAX_URL_BYTES {
            return Err(OrdersUrlError::TooLong);
        }
        let rest = text.strip_prefix(SCHEME).ok_or(OrdersUrlError::Scheme)?;
        let (host, path) = match rest.find('/') {
            Some(index) => rest.split_at(index),
            None => (rest, "/"),
        };
        let socket: SocketAddr = host.parse().map_err(|_| OrdersUrlError::Host)?;
        if socket.ip().is_unspecified() || socket.ip().is_multicast() || socket.port() == 0 {
            return Err(OrdersUrlError::Unusable);
        }
        if !path.chars().all(|c| c.is_ascii_graphic() && c != '#') {
            return Err(OrdersUrlError::Path);
        }
        Ok(Self {
            socket,
            path: path.to_owned(),
        })
    }

    /// Returns the IP address and port of the runner.
    pub fn socket(&self) -> SocketAddr {
        self.socket
    }
}

impl fmt::Display for OrdersUrl {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{SCHEME}{}{}", self.socket, self.path)
    }
}
