//! Tenant lists: the tasks of one tenant in one queue.

use crate::decision::NotPlacedReason;
use crate::demand::Demand;
use crate::head::TaskOrder;
use crate::index::{QueueIndex, TenantIndex};
use crate::pending::PendingList;
use crate::pull::RunKind;
use crate::shape::IndexedShape;
use crate::task::{StatusChange, TaskStatus};
use std::collections::BTreeSet;
use types::{Monotonic, TaskRef};

/// Tasks of one tenant in one queue.
#[derive(Debug, Clone)]
pub(crate) struct TenantList {
    pub(crate) queue: QueueIndex,
    pub(crate) tenant: TenantIndex,
    /// Whether every task examined would exceed the tenant's resource limit.
    /// The list is not drawn again until the list, the limit or the usage changes.
    pub(crate) above_limit: bool,
    /// Whether some of those tasks are blocked only by the headroom for more
    /// urgent work, which shrinks with time.
    pub(crate) limited_by_headroom: bool,
    /// Resources of the list's waiting tasks and open runs, now and at their
    /// recent peak.
    pub(crate) demand: Demand,
    /// Time at which a task of the list was last placed; the creation of the
    /// list before the first placement.
    pub(crate) last_placed_at: Monotonic,
    /// Reason reported last for the list's first task; `None` when nothing
    /// prevented its start.
    pub(crate) last_reason: Option<NotPlacedReason>,
    /// Tasks without a run that may start now.
    pending: PendingList,
    /// Running tasks that may have a further copy.
    copyable: PendingList,
    /// Tasks of gangs that may start together with the others.
    in_gang: PendingList,
    /// Tasks that a queue in shadow mode has decided on.
    shadowed: BTreeSet<TaskRef>,
    waiting_since: Monotonic,
}

impl TenantList {
    /// Creates an empty list.
    pub(crate) fn new(queue: QueueIndex, tenant: TenantIndex, now: Monotonic) -> Self {
        Self {
            queue,
            tenant,
            above_limit: false,
            limited_by_headroom: false,
            demand: Demand::default(),
            last_placed_at: now,
            last_reason: None,
            pending: PendingList::default(),
            copyable: PendingList::default(),
            in_gang: PendingList::default(),
            shadowed: BTreeSet::new(),
            waiting_since: now,
        }
    }

    /// Returns the tasks without a run that may start now.
    pub(crate) fn pending(&self) -> &PendingList {
        &self.pending
    }

    /// Returns the running tasks that may have a further copy.
    pub(crate) fn copyable(&self) -> &PendingList {
        &self.copyable
    }

    /// Returns the tasks of gangs that may start together with the others.
    pub(crate) fn in_gang(&self) -> &PendingList {
        &self.in_gang
    }

    /// Returns the tasks that may have a run of the given kind.
    pub(crate) fn startable(&self, kind: RunKind) -> &PendingList {
        match kind {
            RunKind::Only => &self.pending,
            RunKind::Copy => &self.copyable,
        }
    }

    /// Returns the tasks that a queue in shadow mode has decided on.
    pub(crate) fn shadowed(&self) -> &BTreeSet<TaskRef> {
        &self.shadowed
    }

    /// Returns the time since which the list has had a pending task without a
    /// break.
    pub(crate) fn waiting_since(&self) -> Monotonic {
        self.waiting_since
    }

    /// Applies the change of a task's status to the demand and the task lists.
    /// `waiting_since` is the start of the task's current wait.
    pub(crate) fn apply_status_change(
        &mut self,
        order: TaskOrder,
        shape: IndexedShape<'_>,
        waiting_since: Monotonic,
        change: StatusChange,
        now: Monotonic,
    ) {
        let needs = &shape.shape.resources;
        if change.starts_waiting() {
            if self.pending.is_empty() {
                self.waiting_since = now;
            }
            self.demand.add_waiting(needs, now);
        }
        if change.stops_waiting() {
            self.demand.remove_waiting(needs);
        }
        self.remove_task(order, shape, change.old);
        self.insert_task(order, shape, waiting_since, change.new);
        self.above_limit = false;
    }

    /// Sets the start of a pending task's current wait.
    pub(crate) fn set_wait(
        &mut self,
        order: TaskOrder,
        shape: IndexedShape<'_>,
        waiting_since: Monotonic,
    ) {
        self.pending.set_wait(order, shape, waiting_since);
    }

    fn remove_task(&mut self, order: TaskOrder, shape: IndexedShape<'_>, status: TaskStatus) {
        match status {
            TaskStatus::Pending => self.pending.remove(order, shape),
            TaskStatus::Copyable => self.copyable.remove(order, shape),
            TaskStatus::InGang => self.in_gang.remove(order, shape),
            TaskStatus::Shadowed => {
                self.shadowed.remove(&order.task);
            }
            TaskStatus::Delayed | TaskStatus::Bound => {}
        }
    }

    fn insert_task(
        &mut self,
        order: TaskOrder,
        shape: IndexedShape<'_>,
        waiting_since: Monotonic,
        status: TaskStatus,
    ) {
        match status {
            TaskStatus::Pending => self.pending.insert(order, shape, waiting_since),
            TaskStatus::Copyable => self.copyable.insert(order, shape, waiting_since),
            TaskStatus::InGang => self.in_gang.insert(order, shape, waiting_since),
            TaskStatus::Shadowed => {
                self.shadowed.insert(order.task);
            }
            TaskStatus::Delayed | TaskStatus::Bound => {}
        }
    }
}
