//! Table of gangs: steps whose tasks start all together or not at all.

use crate::index::ListIndex;
use crate::step::StepRef;
use std::collections::{BTreeMap, BTreeSet};
use types::{Monotonic, TaskRef};

/// Startable tasks of one gang.
#[derive(Debug, Clone)]
pub(crate) struct Gang {
    pub(crate) list: ListIndex,
    /// Number of tasks of the step, startable or not.
    pub(crate) size: u32,
    /// Time before which no runners are searched to reserve, since the last search found
    /// too few.
    pub(crate) next_search: Monotonic,
    /// Positions, within the step, of the tasks that may start.
    tasks: BTreeSet<u32>,
}

impl Gang {
    /// Returns whether all tasks of the gang may start.
    fn is_complete(&self) -> bool {
        self.startable_count() == self.size as usize
    }

    /// Returns the number of tasks that may start.
    pub(crate) fn startable_count(&self) -> usize {
        self.tasks.len()
    }

    /// Returns the first task that may start, of the gang of `step`.
    pub(crate) fn first_task(&self, step: StepRef) -> Option<TaskRef> {
        self.tasks.first().map(|task| step.task(*task))
    }
}

/// Gangs with at least one task that may start.
#[derive(Debug, Clone, Default)]
pub(crate) struct GangTable {
    gangs: BTreeMap<StepRef, Gang>,
}

impl GangTable {
    /// Returns the gang of a step; `None` when none of its tasks may start.
    pub(crate) fn get(&self, step: StepRef) -> Option<&Gang> {
        self.gangs.get(&step)
    }

    /// Adds a startable task to its gang, which has `size` tasks.
    pub(crate) fn add_task(&mut self, task: TaskRef, size: u32, list: ListIndex) {
        let gang = self.gangs.entry(StepRef::of(task)).or_insert_with(|| Gang {
            list,
            size,
            next_search: Monotonic::default(),
            tasks: BTreeSet::new(),
        });
        gang.tasks.insert(task.task);
    }

    /// Sets the time before which no runners are searched to reserve for the gang.
    pub(crate) fn set_next_search(&mut self, step: StepRef, at: Monotonic) {
        if let Some(gang) = self.gangs.get_mut(&step) {
            gang.next_search = at;
        }
    }

    /// Removes a task that may no longer start.
    pub(crate) fn remove_task(&mut self, task: TaskRef) {
        let step = StepRef::of(task);
        let Some(gang) = self.gangs.get_mut(&step) else {
            return;
        };
        gang.tasks.remove(&task.task);
        if gang.tasks.is_empty() {
            self.gangs.remove(&step);
        }
    }

    /// Returns whether the task belongs to a gang and may start.
    pub(crate) fn contains(&self, task: TaskRef) -> bool {
        let gang = self.gangs.get(&StepRef::of(task));
        gang.is_some_and(|gang| gang.tasks.contains(&task.task))
    }

    /// Returns the gangs of a tenant list, oldest first.
    pub(crate) fn of_list(&self, list: ListIndex) -> impl Iterator<Item = (StepRef, &Gang)> {
        let gangs = self.gangs.iter().map(|(step, gang)| (*step, gang));
        gangs.filter(move |(_, gang)| gang.list == list)
    }

    /// Returns the complete gangs by tenant list, oldest first.
    pub(crate) fn complete_by_list(&self) -> BTreeMap<ListIndex, Vec<StepRef>> {
        let mut by_list: BTreeMap<ListIndex, Vec<StepRef>> = BTreeMap::new();
        for (step, gang) in self.gangs.iter().filter(|(_, gang)| gang.is_complete()) {
            by_list.entry(gang.list).or_default().push(*step);
        }
        by_list
    }
}
