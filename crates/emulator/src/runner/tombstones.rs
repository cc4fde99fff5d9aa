//! Runs that must never start here any more.

use std::collections::BTreeMap;
use types::{HeartbeatSequence, RunId};

/// Tombstones of runs that were revoked, rejected, or ended and recorded.
///
/// How long one is kept: a leader makes the one start order of a run from a
/// heartbeat it has received (the basis), before it can revoke or close the
/// run. So the basis of any start still on its way is at most the newest
/// heartbeat sent when the tombstone was set. Once the runner has forgotten
/// that heartbeat and all before it, every such start is rejected for its
/// unknown basis, and the tombstone is no longer needed. No clock and no
/// length of a lease enters this argument.
#[derive(Debug, Default)]
pub struct Tombstones {
    newest_heartbeat: BTreeMap<RunId, HeartbeatSequence>,
}

impl Tombstones {
    /// Sets a tombstone while `newest` is the newest heartbeat sent.
    pub fn add(&mut self, run: RunId, newest: HeartbeatSequence) {
        self.newest_heartbeat.insert(run, newest);
    }

    /// Returns whether the run has a tombstone.
    pub fn contains(&self, run: RunId) -> bool {
        self.newest_heartbeat.contains_key(&run)
    }

    /// Drops tombstones that a start could only reach with a basis older than
    /// `oldest`, the oldest heartbeat remembered.
    pub fn forget_before(&mut self, oldest: HeartbeatSequence) {
        self.newest_heartbeat.retain(|_, newest| *newest >= oldest);
    }
}
