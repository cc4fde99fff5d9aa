//! Orders between their arrival and their answer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use types::{Milliseconds, Monotonic, OrderSequence, RunnerId, RunnerOrder, Term};

/// Orders given to one runner at once; more wait.
const MAX_IN_FLIGHT_PER_RUNNER: usize = 16;
/// Orders that may wait. A leader orders at most what fits a runner's room.
const MAX_QUEUED: usize = 4_096;
/// Numbers remembered for one runner, to notice an order that comes twice.
const MAX_SEEN_PER_RUNNER: usize = 4_096;

/// What became of an order that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepted {
    /// Taken.
    New,
    /// It was taken before, and nothing more is done.
    Duplicate,
    /// Too many are waiting; it will never be delivered.
    Full,
}

/// An order among those of one term.
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

/// An order with the time at which it is given up.
#[derive(Debug)]
struct Waiting {
    order: RunnerOrder,
    deadline: Monotonic,
}

/// Numbers of one runner's orders in the current term.
#[derive(Debug, Default)]
struct SeenOrders {
    newest: BTreeSet<OrderSequence>,
    /// All up to this one count as seen.
    floor: Option<OrderSequence>,
}

impl SeenOrders {
    /// False when the number was there before.
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

/// Queue, deliveries in flight, and what has been seen.
#[derive(Debug)]
pub struct OrderTable {
    timeout: Milliseconds,
    seen: BTreeMap<(Term, RunnerId), SeenOrders>,
    queued: VecDeque<Waiting>,
    in_flight: BTreeMap<OrderKey, Waiting>,
}

impl OrderTable {
    /// An empty book whose orders are given up after `timeout`.
    pub fn new(timeout: Milliseconds) -> Self {
        Self {
            timeout,
            seen: BTreeMap::new(),
            queued: VecDeque::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// Drops what waits under lower terms.
    pub fn raise_term(&mut self, term: Term) {
        self.seen.retain(|(seen, _), _| *seen >= term);
        self.queued.retain(|waiting| waiting.order.term >= term);
    }

    /// Records an order that will not be delivered.
    pub fn record(&mut self, order: &RunnerOrder) -> Accepted {
        let key = (order.term, order.runner.clone());
        if self.seen.entry(key).or_default().add(order.sequence) {
            Accepted::New
        } else {
            Accepted::Duplicate
        }
    }

    /// Takes an order to be delivered once.
    pub fn accept(&mut self, order: &RunnerOrder, now: Monotonic) -> Accepted {
        if self.record(order) == Accepted::Duplicate {
            return Accepted::Duplicate;
        }
        if self.queued.len() >= MAX_QUEUED {
            return Accepted::Full;
        }
        self.queued.push_back(Waiting {
            order: order.clone(),
            deadline: now + self.timeout,
        });
        Accepted::New
    }

    /// Takes out the orders that go to their runners now.
    pub fn deliverable(&mut self, now: Monotonic) -> Vec<RunnerOrder> {
        if self.queued.is_empty() {
            return Vec::new();
        }
        let mut busy: BTreeMap<RunnerId, usize> = BTreeMap::new();
        for key in self.in_flight.keys() {
            *busy.entry(key.runner.clone()).or_default() += 1;
        }
        let mut deliveries = Vec::new();
        let mut staying = VecDeque::new();
        for waiting in std::mem::take(&mut self.queued) {
            let in_flight = busy.entry(waiting.order.runner.clone()).or_default();
            if *in_flight >= MAX_IN_FLIGHT_PER_RUNNER {
                staying.push_back(waiting);
                continue;
            }
            *in_flight += 1;
            deliveries.push(waiting.order);
        }
        self.queued = staying;
        for order in &deliveries {
            let waiting = Waiting {
                order: order.clone(),
                deadline: now + self.timeout,
            };
            self.in_flight.insert(OrderKey::of(order), waiting);
        }
        deliveries
    }

    /// Takes an answered order out; false when it was not in flight.
    pub fn answered(&mut self, order: &RunnerOrder) -> bool {
        self.in_flight.remove(&OrderKey::of(order)).is_some()
    }

    /// Takes out the orders whose time is over, delivered or not.
    pub fn expire(&mut self, now: Monotonic) -> Vec<RunnerOrder> {
        let mut expired = Vec::new();
        self.queued.retain(|waiting| {
            let over = now >= waiting.deadline;
            if over {
                expired.push(waiting.order.clone());
            }
            !over
        });
        self.in_flight.retain(|_, waiting| {
            let over = now >= waiting.deadline;
            if over {
                expired.push(waiting.order.clone());
            }
            !over
        });
        expired
    }

    /// Forgets what was not delivered yet.
    pub fn drop_queued(&mut self) {
        self.queued.clear();
    }

    /// Number of orders without an answer.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// When the first order is given up.
    pub fn next_deadline(&self) -> Option<Monotonic> {
        let queued = self.queued.iter();
        let in_flight = self.in_flight.values();
        queued
            .chain(in_flight)
            .map(|waiting| waiting.deadline)
            .min()
    }
}
