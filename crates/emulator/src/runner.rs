//! Emulated runner.
//!
//! It keeps tombstones, the run lease and ended runs as the runner's side of
//! the protocol requires, and can be configured to misbehave.

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

/// Event inside a runner, for the history of a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerEvent {
    /// A run started.
    Started(RunSpec),
    /// A run ended.
    Ended {
        /// Run that ended.
        run: RunId,
        /// Outcome that the runner reports for it.
        outcome: Outcome,
    },
    /// An answer to a heartbeat confirmed that the end of a run is recorded.
    EndRecorded {
        /// Run whose end is recorded.
        run: RunId,
    },
    /// An order was accepted although the runner had seen a higher term. Happens
    /// only under [`RunnerMutation::NoTermFence`].
    AcceptedStale(RunnerOrder),
}

/// Agent's answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RunnerInstruction {
    /// Highest term the agent has seen.
    pub term: Term,
    /// Newest heartbeat of the incarnation that the leader confirmed. `None` while
    /// it has confirmed none.
    pub confirmed: Option<HeartbeatSequence>,
    /// Incarnation that the confirmation is for.
    pub incarnation: RunnerIncarnation,
    /// Length of the run lease, counted from when the confirmed heartbeat was sent.
    pub lease: Milliseconds,
    /// Runs whose end is recorded in the cluster state.
    pub recorded: Vec<RunId>,
    /// Active runs that the cluster has closed and that must stop.
    pub stop: Vec<RunId>,
}

/// Core of an emulated runner.
///
/// The payload of a run is JSON with `duration_ms` and, optionally, `fail: true`,
/// or `fail_task` with the position of one task that fails.
///
/// Every entry point checks the run lease first, so that a runner that was
/// frozen stops its active runs before it accepts an order or sends a report.
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
    /// Events that occurred in [`Runner::heartbeat`], returned by the next call of
    /// [`Runner::tick`].
    pending_events: Vec<RunnerEvent>,
    random: ChaCha8Rng,
}

impl Runner {
    /// Creates a runner without runs.
    pub fn new(options: RunnerOptions, _now: Monotonic) -> Self {
        Self {
            draining: false,
            highest_term: Term::default(),
            heartbeats: HeartbeatLog::default(),
            lease: None,
            active: BTreeMap::new(),
            ended: BTreeMap::new(),
            tombstones: Tombstones::default(),
            pending_events: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(options.seed ^ options.incarnation.0),
            options,
        }
    }

    /// Stops all runs if the run lease has expired, then ends the runs that have
    /// reached their planned end.
    pub fn tick(&mut self, now: Monotonic) -> Vec<RunnerEvent> {
        let mut events = std::mem::take(&mut self.pending_events);
        self.stop_without_lease(now, &mut events);
        self.end_completed(now, &mut events);
        events
    }

    /// Returns the report of the next heartbeat, and records it as sent at `now`.
    pub fn heartbeat(&mut self, now: Monotonic) -> RunnerReport {
        self.pending_events = self.tick(now);
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

    /// Processes the agent's answer to a heartbeat. An answer for another
    /// incarnation, or of a lower term than the highest seen, is ignored.
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
                self.add_tombstone(*run);
            }
        }
        for run in &answer.stop {
            self.end(*run, Outcome::Stopped, &mut events);
        }
        self.stop_without_lease(now, &mut events);
        events
    }

    /// Processes an order. Reasons to reject it are checked in this sequence: other
    /// incarnation, lower term, and for a start: known run, draining, no capacity,
    /// stale heartbeat.
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
            if !self.has_mutation(RunnerMutation::NoTermFence) {
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

    /// Starts to drain: heartbeats report it, and starts are rejected from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Changes the behaviour for runs that start from now on.
    pub fn behave(&mut self, behaviour: Behaviour) {
        self.options.behaviour = behaviour;
    }

    /// Returns the active runs, in ascending order.
    pub fn active(&self) -> Vec<RunId> {
        self.active.keys().copied().collect()
    }

    /// Returns when the run lease expires if no further heartbeat is confirmed.
    /// `None` before the first lease.
    pub fn lease_until(&self) -> Option<Monotonic> {
        self.lease.map(|lease| lease.ends())
    }

    /// Returns when [`Runner::tick`] must be called next. `None` when idle.
    pub fn next_wakeup(&self) -> Option<Monotonic> {
        let due = self.active.values().filter_map(Work::ends_at).min();
        if self.active.is_empty() || self.has_mutation(RunnerMutation::NoSelfStop) {
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
        if let Some(reason) = self.rejection_reason(now, run, based_on, lease) {
            // The leader closes a rejected run. If the same order is delivered
            // again, it must not start the run even when capacity is free by then.
            if reason != RejectionReason::KnownRun {
                self.add_tombstone(run.run);
            }
            return OrderAnswer::Rejected(reason);
        }
        // The leader received the heartbeat that the order is based on, so it
        // counts as confirmed. Every run has a lease from its start.
        self.renew_lease(based_on, lease);
        let work = Work::begin(run, now, self.options.behaviour, &mut self.random);
        self.active.insert(run.run, work);
        events.push(RunnerEvent::Started(run.clone()));
        OrderAnswer::Started
    }

    fn rejection_reason(
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
        if !fresh && !self.has_mutation(RunnerMutation::NoHeartbeatCheck) {
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
        self.add_tombstone(run);
        OrderAnswer::Revoked
    }

    fn is_known(&self, run: RunId) -> bool {
        self.active.contains_key(&run)
            || self.ended.contains_key(&run)
            || self.tombstones.contains(run)
    }

    /// Sets a tombstone, so that every later start of this run is rejected.
    fn add_tombstone(&mut self, run: RunId) {
        if !self.has_mutation(RunnerMutation::NoTombstones) {
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

    fn stop_without_lease(&mut self, now: Monotonic, events: &mut Vec<RunnerEvent>) {
        let expired = self.lease.is_none_or(|lease| now >= lease.ends());
        if !expired || self.has_mutation(RunnerMutation::NoSelfStop) {
            return;
        }
        for run in self.active() {
            self.end(run, Outcome::Stopped, events);
        }
    }

    fn end_completed(&mut self, now: Monotonic, events: &mut Vec<RunnerEvent>) {
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

    fn has_mutation(&self, mutation: RunnerMutation) -> bool {
        self.options.mutation == Some(mutation)
    }
}

fn rejected(reason: RejectionReason, events: Vec<RunnerEvent>) -> (OrderAnswer, Vec<RunnerEvent>) {
    (OrderAnswer::Rejected(reason), events)
}
