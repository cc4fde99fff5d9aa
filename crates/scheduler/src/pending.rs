//! Tasks of one tenant in one queue, in order and grouped by shape.
//!
//! A search examines only the first task of each shape: where that task does
//! not fit, no other task of the shape does. Which shapes it examines depends on
//! what they need and not on how many others wait before them, so that tasks
//! that no runner can take hide none behind them.

use crate::bounds::Bounds;
use crate::head::{Match, ShapeHead, TaskOrder};
use crate::index::ShapeIndex;
use crate::label_index::LabelIndex;
use crate::needs_tree::{HeadSummary, Needs, NeedsTree};
use crate::shape::IndexedShape;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use types::{Labels, LicenceName, Monotonic, Resources};

/// Heads that a search examines: those whose labels a runner has, whose licence
/// has seats, and whose needs may match.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeadQuery<'a, S, M> {
    /// Labels of the runner.
    pub(crate) labels: &'a Labels,
    pub(crate) has_seats: S,
    /// Returns `false` only for sets of heads none of which is accepted.
    pub(crate) may_match: M,
}

/// Tasks in order, grouped by shape.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingList {
    /// Tasks of each shape, with the start of their current wait. The outer map
    /// is never iterated, so that its order cannot affect a decision.
    by_shape: HashMap<ShapeIndex, BTreeMap<TaskOrder, Monotonic>>,
    /// First tasks of all shapes, in order.
    heads: BTreeSet<(TaskOrder, ShapeIndex)>,
    /// The same tasks by the labels and the licence that the shapes require.
    heads_by_labels: LabelIndex,
    /// Needs of all shapes.
    needs: NeedsTree<Needs>,
    length: usize,
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
        self.needs.summary()
    }

    /// Returns the first task of the list; `None` when it is empty.
    pub(crate) fn first(&self) -> Option<TaskOrder> {
        self.heads.first().map(|(order, _)| *order)
    }

    /// Adds a task whose current wait started at `waiting_since`. Idempotent.
    pub(crate) fn insert(
        &mut self,
        order: TaskOrder,
        shape: IndexedShape<'_>,
        waiting_since: Monotonic,
    ) {
        let tasks = self.by_shape.entry(shape.index).or_default();
        let old_head = tasks.first_key_value().map(|(head, _)| *head);
        let Entry::Vacant(vacant) = tasks.entry(order) else {
            return;
        };
        vacant.insert(waiting_since);
        self.length += 1;
        match old_head {
            None => self.needs.set(shape.shape.resources, shape.index, Needs),
            Some(head) if head < order => return,
            Some(head) => {
                self.heads.remove(&(head, shape.index));
            }
        }
        self.set_head(order, shape, waiting_since);
    }

    /// Removes a task. Idempotent.
    pub(crate) fn remove(&mut self, order: TaskOrder, shape: IndexedShape<'_>) {
        let Some(tasks) = self.by_shape.get_mut(&shape.index) else {
            return;
        };
        if tasks.remove(&order).is_none() {
            return;
        }
        self.length -= 1;
        let next = tasks.first_key_value().map(|(next, wait)| (*next, *wait));
        if !self.heads.remove(&(order, shape.index)) {
            return;
        }
        match next {
            Some((next, waiting_since)) => self.set_head(next, shape, waiting_since),
            None => self.remove_shape(shape),
        }
    }

    /// Sets the start of a task's current wait.
    pub(crate) fn set_wait(
        &mut self,
        order: TaskOrder,
        shape: IndexedShape<'_>,
        waiting_since: Monotonic,
    ) {
        let Some(tasks) = self.by_shape.get_mut(&shape.index) else {
            return;
        };
        let Some(wait) = tasks.get_mut(&order) else {
            return;
        };
        *wait = waiting_since;
        if tasks
            .first_key_value()
            .is_some_and(|(head, _)| *head == order)
        {
            self.set_head(order, shape, waiting_since);
        }
    }

    fn set_head(&mut self, order: TaskOrder, shape: IndexedShape<'_>, waiting_since: Monotonic) {
        let head = ShapeHead {
            order,
            shape: shape.index,
            waiting_since,
        };
        self.heads.insert((order, shape.index));
        self.heads_by_labels.set(shape.shape, head);
    }

    fn remove_shape(&mut self, shape: IndexedShape<'_>) {
        self.by_shape.remove(&shape.index);
        self.needs.remove(&shape.shape.resources, shape.index);
        self.heads_by_labels.remove(shape.shape, shape.index);
    }

    /// Searches the heads that the query selects, as [`NeedsTree::find_first`]
    /// does.
    pub(crate) fn find_first<T>(
        &self,
        query: &HeadQuery<'_, impl Fn(Option<&LicenceName>) -> bool, impl Fn(&HeadSummary) -> bool>,
        accept: &mut impl FnMut(&ShapeHead) -> Option<T>,
        best: &mut Option<Match<T>>,
    ) {
        self.heads_by_labels
            .for_each_group(query.labels, &mut |licence, heads| {
                if (query.has_seats)(licence) {
                    heads.find_first(&query.may_match, accept, best);
                }
            });
    }

    /// Returns the first task of each shape, in order.
    pub(crate) fn heads(&self) -> impl Iterator<Item = ShapeHead> + '_ {
        self.heads.iter().filter_map(|&(order, shape)| {
            let waiting_since = *self.by_shape.get(&shape)?.get(&order)?;
            Some(ShapeHead {
                order,
                shape,
                waiting_since,
            })
        })
    }

    /// Returns whether the needs of any task fit in the amount.
    pub(crate) fn any_fits_in(&self, amount: &Resources) -> bool {
        self.needs.any_fits_in(amount)
    }

    /// Returns the number of tasks of one shape.
    pub(crate) fn count_of_shape(&self, shape: ShapeIndex) -> usize {
        self.by_shape.get(&shape).map_or(0, BTreeMap::len)
    }

    /// Returns the tasks of one shape, in order.
    pub(crate) fn tasks_of_shape(&self, shape: ShapeIndex) -> impl Iterator<Item = TaskOrder> + '_ {
        let tasks = self.by_shape.get(&shape).into_iter();
        tasks.flat_map(|tasks| tasks.keys().copied())
    }
}
