//! Tombstones of runs that must not start on this runner any more.

use std::collections::BTreeMap;
use types::{HeartbeatSequence, RunId};

/// Tombstones of runs that were revoked, rejected, or ended and recorded.
///
/// A leader bases the one start order of a run on a heartbeat that it has
/// received, before it can revoke or close the run. A start that is still in
/// transit when the tombstone is set is therefore based on a heartbeat sent by
/// then. Once the runner no longer keeps the send time of any of these
/// heartbeats, it rejects such a start as stale, and the tombstone can be
/// dropped. The rule depends neither on a clock nor on the length of a lease.
#[derive(Debug, Default)]
pub struct Tombstones {
    /// Newest heartbeat sent when each tombstone was set.
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

    /// Drops the tombstones of runs whose start could only be based on a heartbeat
    /// before `oldest`, the oldest whose send time is kept.
    pub fn forget_before(&mut self, oldest: HeartbeatSequence) {
        self.newest_heartbeat.retain(|_, newest| *newest >= oldest);
    }
}
