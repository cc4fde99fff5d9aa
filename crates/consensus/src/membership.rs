//! Memberships in the log, in the order of their entries.
//!
//! A membership is in force as soon as it is in the log, committed or not, and
//! until its entry is truncated (thesis, 4.1).

use crate::Membership;
use types::LogIndex;

/// A membership with the index of its entry.
#[derive(Debug)]
struct IndexedMembership {
    index: LogIndex,
    membership: Membership,
}

/// The memberships of snapshot and log, oldest first.
#[derive(Debug)]
pub(crate) struct MembershipHistory {
    base: IndexedMembership,
    later: Vec<IndexedMembership>,
}

impl MembershipHistory {
    /// Creates a history that begins with one membership.
    pub fn new(index: LogIndex, membership: Membership) -> Self {
        Self {
            base: IndexedMembership { index, membership },
            later: Vec::new(),
        }
    }

    fn newest(&self) -> &IndexedMembership {
        self.later.last().unwrap_or(&self.base)
    }

    /// Returns the membership in force.
    pub fn current(&self) -> &Membership {
        &self.newest().membership
    }

    /// Returns the index of the entry of the membership in force.
    pub fn current_index(&self) -> LogIndex {
        self.newest().index
    }

    /// Returns the membership in force at `index`; `None` if it is compacted.
    pub fn at(&self, index: LogIndex) -> Option<&Membership> {
        let newest_first = self.later.iter().rev().chain([&self.base]);
        let mut in_force = newest_first.filter(|entry| entry.index <= index);
        in_force.next().map(|entry| &entry.membership)
    }

    /// Adds the membership of a new entry.
    pub fn push(&mut self, index: LogIndex, membership: Membership) {
        self.later.push(IndexedMembership { index, membership });
    }

    /// Removes the memberships of entries from `index` on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        self.later.retain(|entry| entry.index < index);
    }

    /// Removes the memberships before the one in force at `index`.
    pub fn compact(&mut self, index: LogIndex) {
        let covered_count = self.later.partition_point(|entry| entry.index <= index);
        if let Some(base) = self.later.drain(..covered_count).next_back() {
            self.base = base;
        }
    }

    /// Makes a snapshot's membership the base and keeps the memberships of
    /// entries after `index`.
    pub fn install(&mut self, index: LogIndex, membership: Membership) {
        self.later.retain(|entry| entry.index > index);
        self.base = IndexedMembership { index, membership };
    }
}
