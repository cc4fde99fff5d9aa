//! The run lease of a running emulated, for whoever writes its history.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use types::{Milliseconds, Monotonic};

/// When the run lease ends if no further heartbeat is confirmed, as of the
/// runner's last event. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct LeaseClock {
    /// On the machine's monotonic clock; 0 before the first lease.
    ends_ms: Arc<AtomicU64>,
}

impl LeaseClock {
    /// Time left; zero when it is over, none before the first lease.
    pub fn remaining(&self) -> Option<Milliseconds> {
        let ends = Monotonic(self.ends_ms.load(Ordering::Acquire));
        (ends.0 > 0).then(|| ends.since(transport::clock::now().monotonic))
    }

    pub(super) fn set(&self, ends: Option<Monotonic>) {
        let ends_ms = ends.map_or(0, |ends| ends.0);
        self.ends_ms.store(ends_ms, Ordering::Release);
    }
}
