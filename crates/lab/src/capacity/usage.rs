//! Processor time and memory of processes, read from `/proc`.

use crate::LabError;
use serde::Serialize;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Clock ticks per second in `/proc/<id>/stat`: `USER_HZ`, which is 100 on the
/// supported Linux platforms.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of fields in `stat` between the command's closing bracket and `utime`.
const FIELDS_BEFORE_UTIME: usize = 11;

/// Total usage of one process at one time.
#[derive(Debug, Clone, Copy)]
pub struct UsageSample {
    at: Instant,
    cpu_seconds: f64,
    resident_kib: u64,
}

/// UsageSample of one process in a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ResourceUsage {
    /// Mean processor usage in percent of one core.
    pub cpu_percent: f64,
    /// Resident memory at the end of the window, in MiB.
    pub resident_mib: f64,
}

impl UsageSample {
    /// Reads the current usage of a process.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited or its files in `/proc` cannot be read.
    pub fn read(process: u32) -> Result<Self, LabError> {
        let stat = read(process, "stat")?;
        let status = read(process, "status")?;
        Ok(Self {
            at: Instant::now(),
            cpu_seconds: parse_ticks(&stat).unwrap_or_default() as f64 / TICKS_PER_SECOND,
            resident_kib: parse_resident(&status).unwrap_or_default(),
        })
    }

    /// Returns the usage since an earlier sample.
    pub fn since(&self, earlier: &Self) -> ResourceUsage {
        let seconds = (self.at - earlier.at).max(Duration::from_millis(1));
        let used = self.cpu_seconds - earlier.cpu_seconds;
        ResourceUsage {
            cpu_percent: 100.0 * used / seconds.as_secs_f64(),
            resident_mib: self.resident_kib as f64 / 1_024.0,
        }
    }
}

/// Returns the sum of user and system ticks in the text of a `stat` file, or `None`
/// if it cannot be parsed.
pub fn parse_ticks(stat: &str) -> Option<u64> {
    // The command name may contain blanks and brackets.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(FIELDS_BEFORE_UTIME);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// Returns the resident memory in KiB from the text of a `status` file, or `None` if
/// it is absent.
pub fn parse_resident(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn read(process: u32, file: &str) -> Result<String, LabError> {
    let path = PathBuf::from(format!("/proc/{process}/{file}"));
    std::fs::read_to_string(&path).map_err(LabError::file(path))
}
