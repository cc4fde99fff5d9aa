//! The interface between the store and a disk.

use std::io;

/// A folder of files without subfolders.
///
/// A change may be lost until it is synced: [`Disk::sync_file`] syncs a file's
/// bytes, [`Disk::sync_folder`] its name (creation, rename, removal). Every
/// method returns the error of the operating system, or an injected one.
pub trait Disk: Send {
    /// Names of all files, sorted.
    ///
    /// # Errors
    ///
    /// If the folder cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Whole content of a file.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if the file does not exist; others if it
    /// cannot be read.
    fn read(&self, file: &str) -> io::Result<Vec<u8>>;
    /// Creates the file, or removes its content, and writes `bytes`.
    ///
    /// # Errors
    ///
    /// If the file cannot be written; a part of `bytes` may be.
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;
    /// Writes `bytes` at the end of the file, which is created if necessary.
    ///
    /// # Errors
    ///
    /// If the file cannot be written; a part of `bytes` may be.
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates the file to `length` bytes.
    ///
    /// # Errors
    ///
    /// If the file does not exist or cannot be changed.
    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()>;
    /// Syncs the bytes of a file.
    ///
    /// # Errors
    ///
    /// If the sync fails; it is then unknown which bytes are on the disk.
    fn sync_file(&mut self, file: &str) -> io::Result<()>;
    /// Syncs the names in the folder.
    ///
    /// # Errors
    ///
    /// If the sync fails; it is then unknown which names are on the disk.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Renames a file; a file with the new name is replaced.
    ///
    /// # Errors
    ///
    /// If the file does not exist or cannot be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if the file does not exist; others if it
    /// cannot be removed.
    fn remove(&mut self, file: &str) -> io::Result<()>;
}
