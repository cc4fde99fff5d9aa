//! Comparison of the view with the replicated state, one range of jobs at a
//! time.

use crate::options::{AuditReport, Published};
use crate::shape::Shape;
use crate::task::{Task, TaskStatus};
use crate::view::View;
use std::collections::BTreeSet;
use types::{JobNumber, Now, TaskMeta, TaskRef};

impl View {
    /// Compares the view with the ready tasks of the jobs `from..=to` and corrects
    /// it.
    pub(crate) fn audit(
        &mut self,
        from: JobNumber,
        to: JobNumber,
        ready: &[TaskMeta],
        now: Now,
    ) -> AuditReport {
        let mut report = AuditReport::default();
        let ready_tasks: BTreeSet<TaskRef> = ready.iter().map(|meta| meta.task).collect();
        for task in self.waiting_between(from, to) {
            report.compared += 1;
            if !ready_tasks.contains(&task) {
                self.remove_task(task);
                report.removed += 1;
            }
        }
        for meta in ready {
            if self.differs(meta) {
                self.remove_task(meta.task);
            }
            if !self.tasks.contains(meta.task) {
                report.compared += 1;
            }
            if self.add_task(meta.clone(), now) == Published::New {
                report.republished += 1;
            }
        }
        report
    }

    /// Returns the waiting tasks of the jobs `from..=to`. A task that has all
    /// its runs is left out: it is not ready in the replicated state either, or
    /// its reservation is not applied there yet.
    fn waiting_between(&self, from: JobNumber, to: JobNumber) -> Vec<TaskRef> {
        if from > to {
            return Vec::new();
        }
        let first = TaskRef {
            job: from,
            step: 0,
            task: 0,
        };
        let last = TaskRef {
            job: to,
            step: u16::MAX,
            task: u32::MAX,
        };
        let tasks = self.tasks.range(first..=last);
        let waiting = tasks.filter(|(task, entry)| {
            entry.status != TaskStatus::Bound || !self.runs.has_task(*task)
        });
        waiting.map(|(task, _)| task).collect()
    }

    /// Returns whether the view has the task with other content, or marks it as
    /// running although it has no run.
    fn differs(&self, meta: &TaskMeta) -> bool {
        let Some(entry) = self.tasks.get(meta.task) else {
            return false;
        };
        let is_lost = entry.status == TaskStatus::Bound && !self.runs.has_task(meta.task);
        let is_waiting = entry.status != TaskStatus::Bound;
        is_lost || (is_waiting && !self.has_same_content(entry, meta))
    }

    fn has_same_content(&self, entry: &Task, meta: &TaskMeta) -> bool {
        let list = &self.lists[entry.list];
        let same_shape = self
            .shapes
            .get(entry.shape)
            .is_some_and(|shape| **shape == Shape::new(meta, shape.failed_on.clone()));
        same_shape
            && self.queues.name(list.queue) == Some(&meta.queue)
            && self.tenants.name(list.tenant) == Some(&meta.tenant)
            && entry.urgency == meta.urgency
            && entry.rules == meta.rules
            && entry.max_copies == meta.max_copies.max(1)
            && entry.not_before == meta.not_before.unwrap_or_default()
    }
}
