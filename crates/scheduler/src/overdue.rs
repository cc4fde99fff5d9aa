//! Bound on the time for which something that is set aside keeps a task that fits from a
//! runner.
//!
//! Reservations for starving tasks and gangs, and the part of a runner that is left to
//! more urgent queues, hold back tasks that would fit. A task is overdue when it has waited
//! for [`MAX_BLOCKED_TIME`]. While less than half of a pool is in use, nothing that is set aside
//! there holds back an overdue task, so that a job which fits starts within 3 s. While
//! more is in use, capacity is scarce, and the protection of large tasks and urgent work
//! goes first.

use crate::heartbeat::PoolUsage;
use crate::index::PoolIndex;
use crate::view::View;
use types::{Milliseconds, Monotonic, Now};

/// Longest time for which a task that fits is held back while less than half of its pool is
/// in use. A job must start within 3 s; the rest is for the placement and the start.
const MAX_BLOCKED_TIME: Milliseconds = Milliseconds(2_500);

/// Time between two starts of overdue tasks in the urgent part of a pool's runners while
/// half of the pool or more is in use.
const URGENT_RESERVE_INTERVAL: Milliseconds = Milliseconds(1_000);

impl View {
    /// Records how much of a pool is in use.
    pub(crate) fn record_usage(&mut self, pool: PoolIndex, usage: &PoolUsage, now: Monotonic) {
        let since = &mut self.pools[pool].underused_since;
        *since = usage.is_under_half().then(|| since.unwrap_or(now));
    }

    /// Returns whether less than half of the pool has been in use for [`MAX_BLOCKED_TIME`], so
    /// that overdue tasks go before what is set aside.
    pub(crate) fn is_underused(&self, pool: PoolIndex, now: Now) -> bool {
        let since = self.pools[pool].underused_since;
        since.is_some_and(|since| now.monotonic.since(since) >= MAX_BLOCKED_TIME)
    }

    /// Returns whether a task that has waited since then is overdue.
    pub(crate) fn is_overdue(&self, waiting_since: Monotonic, now: Now) -> bool {
        now.monotonic.since(waiting_since) >= MAX_BLOCKED_TIME
    }

    /// Returns whether an overdue task may use the part of a runner that is left to more
    /// urgent queues. More urgent tasks that could use it now have been examined before.
    pub(crate) fn may_use_urgent_reserve(&self, pool: PoolIndex, now: Now) -> bool {
        let last = self.pools[pool].urgent_reserve_used_at;
        let is_due = |last| now.monotonic.since(last) >= URGENT_RESERVE_INTERVAL;
        last.is_none_or(is_due) || self.is_underused(pool, now)
    }
}
