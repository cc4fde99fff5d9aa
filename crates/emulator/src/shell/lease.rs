//! Run lease of a running emulated runner, for the history of a trial.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use types::{Milliseconds, Monotonic};

/// Expiry of a runner's run lease if no further heartbeat is confirmed, as of
/// the last step of the runner. Clones share the value.
#[derive(Debug, Clone, Default)]
pub struct LeaseClock {
    /// Expiry on the machine's monotonic clock, in milliseconds; 0 before the first
    /// lease.
    ends_ms: Arc<AtomicU64>,
}

impl LeaseClock {
    /// Returns the remaining time of the lease: zero once it has expired, `None`
    /// before the first lease.
    pub fn remaining(&self) -> Option<Milliseconds> {
        let ends = Monotonic(self.ends_ms.load(Ordering::Acquire));
        (ends.0 > 0).then(|| ends.since(transport::clock::now().monotonic))
    }

    pub(super) fn set(&self, ends: Option<Monotonic>) {
        let ends_ms = ends.map_or(0, |ends| ends.0);
        self.ends_ms.store(ends_ms, Ordering::Release);
    }
}
