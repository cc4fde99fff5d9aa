//! Queue, deduplication and timeouts of orders.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use types::{Milliseconds, Monotonic, OrderSequence, RunnerId, RunnerOrder, Term};

/// Maximum number of delivered but unanswered orders of one runner. Further orders are
/// queued.
const MAX_IN_FLIGHT_PER_RUNNER: usize = 16;
/// Maximum number of queued orders of all runners.
const MAX_QUEUED: usize = 4_096;
/// Maximum number of order sequences stored for one runner and term, to detect
/// duplicates.
const MAX_SEEN_PER_RUNNER: usize = 4_096;

/// Result of receiving an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAdmission {
    /// The order was not received before and is accepted.
    New,
    /// The order was received before and is ignored.
    Duplicate,
    /// Too many orders are queued. The order is never delivered.
    Full,
}

/// Key that identifies an order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    term: Term,
    runner: RunnerId,
    sequence: OrderSequence,
}

impl OrderKey {
    fn of(order: &RunnerOrder) -> Self {
        Self {
            term: order.term,
            runner: order.runner.clone(),
            sequence: order.sequence,
        }
    }
}

/// A queued or delivered order, with the time at which it expires.
#[derive(Debug)]
struct PendingOrder {
    order: RunnerOrder,
    deadline: Monotonic,
}

/// Sequences of the orders that were received for one runner in one term.
#[derive(Debug, Default)]
struct SeenOrders {
    newest: BTreeSet<OrderSequence>,
    /// Highest sequence that was removed from `newest`. All sequences up to this one count
    /// as received. `None` if none was removed.
    floor: Option<OrderSequence>,
}

impl SeenOrders {
    /// Adds a sequence. Returns false if it was received before.
    fn add(&mut self, sequence: OrderSequence) -> bool {
        if self.floor >= Some(sequence) || !self.newest.insert(sequence) {
            return false;
        }
        if self.newest.len() > MAX_SEEN_PER_RUNNER {
            self.floor = self.newest.pop_first().max(self.floor);
        }
        true
    }
}

/// The queued, delivered and previously received orders of an agent.
#[derive(Debug)]
pub struct OrderTable {
    timeout: Milliseconds,
    seen: BTreeMap<(Term, RunnerId), SeenOrders>,
    queued: VecDeque<PendingOrder>,
    in_flight: BTreeMap<OrderKey, PendingOrder>,
}

impl OrderTable {
    /// Creates an empty table whose orders expire after `timeout`.
    pub fn new(timeout: Milliseconds) -> Self {
        Self {
            timeout,
            seen: BTreeMap::new(),
            queued: VecDeque::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// Drops the queued orders and the recorded sequences of terms lower than `term`.
    pub fn drop_lower_terms(&mut self, term: Term) {
        self.seen.retain(|(seen_term, _), _| *seen_term >= term);
        self.queued.retain(|pending| pending.order.term >= term);
    }

    /// Records an order as received, without queueing it.
    pub fn record(&mut self, order: &RunnerOrder) -> OrderAdmission {
        let key = (order.term, order.runner.clone());
        if self.seen.entry(key).or_default().add(order.sequence) {
            OrderAdmission::New
        } else {
            OrderAdmission::Duplicate
        }
    }

    /// Queues an order, unless it was received before or the queue is full.
    pub fn accept(&mut self, order: &RunnerOrder, now: Monotonic) -> OrderAdmission {
        if self.record(order) == OrderAdmission::Duplicate {
            return OrderAdmission::Duplicate;
        }
        if self.queued.len() >= MAX_QUEUED {
            return OrderAdmission::Full;
        }
        self.queued.push_back(PendingOrder {
            order: order.clone(),
            deadline: now + self.timeout,
        });
        OrderAdmission::New
    }

    /// Removes and returns the queued orders that can be delivered now. They are in flight
    /// until answered or expired.
    pub fn take_deliverable(&mut self, now: Monotonic) -> Vec<RunnerOrder> {
        if self.queued.is_empty() {
            return Vec::new();
        }
        let mut in_flight_by_runner: BTreeMap<RunnerId, usize> = BTreeMap::new();
        for key in self.in_flight.keys() {
            *in_flight_by_runner.entry(key.runner.clone()).or_default() += 1;
        }
        let mut deliveries = Vec::new();
        let mut remaining = VecDeque::new();
        for pending in std::mem::take(&mut self.queued) {
            let in_flight = in_flight_by_runner
                .entry(pending.order.runner.clone())
                .or_default();
            if *in_flight >= MAX_IN_FLIGHT_PER_RUNNER {
                remaining.push_back(pending);
                continue;
            }
            *in_flight += 1;
            deliveries.push(pending.order);
        }
        self.queued = remaining;
        for order in &deliveries {
            let pending = PendingOrder {
                order: order.clone(),
                deadline: now + self.timeout,
            };
            self.in_flight.insert(OrderKey::of(order), pending);
        }
        deliveries
    }

    /// Removes an answered order. Returns false if it was not in flight.
    pub fn remove_answered(&mut self, order: &RunnerOrder) -> bool {
        self.in_flight.remove(&OrderKey::of(order)).is_some()
    }

    /// Removes and returns the expired orders, whether queued or in flight.
    pub fn expire(&mut self, now: Monotonic) -> Vec<RunnerOrder> {
        let mut expired = Vec::new();
        self.queued.retain(|pending| {
            let is_expired = now >= pending.deadline;
            if is_expired {
                expired.push(pending.order.clone());
            }
            !is_expired
        });
        self.in_flight.retain(|_, pending| {
            let is_expired = now >= pending.deadline;
            if is_expired {
                expired.push(pending.order.clone());
            }
            !is_expired
        });
        expired
    }

    /// Drops the orders that were not delivered.
    pub fn drop_queued(&mut self) {
        self.queued.clear();
    }

    /// Returns the number of delivered but unanswered orders.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the time at which the next order expires. `None` without any order.
    pub fn next_deadline(&self) -> Option<Monotonic> {
        let queued = self.queued.iter();
        let in_flight = self.in_flight.values();
        queued
            .chain(in_flight)
            .map(|pending| pending.deadline)
            .min()
    }
}
