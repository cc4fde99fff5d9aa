//! Interface between the store and a disk.

use std::io;

/// Folder of files without subfolders.
///
/// A change may be lost in a crash until it is synced: [`Disk::sync_file`] syncs
/// a file's bytes, [`Disk::sync_folder`] its name (creation, rename, removal).
/// Errors are those of the operating system, or injected ones.
pub trait Disk: Send {
    /// Returns the names of all files, sorted.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Returns the whole content of a file.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::NotFound`] if the file does not exist, and
    /// another error if it cannot be read.
    fn read(&self, file: &str) -> io::Result<Vec<u8>>;
    /// Writes `bytes` as the whole content of the file, which is created if
    /// necessary.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written; a prefix of `bytes` may
    /// have been written.
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;
    /// Appends `bytes` to the file, which is created if necessary.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written; a prefix of `bytes` may
    /// have been written.
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates the file to `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the file does not exist or cannot be changed.
    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()>;
    /// Syncs the bytes of a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the sync fails; it is then unknown which bytes are on
    /// the disk.
    fn sync_file(&mut self, file: &str) -> io::Result<()>;
    /// Syncs the names in the folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the sync fails; it is then unknown which names are on
    /// the disk.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Renames a file, and replaces any file with the new name.
    ///
    /// # Errors
    ///
    /// Returns an error if the file does not exist or cannot be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::NotFound`] if the file does not exist, and
    /// another error if it cannot be removed.
    fn remove(&mut self, file: &str) -> io::Result<()>;
}
