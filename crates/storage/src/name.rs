//! Names of the files in a data folder.

/// The identity.
pub(crate) const IDENTITY_FILE: &str = "identity";

const LOG_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".tmp";
const NUMBER_DIGITS: usize = 20;

/// Name of a segment.
pub(crate) fn segment_file(number: u64) -> String {
    format!("{LOG_PREFIX}{number:0NUMBER_DIGITS$}")
}

/// Name of a snapshot.
pub(crate) fn snapshot_file(number: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{number:0NUMBER_DIGITS$}")
}

/// Name under which a file is written before it takes its own.
pub(crate) fn temporary_file(file: &str) -> String {
    format!("{file}{TEMPORARY_SUFFIX}")
}

/// What a name stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FileName {
    Segment(u64),
    Snapshot(u64),
    Identity,
    /// Left by an interrupted write.
    Temporary,
    /// None of the store's.
    Other,
}

/// Reads a name.
pub(crate) fn parse_name(name: &str) -> FileName {
    if let Some(whole) = name.strip_suffix(TEMPORARY_SUFFIX) {
        return match parse_name(whole) {
            FileName::Other | FileName::Temporary => FileName::Other,
            _ => FileName::Temporary,
        };
    }
    if name == IDENTITY_FILE {
        return FileName::Identity;
    }
    if let Some(number) = name.strip_prefix(LOG_PREFIX).and_then(parse_number) {
        return FileName::Segment(number);
    }
    match name.strip_prefix(SNAPSHOT_PREFIX).and_then(parse_number) {
        Some(number) => FileName::Snapshot(number),
        None => FileName::Other,
    }
}

fn parse_number(digits: &str) -> Option<u64> {
    let plain = digits.len() == NUMBER_DIGITS && digits.bytes().all(|b| b.is_ascii_digit());
    plain.then(|| digits.parse().ok()).flatten()
}
