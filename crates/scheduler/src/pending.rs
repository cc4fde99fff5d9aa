//! Tasks of one tenant in one queue, in order and grouped by shape.
//!
//! A search examines only the first task of each shape: where that task does
//! not fit, no other task of the shape does.

use crate::bounds::Bounds;
use crate::index::ShapeIndex;
use std::collections::{BTreeMap, BTreeSet};
use types::{Resources, TaskRef, Urgency};

/// Position of a task among those of its list: urgent tasks first, then those
/// of the oldest job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TaskOrder {
    pub(crate) urgency: Urgency,
    pub(crate) task: TaskRef,
}

/// First task of one shape.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ShapeHead {
    pub(crate) order: TaskOrder,
    pub(crate) shape: ShapeIndex,
}

/// Tasks of one shape.
#[derive(Debug, Clone)]
struct ShapeTasks {
    needs: Resources,
    tasks: BTreeSet<TaskOrder>,
}

/// Tasks in order, grouped by shape.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingList {
    by_shape: BTreeMap<ShapeIndex, ShapeTasks>,
    heads: BTreeSet<ShapeHead>,
    length: usize,
    /// `None` when there are no tasks.
    bounds: Option<Bounds>,
}

impl PendingList {
    /// Returns the number of tasks.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the list has no task.
    pub(crate) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns bounds on the resources of the tasks; `None` when the list is
    /// empty.
    pub(crate) fn bounds(&self) -> Option<Bounds> {
        self.bounds
    }

    /// Adds a task whose shape needs the given resources. Idempotent.
    pub(crate) fn insert(&mut self, order: TaskOrder, shape: ShapeIndex, needs: Resources) {
        let same_shape = self.by_shape.entry(shape).or_insert_with(|| ShapeTasks {
            needs,
            tasks: BTreeSet::new(),
        });
        let old_head = same_shape.tasks.first().copied();
        if !same_shape.tasks.insert(order) {
            return;
        }
        self.bounds = Bounds::join(self.bounds, Some(Bounds::of(needs)));
        self.length += 1;
        if old_head.is_none_or(|head| order < head) {
            if let Some(old_order) = old_head {
                self.heads.remove(&ShapeHead {
                    order: old_order,
                    shape,
                });
            }
            self.heads.insert(ShapeHead { order, shape });
        }
    }

    /// Removes a task. Idempotent.
    pub(crate) fn remove(&mut self, order: TaskOrder, shape: ShapeIndex) {
        let Some(same_shape) = self.by_shape.get_mut(&shape) else {
            return;
        };
        if !same_shape.tasks.remove(&order) {
            return;
        }
        self.length -= 1;
        let needs = same_shape.needs;
        let new_head = same_shape.tasks.first().copied();
        if self.heads.remove(&ShapeHead { order, shape })
            && let Some(order) = new_head
        {
            self.heads.insert(ShapeHead { order, shape });
        }
        if new_head.is_none() {
            self.by_shape.remove(&shape);
            self.narrow_bounds(&needs);
        }
    }

    /// Narrows the bounds after the last task of a shape, with these needs, was
    /// removed.
    fn narrow_bounds(&mut self, needs: &Resources) {
        if self.bounds.is_some_and(|bounds| bounds.touches(needs)) {
            let shapes = self.by_shape.values();
            self.bounds = shapes
                .map(|same_shape| Bounds::of(same_shape.needs))
                .reduce(Bounds::with);
        }
    }

    /// Returns the first task of each shape, in order.
    pub(crate) fn heads(&self) -> impl Iterator<Item = ShapeHead> + '_ {
        self.heads.iter().copied()
    }

    /// Returns the tasks of one shape, in order.
    pub(crate) fn tasks_of_shape(&self, shape: ShapeIndex) -> impl Iterator<Item = TaskOrder> + '_ {
        let same_shape = self.by_shape.get(&shape).into_iter();
        same_shape.flat_map(|same_shape| same_shape.tasks.iter().copied())
    }

    /// Returns the first task of the list; `None` when it is empty.
    pub(crate) fn first(&self) -> Option<TaskOrder> {
        self.heads.first().map(|head| head.order)
    }
}
