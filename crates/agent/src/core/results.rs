//! Results of orders, kept for a while in case a session was cut just then.

use std::collections::VecDeque;
use transport::OrderResult;
use types::{Milliseconds, Monotonic, Term};

/// Results kept at most.
const MAX_RETAINED: usize = 256;
/// A result is kept this long. A leader that has heard nothing by then has
/// revoked the run itself.
const RETENTION: Milliseconds = Milliseconds::from_seconds(10);

/// Results of the last orders.
#[derive(Debug, Default)]
pub struct ResultBox {
    retained: VecDeque<(Monotonic, OrderResult)>,
}

impl ResultBox {
    /// Keeps a result; the oldest goes when there are too many.
    pub fn keep(&mut self, result: OrderResult, now: Monotonic) {
        if self.retained.len() == MAX_RETAINED {
            self.retained.pop_front();
        }
        self.retained.push_back((now, result));
    }

    /// Drops results of other terms: only the leader that gave an order has a
    /// use for what became of it.
    pub fn keep_only(&mut self, term: Term) {
        self.retained
            .retain(|(_, result)| result.order.term == term);
    }

    /// Drops results kept too long.
    pub fn forget_old(&mut self, now: Monotonic) {
        self.retained.retain(|(at, _)| now.since(*at) < RETENTION);
    }

    /// All results kept, oldest first.
    pub fn all(&self) -> Vec<OrderResult> {
        self.retained
            .iter()
            .map(|(_, result)| result.clone())
            .collect()
    }
}
