//! What a task needs of a runner, stored once for all tasks that need the same.
//!
//! With millions of tasks waiting, each carries a small index in place of its
//! resources and labels.

use crate::runner::RunnerIndex;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use types::{JobNumber, Labels, LicenceName, RackName, Resources, TaskMeta, TaskRef};

/// What a run of a task holds and which labels its runner must carry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Shape {
    pub(crate) resources: Resources,
    pub(crate) labels: Labels,
    /// The rack where its tasks run best.
    pub(crate) preferred_rack: Option<RackName>,
    /// Most runs of one step on a runner, and the step.
    pub(crate) spread: Option<Spread>,
    /// The licence of which a run takes a seat.
    pub(crate) licence: Option<LicenceName>,
    /// The runners on which the task failed; others are tried first.
    pub(crate) failed_on: BTreeSet<RunnerIndex>,
}

/// A bound on the runs of one step that a runner holds at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Spread {
    pub(crate) max_per_runner: u32,
    pub(crate) step: StepRef,
}

/// One step of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct StepRef {
    pub(crate) job: JobNumber,
    pub(crate) step: u16,
}

impl StepRef {
    /// The step of a task.
    pub(crate) fn of(task: TaskRef) -> Self {
        Self {
            job: task.job,
            step: task.step,
        }
    }

    /// The task at a position in the step.
    pub(crate) fn task(self, task: u32) -> TaskRef {
        TaskRef {
            job: self.job,
            step: self.step,
            task,
        }
    }
}

impl Shape {
    /// What a published task needs. A gang's members wait apart from other
    /// work, so their shape needs no bound of its own.
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

    /// Returns whether a runner with these labels carries all that are asked for.
    pub(crate) fn matches(&self, labels: &Labels) -> bool {
        self.labels
            .iter()
            .all(|(name, value)| labels.get(name) == Some(value))
    }
}

/// With more different needs than this, looking at each costs more than a search
/// for a runner that finds none.
const MAX_SHAPES_SCANNED: usize = 256;

/// Index of a shape in the table.
pub(crate) type ShapeIndex = u32;

#[derive(Debug, Clone)]
struct Slot {
    shape: Arc<Shape>,
    users: usize,
}

/// All shapes in use; a shape without users is dropped and its place used again.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShapeTable {
    // Only looked up, never iterated, or iterated for a yes or no: its order cannot
    // reach a decision.
    index: HashMap<Arc<Shape>, ShapeIndex>,
    slots: Vec<Option<Slot>>,
    free: Vec<ShapeIndex>,
    /// Shapes in use by what they hold. Many differ in rack or step alone.
    needs: HashMap<Resources, usize>,
}

impl ShapeTable {
    /// Index of the shape, with one user more.
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
        let index = match self.free.pop() {
            Some(index) => {
                self.slots[index as usize] = slot;
                index
            }
            None => {
                self.slots.push(slot);
                (self.slots.len() - 1) as ShapeIndex
            }
        };
        self.index.insert(shape, index);
        index
    }

    /// Takes one user away.
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
            self.forget_needs(needs);
        }
    }

    fn forget_needs(&mut self, needs: Resources) {
        if let Some(shapes) = self.needs.get_mut(&needs) {
            *shapes -= 1;
            if *shapes == 0 {
                self.needs.remove(&needs);
            }
        }
    }

    /// Returns whether tasks in use need less than this shape, and so could take the
    /// room it waits for. With very many needs it takes that for granted.
    pub(crate) fn has_smaller(&self, index: ShapeIndex) -> bool {
        let Some(large) = self.get(index) else {
            return false;
        };
        self.needs.len() > MAX_SHAPES_SCANNED
            || self
                .needs
                .keys()
                .any(|small| *small != large.resources && small.fits_in(&large.resources))
    }

    /// The shape, if the index is in use.
    pub(crate) fn get(&self, index: ShapeIndex) -> Option<&Arc<Shape>> {
        self.slots
            .get(index as usize)?
            .as_ref()
            .map(|slot| &slot.shape)
    }
}
