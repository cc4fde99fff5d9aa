//! The cluster key's secret, read from a file and never printed.

use crate::reader::Reader;
use std::fmt;
use std::path::PathBuf;

/// Shortest secret taken, in bytes.
pub const MIN_SECRET_BYTES: usize = 32;

/// The secret all daemons of a cluster share.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterSecret(Vec<u8>);

impl ClusterSecret {
    /// The bytes, for the transport alone.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Reads the file named by the key. Line ends behind the secret do not
    /// belong to it.
    pub(crate) fn read(reader: &mut Reader, key: &str) -> Option<Self> {
        let path: PathBuf = reader.required(key)?;
        let mut bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) => {
                let shown = path.display();
                reader.message(key, format!("{shown} cannot be read: {error}"));
                return None;
            }
        };
        while matches!(bytes.last(), Some(b'\n' | b'\r')) {
            bytes.pop();
        }
        if bytes.len() < MIN_SECRET_BYTES {
            let found = bytes.len();
            let shown = path.display();
            reader.message(
                key,
                format!("{shown} holds {found} bytes, at least {MIN_SECRET_BYTES} are needed"),
            );
            return None;
        }
        Some(Self(bytes))
    }
}

impl fmt::Debug for ClusterSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ClusterSecret(..)")
    }
}
