//! The URL at which a runner takes orders.

use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;

/// Longest URL, in bytes.
const MAX_URL_BYTES: usize = 256;
const SCHEME: &str = "http://";

/// A URL of the form `http://<ip>:<port>/<path>`. Names are not resolved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrdersUrl {
    socket: SocketAddr,
    path: String,
}

/// Why a URL for orders is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OrdersUrlError {
    /// Another scheme, or none.
    #[error("must begin with http://")]
    Scheme,
    /// The host is no IP and port.
    #[error("must name an IP and a port, such as http://127.0.0.1:7500/orders")]
    Host,
    /// The IP cannot be that of a runner.
    #[error("the IP must be that of one machine")]
    Unusable,
    /// The path holds characters that no path has.
    #[error("the path must be printable ASCII without spaces and #")]
    Path,
    /// The URL is too long.
    #[error("must have at most 256 bytes")]
    TooLong,
}

impl OrdersUrl {
    /// Checks a URL.
    ///
    /// # Errors
    ///
    /// Says which part of the URL cannot be used.
    pub fn new(text: &str) -> Result<Self, OrdersUrlError> {
        if text.len() > MAX_URL_BYTES {
            return Err(OrdersUrlError::TooLong);
        }
        let rest = text.strip_prefix(SCHEME).ok_or(OrdersUrlError::Scheme)?;
        let (host, path) = match rest.find('/') {
            Some(place) => rest.split_at(place),
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

    /// IP and port.
    pub fn socket(&self) -> SocketAddr {
        self.socket
    }
}

impl fmt::Display for OrdersUrl {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{SCHEME}{}{}", self.socket, self.path)
    }
}
