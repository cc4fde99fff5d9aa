//! Names of the files in a data folder.

/// Number of the first segment of an empty folder.
pub(crate) const FIRST_SEGMENT: u64 = 1;
/// Number in the header of the identity file.
pub(crate) const IDENTITY_NUMBER: u64 = 0;
/// Name of the identity file.
pub(crate) const IDENTITY_FILE: &str = "identity";

/// Prefix of the name of a segment file.
const LOG_PREFIX: &str = "log-";
/// Prefix of the name of a snapshot file.
const SNAPSHOT_PREFIX: &str = "snapshot-";
/// Suffix of a temporary file's name, which is the final name before it.
const TEMPORARY_SUFFIX: &str = ".tmp";
/// Digits of a file's number, with leading zeros: as many as `u64::MAX` has.
const NUMBER_DIGITS: usize = 20;

/// Returns the name of a segment file.
pub(crate) fn segment_file(number: u64) -> String {
    format!("{LOG_PREFIX}{number:0NUMBER_DIGITS$}")
}

/// Returns the name of a snapshot file.
pub(crate) fn snapshot_file(number: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{number:0NUMBER_DIGITS$}")
}

/// Returns the temporary name under which a file is written before it is
/// renamed to `file`.
pub(crate) fn temporary_file(file: &str) -> String {
    format!("{file}{TEMPORARY_SUFFIX}")
}

/// Kind and number of a file, parsed from its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FileName {
    Segment(u64),
    Snapshot(u64),
    Identity,
    /// Temporary file of an interrupted write.
    Temporary,
    /// Not a file of the store.
    Other,
}

/// Parses the name of a file in the data folder.
pub(crate) fn parse_name(name: &str) -> FileName {
    if let Some(final_name) = name.strip_suffix(TEMPORARY_SUFFIX) {
        return match parse_name(final_name) {
            FileName::Other | FileName::Temporary => FileName::Other,
            FileName::Segment(_) | FileName::Snapshot(_) | FileName::Identity => {
                FileName::Temporary
            }
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
    let is_well_formed =
        digits.len() == NUMBER_DIGITS && digits.bytes().all(|b| b.is_ascii_digit());
    is_well_formed.then(|| digits.parse().ok()).flatten()
}
