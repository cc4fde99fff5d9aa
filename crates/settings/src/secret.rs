//! Secret of the cluster key, read from a file and never printed.

use crate::reader::Reader;
use std::fmt;
use std::path::PathBuf;

/// Minimum length of the secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 32;

/// Secret that all daemons of a cluster share.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterSecret(Vec<u8>);

impl ClusterSecret {
    /// Returns the bytes of the secret. Only the transport may use them.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Reads the file whose path is the value of the key. Trailing line breaks are not
    /// part of the secret.
    pub(crate) fn read(reader: &mut Reader, key: &str) -> Option<Self> {
        let path: PathBuf = reader.required(key)?;
        let mut bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) => {
                let shown = path.display();
                reader.add_problem(key, format!("{shown} cannot be read: {error}"));
                return None;
            }
        };
        while matches!(bytes.last(), Some(b'\n' | b'\r')) {
            bytes.pop();
        }
        if bytes.len() < MIN_SECRET_BYTES {
            let found = bytes.len();
            let shown = path.display();
            reader.add_problem(
                key,
                format!("{shown} has {found} bytes, at least {MIN_SECRET_BYTES} are required"),
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
