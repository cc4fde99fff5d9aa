//! Heartbeats of runners, compared with the runs that are open: what each
//! incarnation of a runner has active and has ended.

use crate::leader::Leader;
use crate::leader::run_tracker::TrackedRun;
use crate::leader::runner_registry::Freshness;
use crate::sender::Sender;
use state_machine::{ClosedRun, StateMachine};
use std::collections::{BTreeMap, BTreeSet};
use transport::{AgentReport, NamedRun, PeerMessage, RunnerUpdate};
use types::{ActiveRun, EndedRun, Milliseconds, Now, RunClose, RunId, RunnerReport, UnnamedRun};

impl Leader {
    /// Takes the heartbeats that an agent passes on. They do not count without
    /// a session: no order could be sent to the agent, so room on its runners
    /// would only draw reservations that must be taken back.
    pub(crate) fn receive_report(
        &mut self,
        state_machine: &StateMachine,
        sender: &Sender,
        report: &AgentReport,
        now: Now,
    ) {
        if !self.sessions.is_live(sender.address.node, now.monotonic) {
            return;
        }
        self.sessions.record_contact(sender, now.monotonic);
        for report in &report.reports {
            self.receive_heartbeat(state_machine, sender, report, now);
        }
    }

    /// Finds the identifiers of runs that the runner knows by name only, then
    /// takes the heartbeat.
    fn receive_heartbeat(
        &mut self,
        state_machine: &StateMachine,
        agent: &Sender,
        report: &RunnerReport,
        now: Now,
    ) {
        if report.unnamed.is_empty() {
            return self.receive_named_heartbeat(state_machine, agent, report, now);
        }
        let mut named = report.clone();
        for unnamed in &report.unnamed {
            if let Some(run) = state_machine.find_open_run(&unnamed.name) {
                add_named_run(&mut named, run, unnamed);
            }
        }
        self.receive_named_heartbeat(state_machine, agent, &named, now);
    }

    /// Takes a heartbeat that names every open run of the runner.
    fn receive_named_heartbeat(
        &mut self,
        state_machine: &StateMachine,
        agent: &Sender,
        report: &RunnerReport,
        now: Now,
    ) {
        match self.runners.freshness(report) {
            Freshness::Outdated => return,
            // The answer may have been lost.
            Freshness::Repeated => {}
            Freshness::New => self.record_heartbeat(state_machine, agent, report, now),
        }
        self.confirm_heartbeat(state_machine, agent, report);
    }

    fn record_heartbeat(
        &mut self,
        state_machine: &StateMachine,
        agent: &Sender,
        report: &RunnerReport,
        now: Now,
    ) {
        let draining = match self.runners.get(&report.runner) {
            Some(known) => known.is_ordered_draining(),
            None => state_machine.draining_runners().contains(&report.runner),
        };
        if !self.runners.contains(&report.runner) {
            self.close_runs_of_replaced_runner(report);
        }
        self.runners
            .record_heartbeat(agent, report, draining, now.monotonic);
        self.scheduler.heartbeat(report, now);
        self.placement.request();
        self.reconcile_runs(state_machine, report, now);
    }

    /// A new runner has the endpoint of another one: that one is gone, and its
    /// runs with it.
    fn close_runs_of_replaced_runner(&mut self, report: &RunnerReport) {
        let Some(endpoint) = &report.endpoint else {
            return;
        };
        let lost: Vec<RunId> = self
            .runs
            .iter()
            .map(TrackedRun::open)
            .filter(|run| run.endpoint.as_ref() == Some(endpoint))
            .filter(|run| run.runner != report.runner)
            .map(|run| run.run)
            .collect();
        for run in lost {
            self.close_run(run, RunClose::Lost);
        }
    }

    /// Reconciles the runs bound to the runner with what it has active and has
    /// ended.
    fn reconcile_runs(&mut self, state_machine: &StateMachine, report: &RunnerReport, now: Now) {
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
        self.close_with_late_ends(state_machine, report);
        for run in self.runs.of_runner(&report.runner) {
            let Some(tracked) = self.runs.get(run) else {
                continue;
            };
            let bound_to = tracked.open().incarnation;
            if let Some(ended) = ended.get(&run) {
                self.runs.record_checkpoint(run, ended.checkpoint.as_ref());
                self.close_run(run, RunClose::Ended(ended.outcome.clone()));
            } else if bound_to < report.incarnation {
                // It died with that incarnation.
                self.close_run(run, RunClose::Lost);
            } else if let Some(active) = active.get(&run) {
                self.runs.record_active(run, active, now.monotonic);
            } else if bound_to == report.incarnation && self.runs.record_absent(run) {
                self.send_revoke(state_machine, run, now.monotonic);
            }
        }
    }

    /// Passes late ends of runs that were closed as lost on to the state
    /// machine. One that is still under way when the next heartbeat comes is
    /// passed on again, which changes nothing.
    fn close_with_late_ends(&mut self, state_machine: &StateMachine, report: &RunnerReport) {
        let late = report
            .ended
            .iter()
            .filter(|ended| state_machine.awaits_late_report(ended.run));
        for ended in late {
            self.proposals.add_close(ClosedRun {
                run: ended.run,
                close: RunClose::Ended(ended.outcome.clone()),
                checkpoint: ended.checkpoint.clone(),
            });
        }
    }

    /// Answers a heartbeat: the run lease, ends that are recorded, runs to stop.
    fn confirm_heartbeat(
        &mut self,
        state_machine: &StateMachine,
        agent: &Sender,
        report: &RunnerReport,
    ) {
        let is_closed = |run: &RunId| state_machine.open_run(*run).is_none();
        let is_recorded = |run: &RunId| is_closed(run) && !state_machine.awaits_late_report(*run);
        let ended = report.ended.iter().map(|ended| ended.run);
        let active = report.active.iter().map(|active| active.run);
        let stop: BTreeSet<RunId> = active.filter(is_closed).collect();
        let update = RunnerUpdate {
            term: self.identity.term,
            runner: report.runner.clone(),
            incarnation: report.incarnation,
            confirmed: report.sequence,
            lease: self.timings.run_lease,
            recorded: ended.filter(is_recorded).collect(),
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
        self.outbox.answer(agent, PeerMessage::RunnerUpdate(update));
    }

    /// Tells runners at once which of their ends are recorded, so that they
    /// need not repeat them until their next heartbeat is answered.
    pub(super) fn confirm_recorded_ends(&mut self) {
        for (runner, recorded) in self.runners.take_recorded_ends() {
            let Some(state) = self.runners.get(&runner) else {
                continue;
            };
            let update = RunnerUpdate {
                term: self.identity.term,
                incarnation: state.incarnation(),
                confirmed: state.sequence(),
                lease: self.timings.run_lease,
                recorded,
                stop: Vec::new(),
                names: Vec::new(),
                runner,
            };
            self.outbox
                .answer(state.agent(), PeerMessage::RunnerUpdate(update));
        }
    }
}

/// Adds a run under its identifier, now that it is found.
fn add_named_run(report: &mut RunnerReport, run: RunId, unnamed: &UnnamedRun) {
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
