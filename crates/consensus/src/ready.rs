//! Output of a node, to be carried out by its caller.

use crate::{Entry, HardState, Outgoing, Snapshot};

/// One batch of a node's output.
///
/// The caller persists `hard_state`, `snapshot` and `entries` with one sync,
/// applies `committed` to the state machine, and sends the messages: `messages`
/// at once, `messages_after_persist` only when the sync is done. Then it calls
/// `Node::persisted` with `number`.
///
/// The caller may take batches before earlier ones are synced. A batch without
/// data to persist counts as persisted once all batches before it are. To call
/// `Node::persisted` for it earlier would report those batches as synced too
/// soon.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Ready {
    /// Number of this batch; the first is 1, and each later one is higher by
    /// one.
    pub number: u64,
    /// Hard state to write; `None` if none needs to be written.
    pub hard_state: Option<HardState>,
    /// Snapshot received from the leader, which replaces the log and the state
    /// machine; `None` if none was received.
    pub snapshot: Option<Snapshot>,
    /// Entries to write; the first may overwrite entries already written.
    pub entries: Vec<Entry>,
    /// Entries to apply in order.
    pub committed: Vec<Entry>,
    /// Messages that do not depend on a sync.
    pub messages: Vec<Outgoing>,
    /// Messages that depend on the data of this batch, or of an earlier one,
    /// being synced.
    pub messages_after_persist: Vec<Outgoing>,
}

impl Ready {
    /// Returns whether the batch has data to persist.
    pub fn needs_persist(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }

    /// Returns whether the batch has nothing to persist, apply or send.
    pub(crate) fn is_empty(&self) -> bool {
        !self.needs_persist()
            && self.committed.is_empty()
            && self.messages.is_empty()
            && self.messages_after_persist.is_empty()
    }
}
