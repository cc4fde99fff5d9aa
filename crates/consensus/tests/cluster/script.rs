//! Random faults and operations, drawn from the cluster's seed.

use super::checker::Violation;
use super::{Cluster, Network, socket};
use consensus::{Membership, Mutation};
use rand::Rng;
use types::{LogIndex, NodeId, Term};

/// Number of machines in a run.
const MACHINES: u64 = 6;
/// Numbers of voters at the start; a run has one of these.
const VOTERS: [u64; 4] = [3, 3, 3, 5];
/// Steps of a run, each with some proposals and one fault or operation.
const STEPS: u64 = 60;
/// Upper limits of the number of proposals in a step; a run has one of these.
/// In an idle cluster all logs are equal, so that only vote restrictions decide
/// elections.
const MAX_PROPOSALS: [u64; 3] = [1, 4, 20];
/// Virtual time in which a cluster without faults must commit and apply an
/// entry, in milliseconds.
pub const MAX_RECOVERY_MS: u64 = 12_000;

/// Counts of what happened in a run.
#[derive(Debug, Default, Clone, Copy)]
pub struct Outcome {
    pub committed: u64,
    pub elections: u64,
    pub installs: u64,
}

/// Runs a cluster under random faults, then removes the faults and checks that
/// it makes progress.
pub fn run_seed(seed: u64, mutation: Option<Mutation>) -> Result<Outcome, Violation> {
    let voters = VOTERS[usize::try_from(seed).unwrap() % VOTERS.len()];
    let mut cluster = Cluster::new(seed, voters, MACHINES, mutation);
    cluster.wait_for_leader()?;
    let max_proposals = MAX_PROPOSALS[cluster.random.random_range(0..MAX_PROPOSALS.len())];
    for step in 0..STEPS {
        for number in 0..cluster.random.random_range(0..max_proposals) {
            cluster.propose(step * max_proposals + number);
        }
        cluster.perform_random_action();
        cluster.process_output()?;
        let pause = cluster.random.random_range(1..600);
        cluster.run(pause)?;
    }
    cluster.heal();
    cluster.checker.check_last_entry_kept(&cluster.machines)?;
    cluster.check_progress()?;
    Ok(Outcome {
        committed: cluster.checker.last_committed().0,
        elections: cluster.checker.elections,
        installs: cluster.checker.installs,
    })
}

impl Cluster {
    /// Checks that a new command is committed, and applied by all members,
    /// within [`MAX_RECOVERY_MS`].
    pub fn check_progress(&mut self) -> Result<(), Violation> {
        let end = self.now + MAX_RECOVERY_MS;
        let mut proposed: Option<(Term, LogIndex)> = None;
        while self.now < end {
            let term = self.leader().and_then(|id| self.term_of(id));
            // A new leader may have truncated the entry of an earlier one.
            if proposed.map(|(term, _)| term) != term {
                proposed = term.zip(self.propose(u64::MAX));
            }
            self.run(50)?;
            if proposed.is_some_and(|(term, index)| self.all_members_applied(term, index)) {
                return Ok(());
            }
        }
        Err(Violation::NoProgress)
    }

    fn term_of(&self, id: NodeId) -> Option<Term> {
        Some(self.machines.get(&id)?.status(self.now)?.term)
    }

    fn all_members_applied(&self, term: Term, index: LogIndex) -> bool {
        if self.checker.committed_term(index) != Some(term) {
            return false;
        }
        let Some(membership) = self.current_membership() else {
            return false;
        };
        let voters = membership.voters.keys();
        let mut members = voters.chain(membership.learners.keys());
        members.all(|id| self.applied(*id) >= index)
    }

    pub fn current_membership(&self) -> Option<Membership> {
        let leader = self.leader()?;
        Some(self.machines.get(&leader)?.status(self.now)?.membership)
    }

    fn any_machine(&mut self) -> NodeId {
        NodeId(self.random.random_range(1..=MACHINES))
    }

    /// Returns a random machine, in more than half of the cases the leader: its
    /// faults cause the most transitions.
    fn random_target(&mut self) -> NodeId {
        let any = self.any_machine();
        match self.leader() {
            Some(leader) if self.random.random_bool(0.5) => leader,
            _ => any,
        }
    }

    /// Causes one random fault, recovery or operation.
    fn perform_random_action(&mut self) {
        let machine = self.random_target();
        match self.random.random_range(0..17) {
            0 | 1 => self.crash(machine),
            2 | 3 => {
                self.crash(machine);
                self.start(machine);
            }
            4..=6 => self.start_stopped(),
            7 => {
                let length = self.random.random_range(10..4_000);
                self.freeze(machine, length);
            }
            8 => {
                let outgoing = self.random.random_bool(0.7);
                self.isolate(machine, outgoing, !outgoing);
            }
            9 => {
                let to = self.any_machine();
                self.cuts.insert((machine, to));
                if self.random.random_bool(0.5) {
                    self.cuts.insert((to, machine));
                }
            }
            10 => self.cuts.clear(),
            11 => self.network = Network::FAULTY,
            12 => self.network = Network::RELIABLE,
            13 => self.change_membership(),
            14 => self.transfer_leadership(),
            15 => self.lose_power(),
            _ => self.compact_some(),
        }
    }

    fn start_stopped(&mut self) {
        let stopped = self.machines.values().filter(|m| m.node.is_none());
        let ids: Vec<NodeId> = stopped.map(|m| m.id).collect();
        for id in ids {
            if self.random.random_bool(0.7) {
                self.start(id);
            }
        }
    }

    fn lose_power(&mut self) {
        for id in 1..=MACHINES {
            self.crash(NodeId(id));
        }
        self.start_stopped();
    }

    fn compact_some(&mut self) {
        let now = self.now;
        for machine in self.machines.values_mut() {
            machine.compact(now);
        }
    }

    fn transfer_leadership(&mut self) {
        let now = self.now;
        if let Some(leader) = self.leader() {
            self.machine(leader).transfer(now);
        }
    }

    /// Changes the membership of a random machine: a machine that is no member
    /// becomes a learner, a learner becomes a voter, and a voter is removed if
    /// more than two voters exist.
    fn change_membership(&mut self) {
        let Some(mut next) = self.current_membership() else {
            return;
        };
        let id = self.any_machine();
        if next.learners.remove(&id).is_some() {
            next.voters.insert(id, socket(id));
        } else if next.voters.contains_key(&id) {
            if next.voters.len() > 2 {
                next.voters.remove(&id);
            }
        } else {
            next.learners.insert(id, socket(id));
        }
        let now = self.now;
        if let Some(leader) = self.leader() {
            self.machine(leader).propose_membership(now, next);
        }
    }
}
