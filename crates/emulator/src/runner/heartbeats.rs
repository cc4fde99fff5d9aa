//! When heartbeats were sent, and the run lease that counts from there.

use std::collections::VecDeque;
use types::{HeartbeatSequence, Milliseconds, Monotonic};

/// Heartbeats remembered. At 50 a second this is 41 s, over twice the run
/// lease; a basis that is forgotten is rejected as stale, which is always safe.
const MAX_REMEMBERED: usize = 2_048;

/// When the last heartbeats of this incarnation were sent.
#[derive(Debug, Default)]
pub struct HeartbeatLog {
    /// Of the newest; 0 before the first.
    newest: u64,
    /// The last of them is the newest's.
    sent_at: VecDeque<Monotonic>,
}

impl HeartbeatLog {
    /// Records a heartbeat sent now, and gives its number.
    pub fn record(&mut self, now: Monotonic) -> HeartbeatSequence {
        if self.sent_at.len() == MAX_REMEMBERED {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
        self.newest += 1;
        self.newest()
    }

    /// Number of the newest heartbeat.
    pub fn newest(&self) -> HeartbeatSequence {
        HeartbeatSequence(self.newest)
    }

    /// Number of the oldest heartbeat remembered.
    pub fn oldest(&self) -> HeartbeatSequence {
        HeartbeatSequence(self.newest + 1 - self.sent_at.len() as u64)
    }

    /// When a heartbeat was sent, while that is remembered.
    pub fn sent_at(&self, sequence: HeartbeatSequence) -> Option<Monotonic> {
        let index = sequence.0.checked_sub(self.oldest().0)?;
        let index = usize::try_from(index).ok()?;
        self.sent_at.get(index).copied()
    }
}

/// How long held runs may go on without another word from the leader.
#[derive(Debug, Clone, Copy)]
pub struct RunLease {
    /// The newest heartbeat known to have reached the leader.
    pub confirmed: HeartbeatSequence,
    /// When it was sent.
    pub sent_at: Monotonic,
    /// Length of the lease.
    pub length: Milliseconds,
}

impl RunLease {
    /// When held runs must stop.
    pub fn ends(&self) -> Monotonic {
        self.sent_at + self.length
    }
}
