//! What must hold after every event.

use super::machine::Machine;
use consensus::{Entry, Payload, RaftRole};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use types::{LogIndex, NodeId, Term};

/// A promise that was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// Two leaders in one term.
    TwoLeaders,
    /// Two nodes held the lease at one moment.
    TwoLeases,
    /// Two state machines applied different entries at one index, or came to
    /// different states.
    Divergence,
    /// An entry was applied out of order.
    Gap,
    /// Two logs agree on an entry and differ before it.
    LogMismatch,
    /// An entry that was committed is in no synced log of a quorum.
    LostEntry,
    /// A leader that a quorum heard was deposed.
    Deposed,
    /// No leader, or no commit, in the time allowed.
    Stuck,
}

#[derive(Default)]
pub struct Checker {
    leaders: BTreeMap<Term, NodeId>,
    /// Term and state after each committed index.
    committed: BTreeMap<LogIndex, (Term, u64)>,
    looks: u64,
    pub elections: u64,
    pub installs: u64,
}

/// The state that follows `state` by applying `entry`.
pub fn digest(state: u64, entry: &Entry) -> u64 {
    let mut hasher = DefaultHasher::new();
    (state, entry.index, entry.term).hash(&mut hasher);
    match &entry.payload {
        Payload::Noop => 0_u8.hash(&mut hasher),
        Payload::Command(command) => command.hash(&mut hasher),
        Payload::Membership(membership) => {
            let voters: Vec<&NodeId> = membership.voters.keys().collect();
            let learners: Vec<&NodeId> = membership.learners.keys().collect();
            (voters, learners).hash(&mut hasher);
        }
    }
    hasher.finish()
}

impl Checker {
    pub fn applied(&mut self, entry: &Entry, state: u64) -> Result<(), Violation> {
        let found = (entry.term, state);
        let known = *self.committed.entry(entry.index).or_insert(found);
        if known == found {
            Ok(())
        } else {
            Err(Violation::Divergence)
        }
    }

    pub fn restored(&mut self, index: LogIndex, state: u64) -> Result<(), Violation> {
        self.installs += 1;
        match self.committed.get(&index) {
            Some((_, known)) if *known == state => Ok(()),
            _ => Err(Violation::Divergence),
        }
    }

    pub fn last_committed(&self) -> LogIndex {
        let last = self.committed.last_key_value();
        last.map_or(LogIndex(0), |(index, _)| *index)
    }

    pub fn committed_term(&self, index: LogIndex) -> Option<Term> {
        self.committed.get(&index).map(|(term, _)| *term)
    }

    pub fn look(
        &mut self,
        now: u64,
        machines: &BTreeMap<NodeId, Machine>,
    ) -> Result<(), Violation> {
        self.look_at_leaders(now, machines)?;
        self.looks += 1;
        if self.looks.is_multiple_of(64) {
            check_log_matching(machines)?;
        }
        Ok(())
    }

    fn look_at_leaders(
        &mut self,
        now: u64,
        machines: &BTreeMap<NodeId, Machine>,
    ) -> Result<(), Violation> {
        for machine in machines.values() {
            let Some(status) = machine.status(now) else {
                continue;
            };
            if status.role != RaftRole::Leader {
                continue;
            }
            let count = &mut self.elections;
            let leader = *self.leaders.entry(status.term).or_insert_with(|| {
                *count += 1;
                machine.id
            });
            if leader != machine.id {
                return Err(Violation::TwoLeaders);
            }
        }
        let holders = machines.values().filter(|m| m.holds_lease(now)).count();
        if holders > 1 {
            Err(Violation::TwoLeases)
        } else {
            Ok(())
        }
    }

    /// The last committed entry must be in some synced log or snapshot; to be
    /// asked when no more writes are under way.
    pub fn check_kept(&self, machines: &BTreeMap<NodeId, Machine>) -> Result<(), Violation> {
        let last = self.last_committed();
        let kept = |m: &Machine| {
            let snapshot = m.disk.snapshot.as_ref().map(|s| s.meta.index);
            snapshot >= Some(last) || m.disk.entries.last().is_some_and(|e| e.index >= last)
        };
        if last == LogIndex(0) || machines.values().any(kept) {
            Ok(())
        } else {
            Err(Violation::LostEntry)
        }
    }
}

fn check_log_matching(machines: &BTreeMap<NodeId, Machine>) -> Result<(), Violation> {
    let logs: Vec<&Vec<Entry>> = machines.values().map(|m| &m.disk.entries).collect();
    for (position, left) in logs.iter().enumerate() {
        for right in logs.iter().skip(position + 1) {
            if !logs_match(left, right) {
                return Err(Violation::LogMismatch);
            }
        }
    }
    Ok(())
}

/// Below the last entry with equal index and term, all entries are equal.
fn logs_match(left: &[Entry], right: &[Entry]) -> bool {
    let other: BTreeMap<LogIndex, &Entry> = right.iter().map(|e| (e.index, e)).collect();
    let mut agreed = false;
    for entry in left.iter().rev() {
        match other.get(&entry.index) {
            Some(same) if same.term == entry.term => {
                agreed = true;
                if *same != entry {
                    return false;
                }
            }
            Some(_) if agreed => return false,
            _ => {}
        }
    }
    true
}
