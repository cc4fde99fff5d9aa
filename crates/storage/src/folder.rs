//! Operations on the data folder. Their errors name the operation and the file,
//! and their writes are synced.

use crate::error::DiskOperation;
use crate::name::temporary_file;
use crate::{Disk, StorageError};
use std::io::{self, ErrorKind};

/// Description of the folder in error messages.
const FOLDER: &str = "the data folder";

/// Returns the names of all files in the folder, sorted.
pub(crate) fn list(disk: &impl Disk) -> Result<Vec<String>, StorageError> {
    disk.list().map_err(disk_error(DiskOperation::List, FOLDER))
}

/// Returns the whole content of a file.
pub(crate) fn read(disk: &impl Disk, file: &str) -> Result<Vec<u8>, StorageError> {
    disk.read(file)
        .map_err(disk_error(DiskOperation::Read, file))
}

/// Returns the whole content of a file, or `None` if it does not exist.
pub(crate) fn read_if_present(
    disk: &impl Disk,
    file: &str,
) -> Result<Option<Vec<u8>>, StorageError> {
    match disk.read(file) {
        Err(source) if source.kind() == ErrorKind::NotFound => Ok(None),
        result => result
            .map(Some)
            .map_err(disk_error(DiskOperation::Read, file)),
    }
}

/// Writes a file and syncs its bytes. A new name is durable only after
/// [`sync_folder`].
pub(crate) fn write_file(
    disk: &mut impl Disk,
    file: &str,
    bytes: &[u8],
) -> Result<(), StorageError> {
    disk.write(file, bytes)
        .map_err(disk_error(DiskOperation::Write, file))?;
    sync_file(disk, file)
}

/// Appends `bytes` to a file and syncs the file's bytes.
pub(crate) fn append_to_file(
    disk: &mut impl Disk,
    file: &str,
    bytes: &[u8],
) -> Result<(), StorageError> {
    disk.append(file, bytes)
        .map_err(disk_error(DiskOperation::Append, file))?;
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
        .map_err(disk_error(DiskOperation::Rename, file))?;
    sync_folder(disk)
}

/// Removes files and syncs the folder; does nothing if `files` is empty. A file
/// that does not exist is not an error: a temporary file may have been renamed
/// since it was listed.
pub(crate) fn remove_files(disk: &mut impl Disk, files: &[String]) -> Result<(), StorageError> {
    if files.is_empty() {
        return Ok(());
    }
    for file in files {
        match disk.remove(file) {
            Err(source) if source.kind() == ErrorKind::NotFound => {}
            result => result.map_err(disk_error(DiskOperation::Remove, file))?,
        }
    }
    sync_folder(disk)
}

/// Syncs the folder, which makes creations, renames and removals durable.
pub(crate) fn sync_folder(disk: &mut impl Disk) -> Result<(), StorageError> {
    disk.sync_folder()
        .map_err(disk_error(DiskOperation::Sync, FOLDER))
}

fn sync_file(disk: &mut impl Disk, file: &str) -> Result<(), StorageError> {
    disk.sync_file(file)
        .map_err(disk_error(DiskOperation::Sync, file))
}

/// Returns a function that adds operation and file to an I/O error.
fn disk_error(operation: DiskOperation, file: &str) -> impl Fn(io::Error) -> StorageError {
    move |source| StorageError::disk(operation, file, source)
}
