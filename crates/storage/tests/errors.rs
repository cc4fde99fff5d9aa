//! Texts of the errors that operators read in the log.

use storage::{BatchError, Damage, DiskOperation, FORMAT_VERSION, StorageError, Unverified};

fn damage_text(damage: impl Into<Damage>) -> String {
    let error = StorageError::Damaged {
        file: "log-1".to_owned(),
        offset: 24,
        damage: damage.into(),
    };
    let text = error.to_string();
    let rest = text.strip_prefix("log-1 is damaged at byte 24: ");
    let cause = rest.and_then(|rest| rest.strip_suffix("; refusing to start from it"));
    cause.unwrap_or_default().to_owned()
}

#[test]
fn damage_errors_display_expected_text() {
    let texts = [
        (
            Unverified::Header.into(),
            "the header is incomplete or its checksum does not match",
        ),
        (
            Unverified::RecordHeaderTruncated.into(),
            "the record's header is truncated",
        ),
        (
            Unverified::NoRecordMark.into(),
            "the mark of a record is missing",
        ),
        (
            Unverified::RecordTruncated.into(),
            "the record is truncated",
        ),
        (
            Unverified::Checksum.into(),
            "the record's checksum does not match",
        ),
        (
            Damage::BeforeRecord {
                cause: Unverified::Checksum,
                next_record: 99,
            },
            "the record's checksum does not match, but a valid record follows at byte 99",
        ),
        (
            Damage::HeaderOfOtherFile,
            "the header belongs to another file",
        ),
        (Damage::TrailingBytes, "there are bytes after the record"),
        (
            Damage::TrailingPayload,
            "the record is longer than its content",
        ),
        (Damage::LogMissing, "the log is missing"),
        (Damage::FirstRecord, "the first record does not verify"),
        (Damage::NoRecord, "there is no record"),
        (Damage::NoCheckpoint, "the first record has no checkpoint"),
        (Damage::SegmentMissing, "the segment is missing"),
        (
            Damage::SegmentLength {
                expected: Some(1),
                found: 2,
            },
            "the length differs from the one recorded in the next segment",
        ),
        (Damage::SnapshotMissing, "the snapshot is missing"),
        (
            Damage::SnapshotMismatch,
            "the snapshot's index or term differs from the log's checkpoint",
        ),
        (Damage::EntryGap, "entries are missing"),
        (
            Damage::EntriesAfterSnapshot { first: 5, next: 8 },
            "entries from 5 to 8 are missing",
        ),
    ];
    for (damage, text) in texts {
        assert_eq!(damage_text(damage), text);
    }
}

#[test]
fn disk_batch_and_version_errors_display_expected_text() {
    let disk = |operation| StorageError::Disk {
        operation,
        file: "identity".to_owned(),
        source: std::io::Error::other("reason"),
    };
    let operations = [
        (DiskOperation::Create, "create"),
        (DiskOperation::Lock, "lock"),
        (DiskOperation::List, "list"),
        (DiskOperation::Read, "read"),
        (DiskOperation::Write, "write"),
        (DiskOperation::Append, "append to"),
        (DiskOperation::Sync, "sync"),
        (DiskOperation::Rename, "rename to"),
        (DiskOperation::Remove, "remove"),
    ];
    for (operation, verb) in operations {
        let expected = format!("{verb} identity: reason");
        assert_eq!(disk(operation).to_string(), expected);
    }
    let batch = |reason| StorageError::InvalidBatch { reason }.to_string();
    assert_eq!(
        batch(BatchError::Gap),
        "the batch cannot be written: its entries do not follow the log"
    );
    assert_eq!(
        batch(BatchError::TooLarge),
        "the batch cannot be written: it is too large for one record"
    );
    let version = StorageError::Version {
        file: "log-1".to_owned(),
        found: 7,
        supported: FORMAT_VERSION,
    };
    assert_eq!(
        version.to_string(),
        "log-1 has format version 7, this program reads 1"
    );
}
