//! Reading one segment of the log, and telling a torn tail from damage.
//!
//! Each batch is one record, written by one append and synced before the next
//! one is written. So at most the last record of the last segment can be
//! unsynced, and a record that verifies proves that all before it were synced:
//!
//! - A bad record with a verified one anywhere behind it is damage.
//! - A bad record with nothing verified behind it, in the last segment, is
//!   taken for a torn tail. Damage to the very last synced record, or a file
//!   cut short at or inside its tail, looks the same and cannot be told apart;
//!   a quorum of other disks has to make up for it.
//! - Anything bad in an earlier segment is damage.

use crate::StorageError;
use crate::frame::{
    FileKind, HEADER_BYTES, HeaderError, check_header, find_record_after, header_error, read_record,
};
use crate::log::Record;
use crate::name::segment_file;

/// A segment that was read.
#[derive(Debug)]
pub(crate) struct Segment {
    pub number: u64,
    pub records: Vec<Record>,
    /// Bytes that verified, from the start.
    pub verified_bytes: usize,
    /// What is wrong with the bytes behind them, if there are any.
    pub torn: Option<&'static str>,
}

impl Segment {
    /// The segment, if it has a checkpoint and is whole to its last byte.
    pub fn require_complete(self) -> Result<Self, StorageError> {
        let reason = match self.torn {
            Some(reason) => reason,
            None if self.records.is_empty() => "there is no record",
            None => return Ok(self),
        };
        let file = segment_file(self.number);
        Err(StorageError::damaged(&file, self.verified_bytes, reason))
    }
}

/// Reads a segment. A tail that may be torn is reported in
/// [`Segment::torn`]; what cannot be a torn tail is rejected.
pub(crate) fn read_segment(number: u64, bytes: &[u8]) -> Result<Segment, StorageError> {
    let file = segment_file(number);
    let mut segment = Segment {
        number,
        records: Vec::new(),
        verified_bytes: 0,
        torn: None,
    };
    match check_header(bytes, FileKind::Log, number) {
        Ok(()) => segment.verified_bytes = HEADER_BYTES,
        Err(HeaderError::Broken) => segment.torn = Some("the header is not whole"),
        Err(reason) => return Err(header_error(&file, reason)),
    }
    while segment.torn.is_none() && segment.verified_bytes < bytes.len() {
        match read_record(bytes, number, segment.verified_bytes) {
            Ok(record) => {
                let decoded = decode(&file, segment.verified_bytes, record.payload)?;
                segment.records.push(decoded);
                segment.verified_bytes = record.end;
            }
            Err(reason) => segment.torn = Some(reason),
        }
    }
    reject_damage(&file, &segment, bytes)?;
    Ok(segment)
}

fn reject_damage(file: &str, segment: &Segment, bytes: &[u8]) -> Result<(), StorageError> {
    let first = segment.records.first();
    if first.is_some_and(|record| record.checkpoint.is_none()) {
        let reason = "the first record is no checkpoint";
        return Err(StorageError::damaged(file, HEADER_BYTES, reason));
    }
    let Some(reason) = segment.torn else {
        return Ok(());
    };
    match find_record_after(bytes, segment.number, segment.verified_bytes) {
        None => Ok(()),
        Some(next) => {
            let reason = format!("{reason}, yet a whole record follows at byte {next}");
            Err(StorageError::damaged(file, segment.verified_bytes, reason))
        }
    }
}

fn decode(file: &str, offset: usize, payload: &[u8]) -> Result<Record, StorageError> {
    match postcard::take_from_bytes(payload) {
        Ok((record, [])) => Ok(record),
        Ok(_) => Err(StorageError::damaged(
            file,
            offset,
            "the record is longer than its content",
        )),
        Err(error) => Err(StorageError::damaged(file, offset, error.to_string())),
    }
}
