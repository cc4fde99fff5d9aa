//! Recent results of orders, which are sent again when a new session opens.

use std::collections::VecDeque;
use transport::OrderResult;
use types::{Milliseconds, Monotonic, Term};

/// Maximum number of stored results. The oldest is dropped first.
const MAX_RETAINED: usize = 256;
/// Time for which the agent stores a result, counted from when the agent recorded it. A
/// leader that has received no result by then revokes the run.
const RETENTION: Milliseconds = Milliseconds::from_seconds(10);

/// Results of recent orders, oldest first.
#[derive(Debug, Default)]
pub struct RecentResults {
    retained: VecDeque<(Monotonic, OrderResult)>,
}

impl RecentResults {
    /// Adds a result. Drops the oldest one if there are too many.
    pub fn add(&mut self, result: OrderResult, now: Monotonic) {
        if self.retained.len() == MAX_RETAINED {
            self.retained.pop_front();
        }
        self.retained.push_back((now, result));
    }

    /// Drops the results of other terms. Only the leader that issued an order needs its
    /// result.
    pub fn retain_term(&mut self, term: Term) {
        self.retained
            .retain(|(_, result)| result.order.term == term);
    }

    /// Drops the results that were added at least [`RETENTION`] ago.
    pub fn expire(&mut self, now: Monotonic) {
        self.retained
            .retain(|(added_at, _)| now.since(*added_at) < RETENTION);
    }

    /// Returns all results, oldest first.
    pub fn all(&self) -> Vec<OrderResult> {
        self.retained
            .iter()
            .map(|(_, result)| result.clone())
            .collect()
    }
}
