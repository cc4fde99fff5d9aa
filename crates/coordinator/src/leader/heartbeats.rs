//! Heartbeats of runners: the active and ended runs that an incarnation of a
//! runner reports are reconciled with the open runs.

use crate::leader::Leader;
use crate::leader::run_tracker::TrackedRun;
use crate::leader::runner_registry::Freshness;
use crate::sender::Sender;
use state_machine::{ClosedRun, StateMachine};
use std::collections::{BTreeMap, BTreeSet};
use transport::{AgentReport, NamedRun, PeerMessage, RunnerUpdate};
use types::{ActiveRun, EndedRun, Milliseconds, Now, RunClose, RunId, RunnerReport, UnnamedRun};

impl Leader {
    /// Handles the heartbeats that an agent forwards. They are ignored if the
    /// agent has no session: no order could be sent to it, so reservations on
    /// its runners would have to be withdrawn.
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

    /// Finds the identifiers of runs that the heartbeat lists by name only, then
    /// handles the heartbeat.
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

    /// Handles a heartbeat that lists every open run of the runner by identifier.
    fn receive_named_heartbeat(
        &mut self,
        state_machine: &StateMachine,
        agent: &Sender,
        report: &RunnerReport,
        now: Now,
    ) {
        match self.runners.freshness(report) {
            Freshness::Outdated => return,
            // The answer to the first copy may have been lost.
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

    /// Closes as lost the runs of another runner with the same endpoint as a new
    /// runner, which replaces it.
    fn close_runs_of_replaced_runner(&mut self, report: &RunnerReport) {
        let Some(endpoint) = &report.endpoint else {
            return;
        };
        let lost: Vec<RunId> = self
            .runs
            .iter()
            .map(TrackedRun::open_run)
            .filter(|run| run.endpoint.as_ref() == Some(endpoint))
            .filter(|run| run.runner != report.runner)
            .map(|run| run.run)
            .collect();
        for run in lost {
            self.close_run(run, RunClose::Lost);
        }
    }

    /// Reconciles the open runs of the runner with the active and ended runs
    /// that it reports.
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
        self.propose_late_ends(state_machine, report);
        for run in self.runs.of_runner(&report.runner) {
            let Some(tracked) = self.runs.get(run) else {
                continue;
            };
            let incarnation = tracked.open_run().incarnation;
            if let Some(ended) = ended.get(&run) {
                self.runs.record_checkpoint(run, ended.checkpoint.as_ref());
                self.close_run(run, RunClose::Ended(ended.outcome.clone()));
            } else if incarnation < report.incarnation {
                // The run was lost with its incarnation of the runner.
                self.close_run(run, RunClose::Lost);
            } else if let Some(active) = active.get(&run) {
                self.runs.record_active(run, active, now.monotonic);
            } else if incarnation == report.incarnation && self.runs.record_absent(run) {
                self.send_revoke(state_machine, run, now.monotonic);
            }
        }
    }

    /// Proposes the ends of runs that were closed as lost before their end was
    /// reported. If the next heartbeat arrives before the proposal is applied,
    /// the end is proposed again, which changes nothing.
    fn propose_late_ends(&mut self, state_machine: &StateMachine, report: &RunnerReport) {
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

    /// Answers a heartbeat with the run lease, the ends that are recorded, the
    /// runs to stop and the identifiers of runs listed by name.
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

    /// Confirms newly recorded ends to their runners immediately, so that the
    /// runners need not report them again until their next heartbeat is
    /// answered.
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

/// Adds a run that was listed by name to the active or ended runs of a heartbeat.
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
