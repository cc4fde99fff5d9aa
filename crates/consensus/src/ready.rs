//! Output of a node, which its caller carries out.

use crate::{Entry, HardState, Outgoing, Snapshot};

/// A batch of output of a node.
///
/// The caller persists `hard_state`, `snapshot` and `entries` with one sync,
/// applies `committed` to the state machine, and sends the messages: `messages`
/// at once, `messages_after_persist` only when the sync is done. Then it calls
/// `Node::persisted` with `number`.
///
/// The caller may take batches before earlier ones are synced. A batch without
/// data to persist counts as persisted when those before it are; calling
/// `Node::persisted` for it earlier would claim theirs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Ready {
    /// Number of this batch; increases by one.
    pub number: u64,
    /// Hard state, when it changed.
    pub hard_state: Option<HardState>,
    /// A snapshot received from the leader: it replaces log and state machine.
    pub snapshot: Option<Snapshot>,
    /// Entries to write; the first may overwrite entries already written.
    pub entries: Vec<Entry>,
    /// Entries to apply in order.
    pub committed: Vec<Entry>,
    /// Messages that promise nothing about the disk.
    pub messages: Vec<Outgoing>,
    /// Messages that promise what this batch persists.
    pub messages_after_persist: Vec<Outgoing>,
}

impl Ready {
    /// Returns whether the batch has data to persist.
    pub fn needs_persist(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }

    /// Returns whether there is nothing to do.
    pub(crate) fn is_empty(&self) -> bool {
        !self.needs_persist()
            && self.committed.is_empty()
            && self.messages.is_empty()
            && self.messages_after_persist.is_empty()
    }
}
