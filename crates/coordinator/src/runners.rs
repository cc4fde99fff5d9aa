//! Heartbeats of runners: what each incarnation of a runner holds and has ended.

use crate::Coordinator;
use crate::core::Sender;
use crate::leader::Leader;
use crate::runs::{Phase, ProgressHistory};
use state_machine::{ClosedRun, StateMachine};
use std::collections::{BTreeMap, BTreeSet};
use transport::{AgentReport, NamedRun, OrderResult, PeerMessage, RunnerUpdate};
use types::{
    ActiveRun, EndedRun, HeartbeatSequence, Milliseconds, Monotonic, Now, RunClose, RunId,
    RunnerId, RunnerIncarnation, RunnerReport, UnnamedRun,
};

/// A run this far past its time limit is stopped by the leader; its runner
/// should have done so by itself.
const TIME_LIMIT_GRACE: Milliseconds = Milliseconds(1_000);

/// A runner as this leader heard it.
#[derive(Debug, Clone)]
pub(crate) struct RunnerState {
    /// The agent its newest heartbeat came by.
    pub(crate) agent: Sender,
    pub(crate) incarnation: RunnerIncarnation,
    /// Newest heartbeat of that incarnation.
    pub(crate) sequence: HeartbeatSequence,
    /// When that arrived here.
    pub(crate) last_seen: Monotonic,
    pub(crate) self_stop: bool,
    reports_draining: bool,
    ordered_draining: bool,
}

impl RunnerState {
    /// Returns whether it, or an operator, says that it drains.
    pub(crate) fn is_draining(&self) -> bool {
        self.reports_draining || self.ordered_draining
    }
}

/// What a heartbeat is, beside those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Freshness {
    /// Of an earlier incarnation, or overtaken by a later one.
    Old,
    /// The newest known, once more.
    Repeated,
    /// Newer than any before.
    New,
}

/// Runners this leader has heard.
#[derive(Debug, Default)]
pub(crate) struct Runners {
    runners: BTreeMap<RunnerId, RunnerState>,
}

impl Runners {
    pub(crate) fn get(&self, runner: &RunnerId) -> Option<&RunnerState> {
        self.runners.get(runner)
    }

    pub(crate) fn len(&self) -> usize {
        self.runners.len()
    }

    pub(crate) fn set_ordered_draining(&mut self, runner: &RunnerId, draining: bool) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.ordered_draining = draining;
        }
    }

    /// For so long nothing could be heard: silence does not count it.
    pub(crate) fn shift_last_seen(&mut self, lapse: Milliseconds, now: Monotonic) {
        for state in self.runners.values_mut() {
            state.last_seen = (state.last_seen + lapse).min(now);
        }
    }

    fn freshness(&self, report: &RunnerReport) -> Freshness {
        let Some(known) = self.runners.get(&report.runner) else {
            return Freshness::New;
        };
        let known = (known.incarnation, known.sequence);
        match (report.incarnation, report.sequence).cmp(&known) {
            std::cmp::Ordering::Less => Freshness::Old,
            std::cmp::Ordering::Equal => Freshness::Repeated,
            std::cmp::Ordering::Greater => Freshness::New,
        }
    }

    fn record_heartbeat(
        &mut self,
        agent: &Sender,
        report: &RunnerReport,
        ordered_draining: bool,
        now: Monotonic,
    ) {
        let state = RunnerState {
            agent: agent.clone(),
            incarnation: report.incarnation,
            sequence: report.sequence,
            last_seen: now,
            self_stop: report.self_stop,
            reports_draining: report.draining,
            ordered_draining,
        };
        self.runners.insert(report.runner.clone(), state);
    }
}

impl Coordinator {
    /// Takes heartbeats, if this process may act as the leader.
    pub(crate) fn report_received(&mut self, now: Now, sender: &Sender, report: AgentReport) {
        if !self.is_serving(now) {
            return;
        }
        let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) else {
            return;
        };
        // Without a session no order could be sent to it: its room would only
        // draw reservations that must be taken back.
        let lease = leader.options.session_lease;
        if !leader
            .sessions
            .is_fresh(sender.address.node, now.monotonic, lease)
        {
            return;
        }
        leader.sessions.record_contact(sender, now.monotonic);
        for report in &report.reports {
            leader.heartbeat(&replica.state_machine, sender, report, now);
        }
    }

    /// Takes answers to orders, if this process may act as the leader.
    pub(crate) fn results_received(
        &mut self,
        now: Now,
        sender: &Sender,
        results: Vec<OrderResult>,
    ) {
        if !self.is_serving(now) {
            return;
        }
        let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) else {
            return;
        };
        leader.sessions.record_contact(sender, now.monotonic);
        for result in &results {
            leader.order_answered(&replica.state_machine, result, now);
        }
    }
}

impl Leader {
    fn heartbeat(
        &mut self,
        state_machine: &StateMachine,
        agent: &Sender,
        report: &RunnerReport,
        now: Now,
    ) {
        if report.unnamed.is_empty() {
            return self.named_heartbeat(state_machine, agent, report, now);
        }
        let mut named = report.clone();
        for unnamed in &report.unnamed {
            if let Some(run) = state_machine.find_open_run(&unnamed.name) {
                give_name(&mut named, run, unnamed);
            }
        }
        self.named_heartbeat(state_machine, agent, &named, now);
    }

    /// Takes a heartbeat that names every open run of the runner.
    fn named_heartbeat(
        &mut self,
        state_machine: &StateMachine,
        agent: &Sender,
        report: &RunnerReport,
        now: Now,
    ) {
        match self.runners.freshness(report) {
            Freshness::Old => return,
            // The answer may have been lost.
            Freshness::Repeated => {}
            Freshness::New => {
                let draining = match self.runners.get(&report.runner) {
                    Some(known) => known.ordered_draining,
                    None => state_machine.draining_runners().contains(&report.runner),
                };
                if self.runners.get(&report.runner).is_none() {
                    self.end_earlier_lives(report);
                }
                self.runners
                    .record_heartbeat(agent, report, draining, now.monotonic);
                self.scheduler.heartbeat(report, now);
                self.placement_due = true;
                self.compare_runs(state_machine, report, now);
            }
        }
        self.confirm(state_machine, agent, report);
    }

    /// A runner heard for the first time stands where another one did: that
    /// one's incarnation is over, and its runs with it.
    fn end_earlier_lives(&mut self, report: &RunnerReport) {
        let Some(place) = &report.endpoint else {
            return;
        };
        let over: Vec<RunId> = self
            .runs
            .iter()
            .filter(|run| run.run.endpoint.as_ref() == Some(place))
            .filter(|run| run.run.runner != report.runner)
            .map(|run| run.run.run)
            .collect();
        for run in over {
            self.close(run, RunClose::Lost);
        }
    }

    /// Compares the runs bound to the runner with what it holds and has ended.
    fn compare_runs(&mut self, state_machine: &StateMachine, report: &RunnerReport, now: Now) {
        let ended: BTreeMap<RunId, &EndedRun> = report
            .ended
            .iter()
            .map(|ended| (ended.run, ended))
            .collect();
        let active: BTreeMap<RunId, &ActiveRun> = report
            .active
            .iter()
            .map(|active| (active.run, active))
            .collect();
        self.take_late_ends(state_machine, report);
        for run in self.runs.of_runner(&report.runner) {
            let Some(tracked) = self.runs.get(run) else {
                continue;
            };
            let bound_to = tracked.run.incarnation;
            if let Some(ended) = ended.get(&run) {
                self.keep_checkpoint(run, ended.checkpoint.as_ref());
                self.close(run, RunClose::Ended(ended.outcome.clone()));
            } else if bound_to < report.incarnation {
                // It died with that incarnation.
                self.close(run, RunClose::Lost);
            } else if let Some(active) = active.get(&run) {
                self.run_active(run, active, now.monotonic);
            } else if bound_to == report.incarnation {
                self.run_absent(state_machine, run, now);
            }
        }
    }

    /// Passes late ends of runs that were given up on to the record. One that
    /// is still under way when the next heartbeat comes is passed on again,
    /// which changes nothing.
    fn take_late_ends(&mut self, state_machine: &StateMachine, report: &RunnerReport) {
        let late = report
            .ended
            .iter()
            .filter(|ended| state_machine.awaits_late_report(ended.run));
        self.closes.extend(late.map(|ended| ClosedRun {
            run: ended.run,
            close: RunClose::Ended(ended.outcome.clone()),
            checkpoint: ended.checkpoint.clone(),
        }));
    }

    fn keep_checkpoint(&mut self, run: RunId, checkpoint: Option<&String>) {
        if let (Some(tracked), Some(checkpoint)) = (self.runs.get_mut(run), checkpoint)
            && tracked.checkpoint.as_ref() != Some(checkpoint)
        {
            tracked.checkpoint = Some(checkpoint.clone());
        }
    }

    fn run_active(&mut self, run: RunId, active: &ActiveRun, now: Monotonic) {
        self.keep_checkpoint(run, active.checkpoint.as_ref());
        let Some(tracked) = self.runs.get_mut(run) else {
            return;
        };
        tracked.phase = Phase::Active;
        if let Some(progress) = active.progress {
            let progress_history = tracked
                .progress_history
                .get_or_insert(ProgressHistory::new(progress, now));
            progress_history.record(progress, now);
        }
        let limit = tracked.run.time_limit + TIME_LIMIT_GRACE;
        if active.age > limit && !tracked.timed_out {
            tracked.timed_out = true;
            self.runs.want_stop(run);
        }
    }

    /// The runner neither holds the run nor has ended it. A start under way
    /// may still land, so that one waits for its answer; any other run cannot
    /// be told from one that never began, and is revoked.
    fn run_absent(&mut self, state_machine: &StateMachine, run: RunId, now: Now) {
        let Some(tracked) = self.runs.get_mut(run) else {
            return;
        };
        if tracked.phase == Phase::Active && !tracked.closing {
            tracked.phase = Phase::Uncertain;
            self.send_revoke(state_machine, run, now.monotonic);
        }
    }

    /// Tells runners at once which of their ends the record has taken, so that
    /// they need not name them until their next heartbeat is answered.
    pub(crate) fn confirm_recorded(&mut self) {
        for (runner, recorded) in std::mem::take(&mut self.recorded) {
            let Some(state) = self.runners.get(&runner) else {
                continue;
            };
            let agent = state.agent.clone();
            let update = RunnerUpdate {
                term: self.identity.term,
                incarnation: state.incarnation,
                confirmed: state.sequence,
                lease: self.timings.run_lease,
                recorded,
                stop: Vec::new(),
                names: Vec::new(),
                runner,
            };
            self.answer(&agent, PeerMessage::RunnerUpdate(update));
        }
    }

    /// Answers a heartbeat: the run lease, ends the record has, runs to stop.
    fn confirm(&mut self, state_machine: &StateMachine, agent: &Sender, report: &RunnerReport) {
        let closed = |run: &RunId| state_machine.open_run(*run).is_none();
        let recorded = |run: &RunId| closed(run) && !state_machine.awaits_late_report(*run);
        let ended = report.ended.iter().map(|ended| ended.run);
        let active = report.active.iter().map(|active| active.run);
        let stop: BTreeSet<RunId> = active.filter(|run| closed(run)).collect();
        let update = RunnerUpdate {
            term: self.identity.term,
            runner: report.runner.clone(),
            incarnation: report.incarnation,
            confirmed: report.sequence,
            lease: self.timings.run_lease,
            recorded: ended.filter(recorded).collect(),
            stop: stop.into_iter().collect(),
            names: report
                .unnamed
                .iter()
                .map(|unnamed| NamedRun {
                    name: unnamed.name.clone(),
                    run: state_machine.find_open_run(&unnamed.name),
                })
                .collect(),
        };
        self.answer(agent, PeerMessage::RunnerUpdate(update));
    }
}

/// Enters a run under its identifier, now that it is found.
fn give_name(report: &mut RunnerReport, run: RunId, unnamed: &UnnamedRun) {
    match &unnamed.outcome {
        Some(outcome) => report.ended.push(EndedRun {
            run,
            outcome: outcome.clone(),
            checkpoint: unnamed.checkpoint.clone(),
        }),
        None => report.active.push(ActiveRun {
            run,
            age: Milliseconds(0),
            progress: unnamed.progress,
            checkpoint: unnamed.checkpoint.clone(),
        }),
    }
}
