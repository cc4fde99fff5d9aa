//! Checker of the Raft invariants, run after every event.

use super::machine::Machine;
use consensus::{Entry, Payload, RaftRole};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use types::{LogIndex, NodeId, Term};

/// An invariant that was violated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// Two nodes were leader in one term.
    TwoLeaders,
    /// Two nodes held the lease at the same time.
    TwoLeases,
    /// Two state machines applied different entries at one index, or reached
    /// different states.
    Divergence,
    /// An entry was applied out of order.
    AppliedOutOfOrder,
    /// Two logs have the same entry at one index and differ before it.
    LogMismatch,
    /// The last committed entry is in no log or snapshot on disk.
    LostEntry,
    /// The term changed although a quorum replied to the leader.
    Deposed,
    /// No leader was elected, or no entry committed, within the time allowed.
    NoProgress,
}

#[derive(Default)]
pub struct Checker {
    leaders: BTreeMap<Term, NodeId>,
    /// Term and state after each committed index.
    committed: BTreeMap<LogIndex, (Term, u64)>,
    checks: u64,
    pub elections: u64,
    pub installs: u64,
}

/// Returns the state machine's state after `entry` is applied to `state`.
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
    pub fn record_applied(&mut self, entry: &Entry, state: u64) -> Result<(), Violation> {
        let found = (entry.term, state);
        let known = *self.committed.entry(entry.index).or_insert(found);
        if known == found {
            Ok(())
        } else {
            Err(Violation::Divergence)
        }
    }

    pub fn record_restored(&mut self, index: LogIndex, state: u64) -> Result<(), Violation> {
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

    pub fn check(
        &mut self,
        now: u64,
        machines: &BTreeMap<NodeId, Machine>,
    ) -> Result<(), Violation> {
        self.check_leaders(now, machines)?;
        self.checks += 1;
        if self.checks.is_multiple_of(64) {
            check_log_matching(machines)?;
        }
        Ok(())
    }

    fn check_leaders(
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

    /// Checks that the last committed entry is in some log or snapshot on disk.
    /// To be called when no writes are in progress.
    pub fn check_last_entry_kept(
        &self,
        machines: &BTreeMap<NodeId, Machine>,
    ) -> Result<(), Violation> {
        let last = self.last_committed();
        let has_last = |m: &Machine| {
            let snapshot = m.disk.snapshot.as_ref().map(|s| s.meta.index);
            snapshot >= Some(last) || m.disk.entries.last().is_some_and(|e| e.index >= last)
        };
        if last == LogIndex(0) || machines.values().any(has_last) {
            Ok(())
        } else {
            Err(Violation::LostEntry)
        }
    }
}

fn check_log_matching(machines: &BTreeMap<NodeId, Machine>) -> Result<(), Violation> {
    let logs: Vec<&Vec<Entry>> = machines.values().map(|m| &m.disk.entries).collect();
    for (position, first) in logs.iter().enumerate() {
        for second in logs.iter().skip(position + 1) {
            if !logs_match(first, second) {
                return Err(Violation::LogMismatch);
            }
        }
    }
    Ok(())
}

/// Returns whether all entries are equal before the last one with equal index
/// and term (Log Matching Property, thesis, 3.5).
fn logs_match(first: &[Entry], second: &[Entry]) -> bool {
    let second_by_index: BTreeMap<LogIndex, &Entry> = second.iter().map(|e| (e.index, e)).collect();
    let mut found_equal = false;
    for entry in first.iter().rev() {
        match second_by_index.get(&entry.index) {
            Some(counterpart) if counterpart.term == entry.term => {
                found_equal = true;
                if *counterpart != entry {
                    return false;
                }
            }
            Some(_) if found_equal => return false,
            _ => {}
        }
    }
    true
}
