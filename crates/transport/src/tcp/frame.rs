//! Sealed frames.
//!
//! ```text
//! frame := length:u32 tag[16] body[length]     (little endian)
//! ```
//!
//! The tag is an HMAC under the key of this connection and direction, over
//! the frame's place in it and its body; so no frame can be changed, left
//! out, repeated, reordered or brought in from elsewhere.

use super::key::{KeyedMac, keyed};
use hmac::Mac;
use std::io;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt};

const LENGTH_BYTES: usize = 4;
const TAG_BYTES: usize = 16;
/// Bytes of a frame besides its body.
pub(super) const OVERHEAD_BYTES: usize = LENGTH_BYTES + TAG_BYTES;

/// Why a frame was not taken; the connection ends then.
#[derive(Debug, Error)]
pub(super) enum FrameError {
    #[error(transparent)]
    Closed(#[from] io::Error),
    #[error("a frame of {length} bytes is longer than {max}")]
    TooLong { length: usize, max: usize },
    #[error("a frame's tag does not match")]
    Forged,
}

/// One direction of a connection, at either end.
#[derive(Debug)]
pub(super) struct Channel {
    mac: KeyedMac,
    next: u64,
}

impl Channel {
    /// A direction under its own key.
    pub fn new(secret: &[u8]) -> Self {
        Self {
            mac: keyed(secret),
            next: 0,
        }
    }

    /// Adds a sealed frame to `out`; false when the body is too long to say.
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

    /// Reads the next frame and verifies it.
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
        // Grows with what arrives, not with what is announced.
        reader
            .take(u64::from(length))
            .read_to_end(&mut body)
            .await?;
        if body.len() != length as usize {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        self.next_mac(length, &body)
            .verify_truncated_left(&tag)
            .map_err(|_| FrameError::Forged)?;
        Ok(body)
    }

    fn next_mac(&mut self, length: u32, body: &[u8]) -> KeyedMac {
        let mut mac = self.mac.clone();
        mac.update(&self.next.to_le_bytes());
        mac.update(&length.to_le_bytes());
        mac.update(body);
        self.next += 1;
        mac
    }
}
