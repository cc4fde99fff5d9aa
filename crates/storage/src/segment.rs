//! Reads one segment of the log, and distinguishes a torn tail from damage.
//!
//! Each batch is one record, written by one append and synced before the next
//! record is written. So at most the last record of the newest segment can be
//! unsynced, and a record that verifies proves that all earlier records were
//! synced. Bytes that do not verify are classified as follows:
//!
//! - Before a verified record of the same segment they are damage.
//! - At the end of the newest segment they are a torn tail. Damage to the last
//!   synced record, or a file truncated at or within it, cannot be
//!   distinguished from a torn tail; the quorum of the other nodes compensates
//!   for the loss.
//! - In an earlier segment they are damage.

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
    /// Number of bytes from the start of the file that verify.
    pub verified_bytes: usize,
    /// Cause for which the bytes after the verified ones do not verify. `None`
    /// if the segment verifies to its last byte.
    pub torn_tail: Option<Unverified>,
}

impl Segment {
    /// Returns the segment if it has a record and verifies to its last byte,
    /// and the damage otherwise.
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

/// Decodes a segment. Reports a tail that may be torn in
/// [`Segment::torn_tail`], and rejects other damage.
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
                let decoded = decode_record(&file, segment.verified_bytes, record.payload)?;
                segment.records.push(decoded);
                segment.verified_bytes = record.end;
            }
            Err(cause) => segment.torn_tail = Some(cause),
        }
    }
    reject_damage(&file, &segment, bytes)?;
    Ok(segment)
}

/// Returns an error if the first record has no checkpoint, or if a verified
/// record follows bytes that do not verify.
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

fn decode_record(file: &str, offset: usize, payload: &[u8]) -> Result<Record, StorageError> {
    match postcard::take_from_bytes(payload) {
        Ok((record, [])) => Ok(record),
        Ok(_) => Err(StorageError::damaged(file, offset, Damage::TrailingPayload)),
        Err(error) => Err(StorageError::damaged(file, offset, Damage::Decode(error))),
    }
}
