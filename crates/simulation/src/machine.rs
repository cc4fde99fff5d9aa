//! Machines: clocks, zones, freezes.

use crate::event::Event;
use crate::ids::Micros;
use types::{Monotonic, Now, WallTime, ZoneName};

/// Wall time at the start of every run.
pub const WALL_START_MS: u64 = 1_700_000_000_000;

/// One machine.
#[derive(Debug)]
pub struct Machine {
    /// Name, as in plans.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// What its monotonic clock showed at the start.
    pub monotonic_start_ms: u64,
    /// How far its wall clock is off.
    pub wall_offset_ms: i64,
    /// Frozen until then.
    pub frozen_until: Option<Micros>,
    /// What came while it was frozen, in order.
    pub deferred: Vec<Event>,
}

impl Machine {
    /// Both clocks at `now`; they count through a freeze.
    pub fn clock(&self, now: Micros) -> Now {
        let elapsed_ms = now / 1_000;
        let wall = (WALL_START_MS + elapsed_ms).saturating_add_signed(self.wall_offset_ms);
        Now {
            monotonic: Monotonic(self.monotonic_start_ms + elapsed_ms),
            wall: WallTime(wall),
        }
    }

    /// Virtual time at which the monotonic clock shows `at`.
    pub fn when(&self, at: Monotonic) -> Micros {
        at.0.saturating_sub(self.monotonic_start_ms) * 1_000
    }

    /// Returns whether it stands still.
    pub fn is_frozen(&self, now: Micros) -> bool {
        self.frozen_until.is_some_and(|until| now < until)
    }
}
