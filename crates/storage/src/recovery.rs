//! Reading a whole data folder. Nothing on the disk is changed here, so a
//! folder that is rejected stays as it was found.

use crate::frame::{FileKind, decode_single};
use crate::log::{Checkpoint, EntryLocation, LogState, SnapshotMark};
use crate::name::{FileName, IDENTITY_FILE, parse_name, segment_file, snapshot_file};
use crate::segment::{Segment, read_segment};
use crate::{Disk, Identity, StorageError};
use consensus::{Entry, Recovered, Snapshot};
use std::collections::{BTreeSet, VecDeque};

/// Number of the first segment of an empty folder.
pub(crate) const FIRST_SEGMENT: u64 = 1;
/// Number in the identity's header.
pub(crate) const IDENTITY_NUMBER: u64 = 0;

/// What a folder holds.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    pub identity: Option<Identity>,
    pub recovered: Recovered,
    pub state: LogState,
    /// The segment to go on with, and its verified bytes; none when the folder
    /// is new.
    pub last: Option<LastSegment>,
    /// Files to remove: temporary ones, segments and snapshots not in force.
    pub leftovers: Vec<String>,
    /// Bytes of torn tail.
    pub truncated_bytes: u64,
}

/// The newest segment.
#[derive(Debug)]
pub(crate) struct LastSegment {
    pub number: u64,
    pub bytes: Vec<u8>,
}

/// The names found, by kind.
#[derive(Debug, Default)]
struct Names {
    segments: BTreeSet<u64>,
    snapshots: BTreeSet<u64>,
    temporary: Vec<String>,
    identity: bool,
}

/// Reads a folder; see [`crate::segment`] for what counts as damage.
pub(crate) fn recover(disk: &impl Disk) -> Result<Recovery, StorageError> {
    let names = list(disk)?;
    let mut recovery = Recovery {
        identity: read_identity(disk, &names)?,
        ..Recovery::default()
    };
    let Some((last, checkpoint)) = find_last(disk, &names, &mut recovery)? else {
        recovery.leftovers.extend(names.temporary);
        return Ok(recovery);
    };
    let last_number = last.number;
    let mut segments = read_earlier(disk, &names, checkpoint.first_segment, last_number)?;
    recovery.recovered.snapshot = read_snapshot(disk, checkpoint.snapshot)?;
    recovery.state.snapshot = checkpoint.snapshot;
    segments.push(last);
    check_lengths(&segments)?;
    replay(segments, &mut recovery)?;
    require_identity(&recovery)?;
    record_leftovers(names, checkpoint, &mut recovery);
    Ok(recovery)
}

fn list(disk: &impl Disk) -> Result<Names, StorageError> {
    let mut names = Names::default();
    let listed = disk
        .list()
        .map_err(|source| StorageError::disk("list", "the data folder", source))?;
    for name in listed {
        match parse_name(&name) {
            FileName::Segment(number) => drop(names.segments.insert(number)),
            FileName::Snapshot(number) => drop(names.snapshots.insert(number)),
            FileName::Identity => names.identity = true,
            FileName::Temporary => names.temporary.push(name),
            FileName::Other => {}
        }
    }
    Ok(names)
}

fn read(disk: &impl Disk, file: &str) -> Result<Vec<u8>, StorageError> {
    disk.read(file)
        .map_err(|source| StorageError::disk("read", file, source))
}

fn read_identity(disk: &impl Disk, names: &Names) -> Result<Option<Identity>, StorageError> {
    if !names.identity {
        return Ok(None);
    }
    let bytes = read(disk, IDENTITY_FILE)?;
    let payload = decode_single(IDENTITY_FILE, &bytes, FileKind::Identity, IDENTITY_NUMBER)?;
    let identity = postcard::from_bytes(payload)
        .map_err(|error| StorageError::damaged(IDENTITY_FILE, 0, error.to_string()))?;
    Ok(Some(identity))
}

/// Finds the newest segment whose first record is whole. One behind it may be
/// the start of a rotation that never ended, and is left out; it must have a
/// predecessor, since that is removed only after the rotation was synced.
fn find_last(
    disk: &impl Disk,
    names: &Names,
    recovery: &mut Recovery,
) -> Result<Option<(Segment, Checkpoint)>, StorageError> {
    let Some(number) = names.segments.last().copied() else {
        require_new(names, FIRST_SEGMENT, "the log is missing")?;
        return Ok(None);
    };
    let bytes = read(disk, &segment_file(number))?;
    let segment = read_segment(number, &bytes)?;
    if let Some(checkpoint) = first_checkpoint(&segment) {
        keep_last(&segment, bytes, recovery);
        return Ok(Some((segment, checkpoint)));
    }
    recovery.truncated_bytes = bytes.len() as u64;
    recovery.leftovers.push(segment_file(number));
    let previous = number.wrapping_sub(1);
    if !names.segments.contains(&previous) {
        require_new(names, number, "the first record is not whole")?;
        return Ok(None);
    }
    let bytes = read(disk, &segment_file(previous))?;
    let segment = read_segment(previous, &bytes)?.require_complete()?;
    let Some(checkpoint) = first_checkpoint(&segment) else {
        let file = segment_file(previous);
        return Err(StorageError::damaged(&file, 0, "there is no record"));
    };
    keep_last(&segment, bytes, recovery);
    Ok(Some((segment, checkpoint)))
}

fn keep_last(segment: &Segment, mut bytes: Vec<u8>, recovery: &mut Recovery) {
    recovery.truncated_bytes += (bytes.len() - segment.verified_bytes) as u64;
    bytes.truncate(segment.verified_bytes);
    recovery.last = Some(LastSegment {
        number: segment.number,
        bytes,
    });
}

fn first_checkpoint(segment: &Segment) -> Option<Checkpoint> {
    segment.records.first()?.checkpoint
}

/// A folder without a whole segment is new only if it holds nothing else: the
/// first segment is synced before anything is written.
fn require_new(names: &Names, segment: u64, reason: &str) -> Result<(), StorageError> {
    let alone = names.segments.len() <= 1 && names.snapshots.is_empty() && !names.identity;
    if alone && segment == FIRST_SEGMENT {
        return Ok(());
    }
    Err(StorageError::damaged(&segment_file(segment), 0, reason))
}

/// Without an identity the folder may hold no more than the first segment of a
/// new one, whose only record says nothing.
fn require_identity(recovery: &Recovery) -> Result<(), StorageError> {
    let first = recovery.last.as_ref();
    let is_first = first.is_none_or(|last| last.number == FIRST_SEGMENT);
    let is_new = is_first && recovery.recovered == Recovered::default();
    match recovery.identity.is_some() || is_new {
        true => Ok(()),
        false => Err(StorageError::IdentityMissing),
    }
}

fn read_earlier(
    disk: &impl Disk,
    names: &Names,
    first: u64,
    last: u64,
) -> Result<Vec<Segment>, StorageError> {
    let mut segments = Vec::new();
    for number in first..last {
        let file = segment_file(number);
        if !names.segments.contains(&number) {
            return Err(StorageError::damaged(&file, 0, "the segment is missing"));
        }
        let bytes = read(disk, &file)?;
        segments.push(read_segment(number, &bytes)?.require_complete()?);
    }
    Ok(segments)
}

/// Each segment must be as long as the next one's checkpoint says.
fn check_lengths(segments: &[Segment]) -> Result<(), StorageError> {
    let pairs = segments.iter().zip(segments.iter().skip(1));
    for (segment, next) in pairs {
        let expected = first_checkpoint(next).map(|checkpoint| checkpoint.previous_bytes);
        if expected != Some(segment.verified_bytes as u64) {
            let file = segment_file(segment.number);
            let reason = "the segment is not as long as the next one says";
            return Err(StorageError::damaged(&file, segment.verified_bytes, reason));
        }
    }
    Ok(())
}

fn read_snapshot(
    disk: &impl Disk,
    mark: Option<SnapshotMark>,
) -> Result<Option<Snapshot>, StorageError> {
    let Some(mark) = mark else {
        return Ok(None);
    };
    let file = snapshot_file(mark.file);
    let bytes = match disk.read(&file) {
        Ok(bytes) => bytes,
        Err(source) if source.kind() == std::io::ErrorKind::NotFound => {
            return Err(StorageError::damaged(&file, 0, "the snapshot is missing"));
        }
        Err(source) => return Err(StorageError::disk("read", &file, source)),
    };
    let payload = decode_single(&file, &bytes, FileKind::Snapshot, mark.file)?;
    let snapshot: Snapshot = postcard::from_bytes(payload)
        .map_err(|error| StorageError::damaged(&file, 0, error.to_string()))?;
    if snapshot.meta.index != mark.index || snapshot.meta.term != mark.term {
        let reason = "the snapshot is not the one that the log names";
        return Err(StorageError::damaged(&file, 0, reason));
    }
    Ok(Some(snapshot))
}

/// Puts the records of all segments together.
fn replay(segments: Vec<Segment>, recovery: &mut Recovery) -> Result<(), StorageError> {
    let mut live: VecDeque<(Entry, u64)> = VecDeque::new();
    for segment in segments {
        let number = segment.number;
        for record in segment.records {
            if let Some(checkpoint) = record.checkpoint {
                recovery.state.hard_state = checkpoint.hard_state;
            }
            if let Some(hard_state) = record.hard_state {
                recovery.state.hard_state = hard_state;
            }
            for entry in record.entries {
                if !join(&mut live, entry, number) {
                    let file = segment_file(number);
                    return Err(StorageError::damaged(&file, 0, "entries are missing"));
                }
            }
        }
    }
    drop_covered(&mut live, recovery.state.base())?;
    recovery.recovered.hard_state = recovery.state.hard_state;
    for (entry, segment) in live {
        let term = entry.term;
        recovery
            .state
            .locations
            .push_back(EntryLocation { term, segment });
        recovery.recovered.entries.push(entry);
    }
    Ok(())
}

/// Adds an entry, voiding those from its index on; false if it leaves a hole.
fn join(live: &mut VecDeque<(Entry, u64)>, entry: Entry, segment: u64) -> bool {
    if let Some((first, _)) = live.front() {
        let retained = entry.index.0.saturating_sub(first.index.0);
        if retained > live.len() as u64 {
            return false;
        }
        live.truncate(retained as usize);
    }
    live.push_back((entry, segment));
    true
}

/// Drops what the snapshot covers; the rest must join it.
fn drop_covered(live: &mut VecDeque<(Entry, u64)>, base: u64) -> Result<(), StorageError> {
    while live.front().is_some_and(|(entry, _)| entry.index.0 <= base) {
        live.pop_front();
    }
    match live.front() {
        Some((entry, segment)) if entry.index.0 != base + 1 => {
            let reason = format!("entries from {} to {} are missing", base + 1, entry.index);
            Err(StorageError::damaged(&segment_file(*segment), 0, reason))
        }
        _ => Ok(()),
    }
}

fn record_leftovers(names: Names, checkpoint: Checkpoint, recovery: &mut Recovery) {
    let segments = names.segments.range(..checkpoint.first_segment);
    recovery
        .leftovers
        .extend(segments.map(|number| segment_file(*number)));
    let in_force = checkpoint.snapshot.map(|mark| mark.file);
    let snapshots = names
        .snapshots
        .iter()
        .filter(|number| Some(**number) != in_force);
    recovery
        .leftovers
        .extend(snapshots.map(|number| snapshot_file(*number)));
    recovery.leftovers.extend(names.temporary);
}
