//! Shapes: the resources and constraints of tasks, stored once for all tasks
//! that share them.
//!
//! Each task stores a small index instead of its resources and labels, which
//! saves memory with millions of waiting tasks.

use crate::index::{RunnerIndex, ShapeIndex};
use crate::step::StepRef;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use types::{Labels, LicenceName, RackName, Resources, TaskMeta};

/// Resources and constraints that decide which runner may take a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Shape {
    pub(crate) resources: Resources,
    /// Labels that the runner must have.
    pub(crate) labels: Labels,
    /// Rack for which the task waits before it takes a runner of another one;
    /// `None` without a preference.
    pub(crate) preferred_rack: Option<RackName>,
    /// Limit of the step's runs on one runner; `None` without a limit.
    pub(crate) spread: Option<Spread>,
    /// Licence of which a run uses one seat; `None` when it needs none.
    pub(crate) licence: Option<LicenceName>,
    /// Runners on which the task has failed; other runners are preferred.
    pub(crate) failed_on: BTreeSet<RunnerIndex>,
}

/// Limit of the open runs of one step on one runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Spread {
    pub(crate) max_per_runner: u32,
    pub(crate) step: StepRef,
}

impl Shape {
    /// Returns the shape of a published task that failed on the given runners.
    pub(crate) fn new(meta: &TaskMeta, failed_on: BTreeSet<RunnerIndex>) -> Self {
        let spread = |max_per_runner| Spread {
            max_per_runner,
            step: StepRef::of(meta.task),
        };
        Self {
            resources: meta.resources,
            labels: meta.labels.clone(),
            preferred_rack: meta.rules.preferred_rack.clone(),
            licence: meta.rules.licence.clone(),
            spread: meta.rules.max_per_runner.map(spread),
            failed_on,
        }
    }

    /// Returns whether these labels of a runner include all that are required.
    pub(crate) fn matches(&self, labels: &Labels) -> bool {
        self.labels
            .iter()
            .all(|(name, value)| labels.get(name) == Some(value))
    }
}

/// Shape of a task, with its index.
#[derive(Debug, Clone, Copy)]
pub(crate) struct IndexedShape<'a> {
    pub(crate) index: ShapeIndex,
    pub(crate) shape: &'a Shape,
}

/// Maximum number of different resource needs that [`ShapeTable::has_smaller`]
/// compares. Comparing more would cost more than an unsuccessful search for a
/// runner.
const MAX_NEEDS_COMPARED: usize = 256;

/// Shape in use.
#[derive(Debug, Clone)]
struct Slot {
    shape: Arc<Shape>,
    /// Number of published tasks of the shape; at least 1.
    users: usize,
}

/// Shapes in use. The index of a shape without users is reused.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShapeTable {
    // Never iterated, so that the order of the hash map cannot affect a
    // decision.
    index: HashMap<Arc<Shape>, ShapeIndex>,
    slots: Vec<Option<Slot>>,
    free: Vec<ShapeIndex>,
    /// Number of shapes in use, by their resources. Iterated only to check
    /// whether any entry matches, which does not depend on the order.
    needs: HashMap<Resources, usize>,
}

impl ShapeTable {
    /// Adds a user to a shape and returns the shape's index.
    pub(crate) fn acquire(&mut self, shape: Shape) -> ShapeIndex {
        if let Some(&index) = self.index.get(&shape) {
            if let Some(Some(slot)) = self.slots.get_mut(index as usize) {
                slot.users += 1;
            }
            return index;
        }
        *self.needs.entry(shape.resources).or_default() += 1;
        let shape = Arc::new(shape);
        let slot = Some(Slot {
            shape: Arc::clone(&shape),
            users: 1,
        });
        let index = self.insert_slot(slot);
        self.index.insert(shape, index);
        index
    }

    /// Stores a slot under a free index and returns the index.
    ///
    /// # Panics
    ///
    /// Panics if more than `u32::MAX` shapes are in use, which would exceed the
    /// memory of any machine.
    fn insert_slot(&mut self, slot: Option<Slot>) -> ShapeIndex {
        if let Some(index) = self.free.pop() {
            self.slots[index as usize] = slot;
            return index;
        }
        let index = ShapeIndex::try_from(self.slots.len()).expect("fewer than 2^32 shapes");
        self.slots.push(slot);
        index
    }

    /// Removes a user from a shape, and the shape if it was the last user.
    pub(crate) fn release(&mut self, index: ShapeIndex) {
        let Some(entry) = self.slots.get_mut(index as usize) else {
            return;
        };
        let Some(slot) = entry else { return };
        slot.users = slot.users.saturating_sub(1);
        if slot.users == 0 {
            let needs = slot.shape.resources;
            self.index.remove(&slot.shape);
            *entry = None;
            self.free.push(index);
            self.release_needs(needs);
        }
    }

    fn release_needs(&mut self, needs: Resources) {
        if let Some(shapes) = self.needs.get_mut(&needs) {
            *shapes -= 1;
            if *shapes == 0 {
                self.needs.remove(&needs);
            }
        }
    }

    /// Returns whether tasks of a smaller shape could take the capacity that
    /// this shape waits for. Returns `true` without a comparison when tasks
    /// have more than [`MAX_NEEDS_COMPARED`] different resource needs.
    pub(crate) fn has_smaller(&self, index: ShapeIndex) -> bool {
        let Some(large) = self.get(index) else {
            return false;
        };
        self.needs.len() > MAX_NEEDS_COMPARED
            || self
                .needs
                .keys()
                .any(|small| *small != large.resources && small.fits_in(&large.resources))
    }

    /// Returns the shape; `None` when the index is not in use.
    pub(crate) fn get(&self, index: ShapeIndex) -> Option<&Arc<Shape>> {
        self.slots
            .get(index as usize)?
            .as_ref()
            .map(|slot| &slot.shape)
    }

    /// Returns the shape with its index; `None` when the index is not in use.
    pub(crate) fn indexed(&self, index: ShapeIndex) -> Option<IndexedShape<'_>> {
        let shape = self.get(index)?;
        Some(IndexedShape { index, shape })
    }
}
