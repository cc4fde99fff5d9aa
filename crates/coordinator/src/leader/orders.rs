//! Delivery of orders to runners: one start for each run, then revocations and
//! stops until the outcome is known.
//!
//! The start of a run is sent at most once, by the leader that reserved the run.
//! While it is uncertain whether the start arrived, the leader repeats a
//! revocation: a revocation is idempotent, and the runner rejects a start that
//! arrives after it.
//!
//! # Unresponsive runners
//!
//! The runs of an unresponsive runner are closed as lost once the runner must
//! have stopped them. A runner with self-stop does so one run lease after it
//! *sent* the heartbeat that was last confirmed. This leader receives a
//! heartbeat after it was sent, so for its own confirmations it waits for the
//! run lease and the margin from the reception. An earlier leader confirmed
//! heartbeats only under its lease, which ended before this leader was elected,
//! so for those confirmations, and for starts based on them, the wait begins at
//! the election. The runs of a runner without self-stop are never closed by a
//! timeout.
//!
//! Each reservation records in the log whether the runner has self-stop, so the
//! rule also applies to runners from which this leader received no heartbeat.

use crate::leader::Leader;
use crate::leader::outbox::OrderContent;
use crate::leader::run_tracker::{StartPhase, TrackedRun};
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

/// Time without an answer after which the outcome of a start is uncertain.
const ORDER_TIMEOUT: Milliseconds = Milliseconds(2_000);
/// Time between two revocations or two stops of one run.
const REPEAT_INTERVAL: Milliseconds = Milliseconds(1_000);

/// Action that a check of an open run requires.
#[derive(Debug, Clone, Copy)]
enum RunAction {
    /// Close the run as lost: the run lease and its margin have expired.
    CloseLost,
    /// Close the run as rejected: no process has sent its start or will send it.
    CloseRejected,
    /// Send a stop or repeat it.
    Stop,
    /// Request a stop because the run has stalled.
    StopStalled,
    /// Revoke the run, because it is uncertain whether it started.
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
        let task = |run| self.runs.get(run).map(|tracked| tracked.open_run().task);
        let (Some(a), Some(b)) = (task(a), task(b)) else {
            return false;
        };
        (a.job, a.step) == (b.job, b.step) && state_machine.is_gang(a)
    }

    /// Sends the start of a single run, or the starts of a gang. If one member
    /// of a gang must not start, none is started, since the others would only
    /// wait for it.
    fn start_group(&mut self, state_machine: &StateMachine, group: &[RunId], now: Now) {
        let is_startable = |run: &RunId| {
            let tracked = self.runs.get(*run);
            tracked.is_some_and(|run| run.phase() == StartPhase::Reserved && !run.is_closing())
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

    /// Builds the start of a run, or returns `None` if the run must not start
    /// now.
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
        let runner = self.runners.get(&tracked.open_run().runner)?;
        let is_same_incarnation = runner.incarnation() == tracked.open_run().incarnation;
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
        let open_run = tracked.open_run().clone();
        self.runs.set_phase(run, StartPhase::Ordered);
        self.send_order(state_machine, &open_run, kind, now.monotonic);
        self.log_start(state_machine, &open_run, now);
        metrics::counter!("cypressdrum_runs_ordered_total").increment(1);
    }

    /// Sends an order to the agent that serves the runner, if the agent has a
    /// session.
    fn send_order(
        &mut self,
        state_machine: &StateMachine,
        open_run: &OpenRun,
        kind: OrderKind,
        now: Monotonic,
    ) {
        self.runs.record_order(open_run.run, now);
        let Some(agent) = self.find_agent(open_run, now) else {
            return;
        };
        let content = OrderContent {
            runner: open_run.runner.clone(),
            incarnation: open_run.incarnation,
            name: state_machine.run_name(open_run),
            kind,
        };
        self.outbox.add_order(agent, content);
    }

    /// Finds the agent that serves a run's runner, or returns `None` if the
    /// runner is unknown or the agent has no session.
    fn find_agent(&self, open_run: &OpenRun, now: Monotonic) -> Option<Sender> {
        let agent = self.runners.get(&open_run.runner)?.agent();
        let is_live = self.sessions.is_live(agent.address.node, now);
        is_live.then(|| agent.clone())
    }

    /// Sends a revocation, or a stop if one is requested: a runner that receives
    /// a stop for an unknown run revokes the run.
    pub(super) fn send_revoke(&mut self, state_machine: &StateMachine, run: RunId, now: Monotonic) {
        let Some(tracked) = self.runs.get(run) else {
            return;
        };
        let open_run = tracked.open_run().clone();
        let is_stop_requested = tracked.is_stop_requested();
        if self.has_mutation(Mutation::CloseUnansweredStart) {
            return self.close_run(run, RunClose::Rejected);
        }
        if self.has_mutation(Mutation::ResendStartInsteadOfRevoke)
            && let Some(kind) = self.start_order(state_machine, run, now)
        {
            return self.send_order(state_machine, &open_run, kind, now);
        }
        let kind = if is_stop_requested {
            OrderKind::Stop { run }
        } else {
            OrderKind::Revoke { run }
        };
        self.send_order(state_machine, &open_run, kind, now);
    }

    fn send_stop(&mut self, state_machine: &StateMachine, run: RunId, now: Monotonic) {
        if let Some(tracked) = self.runs.get(run) {
            let open_run = tracked.open_run().clone();
            self.send_order(state_machine, &open_run, OrderKind::Stop { run }, now);
        }
    }

    /// Handles the results of orders that an agent forwards from its runners.
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

    /// Handles the result of an order of this term. Answers to orders of an
    /// earlier leader are ignored: they do not answer this leader's orders.
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
        let open_run = tracked.open_run();
        let is_same_runner = open_run.runner == result.order.runner
            && open_run.incarnation == result.order.incarnation;
        if !is_same_runner || tracked.is_closing() {
            return;
        }
        let is_start = matches!(result.order.kind, OrderKind::Start { .. });
        match &result.answer {
            OrderAnswer::Started
            | OrderAnswer::Stopping
            | OrderAnswer::Active
            | OrderAnswer::Ended => self.runs.set_phase(run, StartPhase::Active),
            OrderAnswer::Revoked => self.close_run(run, RunClose::Revoked),
            OrderAnswer::Rejected(RejectionReason::KnownRun) | OrderAnswer::Unknown if is_start => {
                self.revoke_uncertain(state_machine, run, now.monotonic);
            }
            OrderAnswer::Rejected(reason) if is_start => self.close_rejected(run, *reason, now),
            // The outcome is still unknown; the next check of the runs repeats
            // the order.
            OrderAnswer::Rejected(_) | OrderAnswer::Unknown => {}
        }
    }

    /// Closes a run that never began, because its only start was rejected.
    fn close_rejected(&mut self, run: RunId, reason: RejectionReason, now: Now) {
        if reason == RejectionReason::Unhealthy
            && let Some(tracked) = self.runs.get(run)
        {
            let open_run = tracked.open_run();
            self.scheduler
                .record_outcome(&open_run.runner, open_run.task, true, now);
        }
        self.close_run(run, RunClose::Rejected);
    }

    fn revoke_uncertain(&mut self, state_machine: &StateMachine, run: RunId, now: Monotonic) {
        self.runs.set_phase(run, StartPhase::Uncertain);
        self.send_revoke(state_machine, run, now);
    }

    /// Closes a run through the log, unless its close is already proposed.
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
                Some((tracked.open_run().run, action))
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
        if self.is_runner_lost(tracked.open_run(), now) {
            return Some(RunAction::CloseLost);
        }
        let waited = tracked.since_order(now);
        let is_repeat_due = waited >= REPEAT_INTERVAL;
        match tracked.phase() {
            // The lease expired before the start was sent, so it is never sent.
            StartPhase::Reserved if !self.runs.is_start_queued(tracked.open_run().run) => {
                Some(RunAction::CloseRejected)
            }
            StartPhase::Ordered if waited >= ORDER_TIMEOUT => Some(RunAction::Revoke),
            StartPhase::Active if self.is_stalled(state_machine, tracked) => {
                Some(RunAction::StopStalled)
            }
            StartPhase::Ordered | StartPhase::Active
                if tracked.is_stop_requested() && is_repeat_due =>
            {
                Some(RunAction::Stop)
            }
            StartPhase::Uncertain if is_repeat_due => Some(RunAction::Revoke),
            StartPhase::Reserved
            | StartPhase::Ordered
            | StartPhase::Active
            | StartPhase::Uncertain => None,
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

    /// Stops a run that has stalled. The stall counts as a failure of the runner
    /// but not as one of the task.
    fn stop_stalled(&mut self, state_machine: &StateMachine, run: RunId, now: Now) {
        let Some(tracked) = self.runs.get(run) else {
            return;
        };
        let open_run = tracked.open_run();
        let (runner, task) = (&open_run.runner, open_run.task);
        tracing::info!(%run, %runner, "run stalled, stopping it");
        self.scheduler.record_outcome(runner, task, true, now);
        self.runs.request_stop(run);
        self.send_stop(state_machine, run, now.monotonic);
    }

    /// Returns the longest time without a heartbeat before a runner's runs are
    /// closed as lost.
    fn max_unresponsive_time(&self) -> Milliseconds {
        if self.has_mutation(Mutation::ExpireRunsEarly) {
            Milliseconds(self.timings.run_lease.0 / 10)
        } else {
            self.timings.run_lease + self.timings.run_lease_margin
        }
    }

    /// Returns whether the run lease and its margin have expired without a
    /// heartbeat of the runner, so that the runner must have stopped the run.
    fn is_runner_lost(&self, run: &OpenRun, now: Monotonic) -> bool {
        let runner = self.runners.get(&run.runner);
        let stops_itself = run.self_stop && runner.is_none_or(RunnerState::stops_itself);
        let earliest = self.lease.failure_detection_start();
        let last_seen = runner.map_or(earliest, |runner| runner.last_seen().max(earliest));
        stops_itself && now.since(last_seen) > self.max_unresponsive_time()
    }

    /// Handles the close of a run. `retry` is the task if it is to run again.
    pub(super) fn handle_run_closed(
        &mut self,
        state_machine: &StateMachine,
        run: OpenRun,
        close: RunClose,
        retry: Option<TaskMeta>,
        now: Now,
    ) {
        self.runs.remove(run.run);
        if matches!(close, RunClose::Ended(_)) {
            self.runners.record_end(run.runner.clone(), run.run);
        }
        // Recorded before the task is placed again, so that the scheduler
        // prefers another runner.
        let is_done = close == RunClose::Ended(Outcome::Done);
        if is_done || close.is_failure() {
            self.scheduler
                .record_outcome(&run.runner, run.task, close.is_failure(), now);
        }
        match retry {
            Some(_) if close == RunClose::Rejected => {
                self.release_after_delay(run.run, run.task, now.monotonic);
            }
            Some(meta) => self.scheduler.reschedule(run.run, meta, now),
            None => self.scheduler.remove_run(run.run),
        }
        metrics::counter!("cypressdrum_runs_closed_total", "close" => close_name(&close))
            .increment(1);
        let event = DecisionEvent::Closed {
            run: run.run,
            task: run.task,
            runner: run.runner,
            close,
            at: now.wall,
        };
        self.decisions
            .record(state_machine.job_key(run.task.job), event);
    }

    /// Records in the decision log that a start was sent.
    fn log_start(&mut self, state_machine: &StateMachine, open_run: &OpenRun, now: Now) {
        let event = DecisionEvent::Ordered {
            run: open_run.run,
            task: open_run.task,
            runner: open_run.runner.clone(),
            at: now.wall,
        };
        self.decisions
            .record(state_machine.job_key(open_run.task.job), event);
    }
}

/// Returns the value of the label `close` of the counter of closed runs.
fn close_name(close: &RunClose) -> &'static str {
    match close {
        RunClose::Ended(Outcome::Done) => "done",
        RunClose::Ended(Outcome::Failed(_)) => "failed",
        RunClose::Ended(Outcome::Stopped) => "stopped",
        RunClose::Revoked => "revoked",
        RunClose::Lost => "lost",
        RunClose::Rejected => "rejected",
        RunClose::TimedOut => "timed_out",
    }
}
