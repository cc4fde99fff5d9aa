//! The memberships in the log.
//!
//! A membership is in force as soon as it is in the log, committed or not, and
//! until its entry is truncated (thesis, 4.1).

use crate::Membership;
use types::LogIndex;

/// A membership and the index of its entry.
#[derive(Debug)]
struct Revision {
    index: LogIndex,
    membership: Membership,
}

/// The memberships of snapshot and log, oldest first.
#[derive(Debug)]
pub(crate) struct MembershipHistory {
    base: Revision,
    later: Vec<Revision>,
}

impl MembershipHistory {
    /// A history that begins with one membership.
    pub fn new(index: LogIndex, membership: Membership) -> Self {
        Self {
            base: Revision { index, membership },
            later: Vec::new(),
        }
    }

    fn newest(&self) -> &Revision {
        self.later.last().unwrap_or(&self.base)
    }

    /// The membership in force.
    pub fn current(&self) -> &Membership {
        &self.newest().membership
    }

    /// Index of the entry of the membership in force.
    pub fn current_index(&self) -> LogIndex {
        self.newest().index
    }

    /// The membership in force at `index`; none if that is compacted.
    pub fn at(&self, index: LogIndex) -> Option<&Membership> {
        let newest_first = self.later.iter().rev().chain([&self.base]);
        let mut revisions = newest_first.filter(|revision| revision.index <= index);
        revisions.next().map(|revision| &revision.membership)
    }

    /// Adds the membership of a new entry.
    pub fn push(&mut self, index: LogIndex, membership: Membership) {
        self.later.push(Revision { index, membership });
    }

    /// Removes the memberships of entries from `index` on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        self.later.retain(|revision| revision.index < index);
    }

    /// Removes the memberships before the one in force at `index`.
    pub fn compact(&mut self, index: LogIndex) {
        let passed = self
            .later
            .partition_point(|revision| revision.index <= index);
        if let Some(base) = self.later.drain(..passed).next_back() {
            self.base = base;
        }
    }

    /// Starts anew from a snapshot's membership, with the log's tail after it.
    pub fn install(&mut self, index: LogIndex, membership: Membership) {
        self.later.retain(|revision| revision.index > index);
        self.base = Revision { index, membership };
    }
}
