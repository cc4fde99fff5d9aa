//! Processor time and memory of processes, from `/proc`.

use crate::LabError;
use serde::Serialize;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Ticks of `/proc/<id>/stat` in a second, on every Linux this runs on.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `stat` between the command's closing bracket and `utime`.
const FIELDS_BEFORE_UTIME: usize = 11;

/// What one process had used at one time.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    at: Instant,
    cpu_seconds: f64,
    resident_kib: u64,
}

/// What one process used over a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Share {
    /// Percent of one core.
    pub cpu_percent: f64,
    /// Resident memory at the end, in MiB.
    pub resident_mib: f64,
}

impl Usage {
    /// Reads it now.
    ///
    /// # Errors
    ///
    /// Fails if the process is gone or its accounts cannot be read.
    pub fn read(process: u32) -> Result<Self, LabError> {
        let stat = read(process, "stat")?;
        let status = read(process, "status")?;
        Ok(Self {
            at: Instant::now(),
            cpu_seconds: parse_ticks(&stat).unwrap_or_default() as f64 / TICKS_PER_SECOND,
            resident_kib: parse_resident(&status).unwrap_or_default(),
        })
    }

    /// What was used since an earlier reading.
    pub fn since(&self, earlier: &Self) -> Share {
        let seconds = (self.at - earlier.at).max(Duration::from_millis(1));
        let used = self.cpu_seconds - earlier.cpu_seconds;
        Share {
            cpu_percent: 100.0 * used / seconds.as_secs_f64(),
            resident_mib: self.resident_kib as f64 / 1_024.0,
        }
    }
}

/// User and system ticks in the text of a `stat` file.
pub fn parse_ticks(stat: &str) -> Option<u64> {
    // The command may hold blanks and brackets of its own.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(FIELDS_BEFORE_UTIME);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// Resident KiB in the text of a `status` file.
pub fn parse_resident(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn read(process: u32, file: &str) -> Result<String, LabError> {
    let path = PathBuf::from(format!("/proc/{process}/{file}"));
    std::fs::read_to_string(&path).map_err(LabError::file(path))
}
