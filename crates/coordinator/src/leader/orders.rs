//! Delivery of orders to runners: one start for each run, then revocations and
//! stops until the outcome is known.
//!
//! The start of a run is sent at most once, by the leader that reserved the run.
//! While it is uncertain whether the start arrived, the leader repeats a
//! revocation: a revocation is idempotent, and the runner rejects a start that
//! arrives after it.

use crate::leader::Leader;
use crate::leader::outbox::OrderContent;
use crate::leader::run_tracker::StartPhase;
use crate::options::Mutation;
use crate::sender::Sender;
use state_machine::StateMachine;
use transport::{DecisionEvent, OrderResult};
use types::{Monotonic, Now, OpenRun, OrderAnswer, OrderKind, RejectionReason, RunClose, RunId};

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

    /// Sends a stop of the run.
    pub(super) fn send_stop(&mut self, state_machine: &StateMachine, run: RunId, now: Monotonic) {
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
            let (runner, task) = (open_run.runner.clone(), open_run.task);
            self.record_outcome(&runner, task, true, now);
        }
        self.close_run(run, RunClose::Rejected);
    }

    /// Records that it is uncertain whether the run started, and revokes it.
    pub(super) fn revoke_uncertain(
        &mut self,
        state_machine: &StateMachine,
        run: RunId,
        now: Monotonic,
    ) {
        self.runs.set_phase(run, StartPhase::Uncertain);
        self.send_revoke(state_machine, run, now);
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
