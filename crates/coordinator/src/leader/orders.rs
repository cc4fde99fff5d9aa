//! Delivery of orders to runners: one start, then revocations and stops until
//! the outcome is known.
//!
//! A run's start leaves at most once, from the leader that reserved it. While
//! it is not known whether it landed, the run is revoked, again and again: a
//! revocation is idempotent, and the runner rejects a start that crosses it late.
//!
//! When the runs of an unresponsive runner are closed as lost: a runner that
//! stops its own runs does so one run lease after it *sent* the heartbeat that
//! was last confirmed. This leader received each heartbeat it confirmed after that
//! moment, so waiting lease and margin from the reception is enough for its
//! own confirmations. An earlier leader confirmed only under its lease, which
//! had ended before this leader was elected; so for its confirmations, and
//! for starts based on them, counting from the election is enough. A runner
//! that declares no self-stop has its runs never closed by the clock.
//!
//! The declaration goes into the log with each reservation, so a leader
//! that received no heartbeat of the runner knows it too.

use crate::leader::Leader;
use crate::leader::outbox::OrderContent;
use crate::leader::run_tracker::{Phase, TrackedRun};
use crate::leader::runner_registry::RunnerState;
use crate::leader::stall_detection::StallDetector;
use crate::options::Mutation;
use crate::sender::Sender;
use state_machine::StateMachine;
use transport::{DecisionEvent, OrderResult};
use types::{
    Milliseconds, Monotonic, Now, OpenRun, OrderAnswer, OrderKind, Outcome, RejectionReason,
    RunClose, RunId, TaskMeta,
};

/// A start without an answer for this long is uncertain.
const ORDER_TIMEOUT: Milliseconds = Milliseconds(2_000);
/// Time between two revocations or stops of one run.
const REPEAT_INTERVAL: Milliseconds = Milliseconds(1_000);

/// What a check of an open run asks for.
#[derive(Debug, Clone, Copy)]
enum RunAction {
    /// Its runner's lease and margin are over: close it as lost.
    CloseLost,
    /// Its start never left and never will: close it as rejected.
    CloseRejected,
    /// Send the stop, again.
    Stop,
    /// It makes no progress: request its stop.
    StopStalled,
    /// It may or may not have started: revoke it.
    Revoke,
}

impl Leader {
    /// Sends the starts of runs whose reservations were accepted.
    pub(crate) fn send_starts(&mut self, state_machine: &StateMachine, now: Now) {
        let to_start = self.runs.take_starts();
        let same_gang = |a: &RunId, b: &RunId| self.are_in_same_gang(state_machine, *a, *b);
        let groups: Vec<Vec<RunId>> = to_start
            .chunk_by(same_gang)
            .map(<[RunId]>::to_vec)
            .collect();
        for group in groups {
            self.start_group(state_machine, &group, now);
        }
    }

    fn are_in_same_gang(&self, state_machine: &StateMachine, a: RunId, b: RunId) -> bool {
        let task = |run| self.runs.get(run).map(|tracked| tracked.open().task);
        let (Some(a), Some(b)) = (task(a), task(b)) else {
            return false;
        };
        (a.job, a.step) == (b.job, b.step) && state_machine.is_gang(a)
    }

    /// Sends the start of one run, or those of a gang: all of them, or none
    /// when one of them must not start, since the others would only wait.
    fn start_group(&mut self, state_machine: &StateMachine, group: &[RunId], now: Now) {
        let is_startable = |run: &RunId| {
            let tracked = self.runs.get(*run);
            tracked.is_some_and(|run| run.phase() == Phase::Reserved && !run.is_closing())
        };
        let startable: Vec<RunId> = group.iter().copied().filter(is_startable).collect();
        let orders: Option<Vec<OrderKind>> = startable
            .iter()
            .map(|run| self.start_order(state_machine, *run, now.monotonic))
            .collect();
        match orders.filter(|orders| orders.len() == group.len()) {
            Some(orders) => {
                for (run, kind) in startable.into_iter().zip(orders) {
                    self.send_start(state_machine, run, kind, now);
                }
            }
            None => {
                for run in startable {
                    self.close_run(run, RunClose::Rejected);
                }
            }
        }
    }

    /// Builds the start of a run; none if the run must not start at this moment.
    fn start_order(
        &self,
        state_machine: &StateMachine,
        run: RunId,
        now: Monotonic,
    ) -> Option<OrderKind> {
        let tracked = self.runs.get(run)?;
        if tracked.is_stop_requested() || state_machine.open_run(run).is_none() {
            return None;
        }
        let runner = self.runners.get(&tracked.open().runner)?;
        let is_same_incarnation = runner.incarnation() == tracked.open().incarnation;
        if !is_same_incarnation || runner.is_draining() {
            return None;
        }
        if !self.sessions.is_live(runner.agent().address.node, now) {
            return None;
        }
        Some(OrderKind::Start {
            run: state_machine.run_spec(run)?,
            based_on: runner.sequence(),
            lease: self.timings.run_lease,
        })
    }

    fn send_start(&mut self, state_machine: &StateMachine, run: RunId, kind: OrderKind, now: Now) {
        let Some(tracked) = self.runs.get(run) else {
            return;
        };
        let open = tracked.open().clone();
        self.runs.set_phase(run, Phase::Ordered);
        self.send_order(state_machine, &open, kind, now.monotonic);
        self.log_start(state_machine, &open, now);
        metrics::counter!("cypressdrum_runs_ordered_total").increment(1);
    }

    /// Sends an order to the agent that serves the runner, if it has a session.
    fn send_order(
        &mut self,
        state_machine: &StateMachine,
        open: &OpenRun,
        kind: OrderKind,
        now: Monotonic,
    ) {
        self.runs.record_order(open.run, now);
        let Some(agent) = self.find_agent(open, now) else {
            return;
        };
        let content = OrderContent {
            runner: open.runner.clone(),
            incarnation: open.incarnation,
            name: state_machine.run_name(open),
            kind,
        };
        self.outbox.add_order(agent, content);
    }

    /// Finds the agent that serves a run's runner and has a session.
    fn find_agent(&self, open: &OpenRun, now: Monotonic) -> Option<Sender> {
        let agent = self.runners.get(&open.runner)?.agent();
        let is_live = self.sessions.is_live(agent.address.node, now);
        is_live.then(|| agent.clone())
    }

    /// Sends a revocation, or a stop where the run is to end anyway: a runner that
    /// does not know a run revokes it when it is ordered to stop it.
    pub(super) fn send_revoke(&mut self, state_machine: &StateMachine, run: RunId, now: Monotonic) {
        let Some(tracked) = self.runs.get(run) else {
            return;
        };
        let open = tracked.open().clone();
        let is_stop_requested = tracked.is_stop_requested();
        if self.has_mutation(Mutation::CloseUnansweredStart) {
            return self.close_run(run, RunClose::Rejected);
        }
        if self.has_mutation(Mutation::ResendStartInsteadOfRevoke)
            && let Some(kind) = self.start_order(state_machine, run, now)
        {
            return self.send_order(state_machine, &open, kind, now);
        }
        let kind = if is_stop_requested {
            OrderKind::Stop { run }
        } else {
            OrderKind::Revoke { run }
        };
        self.send_order(state_machine, &open, kind, now);
    }

    fn send_stop(&mut self, state_machine: &StateMachine, run: RunId, now: Monotonic) {
        if let Some(tracked) = self.runs.get(run) {
            let open = tracked.open().clone();
            self.send_order(state_machine, &open, OrderKind::Stop { run }, now);
        }
    }

    /// Takes the results of orders that an agent passes on.
    pub(crate) fn receive_order_results(
        &mut self,
        state_machine: &StateMachine,
        sender: &Sender,
        results: &[OrderResult],
        now: Now,
    ) {
        self.sessions.record_contact(sender, now.monotonic);
        for result in results {
            self.receive_order_result(state_machine, result, now);
        }
    }

    /// Takes the result of an order of this term. Answers to orders of an
    /// earlier leader say nothing of what this one has asked since.
    fn receive_order_result(
        &mut self,
        state_machine: &StateMachine,
        result: &OrderResult,
        now: Now,
    ) {
        if result.order.term != self.identity.term {
            return;
        }
        let run = result.order.kind.run();
        let Some(tracked) = self.runs.get(run) else {
            return;
        };
        let open = tracked.open();
        let is_bound =
            open.runner == result.order.runner && open.incarnation == result.order.incarnation;
        if !is_bound || tracked.is_closing() {
            return;
        }
        let is_start = matches!(result.order.kind, OrderKind::Start { .. });
        match &result.answer {
            OrderAnswer::Started
            | OrderAnswer::Stopping
            | OrderAnswer::Active
            | OrderAnswer::Ended => self.runs.set_phase(run, Phase::Active),
            OrderAnswer::Revoked => self.close_run(run, RunClose::Revoked),
            OrderAnswer::Rejected(RejectionReason::KnownRun) | OrderAnswer::Unknown if is_start => {
                self.revoke_uncertain(state_machine, run, now.monotonic);
            }
            OrderAnswer::Rejected(reason) if is_start => self.close_rejected(run, *reason, now),
            // Not known yet: the next check of the runs asks again.
            OrderAnswer::Rejected(_) | OrderAnswer::Unknown => {}
        }
    }

    /// Closes a run whose one start was rejected, so that it never began.
    fn close_rejected(&mut self, run: RunId, reason: RejectionReason, now: Now) {
        if reason == RejectionReason::Unhealthy
            && let Some(tracked) = self.runs.get(run)
        {
            let open = tracked.open();
            self.scheduler
                .record_outcome(&open.runner, open.task, true, now);
        }
        self.close_run(run, RunClose::Rejected);
    }

    fn revoke_uncertain(&mut self, state_machine: &StateMachine, run: RunId, now: Monotonic) {
        self.runs.set_phase(run, Phase::Uncertain);
        self.send_revoke(state_machine, run, now);
    }

    /// Closes a run through the log, once.
    pub(super) fn close_run(&mut self, run: RunId, close: RunClose) {
        if let Some(close) = self.runs.begin_close(run, close) {
            self.proposals.add_close(close);
        }
    }

    /// Checks all open runs for unresponsive runners, missing answers, stalls
    /// and stops.
    pub(super) fn check_runs(&mut self, state_machine: &StateMachine, now: Now) {
        let actions: Vec<(RunId, RunAction)> = self
            .runs
            .iter()
            .filter_map(|tracked| {
                let action = self.next_action(state_machine, tracked, now.monotonic)?;
                Some((tracked.open().run, action))
            })
            .collect();
        for (run, action) in actions {
            match action {
                RunAction::CloseLost => self.close_run(run, RunClose::Lost),
                RunAction::CloseRejected => self.close_run(run, RunClose::Rejected),
                RunAction::Stop => self.send_stop(state_machine, run, now.monotonic),
                RunAction::StopStalled => self.stop_stalled(state_machine, run, now),
                RunAction::Revoke => self.revoke_uncertain(state_machine, run, now.monotonic),
            }
        }
    }

    fn next_action(
        &self,
        state_machine: &StateMachine,
        tracked: &TrackedRun,
        now: Monotonic,
    ) -> Option<RunAction> {
        if tracked.is_closing() {
            return None;
        }
        if self.is_runner_lost(tracked.open(), now) {
            return Some(RunAction::CloseLost);
        }
        let waited = tracked.since_order(now);
        let is_repeat_due = waited >= REPEAT_INTERVAL;
        match tracked.phase() {
            // The lease lapsed before the start left; no process sends it now.
            Phase::Reserved if !self.runs.is_start_queued(tracked.open().run) => {
                Some(RunAction::CloseRejected)
            }
            Phase::Ordered if waited >= ORDER_TIMEOUT => Some(RunAction::Revoke),
            Phase::Active if self.is_stalled(state_machine, tracked) => {
                Some(RunAction::StopStalled)
            }
            Phase::Ordered | Phase::Active if tracked.is_stop_requested() && is_repeat_due => {
                Some(RunAction::Stop)
            }
            Phase::Uncertain if is_repeat_due => Some(RunAction::Revoke),
            Phase::Reserved | Phase::Ordered | Phase::Active | Phase::Uncertain => None,
        }
    }

    fn is_stalled(&self, state_machine: &StateMachine, tracked: &TrackedRun) -> bool {
        let detector = StallDetector {
            stalled_after: self.options.stalled_after,
            move_slow: self.options.move_slow,
            runs: &self.runs,
            runners: &self.runners,
            state_machine,
        };
        detector.is_stalled(tracked)
    }

    /// Stops a run that has stalled. That is no failure of its task, but it
    /// counts as one of its runner.
    fn stop_stalled(&mut self, state_machine: &StateMachine, run: RunId, now: Now) {
        let Some(tracked) = self.runs.get(run) else {
            return;
        };
        let open = tracked.open();
        let (runner, task) = (&open.runner, open.task);
        tracing::info!(%run, %runner, "run stalled, stopping it");
        self.scheduler.record_outcome(runner, task, true, now);
        self.runs.request_stop(run);
        self.send_stop(state_machine, run, now.monotonic);
    }

    /// Longest time without a heartbeat before a runner's runs are closed.
    fn max_unresponsive_time(&self) -> Milliseconds {
        if self.has_mutation(Mutation::ExpireRunsEarly) {
            Milliseconds(self.timings.run_lease.0 / 10)
        } else {
            self.timings.run_lease + self.timings.run_lease_margin
        }
    }

    /// Returns whether the run's lease and margin have passed without a
    /// heartbeat of its runner, so that the runner has stopped it.
    fn is_runner_lost(&self, run: &OpenRun, now: Monotonic) -> bool {
        let runner = self.runners.get(&run.runner);
        let stops_itself = run.self_stop && runner.is_none_or(RunnerState::stops_itself);
        let earliest = self.lease.failure_detection_start();
        let last_seen = runner.map_or(earliest, |runner| runner.last_seen().max(earliest));
        stops_itself && now.since(last_seen) > self.max_unresponsive_time()
    }

    /// Follows the close of a run: its task may run again, or not.
    pub(super) fn follow_close(
        &mut self,
        state_machine: &StateMachine,
        run: OpenRun,
        close: RunClose,
        again: Option<TaskMeta>,
        now: Now,
    ) {
        self.runs.remove(run.run);
        if matches!(close, RunClose::Ended(_)) {
            self.runners.record_end(run.runner.clone(), run.run);
        }
        // Before the task is placed again: it is to be tried elsewhere first.
        let is_done = close == RunClose::Ended(Outcome::Done);
        if is_done || close.is_failure() {
            self.scheduler
                .record_outcome(&run.runner, run.task, close.is_failure(), now);
        }
        match again {
            Some(_) if close == RunClose::Rejected => {
                self.release_later(run.run, run.task, now.monotonic);
            }
            Some(meta) => self.scheduler.reschedule(run.run, meta, now),
            None => self.scheduler.remove_run(run.run),
        }
        let event = DecisionEvent::Closed {
            run: run.run,
            task: run.task,
            runner: run.runner,
            close,
            at: now.wall,
        };
        self.decisions
            .record(state_machine.job_key(run.task.job), event);
        metrics::counter!("cypressdrum_runs_closed_total").increment(1);
    }

    /// Records in the decision log that a start left.
    fn log_start(&mut self, state_machine: &StateMachine, open: &OpenRun, now: Now) {
        let event = DecisionEvent::Ordered {
            run: open.run,
            task: open.task,
            runner: open.runner.clone(),
            at: now.wall,
        };
        self.decisions
            .record(state_machine.job_key(open.task.job), event);
    }
}
