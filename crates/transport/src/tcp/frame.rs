//! Authenticated frames.
//!
//! ```text
//! frame := length:u32 tag[16] body[length]     (little endian)
//! ```
//!
//! The tag is a truncated HMAC over the sequence number, the length and the body
//! of the frame. Each direction of each connection has its own key. The receiver
//! therefore detects frames that were changed, dropped, repeated, reordered or
//! copied from another connection.

use super::key::{KeyedMac, new_mac};
use hmac::Mac;
use std::io;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt};

const LENGTH_BYTES: usize = 4;
const TAG_BYTES: usize = 16;
/// Length of the frame header (length and tag) in bytes.
pub(super) const OVERHEAD_BYTES: usize = LENGTH_BYTES + TAG_BYTES;

/// Failure to read or write a frame. The connection is then closed.
#[derive(Debug, Error)]
pub(super) enum FrameError {
    #[error(transparent)]
    Closed(#[from] io::Error),
    #[error("the frame body of {length} bytes exceeds the maximum of {max} bytes")]
    TooLong { length: usize, max: usize },
    #[error("the authentication tag of the frame does not match")]
    InvalidTag,
}

/// State of one direction of a connection: its key and the next sequence number.
/// Both ends keep one for each direction.
#[derive(Debug)]
pub(super) struct Channel {
    mac: KeyedMac,
    next_sequence: u64,
}

impl Channel {
    /// Creates the state of a new connection, with `secret` as the key.
    pub fn new(secret: &[u8]) -> Self {
        Self {
            mac: new_mac(secret),
            next_sequence: 0,
        }
    }

    /// Appends a frame with this body to `out`. Returns false and appends nothing
    /// if the length of the body does not fit the length field.
    pub fn seal(&mut self, body: &[u8], out: &mut Vec<u8>) -> bool {
        let Ok(length) = u32::try_from(body.len()) else {
            return false;
        };
        let tag = self.next_mac(length, body).finalize().into_bytes();
        out.extend_from_slice(&length.to_le_bytes());
        out.extend(tag.iter().take(TAG_BYTES));
        out.extend_from_slice(body);
        true
    }

    /// Reads the next frame, verifies its tag and returns its body of at most
    /// `max_bytes`.
    pub async fn read(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
        max_bytes: usize,
    ) -> Result<Vec<u8>, FrameError> {
        let length = reader.read_u32_le().await?;
        let mut tag = [0u8; TAG_BYTES];
        reader.read_exact(&mut tag).await?;
        if length as usize > max_bytes {
            let length = length as usize;
            return Err(FrameError::TooLong {
                length,
                max: max_bytes,
            });
        }
        let mut body = Vec::new();
        // The buffer grows with the bytes received, not with the announced length.
        reader
            .take(u64::from(length))
            .read_to_end(&mut body)
            .await?;
        if body.len() != length as usize {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        self.next_mac(length, &body)
            .verify_truncated_left(&tag)
            .map_err(|_| FrameError::InvalidTag)?;
        Ok(body)
    }

    fn next_mac(&mut self, length: u32, body: &[u8]) -> KeyedMac {
        let mut mac = self.mac.clone();
        mac.update(&self.next_sequence.to_le_bytes());
        mac.update(&length.to_le_bytes());
        mac.update(body);
        self.next_sequence += 1;
        mac
    }
}
