//! Start, renewal and loss of leadership, and the leader's periodic work,
//! proposals and messages.

use super::Coordinator;
use crate::effect::Effect;
use crate::leader::{Leader, LeaderIdentity};
use crate::options::Mutation;
use crate::replica::AppliedEntry;
use consensus::RaftRole;
use rand::Rng;
use scheduler::Scheduler;
use transport::PeerMessage;
use types::Now;

impl Coordinator {
    /// Begins, suspends, resumes or ends leadership according to the role and
    /// lease of the consensus node.
    pub(super) fn update_leadership(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let Some(replica) = &self.replica else {
            return;
        };
        let may_serve = self.may_serve(now);
        if self.leader.is_none() && !may_serve {
            return;
        }
        let status = replica.status(now.monotonic);
        let ignores_role = self.options.mutation == Some(Mutation::SkipLeaseCheck);
        let has_role = ignores_role || status.role == RaftRole::Leader;
        if let Some(leader) = &mut self.leader {
            let is_current = has_role && (ignores_role || leader.term() == status.term);
            if !is_current {
                let answers = leader.reject_pending_requests();
                effects.extend(answers.into_iter().map(Effect::from));
                self.leader = None;
                tracing::info!(term = %status.term, "lost leadership");
            }
        }
        match &mut self.leader {
            Some(leader) if leader.is_serving() && !may_serve => {
                tracing::warn!(term = %status.term, "leader lease expired: no quorum answered in time");
                metrics::counter!("cypressdrum_leases_lapsed_total").increment(1);
                leader.suspend();
            }
            Some(leader) if !leader.is_serving() && may_serve => {
                tracing::info!(term = %status.term, "leader lease renewed");
                leader.resume(now.monotonic);
            }
            Some(leader) if may_serve => leader.record_lease_held(now.monotonic),
            Some(_) => {}
            None if may_serve => {
                self.begin_leadership(now);
                self.announce_leadership(now, effects);
            }
            None => {}
        }
    }

    /// Builds the leader of a new term. The lease is valid only once an entry of
    /// the new term is committed, so the state machine has applied all entries of
    /// earlier terms.
    fn begin_leadership(&mut self, now: Now) {
        let Some(replica) = &self.replica else {
            return;
        };
        let identity = LeaderIdentity {
            own: self.own.clone(),
            cluster: replica.cluster(),
            term: replica.status(now.monotonic).term,
        };
        tracing::info!(term = %identity.term, "became leader");
        metrics::counter!("cypressdrum_elections_won_total").increment(1);
        let seed = self.random.random();
        let options = self.options.clone();
        let mut scheduler = Scheduler::new(options.scheduler.clone(), identity.term, seed);
        if options.mutation == Some(Mutation::ScanAll) {
            scheduler.scan_all();
        }
        let state_machine = replica.state_machine();
        let leader = Leader::new(options, identity, state_machine, scheduler, now);
        self.leader = Some(leader);
    }

    /// Announces the new leader to every known gateway and agent, so that they
    /// need not wait for a timeout of the previous one.
    fn announce_leadership(&self, now: Now, effects: &mut Vec<Effect>) {
        let members = self.known_members(now);
        for to in self.directory.other_sockets() {
            effects.push(Effect::Send {
                to,
                message: PeerMessage::Members(members.clone()),
            });
        }
    }

    /// Runs the leader's periodic work that is due, if the lease is valid.
    pub(super) fn run_leader_work(&mut self, now: Now) {
        if !self.is_serving(now) {
            return;
        }
        self.propose_membership_change(now);
        if let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) {
            leader.run_periodic_work(replica.state_machine(), now);
        }
    }

    /// Proposes the next membership change if a check is due and finds one.
    fn propose_membership_change(&mut self, now: Now) {
        let (Some(leader), Some(replica)) = (&mut self.leader, &mut self.replica) else {
            return;
        };
        if !leader.is_membership_check_due(now) {
            return;
        }
        let status = replica.status(now.monotonic);
        let Some(next) = leader.next_membership(&status, now) else {
            return;
        };
        match replica.propose_membership(now.monotonic, next.clone()) {
            Ok(_) => tracing::info!(?next, "membership change proposed"),
            Err(reason) => tracing::debug!(%reason, "membership change not possible yet"),
        }
    }

    /// Queues start orders, places tasks and proposes the collected commands.
    /// Returns whether it proposed any.
    pub(super) fn propose_collected(&mut self, now: Now, effects: &mut Vec<Effect>) -> bool {
        if !self.is_serving(now) {
            return false;
        }
        let (Some(leader), Some(replica)) = (&mut self.leader, &mut self.replica) else {
            return false;
        };
        leader.send_starts(replica.state_machine(), now);
        // The consensus node rejects proposals during a leadership transfer. They
        // remain queued until it ends, usually after one round trip.
        if replica.is_transferring_leadership() {
            return false;
        }
        let proposals = leader.take_proposals(replica.state_machine(), now);
        let has_proposals = !proposals.is_empty();
        for proposal in proposals {
            match replica.propose(now.monotonic, proposal.command()) {
                Some(index) => leader.record_proposed(index, proposal),
                None => leader.withdraw_proposal(replica.state_machine(), proposal, now),
            }
        }
        leader.emit_decisions(effects);
        has_proposals
    }

    /// Sends the messages that the leader collected, if its lease is valid.
    pub(super) fn send_collected(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let is_serving = self.is_serving(now);
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.emit_decisions(effects);
        leader.pack_messages();
        if !is_serving {
            return leader.retain_replies();
        }
        effects.extend(leader.take_messages().into_iter().map(Effect::from));
    }

    /// Passes applied entries to the leader.
    pub(super) fn apply_to_leader(&mut self, now: Now, entries: Vec<AppliedEntry>) {
        let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) else {
            return;
        };
        for entry in entries {
            leader.handle_applied_entry(replica.state_machine(), entry, now);
        }
    }
}
