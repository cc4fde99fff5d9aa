//! A folder of the operating system, through the standard library.

use crate::{Disk, StorageError};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// File whose lock keeps a second process out of the folder.
const LOCK_FILE: &str = "lock";

/// A folder of the operating system. It is locked while this value incarnations, so
/// that two daemons never write the same folder.
#[derive(Debug)]
pub struct RealDisk {
    folder: PathBuf,
    /// The file appended to last, kept open: the log's newest segment.
    appending: Option<(String, File)>,
    _lock: File,
}

impl RealDisk {
    /// Opens the folder, creating it and its missing parents durably. Fails
    /// when another process has it open.
    pub fn open(path: impl AsRef<Path>) -> Result<Self, StorageError> {
        let folder = path.as_ref();
        let failed = |action| {
            let file = folder.display().to_string();
            move |source| StorageError::Disk {
                action,
                file,
                source,
            }
        };
        create_folder(folder).map_err(failed("create"))?;
        let lock = lock_folder(folder).map_err(failed("lock"))?;
        Ok(Self {
            folder: folder.to_owned(),
            appending: None,
            _lock: lock,
        })
    }

    fn path(&self, file: &str) -> PathBuf {
        self.folder.join(file)
    }

    /// Closes the kept handle when the name it stands for changes hands.
    fn release(&mut self, file: &str) {
        if self
            .appending
            .as_ref()
            .is_some_and(|(name, _)| name == file)
        {
            self.appending = None;
        }
    }

    fn appending(&mut self, file: &str) -> io::Result<&mut File> {
        let retained = match self.appending.take() {
            Some((name, handle)) if name == file => handle,
            _ => OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path(file))?,
        };
        let (_, handle) = self.appending.insert((file.to_owned(), retained));
        Ok(handle)
    }
}

/// Creates a folder with its parents and syncs each new name.
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
        // Another process made it since the look above.
        Err(error) if error.kind() == io::ErrorKind::AlreadyExists && folder.is_dir() => {}
        made => made?,
    }
    File::open(parent)?.sync_all()
}

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
            // A name that is no text is none of ours.
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
        self.release(file);
        File::create(self.path(file))?.write_all(bytes)
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.appending(file)?.write_all(bytes)
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        let handle = OpenOptions::new().write(true).open(self.path(file))?;
        handle.set_len(length)
    }

    fn sync_file(&mut self, file: &str) -> io::Result<()> {
        match &self.appending {
            Some((name, handle)) if name == file => handle.sync_data(),
            _ => File::open(self.path(file))?.sync_all(),
        }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.release(from);
        self.release(to);
        fs::rename(self.path(from), self.path(to))
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.release(file);
        fs::remove_file(self.path(file))
    }
}
