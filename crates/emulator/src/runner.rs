//! An emulated runner: it keeps tombstones, leases and ended runs as the
//! runner's side of the protocol asks, and can be configured to misbehave.

pub mod heartbeats;
pub mod options;
pub mod tombstones;
pub mod work;

pub use options::{Behaviour, RunnerMutation, RunnerOptions};

use heartbeats::{HeartbeatLog, RunLease};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use tombstones::Tombstones;
use types::{
    ActiveRun, EndedRun, HeartbeatSequence, Milliseconds, Monotonic, OrderAnswer, OrderKind,
    Outcome, RejectionReason, Resources, RunId, RunSpec, RunnerIncarnation, RunnerOrder,
    RunnerReport, Term,
};
use work::Work;

/// What happened inside a runner, for the history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerEvent {
    /// A run began.
    Started(RunSpec),
    /// A run ended.
    Ended {
        /// The run.
        run: RunId,
        /// How.
        outcome: Outcome,
    },
    /// The record has the end of this run.
    EndRecorded {
        /// The run.
        run: RunId,
    },
    /// An order was taken although a higher term had been seen before. Never
    /// happens unless fencing is off.
    AcceptedStale(RunnerOrder),
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RunnerInstruction {
    /// Highest term the agent has seen.
    pub term: Term,
    /// Newest heartbeat of this incarnation the leader confirmed.
    pub confirmed: Option<HeartbeatSequence>,
    /// The incarnation the confirmation is for.
    pub incarnation: RunnerIncarnation,
    /// Run lease, from when the confirmed heartbeat was sent.
    pub lease: Milliseconds,
    /// Ended runs the record has.
    pub recorded: Vec<RunId>,
    /// Active runs the record closed.
    pub stop: Vec<RunId>,
}

/// An emulated runner. The payload of a run is JSON with `duration_ms` and,
/// where wanted, `fail: true`, or `fail_task` with the position of one task
/// that fails.
///
/// Every entry point checks the run lease first, so that a runner that was
/// frozen ends what it held before it takes or says anything.
#[derive(Debug)]
pub struct Runner {
    options: RunnerOptions,
    draining: bool,
    highest_term: Term,
    heartbeats: HeartbeatLog,
    lease: Option<RunLease>,
    active: BTreeMap<RunId, Work>,
    ended: BTreeMap<RunId, Outcome>,
    tombstones: Tombstones,
    /// Events of a heartbeat, which has no way to give them back.
    waiting_events: Vec<RunnerEvent>,
    random: ChaCha8Rng,
}

impl Runner {
    /// A fresh runner that holds nothing.
    pub fn new(options: RunnerOptions, _now: Monotonic) -> Self {
        Self {
            draining: false,
            highest_term: Term::default(),
            heartbeats: HeartbeatLog::default(),
            lease: None,
            active: BTreeMap::new(),
            ended: BTreeMap::new(),
            tombstones: Tombstones::default(),
            waiting_events: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(options.seed ^ options.incarnation.0),
            options,
        }
    }

    /// Ends runs whose time has come, and all runs whose lease is over.
    pub fn tick(&mut self, now: Monotonic) -> Vec<RunnerEvent> {
        let mut events = std::mem::take(&mut self.waiting_events);
        self.end_unleased(now, &mut events);
        self.end_due(now, &mut events);
        events
    }

    /// The next heartbeat.
    pub fn heartbeat(&mut self, now: Monotonic) -> RunnerReport {
        self.waiting_events = self.tick(now);
        let sequence = self.heartbeats.record(now);
        self.tombstones.forget_before(self.heartbeats.oldest());
        let options = &self.options;
        RunnerReport {
            endpoint: None,
            unnamed: Vec::new(),
            runner: options.runner.clone(),
            incarnation: options.incarnation,
            sequence,
            pool: options.pool.clone(),
            rack: options.rack.clone(),
            labels: options.labels.clone(),
            capacity: options.capacity,
            free: self.free(),
            draining: self.draining,
            self_stop: true,
            active: self.active_runs(now),
            ended: self.ended_runs(),
        }
    }

    /// Takes the agent's answer to a heartbeat. `confirmed` is the newest
    /// heartbeat of this incarnation that the leader confirmed. An answer for another
    /// incarnation, or under a lower term than one seen, changes nothing.
    pub fn heartbeat_answered(
        &mut self,
        now: Monotonic,
        answer: &RunnerInstruction,
    ) -> Vec<RunnerEvent> {
        let mut events = self.tick(now);
        if answer.incarnation != self.options.incarnation || answer.term < self.highest_term {
            return events;
        }
        self.highest_term = answer.term;
        if let Some(sequence) = answer.confirmed {
            self.renew_lease(sequence, answer.lease);
        }
        for run in &answer.recorded {
            if self.ended.remove(run).is_some() {
                events.push(RunnerEvent::EndRecorded { run: *run });
                self.bury(*run);
            }
        }
        for run in &answer.stop {
            self.end(*run, Outcome::Stopped, &mut events);
        }
        self.end_unleased(now, &mut events);
        events
    }

    /// Takes an order. Rejections are looked for in this order: other incarnation,
    /// lower term, and for a start: known run, draining, no capacity, stale heartbeat.
    pub fn order(
        &mut self,
        now: Monotonic,
        order: &RunnerOrder,
    ) -> (OrderAnswer, Vec<RunnerEvent>) {
        let mut events = self.tick(now);
        if order.incarnation != self.options.incarnation {
            return rejected(RejectionReason::OtherIncarnation, events);
        }
        if order.term < self.highest_term {
            if !self.mutated(RunnerMutation::NoTermFence) {
                return rejected(RejectionReason::StaleTerm, events);
            }
            events.push(RunnerEvent::AcceptedStale(order.clone()));
        }
        self.highest_term = self.highest_term.max(order.term);
        let answer = match &order.kind {
            OrderKind::Start {
                run,
                based_on,
                lease,
            } => self.start(now, run, *based_on, *lease, &mut events),
            OrderKind::Stop { run } => self.stop(*run, &mut events),
            OrderKind::Revoke { run } => self.revoke(*run),
        };
        (answer, events)
    }

    /// Says in heartbeats that it leaves, from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Changes how it behaves towards runs that start from now on.
    pub fn behave(&mut self, behaviour: Behaviour) {
        self.options.behaviour = behaviour;
    }

    /// Runs it holds.
    pub fn active(&self) -> Vec<RunId> {
        self.active.keys().copied().collect()
    }

    /// When its run lease ends if no further heartbeat is confirmed.
    pub fn lease_until(&self) -> Option<Monotonic> {
        self.lease.map(|lease| lease.ends())
    }

    /// When [`Runner::tick`] wants to be called next; none when idle.
    pub fn next_wakeup(&self) -> Option<Monotonic> {
        let due = self.active.values().filter_map(Work::ends_at).min();
        if self.active.is_empty() || self.mutated(RunnerMutation::NoSelfStop) {
            return due;
        }
        let lease_end = self.lease.map(|lease| lease.ends());
        lease_end.into_iter().chain(due).min()
    }

    fn start(
        &mut self,
        now: Monotonic,
        run: &RunSpec,
        based_on: HeartbeatSequence,
        lease: Milliseconds,
        events: &mut Vec<RunnerEvent>,
    ) -> OrderAnswer {
        if let Some(reason) = self.reason_against(now, run, based_on, lease) {
            // The leader closes a rejected run. The same order delivered again
            // must not start it after all, when capacity is free again.
            if reason != RejectionReason::KnownRun {
                self.bury(run.run);
            }
            return OrderAnswer::Rejected(reason);
        }
        // The leader received the basis, so it counts as confirmed: every held
        // run stands under a lease from its first moment.
        self.renew_lease(based_on, lease);
        let work = Work::begin(run, now, self.options.behaviour, &mut self.random);
        self.active.insert(run.run, work);
        events.push(RunnerEvent::Started(run.clone()));
        OrderAnswer::Started
    }

    fn reason_against(
        &self,
        now: Monotonic,
        run: &RunSpec,
        based_on: HeartbeatSequence,
        lease: Milliseconds,
    ) -> Option<RejectionReason> {
        if self.is_known(run.run) {
            return Some(RejectionReason::KnownRun);
        }
        if self.draining {
            return Some(RejectionReason::Draining);
        }
        if !run.resources.fits_in(&self.free()) {
            return Some(RejectionReason::NoCapacity);
        }
        let sent_at = self.heartbeats.sent_at(based_on);
        let fresh = sent_at.is_some_and(|sent_at| now < sent_at + lease);
        if !fresh && !self.mutated(RunnerMutation::NoHeartbeatCheck) {
            return Some(RejectionReason::StaleHeartbeat);
        }
        None
    }

    fn stop(&mut self, run: RunId, events: &mut Vec<RunnerEvent>) -> OrderAnswer {
        if self.end(run, Outcome::Stopped, events) {
            return OrderAnswer::Stopping;
        }
        self.revoke(run)
    }

    fn revoke(&mut self, run: RunId) -> OrderAnswer {
        if self.active.contains_key(&run) {
            return OrderAnswer::Active;
        }
        if self.ended.contains_key(&run) {
            return OrderAnswer::Ended;
        }
        self.bury(run);
        OrderAnswer::Revoked
    }

    fn is_known(&self, run: RunId) -> bool {
        self.active.contains_key(&run)
            || self.ended.contains_key(&run)
            || self.tombstones.contains(run)
    }

    /// From now on no start of this run is taken.
    fn bury(&mut self, run: RunId) {
        if !self.mutated(RunnerMutation::NoTombstones) {
            self.tombstones.add(run, self.heartbeats.newest());
        }
    }

    fn renew_lease(&mut self, confirmed: HeartbeatSequence, length: Milliseconds) {
        let Some(sent_at) = self.heartbeats.sent_at(confirmed) else {
            return;
        };
        if self
            .lease
            .is_none_or(|active| confirmed >= active.confirmed)
        {
            self.lease = Some(RunLease {
                confirmed,
                sent_at,
                length,
            });
        }
    }

    fn end_unleased(&mut self, now: Monotonic, events: &mut Vec<RunnerEvent>) {
        let over = self.lease.is_none_or(|lease| now >= lease.ends());
        if !over || self.mutated(RunnerMutation::NoSelfStop) {
            return;
        }
        for run in self.active() {
            self.end(run, Outcome::Stopped, events);
        }
    }

    fn end_due(&mut self, now: Monotonic, events: &mut Vec<RunnerEvent>) {
        let due: Vec<(RunId, Outcome)> = self
            .active
            .iter()
            .filter_map(|(run, work)| Some((*run, work.outcome(now)?)))
            .collect();
        for (run, outcome) in due {
            self.end(run, outcome, events);
        }
    }

    fn end(&mut self, run: RunId, outcome: Outcome, events: &mut Vec<RunnerEvent>) -> bool {
        if self.active.remove(&run).is_none() {
            return false;
        }
        self.ended.insert(run, outcome.clone());
        events.push(RunnerEvent::Ended { run, outcome });
        true
    }

    fn free(&self) -> Resources {
        let used = self
            .active
            .values()
            .fold(Resources::ZERO, |sum, work| sum.plus(&work.resources()));
        self.options.capacity.minus(&used)
    }

    fn active_runs(&self, now: Monotonic) -> Vec<ActiveRun> {
        let active = self.active.iter();
        active
            .map(|(run, work)| ActiveRun {
                progress: None,
                checkpoint: None,
                run: *run,
                age: work.age(now),
            })
            .collect()
    }

    fn ended_runs(&self) -> Vec<EndedRun> {
        let ended = self.ended.iter();
        ended
            .map(|(run, outcome)| EndedRun {
                checkpoint: None,
                run: *run,
                outcome: outcome.clone(),
            })
            .collect()
    }

    fn mutated(&self, mutation: RunnerMutation) -> bool {
        self.options.mutation == Some(mutation)
    }
}

fn rejected(reason: RejectionReason, events: Vec<RunnerEvent>) -> (OrderAnswer, Vec<RunnerEvent>) {
    (OrderAnswer::Rejected(reason), events)
}
