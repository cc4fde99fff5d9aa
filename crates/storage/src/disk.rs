//! The seam below the store: a flat folder of files.

use std::io;

/// A flat folder of files. Nothing written counts before its sync: a file's
/// bytes need [`Disk::sync_file`], its name (creation, rename, removal) needs
/// [`Disk::sync_folder`].
pub trait Disk: Send {
    /// Names of all files, sorted.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Whole content of a file.
    fn read(&self, file: &str) -> io::Result<Vec<u8>>;
    /// Creates the file or empties it, then writes.
    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;
    /// Writes at the end, creating the file if it is absent.
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts the file to `length` bytes.
    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()>;
    /// Syncs the bytes of a file.
    fn sync_file(&mut self, file: &str) -> io::Result<()>;
    /// Syncs the names in the folder.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Gives a file another name, replacing what has it.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, file: &str) -> io::Result<()>;
}
