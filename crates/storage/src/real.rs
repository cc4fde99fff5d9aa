//! [`Disk`] on a folder of the file system.

use crate::error::DiskOperation;
use crate::{Disk, StorageError};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// File that is locked to keep a second process from using the folder.
const LOCK_FILE: &str = "lock";

/// Folder of the file system. It is locked while this value exists, so that two
/// daemons never write to the same folder.
#[derive(Debug)]
pub struct RealDisk {
    folder: PathBuf,
    /// File that was appended to last, kept open: the log's newest segment.
    /// `None` until the first append, and after the file was replaced, renamed or
    /// removed.
    append_file: Option<OpenFile>,
    _lock: File,
}

impl RealDisk {
    /// Opens and locks the folder. Creates it and its missing parents first, and
    /// syncs each of them.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Disk`] if the folder cannot be created, or if
    /// another process has locked it.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, StorageError> {
        let folder = path.as_ref();
        let disk_error = |operation| {
            let file = folder.display().to_string();
            move |source| StorageError::disk(operation, &file, source)
        };
        create_folder(folder).map_err(disk_error(DiskOperation::Create))?;
        let lock = lock_folder(folder).map_err(disk_error(DiskOperation::Lock))?;
        Ok(Self {
            folder: folder.to_owned(),
            append_file: None,
            _lock: lock,
        })
    }

    fn path(&self, file: &str) -> PathBuf {
        self.folder.join(file)
    }

    /// Closes the open file if it has this name. Must be called before the file
    /// is replaced, renamed or removed.
    fn close(&mut self, file: &str) {
        if self
            .append_file
            .as_ref()
            .is_some_and(|open| open.name == file)
        {
            self.append_file = None;
        }
    }

    /// Returns the file open for appending, and opens it if necessary.
    fn open_for_append(&mut self, file: &str) -> io::Result<&mut File> {
        let open = match self.append_file.take() {
            Some(open) if open.name == file => open,
            _ => OpenFile {
                name: file.to_owned(),
                handle: OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(self.path(file))?,
            },
        };
        Ok(&mut self.append_file.insert(open).handle)
    }
}

/// File that is open for appending.
#[derive(Debug)]
struct OpenFile {
    name: String,
    handle: File,
}

/// Creates a folder and its missing parents, and syncs each new name.
fn create_folder(folder: &Path) -> io::Result<()> {
    if folder.is_dir() {
        return Ok(());
    }
    let parent = match folder.parent() {
        Some(parent) if parent.as_os_str().is_empty() => Path::new("."),
        Some(parent) => parent,
        None => Path::new("/"),
    };
    create_folder(parent)?;
    match fs::create_dir(folder) {
        // Another process created the folder in the meantime.
        Err(error) if error.kind() == io::ErrorKind::AlreadyExists && folder.is_dir() => {}
        result => result?,
    }
    File::open(parent)?.sync_all()
}

/// Locks the folder. The lock is released when the returned file is dropped.
fn lock_folder(folder: &Path) -> io::Result<File> {
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(folder.join(LOCK_FILE))?;
    lock.try_lock().map_err(io::Error::from)?;
    Ok(lock)
}

impl Disk for RealDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            if !entry.file_type()?.is_file() {
                continue;
            }
            // The store's files have UTF-8 names, so other names are skipped.
            if let Ok(name) = entry.file_name().into_string() {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, file: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path(file))
    }

    fn write(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.close(file);
        File::create(self.path(file))?.write_all(bytes)
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_for_append(file)?.write_all(bytes)
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        let handle = OpenOptions::new().write(true).open(self.path(file))?;
        handle.set_len(length)
    }

    fn sync_file(&mut self, file: &str) -> io::Result<()> {
        match &self.append_file {
            Some(open) if open.name == file => open.handle.sync_data(),
            _ => File::open(self.path(file))?.sync_all(),
        }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.path(from), self.path(to))
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.close(file);
        fs::remove_file(self.path(file))
    }
}
