//! Orders to runners: one start, then revocations and stops until all is known.
//!
//! A run's start leaves at most once, from the leader that reserved it. While
//! it is not known whether it landed, the run is revoked, again and again: a
//! revocation is idempotent, and the runner rejects a start that crosses it late.
//!
//! When a silent runner's runs are given up. A runner that stops its own runs
//! does so one run lease after it *sent* the heartbeat that was last
//! confirmed. This leader received each heartbeat it confirmed after that
//! moment, so waiting lease and margin from the reception is enough for its
//! own confirmations. An earlier leader confirmed only under its lease, which
//! had ended before this leader was elected; so for its confirmations, and
//! for starts based on them, counting from the election is enough. A runner
//! that declares no self-stop is never given up by the clock.
//!
//! The declaration goes into the record with each reservation, so a leader
//! that never heard the runner knows it too.

use crate::core::{Mutation, Sender};
use crate::leader::Leader;
use crate::runs::Phase;
use state_machine::{ClosedRun, StateMachine};
use transport::{DecisionEvent, OrderResult, PeerMessage};
use types::{
    Milliseconds, Monotonic, Now, OpenRun, OrderAnswer, OrderKind, Outcome, RejectionReason,
    RunClose, RunId, RunnerOrder, TaskMeta,
};

/// A start without an answer for this long is uncertain.
const ORDER_TIMEOUT: Milliseconds = Milliseconds(2_000);
/// Time between two revocations or stops of one run.
const REPEAT_INTERVAL: Milliseconds = Milliseconds(1_000);
impl Leader {
    /// Sends the starts of runs that the record took.
    pub(crate) fn start_reserved(&mut self, state_machine: &StateMachine, now: Now) {
        let to_start = std::mem::take(&mut self.to_start);
        let same_gang = |a: &RunId, b: &RunId| self.are_of_one_gang(state_machine, *a, *b);
        let groups: Vec<Vec<RunId>> = to_start
            .chunk_by(same_gang)
            .map(<[RunId]>::to_vec)
            .collect();
        for group in groups {
            self.start_group(state_machine, &group, now);
        }
    }

    fn are_of_one_gang(&self, state_machine: &StateMachine, a: RunId, b: RunId) -> bool {
        let task = |run| self.runs.get(run).map(|tracked| tracked.run.task);
        let (Some(a), Some(b)) = (task(a), task(b)) else {
            return false;
        };
        (a.job, a.step) == (b.job, b.step) && state_machine.is_gang(a)
    }

    /// Sends the start of one run, or those of a gang: all of them, or none
    /// when something speaks against one, since the others would only wait.
    fn start_group(&mut self, state_machine: &StateMachine, group: &[RunId], now: Now) {
        let is_waiting = |run: &RunId| {
            let tracked = self.runs.get(*run);
            tracked.is_some_and(|run| run.phase == Phase::Reserved && !run.closing)
        };
        let waiting: Vec<RunId> = group.iter().copied().filter(is_waiting).collect();
        let orders: Option<Vec<OrderKind>> = waiting
            .iter()
            .map(|run| self.start_order(state_machine, *run, now.monotonic))
            .collect();
        match orders.filter(|orders| orders.len() == group.len()) {
            Some(orders) => {
                for (run, kind) in waiting.into_iter().zip(orders) {
                    self.send_start(state_machine, run, kind, now);
                }
            }
            None => {
                for run in waiting {
                    self.close(run, RunClose::Rejected);
                }
            }
        }
    }

    /// The start, if at this moment nothing speaks against it.
    fn start_order(
        &self,
        state_machine: &StateMachine,
        run: RunId,
        now: Monotonic,
    ) -> Option<OrderKind> {
        let tracked = self.runs.get(run)?;
        if tracked.stop || state_machine.open_run(run).is_none() {
            return None;
        }
        let runner = self.runners.get(&tracked.run.runner)?;
        let fit = runner.incarnation == tracked.run.incarnation && !runner.is_draining();
        if !fit
            || !self
                .sessions
                .is_fresh(runner.agent.address.node, now, self.options.session_lease)
        {
            return None;
        }
        Some(OrderKind::Start {
            run: state_machine.run_spec(run)?,
            based_on: runner.sequence,
            lease: self.timings.run_lease,
        })
    }

    fn send_start(&mut self, state_machine: &StateMachine, run: RunId, kind: OrderKind, now: Now) {
        let Some(tracked) = self.runs.get_mut(run) else {
            return;
        };
        tracked.phase = Phase::Ordered;
        let open = tracked.run.clone();
        self.send_order(state_machine, &open, kind, now.monotonic);
        self.record_ordered(state_machine, &open, now);
        metrics::counter!("cypressdrum_runs_ordered_total").increment(1);
    }

    /// Sends an order to the agent that serves the runner, if there is one.
    fn send_order(
        &mut self,
        state_machine: &StateMachine,
        open: &OpenRun,
        kind: OrderKind,
        now: Monotonic,
    ) {
        if let Some(tracked) = self.runs.get_mut(open.run) {
            tracked.ordered_at = now;
        }
        let Some(runner) = self.runners.get(&open.runner) else {
            return;
        };
        let agent = runner.agent.clone();
        let lease = self.options.session_lease;
        if !self.sessions.is_fresh(agent.address.node, now, lease) {
            return;
        }
        self.next_order = self.next_order.next();
        let order = RunnerOrder {
            term: self.identity.term,
            sequence: self.next_order,
            runner: open.runner.clone(),
            incarnation: open.incarnation,
            name: state_machine.run_name(open),
            kind,
        };
        self.orders.push((agent, order));
    }

    /// Sends a revocation, or a stop where the run is to end anyway: a runner that
    /// does not know a run revokes it when it is told to stop it.
    pub(crate) fn send_revoke(&mut self, state_machine: &StateMachine, run: RunId, now: Monotonic) {
        let Some(tracked) = self.runs.get(run) else {
            return;
        };
        let open = tracked.run.clone();
        let stop = tracked.stop;
        if self.has_mutation(Mutation::CloseUnansweredStart) {
            return self.close(run, RunClose::Rejected);
        }
        if self.has_mutation(Mutation::ResendStartInsteadOfRevoke)
            && let Some(kind) = self.start_order(state_machine, run, now)
        {
            return self.send_order(state_machine, &open, kind, now);
        }
        let kind = match stop {
            true => OrderKind::Stop { run },
            false => OrderKind::Revoke { run },
        };
        self.send_order(state_machine, &open, kind, now);
    }

    /// Takes what became of an order of this term. Answers to orders of an
    /// earlier leader say nothing of what this one has asked since.
    pub(crate) fn order_answered(
        &mut self,
        state_machine: &StateMachine,
        result: &OrderResult,
        now: Now,
    ) {
        if result.order.term != self.identity.term {
            return;
        }
        let run = result.order.kind.run();
        let Some(tracked) = self.runs.get_mut(run) else {
            return;
        };
        let bound = tracked.run.runner == result.order.runner
            && tracked.run.incarnation == result.order.incarnation;
        if !bound || tracked.closing {
            return;
        }
        let start = matches!(result.order.kind, OrderKind::Start { .. });
        match &result.answer {
            OrderAnswer::Started
            | OrderAnswer::Stopping
            | OrderAnswer::Active
            | OrderAnswer::Ended => tracked.phase = Phase::Active,
            OrderAnswer::Revoked => self.close(run, RunClose::Revoked),
            OrderAnswer::Rejected(RejectionReason::KnownRun) | OrderAnswer::Unknown if start => {
                tracked.phase = Phase::Uncertain;
                self.send_revoke(state_machine, run, now.monotonic);
            }
            // Its one start was rejected, so it never began.
            OrderAnswer::Rejected(reason) if start => {
                if *reason == RejectionReason::Unhealthy {
                    let (runner, task) = (tracked.run.runner.clone(), tracked.run.task);
                    self.scheduler.record_outcome(&runner, task, true, now);
                }
                self.close(run, RunClose::Rejected);
            }
            // Not known yet: the sweep asks again.
            OrderAnswer::Rejected(_) | OrderAnswer::Unknown => {}
        }
    }

    /// Closes a run through the log, once.
    pub(crate) fn close(&mut self, run: RunId, close: RunClose) {
        let Some(tracked) = self.runs.get_mut(run) else {
            return;
        };
        if tracked.closing {
            return;
        }
        tracked.closing = true;
        let stopped = close == RunClose::Ended(Outcome::Stopped);
        let close = match close {
            _ if stopped && tracked.timed_out => RunClose::TimedOut,
            other => other,
        };
        let checkpoint = tracked.checkpoint.clone();
        self.closes.push(ClosedRun {
            run,
            close,
            checkpoint,
        });
    }

    /// Looks at all open runs: silence, missing answers, stops.
    pub(crate) fn sweep_runs(&mut self, state_machine: &StateMachine, now: Now) {
        let mut due = Vec::new();
        for tracked in self.runs.iter().filter(|tracked| !tracked.closing) {
            let waited = now.monotonic.since(tracked.ordered_at);
            let duty = match tracked.phase {
                _ if self.has_timed_out(&tracked.run, now.monotonic) => Duty::GiveUp,
                // Its lease lapsed before the start left; nobody sends it now.
                Phase::Reserved if !self.to_start.contains(&tracked.run.run) => Duty::Drop,
                Phase::Ordered if waited >= ORDER_TIMEOUT => Duty::Revoke,
                Phase::Active if self.is_stalled(state_machine, tracked) => Duty::StopStalled,
                Phase::Ordered | Phase::Active if tracked.stop && waited >= REPEAT_INTERVAL => {
                    Duty::Stop
                }
                Phase::Uncertain if waited >= REPEAT_INTERVAL => Duty::Revoke,
                _ => continue,
            };
            due.push((tracked.run.run, duty));
        }
        for (run, duty) in due {
            match duty {
                Duty::GiveUp => self.close(run, RunClose::Lost),
                Duty::Drop => self.close(run, RunClose::Rejected),
                Duty::Stop => self.send_stop(state_machine, run, now.monotonic),
                Duty::StopStalled => self.stop_stalled(state_machine, run, now),
                Duty::Revoke => {
                    if let Some(tracked) = self.runs.get_mut(run) {
                        tracked.phase = Phase::Uncertain;
                    }
                    self.send_revoke(state_machine, run, now.monotonic);
                }
            }
        }
    }

    /// Stops a run that is held up. That is no failure of its task, but it
    /// speaks against its runner.
    fn stop_stalled(&mut self, state_machine: &StateMachine, run: RunId, now: Now) {
        let Some(tracked) = self.runs.get(run) else {
            return;
        };
        let (runner, task) = (tracked.run.runner.clone(), tracked.run.task);
        tracing::info!(%run, %runner, "run stalled, stopping it");
        self.scheduler.record_outcome(&runner, task, true, now);
        self.runs.want_stop(run);
        self.send_stop(state_machine, run, now.monotonic);
    }

    fn send_stop(&mut self, state_machine: &StateMachine, run: RunId, now: Monotonic) {
        if let Some(tracked) = self.runs.get(run) {
            let open = tracked.run.clone();
            self.send_order(state_machine, &open, OrderKind::Stop { run }, now);
        }
    }

    /// Longest silence of a runner before its runs are given up.
    fn max_unresponsive_time(&self) -> Milliseconds {
        match self.has_mutation(Mutation::ExpireRunsEarly) {
            true => Milliseconds(self.timings.run_lease.0 / 10),
            false => self.timings.run_lease + self.timings.run_lease_margin,
        }
    }

    /// Returns whether a run's lease and margin are over in silence.
    fn has_timed_out(&self, run: &OpenRun, now: Monotonic) -> bool {
        let runner = self.runners.get(&run.runner);
        let stops_itself = run.self_stop && runner.is_none_or(|runner| runner.self_stop);
        let last_seen = runner.map_or(self.failure_detection_start, |runner| {
            runner.last_seen.max(self.failure_detection_start)
        });
        stops_itself && now.since(last_seen) > self.max_unresponsive_time()
    }

    /// Follows a closed run: the task may run again, or not.
    pub(crate) fn run_closed(
        &mut self,
        state_machine: &StateMachine,
        run: OpenRun,
        close: RunClose,
        again: Option<TaskMeta>,
        now: Now,
    ) {
        self.runs.closed(run.run);
        if matches!(close, RunClose::Ended(_)) {
            let recorded = self.recorded.entry(run.runner.clone()).or_default();
            recorded.push(run.run);
        }
        // Before the task waits again: it is to be tried elsewhere first.
        let done = close == RunClose::Ended(Outcome::Done);
        if done || close.is_failure() {
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
            .push(state_machine.job_key(run.task.job), event);
        metrics::counter!("cypressdrum_runs_closed_total").increment(1);
    }

    /// Records in the decision log that a start left.
    fn record_ordered(&mut self, state_machine: &StateMachine, open: &OpenRun, now: Now) {
        let event = DecisionEvent::Ordered {
            run: open.run,
            task: open.task,
            runner: open.runner.clone(),
            at: now.wall,
        };
        self.decisions
            .push(state_machine.job_key(open.task.job), event);
    }

    /// Packs the orders collected for each agent into one message.
    pub(crate) fn pack_orders(&mut self) {
        let mut packed: Vec<(Sender, Vec<RunnerOrder>)> = Vec::new();
        for (agent, order) in std::mem::take(&mut self.orders) {
            match packed.iter_mut().find(|(known, _)| *known == agent) {
                Some((_, orders)) => orders.push(order),
                None => packed.push((agent, vec![order])),
            }
        }
        let term = self.identity.term;
        for (sender, orders) in packed {
            let message = PeerMessage::Orders {
                term,
                agent: sender.address.node,
                orders,
            };
            self.answer(&sender, message);
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Duty {
    GiveUp,
    Drop,
    Stop,
    StopStalled,
    Revoke,
}
