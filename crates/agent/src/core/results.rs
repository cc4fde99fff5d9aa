//! Results of orders, kept for a while in case a session was cut just then.

use peer::OrderResult;
use std::collections::VecDeque;
use types::{Milliseconds, Monotonic, Term};

/// Results kept at most.
const MAX_KEPT: usize = 256;
/// A result is kept this long. A leader that has heard nothing by then has
/// voided the run itself.
const KEPT_FOR: Milliseconds = Milliseconds::from_seconds(10);

/// Results of the last orders.
#[derive(Debug, Default)]
pub struct ResultBox {
    kept: VecDeque<(Monotonic, OrderResult)>,
}

impl ResultBox {
    /// Keeps a result; the oldest goes when there are too many.
    pub fn keep(&mut self, result: OrderResult, now: Monotonic) {
        if self.kept.len() == MAX_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back((now, result));
    }

    /// Drops results of other terms: only the leader that gave an order has a
    /// use for what became of it.
    pub fn keep_only(&mut self, term: Term) {
        self.kept.retain(|(_, result)| result.order.term == term);
    }

    /// Drops results kept too long.
    pub fn forget_old(&mut self, now: Monotonic) {
        self.kept.retain(|(at, _)| now.since(*at) < KEPT_FOR);
    }

    /// All results kept, oldest first.
    pub fn all(&self) -> Vec<OrderResult> {
        self.kept.iter().map(|(_, result)| result.clone()).collect()
    }
}
