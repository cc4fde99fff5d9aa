//! Points in time and durations. Only the shells of the daemons read a clock; all
//! other code receives the time as a value.
//!
//! Leases and timeouts are measured on [`Monotonic`], which must advance while the
//! machine is suspended (`CLOCK_BOOTTIME` in the daemons). [`WallTime`] is used only
//! for the start times of jobs and for times that people read.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};

/// Duration in milliseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Milliseconds(pub u64);

impl Milliseconds {
    /// Creates a duration of whole seconds.
    pub const fn from_seconds(seconds: u64) -> Self {
        Self(seconds * 1_000)
    }
}

impl fmt::Display for Milliseconds {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}

impl Add for Milliseconds {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

/// Time on the monotonic clock of one process, in milliseconds. The clock advances
/// while the machine is suspended; times of different machines are not comparable.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Monotonic(pub u64);

impl Monotonic {
    /// Returns the time since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Milliseconds {
        Milliseconds(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Milliseconds> for Monotonic {
    type Output = Self;
    fn add(self, duration: Milliseconds) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub<Milliseconds> for Monotonic {
    type Output = Self;
    fn sub(self, duration: Milliseconds) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch. The clock may jump.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl Add<Milliseconds> for WallTime {
    type Output = Self;
    fn add(self, duration: Milliseconds) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

/// Times of both clocks, which the shell of a daemon reads before each call of its core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Now {
    /// Time for leases, deadlines and timeouts.
    pub monotonic: Monotonic,
    /// Time for the start times of jobs and for display.
    pub wall: WallTime,
}
