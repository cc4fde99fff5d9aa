//! Waiting tasks of one tenant in one queue, oldest first, grouped by what
//! they need, so that looking past a task that does not fit also looks past
//! every other one with the same needs.

use crate::bounds::Bounds;
use crate::shape::ShapeIndex;
use std::collections::{BTreeMap, BTreeSet};
use types::{Resources, TaskRef, Urgency};

/// Place of a task among its tenant's own: urgent first, then the oldest job.
pub(crate) type Order = (Urgency, TaskRef);

/// The tasks of one shape.
#[derive(Debug, Clone)]
struct Lane {
    needs: Resources,
    tasks: BTreeSet<Order>,
}

/// Tasks in order, and the first of each shape in order.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingList {
    by_shape: BTreeMap<ShapeIndex, Lane>,
    heads: BTreeSet<(Order, ShapeIndex)>,
    length: usize,
    bounds: Option<Bounds>,
}

impl PendingList {
    /// Number of tasks.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no task waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Bounds of what its tasks need; none when no task waits.
    pub(crate) fn bounds(&self) -> Option<Bounds> {
        self.bounds
    }

    /// Adds a task; false if it was there. `needs` is what its shape holds.
    pub(crate) fn insert(&mut self, order: Order, shape: ShapeIndex, needs: Resources) -> bool {
        let lane = self.by_shape.entry(shape).or_insert_with(|| Lane {
            needs,
            tasks: BTreeSet::new(),
        });
        let old_head = lane.tasks.first().copied();
        if !lane.tasks.insert(order) {
            return false;
        }
        self.bounds = Bounds::join(self.bounds, Some(Bounds::of(needs)));
        self.length += 1;
        if old_head.is_none_or(|head| order < head) {
            if let Some(head) = old_head {
                self.heads.remove(&(head, shape));
            }
            self.heads.insert((order, shape));
        }
        true
    }

    /// Takes a task out; false if it was not there.
    pub(crate) fn remove(&mut self, order: Order, shape: ShapeIndex) -> bool {
        let Some(lane) = self.by_shape.get_mut(&shape) else {
            return false;
        };
        if !lane.tasks.remove(&order) {
            return false;
        }
        self.length -= 1;
        let needs = lane.needs;
        let new_head = lane.tasks.first().copied();
        if self.heads.remove(&(order, shape))
            && let Some(head) = new_head
        {
            self.heads.insert((head, shape));
        }
        if new_head.is_none() {
            self.by_shape.remove(&shape);
            self.narrow(&needs);
        }
        true
    }

    /// The last task with these needs is gone.
    fn narrow(&mut self, needs: &Resources) {
        if self.bounds.is_some_and(|bounds| bounds.touches(needs)) {
            let lanes = self.by_shape.values();
            self.bounds = lanes
                .map(|lane| Bounds::of(lane.needs))
                .reduce(Bounds::with);
        }
    }

    /// The oldest task of each shape, in order.
    pub(crate) fn heads(&self) -> impl Iterator<Item = (Order, ShapeIndex)> + '_ {
        self.heads.iter().copied()
    }

    /// The tasks of one shape, in order.
    pub(crate) fn of_shape(&self, shape: ShapeIndex) -> impl Iterator<Item = Order> + '_ {
        let lane = self.by_shape.get(&shape).into_iter();
        lane.flat_map(|lane| lane.tasks.iter().copied())
    }

    /// The first task of all.
    pub(crate) fn first(&self) -> Option<Order> {
        self.heads.first().map(|(order, _)| *order)
    }
}
