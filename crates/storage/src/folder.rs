//! The data folder: a [`Disk`] whose errors name operation and file, and whose
//! writes are synced.

use crate::error::DiskOperation;
use crate::name::temporary_file;
use crate::{Disk, StorageError};
use std::io::{self, ErrorKind};

/// Name of the folder in error messages.
const FOLDER: &str = "the data folder";

/// Names of all files in the folder, sorted.
pub(crate) fn list(disk: &impl Disk) -> Result<Vec<String>, StorageError> {
    disk.list().map_err(failed(DiskOperation::List, FOLDER))
}

/// Whole content of a file.
pub(crate) fn read(disk: &impl Disk, file: &str) -> Result<Vec<u8>, StorageError> {
    disk.read(file).map_err(failed(DiskOperation::Read, file))
}

/// Whole content of a file; none if it does not exist.
pub(crate) fn read_if_present(
    disk: &impl Disk,
    file: &str,
) -> Result<Option<Vec<u8>>, StorageError> {
    match disk.read(file) {
        Err(source) if source.kind() == ErrorKind::NotFound => Ok(None),
        result => result.map(Some).map_err(failed(DiskOperation::Read, file)),
    }
}

/// Writes a whole file and syncs its bytes, but not its name.
pub(crate) fn write_file(
    disk: &mut impl Disk,
    file: &str,
    bytes: &[u8],
) -> Result<(), StorageError> {
    disk.write(file, bytes)
        .map_err(failed(DiskOperation::Write, file))?;
    sync_file(disk, file)
}

/// Appends to a file and syncs it.
pub(crate) fn append_to_file(
    disk: &mut impl Disk,
    file: &str,
    bytes: &[u8],
) -> Result<(), StorageError> {
    disk.append(file, bytes)
        .map_err(failed(DiskOperation::Append, file))?;
    sync_file(disk, file)
}

/// Replaces a file atomically: after a crash either the old or the new content
/// is present.
pub(crate) fn replace_file(
    disk: &mut impl Disk,
    file: &str,
    bytes: &[u8],
) -> Result<(), StorageError> {
    let temporary = temporary_file(file);
    write_file(disk, &temporary, bytes)?;
    disk.rename(&temporary, file)
        .map_err(failed(DiskOperation::Rename, file))?;
    sync_folder(disk)
}

/// Removes files, if there are any, and syncs the folder. A file that does not
/// exist is no error: a temporary file may have been renamed since it was
/// listed.
pub(crate) fn remove_files(disk: &mut impl Disk, files: &[String]) -> Result<(), StorageError> {
    if files.is_empty() {
        return Ok(());
    }
    for file in files {
        match disk.remove(file) {
            Err(source) if source.kind() == ErrorKind::NotFound => {}
            result => result.map_err(failed(DiskOperation::Remove, file))?,
        }
    }
    sync_folder(disk)
}

/// Syncs the names in the folder.
pub(crate) fn sync_folder(disk: &mut impl Disk) -> Result<(), StorageError> {
    disk.sync_folder()
        .map_err(failed(DiskOperation::Sync, FOLDER))
}

fn sync_file(disk: &mut impl Disk, file: &str) -> Result<(), StorageError> {
    disk.sync_file(file)
        .map_err(failed(DiskOperation::Sync, file))
}

fn failed(operation: DiskOperation, file: &str) -> impl Fn(io::Error) -> StorageError {
    move |source| StorageError::disk(operation, file, source)
}
