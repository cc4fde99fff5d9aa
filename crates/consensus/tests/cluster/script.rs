//! Random faults, drawn from the cluster's seed.

use super::checker::Violation;
use super::{Cluster, Network, socket};
use consensus::{Membership, Mutation};
use rand::Rng;
use types::{LogIndex, NodeId, Term};

/// Machines of a run.
const MACHINES: u64 = 6;
/// First voters; a run has one of these.
const VOTERS: [u64; 4] = [3, 3, 3, 5];
/// Faults and proposals of a run.
const STEPS: u64 = 60;
/// Proposals between two faults, at most; a run keeps to one of them. In an
/// idle cluster all logs are equal, so that only promises decide elections.
const BURSTS: [u64; 3] = [1, 4, 20];
/// Virtual time within which a healed cluster must serve.
pub const HEALING_TIME: u64 = 12_000;

/// What a run did.
#[derive(Debug, Default, Clone, Copy)]
pub struct Outcome {
    pub committed: u64,
    pub elections: u64,
    pub installs: u64,
}

/// Runs a cluster under random faults, heals it and has it serve.
pub fn run_seed(seed: u64, mutation: Option<Mutation>) -> Result<Outcome, Violation> {
    let voters = VOTERS[usize::try_from(seed).unwrap() % VOTERS.len()];
    let mut cluster = Cluster::new(seed, voters, MACHINES, mutation);
    cluster.wait_for_leader()?;
    let burst = BURSTS[cluster.random.random_range(0..BURSTS.len())];
    for step in 0..STEPS {
        for number in 0..cluster.random.random_range(0..burst) {
            cluster.propose(step * burst + number);
        }
        cluster.act();
        cluster.settle()?;
        let pause = cluster.random.random_range(1..600);
        cluster.run(pause)?;
    }
    cluster.heal();
    cluster.checker.check_kept(&cluster.machines)?;
    cluster.must_serve()?;
    Ok(Outcome {
        committed: cluster.checker.last_committed().0,
        elections: cluster.checker.elections,
        installs: cluster.checker.installs,
    })
}

impl Cluster {
    /// Has a fresh command committed and applied by all members in time.
    pub fn must_serve(&mut self) -> Result<(), Violation> {
        let end = self.now + HEALING_TIME;
        let mut proposed: Option<(Term, LogIndex)> = None;
        while self.now < end {
            let term = self.leader().and_then(|id| self.term_of(id));
            // Another leader may have cut off what an earlier one appended.
            if proposed.map(|(term, _)| term) != term {
                proposed = term.zip(self.propose(u64::MAX));
            }
            self.run(50)?;
            if proposed.is_some_and(|(term, index)| self.all_members_applied(term, index)) {
                return Ok(());
            }
        }
        Err(Violation::Stuck)
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

    /// A machine, most often the leader: its faults are the telling ones.
    fn victim(&mut self) -> NodeId {
        let any = self.any_machine();
        match self.leader() {
            Some(leader) if self.random.random_bool(0.5) => leader,
            _ => any,
        }
    }

    /// Does one random thing.
    fn act(&mut self) {
        let victim = self.victim();
        match self.random.random_range(0..17) {
            0 | 1 => self.crash(victim),
            2 | 3 => {
                self.crash(victim);
                self.start(victim);
            }
            4..=6 => self.start_stopped(),
            7 => {
                let length = self.random.random_range(10..4_000);
                self.freeze(victim, length);
            }
            8 => {
                let outwards = self.random.random_bool(0.7);
                self.cut_off(victim, outwards, !outwards);
            }
            9 => {
                let to = self.any_machine();
                self.cuts.insert((victim, to));
                if self.random.random_bool(0.5) {
                    self.cuts.insert((to, victim));
                }
            }
            10 => self.cuts.clear(),
            11 => self.network = Network::BAD,
            12 => self.network = Network::GOOD,
            13 => self.change_membership(),
            14 => self.hand_over(),
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

    fn hand_over(&mut self) {
        let now = self.now;
        if let Some(leader) = self.leader() {
            self.machine(leader).transfer(now);
        }
    }

    /// Moves a random machine one step: in as learner, up to voter, or out.
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
