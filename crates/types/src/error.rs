//! Errors of the identifier types.

use thiserror::Error;

/// Error for a name that is empty, too long, or contains a character outside the
/// allowed set.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidName {
    /// The name has no characters.
    #[error("a name must not be empty")]
    Empty,
    /// The name is longer than [`crate::id::MAX_NAME_BYTES`].
    #[error("a name holds at most {max} bytes, this one has {length}")]
    TooLong {
        /// Length of the name, in bytes.
        length: usize,
        /// Maximum length, in bytes.
        max: usize,
    },
    /// The name contains a character other than ASCII letters, digits and `. _ : -`.
    #[error("a name holds only letters, digits and . _ : - but this one has {character:?}")]
    Character {
        /// The first character that is not allowed.
        character: char,
    },
}
