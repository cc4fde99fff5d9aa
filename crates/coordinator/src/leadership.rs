//! Election, rebuild, service and stepping down.

use crate::audit;
use crate::core::{Effect, Mutation};
use crate::leader::{Leader, LeaderIdentity, Rebuild, Waiting};
use crate::replica::AppliedEntry;
use crate::requests::{rejection_uncertain, reply_of};
use crate::{Coordinator, placement};
use consensus::RaftRole;
use rand::Rng;
use scheduler::Scheduler;
use state_machine::{Change, Command, CommandReply};
use transport::{OperationReply, PeerMessage, Reply};
use types::{JobNumber, LogIndex, Milliseconds, Now};

/// Time between two looks at runs, sessions and waiting requests.
const SWEEP_INTERVAL: Milliseconds = Milliseconds(100);
/// Time between two readings of the gauges.
const GAUGE_INTERVAL: Milliseconds = Milliseconds(1_000);
/// Jobs published in one step of the rebuild.
const REBUILD_JOBS: usize = 512;

impl Coordinator {
    /// Brings the leader's view in line with the node's role and lease.
    pub(crate) fn follow_leadership(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let Some(replica) = &self.replica else {
            return;
        };
        let may_serve = self.may_serve(now);
        if self.leader.is_none() && !may_serve {
            return;
        }
        let status = replica.node.status(now.monotonic);
        let same_term = |leader: &Leader| leader.identity.term == status.term;
        let keeps = self.options.mutation == Some(Mutation::SkipLeaseCheck);
        let is_leader = status.role == RaftRole::Leader || keeps;
        let current = self.leader.as_ref().is_some_and(same_term) || keeps;
        if self.leader.is_some() && !(is_leader && current) {
            self.reject_waiting(effects);
            self.leader = None;
            tracing::info!(term = %status.term, "lost leadership");
        }
        match &mut self.leader {
            Some(leader) if leader.serving && !may_serve => {
                tracing::warn!(term = %status.term, "leader lease expired: no quorum answered in time");
                metrics::counter!("cypressdrum_leases_lapsed_total").increment(1);
                leader.suspend();
            }
            Some(leader) if !leader.serving && may_serve => {
                tracing::info!(term = %status.term, "leader lease renewed");
                leader.resume(now.monotonic);
            }
            Some(leader) if may_serve => leader.record_served(now.monotonic),
            Some(_) => {}
            None if may_serve => {
                self.begin_leading(now);
                self.announce_leadership(now, effects);
            }
            None => {}
        }
    }

    /// Builds the view of a new leader. The node's lease holds, so an entry of
    /// its own term is committed and the record has everything before it.
    fn begin_leading(&mut self, now: Now) {
        let Some(replica) = &self.replica else {
            return;
        };
        let identity = LeaderIdentity {
            own: self.own.clone(),
            cluster: replica.cluster,
            term: replica.node.status(now.monotonic).term,
        };
        tracing::info!(term = %identity.term, "became leader");
        metrics::counter!("cypressdrum_elections_won_total").increment(1);
        let seed = self.random.random();
        let options = self.options.clone();
        let mut scheduler = Scheduler::new(options.scheduler.clone(), identity.term, seed);
        if options.mutation == Some(Mutation::ScanAll) {
            scheduler.scan_all();
        }
        let state_machine = &replica.state_machine;
        self.leader = Some(Leader::new(
            options,
            identity,
            state_machine,
            scheduler,
            now,
        ));
    }

    /// Tells every gateway and agent known who leads, so that none has to wait
    /// until it misses the old leader.
    fn announce_leadership(&self, now: Now, effects: &mut Vec<Effect>) {
        let members = self.member_view(now);
        for to in self.directory.other_sockets() {
            effects.push(Effect::Send {
                to,
                message: PeerMessage::Members(members.clone()),
            });
        }
    }

    /// Answers every waiting request at once that it cannot be served here.
    fn reject_waiting(&mut self, effects: &mut Vec<Effect>) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        for request in leader.requests.take_all() {
            let reply = PeerMessage::Reply(Reply {
                id: request.id,
                result: Err(rejection_uncertain()),
            });
            let (to, message) = request.sender.answer(&self.own, reply);
            effects.push(Effect::Send { to, message });
        }
    }

    /// The leader's duties that hang on time.
    pub(crate) fn lead(&mut self, now: Now) {
        if !self.is_serving(now) {
            return;
        }
        self.drive_membership(now);
        let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) else {
            return;
        };
        let state_machine = &replica.state_machine;
        leader.rebuild_slice(state_machine, now);
        if now.monotonic >= leader.timers.sweep {
            leader.timers.sweep = now.monotonic + SWEEP_INTERVAL;
            leader.placement_due = true;
            leader.requests.drop_late(now.monotonic);
            leader.expire_sessions(now.monotonic);
            leader.sweep_runs(state_machine, now);
            leader.release_due(state_machine, now);
        }
        audit::audit_when_due(leader, state_machine, now);
        audit::forget_when_due(leader, state_machine, now);
        if now.monotonic >= leader.timers.gauges {
            leader.timers.gauges = now.monotonic + GAUGE_INTERVAL;
            leader.read_gauges(state_machine);
        }
    }

    /// Last step of a round: sends starts, places, and proposes what was
    /// collected. True when something was proposed.
    pub(crate) fn propose_collected(&mut self, now: Now, effects: &mut Vec<Effect>) -> bool {
        if !self.is_serving(now) {
            return false;
        }
        let (Some(leader), Some(replica)) = (&mut self.leader, &mut self.replica) else {
            return false;
        };
        leader.start_reserved(&replica.state_machine, now);
        // What the log does not take while leadership is handed over waits: most
        // often for one round trip.
        if replica.node.is_handing_over() {
            return false;
        }
        // What ended goes first: a late done end must be in the log before
        // its task could be reserved again.
        leader.propose_closes(now);
        placement::place(leader, &replica.state_machine, now);
        let proposals = std::mem::take(&mut leader.proposals);
        let any = !proposals.is_empty();
        for proposal in proposals {
            let index = proposal
                .command
                .encode()
                .ok()
                .and_then(|bytes| replica.node.propose(now.monotonic, bytes).ok());
            match index {
                Some(index) => leader.proposed(index, proposal.waiting, &proposal.command),
                None => leader.not_proposed(
                    &replica.state_machine,
                    proposal.waiting,
                    &proposal.command,
                    now,
                ),
            }
        }
        leader.emit_decisions(effects);
        any
    }

    /// Lets out what the leader collected, if its lease holds at this moment.
    pub(crate) fn send_collected(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let serving = self.is_serving(now);
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.emit_decisions(effects);
        leader.pack_orders();
        leader.confirm_recorded();
        if !serving {
            return leader.keep_replies();
        }
        let messages = std::mem::take(&mut leader.messages);
        effects.extend(
            messages
                .into_iter()
                .map(|(to, message)| Effect::Send { to, message }),
        );
    }

    /// Tells the leader what the record changed.
    pub(crate) fn entries_applied(&mut self, now: Now, entries: Vec<AppliedEntry>) {
        let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) else {
            return;
        };
        for entry in entries {
            for change in entry.applied.changes {
                leader.changed(&replica.state_machine, change, now);
            }
            let own_term = entry.term == leader.identity.term;
            match leader.waiting.remove(&entry.index) {
                Some(waiting) if own_term => leader.replied(waiting, entry.applied.reply, now),
                _ => {}
            }
        }
    }
}

impl Leader {
    /// Publishes a slice of the record's ready tasks.
    fn rebuild_slice(&mut self, state_machine: &state_machine::StateMachine, now: Now) {
        let Rebuild::After(after) = self.rebuild else {
            return;
        };
        let ready = state_machine.ready_tasks(after, REBUILD_JOBS);
        let last: Option<JobNumber> = ready.iter().map(|meta| meta.task.job).max();
        for meta in ready {
            self.scheduler.publish(meta, now);
        }
        self.rebuild = match last {
            Some(last) => Rebuild::After(Some(last)),
            None => Rebuild::Done,
        };
        self.placement_due = true;
    }

    /// An entry of this leader is in the log.
    fn proposed(&mut self, index: LogIndex, waiting: Waiting, command: &Command) {
        if self.has_mutation(Mutation::AcknowledgeBeforeCommit)
            && let (Waiting::Request(key), Command::Submit { .. }) = (&waiting, command)
            && let Some(request) = self.requests.take(*key)
        {
            let reply = OperationReply::Submitted {
                number: JobNumber(0),
                known: false,
            };
            self.reply(&request.sender, request.id, Ok(reply));
            return;
        }
        if let Waiting::Reservations(chosen) = &waiting {
            self.reservations_in_flight += chosen.len();
        }
        self.waiting.insert(index, waiting);
    }

    /// The node took no entry: it is handing over or has lost its role.
    fn not_proposed(
        &mut self,
        state_machine: &state_machine::StateMachine,
        waiting: Waiting,
        command: &Command,
        now: Now,
    ) {
        self.reject_unproposed(waiting);
        match command {
            Command::CloseRuns { runs, .. } => {
                for closed in runs {
                    self.runs.close_failed(closed.run);
                }
            }
            Command::Reserve { reservations, .. } => {
                for reservation in reservations {
                    self.release(state_machine, reservation.run, reservation.task, now);
                }
            }
            _ => {}
        }
    }

    /// The record answered an entry of this leader.
    fn replied(&mut self, waiting: Waiting, reply: CommandReply, now: Now) {
        match waiting {
            Waiting::Nobody => {}
            Waiting::Reservations(chosen) => {
                self.reservations_in_flight =
                    self.reservations_in_flight.saturating_sub(chosen.len());
                self.placement_due = true;
                if let CommandReply::Reserved { accepted, rejected } = reply {
                    self.to_start.extend(accepted);
                    self.release_rejected(&chosen, rejected, now);
                }
            }
            Waiting::Request(key) => {
                if let Some(request) = self.requests.take(key) {
                    let result = reply_of(reply, request.declares_lost);
                    self.reply(&request.sender, request.id, result);
                }
            }
        }
    }

    fn changed(&mut self, state_machine: &state_machine::StateMachine, change: Change, now: Now) {
        self.placement_due = true;
        match change {
            Change::TaskReady(meta) => {
                self.scheduler.publish(meta, now);
            }
            Change::TaskEnded { task, open_runs } => {
                self.scheduler.remove(task);
                for run in open_runs {
                    self.runs.want_stop(run.run);
                }
            }
            Change::RunsObsolete(runs) => {
                for run in runs {
                    self.runs.want_stop(run);
                }
            }
            Change::RunOpened(run) => self.runs.reserved(run, now.monotonic),
            Change::RunClosed { run, close, again } => {
                self.run_closed(state_machine, run, close, again, now)
            }
            Change::JobEnded {
                key, state, waited, ..
            } => self.job_ended(state_machine, key, state, waited, now),
            Change::ConfigurationChanged(_) => self.configuration_changed(state_machine),
            Change::RunnerDrainingChanged { runner, draining } => {
                self.scheduler.set_draining(&runner, draining);
                self.runners.set_ordered_draining(&runner, draining);
            }
        }
    }

    fn read_gauges(&self, state_machine: &state_machine::StateMachine) {
        metrics::gauge!("cypressdrum_unfinished_jobs").set(state_machine.unfinished_jobs() as f64);
        metrics::gauge!("cypressdrum_open_runs").set(self.runs.len() as f64);
        metrics::gauge!("cypressdrum_sessions").set(self.sessions.len() as f64);
        metrics::gauge!("cypressdrum_runners").set(self.runners.len() as f64);
        metrics::gauge!("cypressdrum_waiting_requests").set(self.requests.len() as f64);
    }
}
