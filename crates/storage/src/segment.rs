//! Reads one segment of the log, and distinguishes a torn tail from damage.
//!
//! Each batch is one record, written by one append and synced before the next
//! one is written. So at most the last record of the last segment can be
//! unsynced, and a record that verifies proves that all before it were synced:
//!
//! - Bytes that do not verify, with a verified record anywhere after them, are
//!   damage.
//! - Bytes that do not verify at the end of the newest segment count as a torn
//!   tail. Damage to the last synced record, or a file truncated at or within
//!   it, looks the same; the quorum of the other nodes makes up for it.
//! - Bytes that do not verify in an earlier segment are damage.

use crate::error::{Damage, StorageError, Unverified};
use crate::frame::{
    FileKind, HEADER_BYTES, HeaderError, check_header, find_record_after, header_error, read_record,
};
use crate::log::Record;
use crate::name::segment_file;

/// Content of a segment.
#[derive(Debug)]
pub(crate) struct Segment {
    pub number: u64,
    pub records: Vec<Record>,
    /// Number of bytes that verify, from the start.
    pub verified_bytes: usize,
    /// Why the bytes after them do not verify, if there are any.
    pub torn_tail: Option<Unverified>,
}

impl Segment {
    /// Returns the segment if it has a checkpoint and verifies to its last byte.
    pub fn require_complete(self) -> Result<Self, StorageError> {
        let damage = match self.torn_tail {
            Some(cause) => Damage::Unverified(cause),
            None if self.records.is_empty() => Damage::NoRecord,
            None => return Ok(self),
        };
        let file = segment_file(self.number);
        Err(StorageError::damaged(&file, self.verified_bytes, damage))
    }
}

/// Reads a segment. Reports a tail that may be torn in [`Segment::torn_tail`],
/// and rejects other damage.
pub(crate) fn read_segment(number: u64, bytes: &[u8]) -> Result<Segment, StorageError> {
    let file = segment_file(number);
    let mut segment = Segment {
        number,
        records: Vec::new(),
        verified_bytes: 0,
        torn_tail: None,
    };
    match check_header(bytes, FileKind::Log, number) {
        Ok(()) => segment.verified_bytes = HEADER_BYTES,
        Err(HeaderError::Unverified) => segment.torn_tail = Some(Unverified::Header),
        Err(reason) => return Err(header_error(&file, reason)),
    }
    while segment.torn_tail.is_none() && segment.verified_bytes < bytes.len() {
        match read_record(bytes, number, segment.verified_bytes) {
            Ok(record) => {
                let decoded = decode(&file, segment.verified_bytes, record.payload)?;
                segment.records.push(decoded);
                segment.verified_bytes = record.end;
            }
            Err(cause) => segment.torn_tail = Some(cause),
        }
    }
    reject_damage(&file, &segment, bytes)?;
    Ok(segment)
}

fn reject_damage(file: &str, segment: &Segment, bytes: &[u8]) -> Result<(), StorageError> {
    let first = segment.records.first();
    if first.is_some_and(|record| record.checkpoint.is_none()) {
        return Err(StorageError::damaged(
            file,
            HEADER_BYTES,
            Damage::NoCheckpoint,
        ));
    }
    let Some(cause) = segment.torn_tail else {
        return Ok(());
    };
    match find_record_after(bytes, segment.number, segment.verified_bytes) {
        None => Ok(()),
        Some(next_record) => {
            let damage = Damage::BeforeRecord { cause, next_record };
            Err(StorageError::damaged(file, segment.verified_bytes, damage))
        }
    }
}

fn decode(file: &str, offset: usize, payload: &[u8]) -> Result<Record, StorageError> {
    match postcard::take_from_bytes(payload) {
        Ok((record, [])) => Ok(record),
        Ok(_) => Err(StorageError::damaged(file, offset, Damage::TrailingPayload)),
        Err(error) => Err(StorageError::damaged(file, offset, Damage::Decode(error))),
    }
}
