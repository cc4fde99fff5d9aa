//! Recovery of the state in a data folder. Recovery only reads, so a rejected
//! folder stays unchanged.

use crate::convert::to_usize;
use crate::error::Damage;
use crate::folder::{list, read, read_if_present};
use crate::frame::{FileKind, decode_single};
use crate::log::{Checkpoint, EntryLocation, LogState, SnapshotReference};
use crate::name::{
    FIRST_SEGMENT, FileName, IDENTITY_FILE, IDENTITY_NUMBER, parse_name, segment_file,
    snapshot_file,
};
use crate::segment::{Segment, read_segment};
use crate::{Disk, Identity, StorageError};
use consensus::{Entry, Recovered, Snapshot};
use std::collections::{BTreeSet, VecDeque};

/// State recovered from a data folder.
#[derive(Debug, Default)]
pub(crate) struct Recovery {
    pub identity: Option<Identity>,
    pub recovered: Recovered,
    pub state: LogState,
    /// Segment to continue; `None` if the folder is new.
    pub last: Option<LastSegment>,
    /// Files to remove: temporary files, and segments and snapshots that the
    /// newest checkpoint does not need.
    pub obsolete_files: Vec<String>,
    /// Length of the torn tail, in bytes.
    pub truncated_bytes: u64,
}

/// Newest segment with a verified record, and its verified bytes.
#[derive(Debug)]
pub(crate) struct LastSegment {
    pub number: u64,
    pub bytes: Vec<u8>,
}

/// Entry that is not overwritten so far, and the segment that contains it.
#[derive(Debug)]
struct LiveEntry {
    entry: Entry,
    segment: u64,
}

/// Files in the folder, by kind.
#[derive(Debug, Default)]
struct FileNames {
    segments: BTreeSet<u64>,
    snapshots: BTreeSet<u64>,
    temporary: Vec<String>,
    has_identity: bool,
}

/// Recovers the state of a data folder. The rules that distinguish damage from a
/// torn tail are in [`crate::segment`].
pub(crate) fn recover(disk: &impl Disk) -> Result<Recovery, StorageError> {
    let names = list_names(disk)?;
    let mut recovery = Recovery {
        identity: read_identity(disk, &names)?,
        ..Recovery::default()
    };
    let Some((last, checkpoint)) = find_last(disk, &names, &mut recovery)? else {
        recovery.obsolete_files.extend(names.temporary);
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
    record_obsolete_files(names, checkpoint, &mut recovery);
    Ok(recovery)
}

/// Lists the files of the folder by kind. Other files are ignored.
fn list_names(disk: &impl Disk) -> Result<FileNames, StorageError> {
    let mut names = FileNames::default();
    for name in list(disk)? {
        match parse_name(&name) {
            FileName::Segment(number) => {
                names.segments.insert(number);
            }
            FileName::Snapshot(number) => {
                names.snapshots.insert(number);
            }
            FileName::Identity => names.has_identity = true,
            FileName::Temporary => names.temporary.push(name),
            FileName::Other => {}
        }
    }
    Ok(names)
}

/// Reads the identity; returns `None` if there is no identity file.
fn read_identity(disk: &impl Disk, names: &FileNames) -> Result<Option<Identity>, StorageError> {
    if !names.has_identity {
        return Ok(None);
    }
    let bytes = read(disk, IDENTITY_FILE)?;
    let payload = decode_single(IDENTITY_FILE, &bytes, FileKind::Identity, IDENTITY_NUMBER)?;
    let identity = postcard::from_bytes(payload)
        .map_err(|error| StorageError::damaged(IDENTITY_FILE, 0, Damage::Decode(error)))?;
    Ok(Some(identity))
}

/// Finds the newest segment whose first record verifies, and its checkpoint.
/// Returns `None` if the folder is new.
///
/// If the first record of the last segment does not verify, the segment may be
/// from an interrupted rotation and is obsolete. Its predecessor must then be
/// present, since it is removed only after the rotation is synced.
fn find_last(
    disk: &impl Disk,
    names: &FileNames,
    recovery: &mut Recovery,
) -> Result<Option<(Segment, Checkpoint)>, StorageError> {
    let Some(number) = names.segments.last().copied() else {
        require_new(names, FIRST_SEGMENT, Damage::LogMissing)?;
        return Ok(None);
    };
    let bytes = read(disk, &segment_file(number))?;
    let segment = read_segment(number, &bytes)?;
    if let Some(checkpoint) = first_checkpoint(&segment) {
        record_last(&segment, bytes, recovery);
        return Ok(Some((segment, checkpoint)));
    }
    recovery.truncated_bytes = bytes.len() as u64;
    recovery.obsolete_files.push(segment_file(number));
    let previous = number.wrapping_sub(1);
    if !names.segments.contains(&previous) {
        require_new(names, number, Damage::FirstRecord)?;
        return Ok(None);
    }
    let bytes = read(disk, &segment_file(previous))?;
    let segment = read_segment(previous, &bytes)?.require_complete()?;
    let Some(checkpoint) = first_checkpoint(&segment) else {
        let file = segment_file(previous);
        return Err(StorageError::damaged(&file, 0, Damage::NoRecord));
    };
    record_last(&segment, bytes, recovery);
    Ok(Some((segment, checkpoint)))
}

/// Records the segment to continue, without its torn tail.
fn record_last(segment: &Segment, mut bytes: Vec<u8>, recovery: &mut Recovery) {
    recovery.truncated_bytes += (bytes.len() - segment.verified_bytes) as u64;
    bytes.truncate(segment.verified_bytes);
    recovery.last = Some(LastSegment {
        number: segment.number,
        bytes,
    });
}

/// Returns the checkpoint in a segment's first record, or `None` if the segment
/// has no record.
fn first_checkpoint(segment: &Segment) -> Option<Checkpoint> {
    segment.records.first()?.checkpoint
}

/// Rejects a folder without a verified segment, unless it is new: it then has no
/// other file, since the first segment is synced before anything else is
/// written.
fn require_new(names: &FileNames, segment: u64, damage: Damage) -> Result<(), StorageError> {
    let has_no_other_file =
        names.segments.len() <= 1 && names.snapshots.is_empty() && !names.has_identity;
    if has_no_other_file && segment == FIRST_SEGMENT {
        return Ok(());
    }
    Err(StorageError::damaged(&segment_file(segment), 0, damage))
}

/// Rejects a folder without an identity, unless it is new: it then has at most
/// the first segment, with the default state.
fn require_identity(recovery: &Recovery) -> Result<(), StorageError> {
    let last = recovery.last.as_ref();
    let is_first = last.is_none_or(|last| last.number == FIRST_SEGMENT);
    let is_new = is_first && recovery.recovered == Recovered::default();
    if recovery.identity.is_none() && !is_new {
        return Err(StorageError::IdentityMissing);
    }
    Ok(())
}

/// Reads the segments from `first` to before `last`. Rejects missing and
/// incomplete ones.
fn read_earlier(
    disk: &impl Disk,
    names: &FileNames,
    first: u64,
    last: u64,
) -> Result<Vec<Segment>, StorageError> {
    let mut segments = Vec::new();
    for number in first..last {
        let file = segment_file(number);
        if !names.segments.contains(&number) {
            return Err(StorageError::damaged(&file, 0, Damage::SegmentMissing));
        }
        let bytes = read(disk, &file)?;
        segments.push(read_segment(number, &bytes)?.require_complete()?);
    }
    Ok(segments)
}

/// Rejects a segment whose length differs from the one in the next checkpoint.
fn check_lengths(segments: &[Segment]) -> Result<(), StorageError> {
    let pairs = segments.iter().zip(segments.iter().skip(1));
    for (segment, next) in pairs {
        let expected = first_checkpoint(next).map(|checkpoint| checkpoint.previous_bytes);
        if expected != Some(segment.verified_bytes as u64) {
            let file = segment_file(segment.number);
            let found = segment.verified_bytes;
            let damage = Damage::SegmentLength { expected, found };
            return Err(StorageError::damaged(&file, found, damage));
        }
    }
    Ok(())
}

/// Reads the snapshot that the checkpoint refers to; returns `None` if it refers
/// to none.
fn read_snapshot(
    disk: &impl Disk,
    reference: Option<SnapshotReference>,
) -> Result<Option<Snapshot>, StorageError> {
    let Some(reference) = reference else {
        return Ok(None);
    };
    let file = snapshot_file(reference.file);
    let damaged = |damage| StorageError::damaged(&file, 0, damage);
    let bytes = read_if_present(disk, &file)?.ok_or_else(|| damaged(Damage::SnapshotMissing))?;
    let payload = decode_single(&file, &bytes, FileKind::Snapshot, reference.file)?;
    let snapshot: Snapshot =
        postcard::from_bytes(payload).map_err(|error| damaged(Damage::Decode(error)))?;
    if snapshot.meta.index != reference.index || snapshot.meta.term != reference.term {
        return Err(damaged(Damage::SnapshotMismatch));
    }
    Ok(Some(snapshot))
}

/// Applies the records of all segments in order, and records hard state and
/// live entries in `recovery`.
fn replay(segments: Vec<Segment>, recovery: &mut Recovery) -> Result<(), StorageError> {
    let mut live: VecDeque<LiveEntry> = VecDeque::new();
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
                if !push_entry(
                    &mut live,
                    LiveEntry {
                        entry,
                        segment: number,
                    },
                ) {
                    let file = segment_file(number);
                    return Err(StorageError::damaged(&file, 0, Damage::EntryGap));
                }
            }
        }
    }
    drop_covered(&mut live, recovery.state.base())?;
    recovery.recovered.hard_state = recovery.state.hard_state;
    for LiveEntry { entry, segment } in live {
        let term = entry.term;
        recovery
            .state
            .locations
            .push_back(EntryLocation { term, segment });
        recovery.recovered.entries.push(entry);
    }
    Ok(())
}

/// Appends an entry, which overwrites all entries from its index on. Returns
/// false if there would be a gap before it.
fn push_entry(live: &mut VecDeque<LiveEntry>, new: LiveEntry) -> bool {
    if let Some(first) = live.front() {
        let retained = new.entry.index.0.saturating_sub(first.entry.index.0);
        if retained > live.len() as u64 {
            return false;
        }
        live.truncate(to_usize(retained));
    }
    live.push_back(new);
    true
}

/// Drops the entries up to index `base`, which the snapshot covers. Returns an
/// error if the remaining entries do not begin right after it.
fn drop_covered(live: &mut VecDeque<LiveEntry>, base: u64) -> Result<(), StorageError> {
    while live.front().is_some_and(|next| next.entry.index.0 <= base) {
        live.pop_front();
    }
    let first = base + 1;
    let Some(next) = live.front().filter(|next| next.entry.index.0 != first) else {
        return Ok(());
    };
    let damage = Damage::EntriesAfterSnapshot {
        first,
        next: next.entry.index.0,
    };
    let file = segment_file(next.segment);
    Err(StorageError::damaged(&file, 0, damage))
}

/// Records temporary files, and the segments and snapshots that the checkpoint
/// does not need, as obsolete.
fn record_obsolete_files(names: FileNames, checkpoint: Checkpoint, recovery: &mut Recovery) {
    let segments = names.segments.range(..checkpoint.first_segment);
    recovery
        .obsolete_files
        .extend(segments.map(|number| segment_file(*number)));
    let current_snapshot = checkpoint.snapshot.map(|snapshot| snapshot.file);
    let snapshots = names
        .snapshots
        .iter()
        .filter(|number| Some(**number) != current_snapshot);
    recovery
        .obsolete_files
        .extend(snapshots.map(|number| snapshot_file(*number)));
    recovery.obsolete_files.extend(names.temporary);
}
