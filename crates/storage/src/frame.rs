//! Framing of files and records.
//!
//! ```text
//! file   := header record*
//! header := magic[8] version:u32 number:u64 crc32:u32     (little endian)
//! record := mark[4] length:u32 crc32:u32 payload[length]
//! ```
//!
//! A record's checksum also covers the file's number and the record's offset, so
//! a record does not verify in another file or at another offset, and neither
//! does a payload that resembles a record by chance.

use crate::error::{BatchError, Damage, StorageError, Unverified};

/// Format version of all files that this program writes and reads.
pub const FORMAT_VERSION: u32 = 1;
/// Length of a file's header, in bytes.
pub(crate) const HEADER_BYTES: usize = 24;
/// Length of a record's header, in bytes.
pub(crate) const RECORD_HEADER_BYTES: usize = 12;

/// Length of a CRC-32 checksum, in bytes.
const CHECKSUM_BYTES: usize = 4;
/// Offset of the format version in a file's header.
const VERSION_OFFSET: usize = 8;
/// Offset of the payload's length in a record.
const LENGTH_OFFSET: usize = 4;
/// Offset of the checksum in a record.
const CHECKSUM_OFFSET: usize = 8;
/// First bytes of each record.
const RECORD_MARK: [u8; 4] = [0xC7, 0x5D, 0x9E, 0x31];

/// Kind of a file, identified by the first bytes of its header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FileKind {
    Log,
    Snapshot,
    Identity,
}

impl FileKind {
    /// Returns the first bytes of the header.
    fn magic(self) -> [u8; 8] {
        match self {
            Self::Log => *b"CYPDLOG\n",
            Self::Snapshot => *b"CYPDSNP\n",
            Self::Identity => *b"CYPDIDN\n",
        }
    }
}

/// Cause for which a header is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeaderError {
    /// The header is incomplete or its checksum does not match: it is torn or
    /// damaged.
    Unverified,
    /// The header verifies but has this other format version.
    Version(u32),
    /// The header verifies but has the kind or number of another file.
    OtherFile,
}

/// Payload of a verified record, borrowed from the file's bytes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RecordSlice<'a> {
    pub payload: &'a [u8],
    /// Offset of the first byte after the record.
    pub end: usize,
}

/// Encodes the header of a file.
pub(crate) fn encode_header(kind: FileKind, number: u64) -> Vec<u8> {
    let mut header = Vec::with_capacity(HEADER_BYTES);
    header.extend_from_slice(&kind.magic());
    header.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    header.extend_from_slice(&number.to_le_bytes());
    let checksum = crc32fast::hash(&header);
    header.extend_from_slice(&checksum.to_le_bytes());
    header
}

/// Verifies the header of a file.
pub(crate) fn check_header(bytes: &[u8], kind: FileKind, number: u64) -> Result<(), HeaderError> {
    let covered = bytes
        .get(..HEADER_BYTES - CHECKSUM_BYTES)
        .ok_or(HeaderError::Unverified)?;
    let checksum = read_u32(bytes, HEADER_BYTES - CHECKSUM_BYTES).ok_or(HeaderError::Unverified)?;
    if crc32fast::hash(covered) != checksum {
        return Err(HeaderError::Unverified);
    }
    let version = read_u32(bytes, VERSION_OFFSET).ok_or(HeaderError::Unverified)?;
    if version != FORMAT_VERSION {
        return Err(HeaderError::Version(version));
    }
    if bytes.get(..HEADER_BYTES) != Some(&encode_header(kind, number)) {
        return Err(HeaderError::OtherFile);
    }
    Ok(())
}

/// Encodes the record at `offset` of file `number` and appends it to `out`.
/// Returns an error if the payload is too long for a record.
pub(crate) fn push_record(
    out: &mut Vec<u8>,
    number: u64,
    offset: u64,
    payload: &[u8],
) -> Result<(), BatchError> {
    let length = u32::try_from(payload.len()).map_err(|_| BatchError::TooLarge)?;
    out.extend_from_slice(&RECORD_MARK);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&record_checksum(number, offset, payload).to_le_bytes());
    out.extend_from_slice(payload);
    Ok(())
}

/// Reads and verifies the record at `offset`.
pub(crate) fn read_record(
    bytes: &[u8],
    number: u64,
    offset: usize,
) -> Result<RecordSlice<'_>, Unverified> {
    let start = offset + RECORD_HEADER_BYTES;
    let mark = bytes.get(offset..offset + RECORD_MARK.len());
    let length = read_u32(bytes, offset + LENGTH_OFFSET);
    let checksum = read_u32(bytes, offset + CHECKSUM_OFFSET);
    let (Some(mark), Some(length), Some(checksum)) = (mark, length, checksum) else {
        return Err(Unverified::RecordHeaderTruncated);
    };
    if mark != RECORD_MARK {
        return Err(Unverified::NoRecordMark);
    }
    let end = start.saturating_add(length as usize);
    let payload = bytes.get(start..end).ok_or(Unverified::RecordTruncated)?;
    if record_checksum(number, offset as u64, payload) != checksum {
        return Err(Unverified::Checksum);
    }
    Ok(RecordSlice { payload, end })
}

/// Returns the offset of the first verified record after `offset`.
pub(crate) fn find_record_after(bytes: &[u8], number: u64, offset: usize) -> Option<usize> {
    let tail = bytes.get(offset + 1..)?;
    tail.windows(RECORD_MARK.len())
        .enumerate()
        .filter(|(_, window)| *window == RECORD_MARK)
        .map(|(distance, _)| offset + 1 + distance)
        .find(|candidate| read_record(bytes, number, *candidate).is_ok())
}

/// Encodes a file of one record: a snapshot or an identity.
pub(crate) fn encode_single(
    kind: FileKind,
    number: u64,
    payload: &[u8],
) -> Result<Vec<u8>, BatchError> {
    let mut bytes = encode_header(kind, number);
    push_record(&mut bytes, number, HEADER_BYTES as u64, payload)?;
    Ok(bytes)
}

/// Verifies a file of one record and returns the payload.
pub(crate) fn decode_single<'a>(
    file: &str,
    bytes: &'a [u8],
    kind: FileKind,
    number: u64,
) -> Result<&'a [u8], StorageError> {
    check_header(bytes, kind, number).map_err(|reason| header_error(file, reason))?;
    let record = read_record(bytes, number, HEADER_BYTES)
        .map_err(|reason| StorageError::damaged(file, HEADER_BYTES, reason))?;
    if record.end != bytes.len() {
        return Err(StorageError::damaged(
            file,
            record.end,
            Damage::TrailingBytes,
        ));
    }
    Ok(record.payload)
}

/// Returns the error for a rejected header in a place where it cannot be torn.
pub(crate) fn header_error(file: &str, reason: HeaderError) -> StorageError {
    match reason {
        HeaderError::Version(found) => StorageError::Version {
            file: file.to_owned(),
            found,
            supported: FORMAT_VERSION,
        },
        HeaderError::Unverified => StorageError::damaged(file, 0, Unverified::Header),
        HeaderError::OtherFile => StorageError::damaged(file, 0, Damage::HeaderOfOtherFile),
    }
}

/// Returns the checksum of a record at `offset` of file `number`.
fn record_checksum(number: u64, offset: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&number.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}
