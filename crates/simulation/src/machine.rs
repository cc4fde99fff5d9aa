//! Machines of the cluster, with their clocks and freezes.

use crate::event::Event;
use crate::ids::Micros;
use types::{Monotonic, Now, WallTime, ZoneName};

/// Wall time at the start of every simulation, in milliseconds since the Unix epoch.
pub const WALL_START_MS: u64 = 1_700_000_000_000;

/// A machine, which carries one daemon and, if it is a side machine, one runner.
#[derive(Debug)]
pub struct Machine {
    /// Name that plans use, such as `coordinator-0`.
    pub name: String,
    /// Zone, which determines the network delay to other machines.
    pub zone: ZoneName,
    /// Reading of the monotonic clock at the start of the simulation, in milliseconds.
    pub monotonic_start_ms: u64,
    /// Deviation of the wall clock from the true time, in milliseconds.
    pub wall_offset_ms: i64,
    /// End of the current freeze; `None` if the machine is not frozen.
    pub frozen_until: Option<Micros>,
    /// Events that were due during the freeze, in order.
    pub deferred: Vec<Event>,
}

impl Machine {
    /// Returns the readings of both clocks at `now`. The clocks run on during a freeze.
    pub fn clock(&self, now: Micros) -> Now {
        let elapsed_ms = now / 1_000;
        let wall = (WALL_START_MS + elapsed_ms).saturating_add_signed(self.wall_offset_ms);
        Now {
            monotonic: Monotonic(self.monotonic_start_ms + elapsed_ms),
            wall: WallTime(wall),
        }
    }

    /// Returns the virtual time at which the monotonic clock reads `at`.
    pub fn virtual_time_of(&self, at: Monotonic) -> Micros {
        at.0.saturating_sub(self.monotonic_start_ms) * 1_000
    }

    /// Returns whether the machine is frozen at `now`.
    pub fn is_frozen(&self, now: Micros) -> bool {
        self.frozen_until.is_some_and(|until| now < until)
    }
}
