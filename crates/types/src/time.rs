//! Times as values: nothing below the daemons' shells reads a clock.
//!
//! Leases and time-outs are measured on [`Monotonic`], which must count through
//! a freeze of the machine (`CLOCK_BOOTTIME` in the daemons). [`WallTime`] is
//! used only for a job's own start time and for what people read.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};

/// A length of time in milliseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Milliseconds(pub u64);

impl Milliseconds {
    /// A length of whole seconds.
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

/// A point on one process's monotonic clock, in milliseconds; it counts
/// through a freeze and means nothing to another machine.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Monotonic(pub u64);

impl Monotonic {
    /// Time since `earlier`; zero if `earlier` lies ahead.
    pub fn since(self, earlier: Self) -> Milliseconds {
        Milliseconds(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Milliseconds> for Monotonic {
    type Output = Self;
    fn add(self, length: Milliseconds) -> Self {
        Self(self.0.saturating_add(length.0))
    }
}

impl Sub<Milliseconds> for Monotonic {
    type Output = Self;
    fn sub(self, length: Milliseconds) -> Self {
        Self(self.0.saturating_sub(length.0))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch; it may step.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl Add<Milliseconds> for WallTime {
    type Output = Self;
    fn add(self, length: Milliseconds) -> Self {
        Self(self.0.saturating_add(length.0))
    }
}

/// Both clocks, read once by the shell before it calls a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Now {
    /// For leases, deadlines and time-outs.
    pub monotonic: Monotonic,
    /// For start times of jobs and for people.
    pub wall: WallTime,
}
