//! Handling of applied log entries: changes of the state machine update the
//! state of the leader, and replies answer the requests that proposed them.

use crate::leader::Leader;
use crate::leader::proposals::{Proposal, ProposalOrigin};
use crate::leader::rejections::{answer_from_reply, unavailable};
use crate::options::Mutation;
use crate::replica::AppliedEntry;
use state_machine::{Change, Command, CommandReply, StateMachine};
use transport::{DecisionEvent, OperationReply, PeerMessage};
use types::{JobKey, JobNumber, JobState, LogIndex, Milliseconds, Now, Role};

impl Leader {
    /// Handles an entry that was applied to the state machine.
    pub(crate) fn handle_applied_entry(
        &mut self,
        state_machine: &StateMachine,
        entry: AppliedEntry,
        now: Now,
    ) {
        for change in entry.applied.changes {
            self.handle_change(state_machine, change, now);
        }
        let is_own = entry.term == self.identity.term;
        if let Some(origin) = self.proposals.remove(entry.index)
            && is_own
        {
            self.handle_reply(origin, entry.applied.reply, now);
        }
    }

    /// Records that the consensus node accepted a proposal at `index`.
    pub(crate) fn record_proposed(&mut self, index: LogIndex, proposal: Proposal) {
        let Proposal { command, origin } = proposal;
        if self.has_mutation(Mutation::AcknowledgeBeforeCommit)
            && let (ProposalOrigin::Request(key), Command::Submit { .. }) = (&origin, &command)
            && let Some(request) = self.requests.remove(*key)
        {
            let reply = OperationReply::Submitted {
                number: JobNumber(0),
                known: false,
            };
            self.outbox.reply(&request.sender, request.id, Ok(reply));
            return;
        }
        if let ProposalOrigin::Placement(reservations) = &origin {
            self.placement.add_in_flight(reservations.len());
        }
        self.proposals.record_index(index, origin);
    }

    /// Withdraws a proposal that the consensus node did not accept, because it
    /// is transferring leadership or has lost it.
    pub(crate) fn withdraw_proposal(
        &mut self,
        state_machine: &StateMachine,
        proposal: Proposal,
        now: Now,
    ) {
        self.reject_unproposed(&proposal.origin);
        match proposal.command {
            Command::CloseRuns { runs, .. } => {
                for closed in runs {
                    self.runs.cancel_close(closed.run);
                }
            }
            Command::Reserve { reservations, .. } => {
                for reservation in reservations {
                    self.release(state_machine, reservation.run, reservation.task, now);
                }
            }
            Command::Submit { .. }
            | Command::SubmitByEntry { .. }
            | Command::Cancel { .. }
            | Command::CancelAccessible { .. }
            | Command::PutConfiguration { .. }
            | Command::UpdateConfiguration { .. }
            | Command::SetRunnerDraining { .. }
            | Command::Forget { .. } => {}
        }
    }

    /// Rejects the request, if any, whose command was not proposed.
    pub(super) fn reject_unproposed(&mut self, origin: &ProposalOrigin) {
        if let ProposalOrigin::Request(key) = origin
            && let Some(request) = self.requests.remove(*key)
        {
            self.outbox
                .reply(&request.sender, request.id, Err(unavailable()));
        }
    }

    /// Handles the state machine's reply to an entry of this leader.
    fn handle_reply(&mut self, origin: ProposalOrigin, reply: CommandReply, now: Now) {
        match origin {
            ProposalOrigin::Internal => {}
            ProposalOrigin::Placement(reservations) => {
                self.placement.finish_in_flight(reservations.len());
                if let CommandReply::Reserved { accepted, rejected } = reply {
                    self.runs.queue_starts(accepted);
                    self.release_rejected(&reservations, rejected, now);
                }
            }
            ProposalOrigin::Request(key) => {
                if let Some(request) = self.requests.remove(key) {
                    let result = answer_from_reply(reply, request.declares_lost);
                    self.outbox.reply(&request.sender, request.id, result);
                }
            }
        }
    }

    /// Handles a change of the state machine, proposed by this leader or an
    /// earlier one.
    fn handle_change(&mut self, state_machine: &StateMachine, change: Change, now: Now) {
        self.placement.request();
        match change {
            Change::TaskReady(meta) => {
                self.scheduler.publish(meta, now);
            }
            Change::TaskEnded { task, open_runs } => {
                self.scheduler.remove(task);
                for run in open_runs {
                    self.runs.request_stop(run.run);
                }
            }
            Change::RunsObsolete(runs) => {
                for run in runs {
                    self.runs.request_stop(run);
                }
            }
            Change::RunOpened(run) => self.runs.add_reserved(run, now.monotonic),
            Change::RunClosed { run, close, retry } => {
                self.handle_run_closed(state_machine, run, close, retry, now);
            }
            Change::JobEnded {
                key, state, waited, ..
            } => self.handle_job_end(state_machine, key, state, waited, now),
            Change::ConfigurationChanged(_) => self.handle_configuration_change(state_machine),
            Change::RunnerDrainingChanged { runner, draining } => {
                self.scheduler.set_draining(&runner, draining);
                self.runners.set_ordered_draining(&runner, draining);
            }
        }
    }

    /// Counts a job that reached a final state.
    fn handle_job_end(
        &mut self,
        state_machine: &StateMachine,
        key: JobKey,
        state: JobState,
        waited: Option<Milliseconds>,
        now: Now,
    ) {
        let settings = state_machine.configuration().1.tenants.get(&key.tenant);
        let late_after = settings.map(|settings| settings.error_budget.late_after);
        self.budgets
            .record_job_end(&key.tenant, state, waited, late_after);
        let at = now.wall;
        self.decisions
            .record(Some(key), DecisionEvent::JobEnded { state, at });
        metrics::counter!("cypressdrum_jobs_ended_total").increment(1);
    }

    /// Applies a new configuration to the scheduler and sends it to every
    /// gateway and agent with a session.
    fn handle_configuration_change(&mut self, state_machine: &StateMachine) {
        let (version, document) = state_machine.configuration();
        self.timings = document.timings.clone();
        self.scheduler.configure(document);
        for sender in self.sessions.senders() {
            if sender.address.role != Role::Coordinator {
                let document = document.clone();
                self.outbox
                    .answer(&sender, PeerMessage::Configuration { version, document });
            }
        }
    }
}
