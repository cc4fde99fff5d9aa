//! Conversion of counts.

/// A count or length in memory; saturates where `usize` is shorter than 64 bits.
pub(crate) fn to_usize(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
