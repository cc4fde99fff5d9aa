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
    FileKind, HEADER_BYTES, HeaderProblem, check_header, find_record_after, header_error,
    read_record,
};
use crate::log::Record;
use crate::name::segment_file;

/// A segment that was read.
#[derive(Debug)]
pub(crate) struct Segment {
    pub number: u64,
    pub records: Vec<Record>,
    /// Bytes that verified, from the start.
    pub whole_bytes: usize,
    /// What is wrong with the bytes behind them, if there are any.
    pub torn: Option<&'static str>,
}

impl Segment {
    /// The segment, if it has a checkpoint and is whole to its last byte.
    pub fn require_whole(self) -> Result<Self, StorageError> {
        let problem = match self.torn {
            Some(problem) => problem,
            None if self.records.is_empty() => "there is no record",
            None => return Ok(self),
        };
        let file = segment_file(self.number);
        Err(StorageError::damaged(&file, self.whole_bytes, problem))
    }
}

/// Reads a segment. A tail that may be torn is reported in
/// [`Segment::torn`]; what cannot be a torn tail is refused.
pub(crate) fn read_segment(number: u64, bytes: &[u8]) -> Result<Segment, StorageError> {
    let file = segment_file(number);
    let mut segment = Segment {
        number,
        records: Vec::new(),
        whole_bytes: 0,
        torn: None,
    };
    match check_header(bytes, FileKind::Log, number) {
        Ok(()) => segment.whole_bytes = HEADER_BYTES,
        Err(HeaderProblem::Broken) => segment.torn = Some("the header is not whole"),
        Err(problem) => return Err(header_error(&file, problem)),
    }
    while segment.torn.is_none() && segment.whole_bytes < bytes.len() {
        match read_record(bytes, number, segment.whole_bytes) {
            Ok(record) => {
                let decoded = decode(&file, segment.whole_bytes, record.payload)?;
                segment.records.push(decoded);
                segment.whole_bytes = record.end;
            }
            Err(problem) => segment.torn = Some(problem),
        }
    }
    refuse_damage(&file, &segment, bytes)?;
    Ok(segment)
}

fn refuse_damage(file: &str, segment: &Segment, bytes: &[u8]) -> Result<(), StorageError> {
    let first = segment.records.first();
    if first.is_some_and(|record| record.checkpoint.is_none()) {
        let problem = "the first record is no checkpoint";
        return Err(StorageError::damaged(file, HEADER_BYTES, problem));
    }
    let Some(problem) = segment.torn else {
        return Ok(());
    };
    match find_record_after(bytes, segment.number, segment.whole_bytes) {
        None => Ok(()),
        Some(next) => {
            let problem = format!("{problem}, yet a whole record follows at byte {next}");
            Err(StorageError::damaged(file, segment.whole_bytes, problem))
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
