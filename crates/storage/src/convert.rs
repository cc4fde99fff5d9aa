//! Conversion between integer types.

/// Converts a count or length to `usize`. Saturates where `usize` is shorter
/// than 64 bits.
pub(crate) fn to_usize(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
