//! Send times of heartbeats, and the run lease that is counted from them.

use std::collections::VecDeque;
use types::{HeartbeatSequence, Milliseconds, Monotonic};

/// Number of heartbeats whose send time is kept. At 50 per second they span
/// 41 s, over twice the run lease. A start based on an older one is rejected as
/// stale, which is always safe.
const MAX_SENT_TIMES: usize = 2_048;

/// Send times of the latest heartbeats of this incarnation.
#[derive(Debug, Default)]
pub struct HeartbeatLog {
    /// Number of the newest heartbeat; 0 before the first.
    newest: u64,
    /// Send times in ascending order; the last belongs to `newest`.
    sent_at: VecDeque<Monotonic>,
}

impl HeartbeatLog {
    /// Records a heartbeat sent at `now`, and returns its number, from 1.
    pub fn record(&mut self, now: Monotonic) -> HeartbeatSequence {
        if self.sent_at.len() == MAX_SENT_TIMES {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
        self.newest += 1;
        self.newest()
    }

    /// Returns the number of the newest heartbeat; 0 before the first.
    pub fn newest(&self) -> HeartbeatSequence {
        HeartbeatSequence(self.newest)
    }

    /// Returns the number of the oldest heartbeat whose send time is kept.
    pub fn oldest(&self) -> HeartbeatSequence {
        HeartbeatSequence(self.newest + 1 - self.sent_at.len() as u64)
    }

    /// Returns when a heartbeat was sent. `None` if it was not sent yet or is no
    /// longer kept.
    pub fn sent_at(&self, sequence: HeartbeatSequence) -> Option<Monotonic> {
        let index = sequence.0.checked_sub(self.oldest().0)?;
        let index = usize::try_from(index).ok()?;
        self.sent_at.get(index).copied()
    }
}

/// Time that active runs may continue without a further confirmation by the
/// leader.
#[derive(Debug, Clone, Copy)]
pub struct RunLease {
    /// Newest heartbeat that is known to have reached the leader.
    pub confirmed: HeartbeatSequence,
    /// Time at which the confirmed heartbeat was sent.
    pub sent_at: Monotonic,
    /// Length of the lease, counted from `sent_at`.
    pub length: Milliseconds,
}

impl RunLease {
    /// Returns when the lease expires and active runs must stop.
    pub fn ends(&self) -> Monotonic {
        self.sent_at + self.length
    }
}
