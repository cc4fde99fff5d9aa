//! Recent results of orders, which are sent again when a session is reopened.

use std::collections::VecDeque;
use transport::OrderResult;
use types::{Milliseconds, Monotonic, Term};

/// Maximum number of results.
const MAX_RETAINED: usize = 256;
/// Time for which a result is kept. A leader that has received no result by then revokes the
/// run.
const RETENTION: Milliseconds = Milliseconds::from_seconds(10);

/// The results of recent orders.
#[derive(Debug, Default)]
pub struct RecentResults {
    retained: VecDeque<(Monotonic, OrderResult)>,
}

impl RecentResults {
    /// Adds a result. The oldest one is dropped if there are too many.
    pub fn add(&mut self, result: OrderResult, now: Monotonic) {
        if self.retained.len() == MAX_RETAINED {
            self.retained.pop_front();
        }
        self.retained.push_back((now, result));
    }

    /// Drops the results of other terms. Only the leader that gave an order needs its
    /// result.
    pub fn retain_term(&mut self, term: Term) {
        self.retained
            .retain(|(_, result)| result.order.term == term);
    }

    /// Drops the results that have been kept for the retention time.
    pub fn expire(&mut self, now: Monotonic) {
        self.retained.retain(|(at, _)| now.since(*at) < RETENTION);
    }

    /// Returns all results, oldest first.
    pub fn all(&self) -> Vec<OrderResult> {
        self.retained
            .iter()
            .map(|(_, result)| result.clone())
            .collect()
    }
}
