//! Queues, and the sets of tenant lists from which a pull draws.

use crate::index::{ListIndex, PoolIndex};
use crate::pull::RunKind;
use configuration::QueueMode;
use indexmap::IndexSet;
use rand::Rng;

/// Set of tenant lists that may be drawn. A uniform draw takes constant time.
///
/// A pull draws each member at most once. Drawn members are moved behind the
/// remaining ones, and the caller counts them.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunnableSet {
    members: IndexSet<ListIndex>,
}

impl RunnableSet {
    /// Returns the number of members.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns the members in an arbitrary but deterministic order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = ListIndex> + '_ {
        self.members.iter().copied()
    }

    /// Adds or removes a list.
    pub(crate) fn set(&mut self, list: ListIndex, member: bool) {
        if member {
            self.members.insert(list);
        } else {
            self.members.swap_remove(&list);
        }
    }

    /// Returns the remaining members: all but the last `drawn` ones.
    pub(crate) fn remaining(&self, drawn: usize) -> impl Iterator<Item = ListIndex> + '_ {
        let remaining = self.members.len().saturating_sub(drawn);
        self.members.iter().take(remaining).copied()
    }

    /// Moves one of the remaining members behind them, to those drawn.
    pub(crate) fn mark_drawn(&mut self, list: ListIndex, drawn: usize) {
        let last = self.members.len().saturating_sub(drawn + 1);
        if let Some(chosen) = self.members.get_index_of(&list) {
            self.members.swap_indices(chosen, last);
        }
    }

    /// Draws one of the remaining members uniformly and moves it to those
    /// drawn. Returns `None` when none remains.
    pub(crate) fn draw(&mut self, drawn: usize, random: &mut impl Rng) -> Option<ListIndex> {
        let remaining = self.members.len().checked_sub(drawn)?;
        if remaining == 0 {
            return None;
        }
        let chosen = random.random_range(0..remaining);
        self.members.swap_indices(chosen, remaining - 1);
        self.members.get_index(remaining - 1).copied()
    }
}

/// Queue with its settings and the tenant lists in it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queue {
    /// Pool that runs the queue's work; `None` when the configuration does not
    /// name the queue.
    pub(crate) pool: Option<PoolIndex>,
    pub(crate) mode: QueueMode,
    /// Priority of the queue's work; a lower number is more urgent.
    pub(crate) priority: u8,
    /// Lists in the queue, one for each tenant that has used it.
    pub(crate) lists: Vec<ListIndex>,
    /// Lists with pending tasks, of tenants below their resource limit.
    runnable: RunnableSet,
    /// Lists with copyable tasks, of tenants below their resource limit.
    copyable: RunnableSet,
}

impl Queue {
    /// Returns whether the queue's mode lets tasks start.
    pub(crate) fn starts_tasks(&self) -> bool {
        matches!(self.mode, QueueMode::Active | QueueMode::Draining)
    }

    /// Returns the queue's pool; `None` when its tasks are not started.
    pub(crate) fn starting_pool(&self) -> Option<PoolIndex> {
        self.pool.filter(|_| self.starts_tasks())
    }

    /// Returns the lists that may be drawn for a run of the given kind.
    pub(crate) fn runnable(&self, kind: RunKind) -> &RunnableSet {
        match kind {
            RunKind::Only => &self.runnable,
            RunKind::Copy => &self.copyable,
        }
    }

    /// Returns the lists that may be drawn for a run of the given kind, for a
    /// draw or an update.
    pub(crate) fn runnable_mut(&mut self, kind: RunKind) -> &mut RunnableSet {
        match kind {
            RunKind::Only => &mut self.runnable,
            RunKind::Copy => &mut self.copyable,
        }
    }

    /// Returns the number of lists that the queue's mode lets a pull draw.
    pub(crate) fn drawable_count(&self, kind: RunKind) -> usize {
        match (self.mode, kind) {
            (QueueMode::Paused, _) | (QueueMode::Shadow, RunKind::Copy) => 0,
            (QueueMode::Active | QueueMode::Draining | QueueMode::Shadow, _) => {
                self.runnable(kind).len()
            }
        }
    }
}
