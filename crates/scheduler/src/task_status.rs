//! Adds and removes tasks, and updates their status.

use crate::options::Published;
use crate::shape::Shape;
use crate::task::{Task, TaskStatus};
use crate::view::View;
use types::{Monotonic, Now, TaskMeta, TaskRef};

impl View {
    /// Adds a task unless it is published or has all the runs it may have.
    pub(crate) fn add_task(&mut self, meta: TaskMeta, now: Now) -> Published {
        let max_copies = meta.max_copies.max(1);
        let is_bound = self.runs.count_of_task(meta.task) >= max_copies as usize;
        if is_bound || self.tasks.contains(meta.task) {
            return Published::Present;
        }
        let list = self.list_index(&meta.queue, &meta.tenant);
        let failed_on = self.failed_on.get(&meta.task).cloned();
        let shape = Shape::new(&meta, failed_on.unwrap_or_default());
        let entry = Task {
            list,
            shape: self.shapes.acquire(shape),
            max_copies,
            urgency: meta.urgency,
            status: TaskStatus::Bound,
            not_before: meta.not_before.unwrap_or_default(),
            waiting_since: now.monotonic,
            rules: meta.rules,
            step_tasks: meta.step_tasks,
        };
        self.tasks.insert(meta.task, entry);
        self.update_status(meta.task, now);
        Published::New
    }

    /// Removes a task. Idempotent.
    pub(crate) fn remove_task(&mut self, task: TaskRef) {
        self.set_status(task, TaskStatus::Bound);
        if let Some(entry) = self.tasks.remove(task) {
            self.shapes.release(entry.shape);
        }
    }

    /// Sets the status that follows from a task's start time and open runs.
    pub(crate) fn update_status(&mut self, task: TaskRef, now: Now) {
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let open_runs = self.runs.count_of_task(task);
        let status = if open_runs >= entry.max_copies as usize {
            TaskStatus::Bound
        } else if entry.not_before > now.wall {
            TaskStatus::Delayed
        } else if open_runs == 0 && entry.rules.gang {
            TaskStatus::InGang
        } else if open_runs == 0 {
            TaskStatus::Pending
        } else {
            TaskStatus::Copyable
        };
        if status != entry.status {
            self.tasks.restart_wait(task, now.monotonic);
        }
        self.set_status(task, status);
    }

    /// Sets the status of a task in all tables that depend on it. Idempotent.
    pub(crate) fn set_status(&mut self, task: TaskRef, status: TaskStatus) {
        let Some(change) = self.tasks.set_status(task, status) else {
            return;
        };
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let Some(shape) = self.shapes.indexed(entry.shape) else {
            return;
        };
        let now = self.latest();
        let list = &mut self.lists[entry.list];
        list.apply_status_change(entry.order(task), shape, entry.waiting_since, change, now);
        if change.old == TaskStatus::InGang {
            self.gangs.remove_task(task);
        }
        if change.new == TaskStatus::InGang {
            self.gangs.add_task(task, entry.step_tasks, entry.list);
        }
        if let Some(licence) = &entry.rules.licence {
            if change.starts_waiting() {
                self.licences.add_waiting(licence, list.queue);
            }
            if change.stops_waiting() {
                self.licences.remove_waiting(licence, list.queue);
            }
        }
        let index = entry.list;
        self.refresh_list(index);
    }

    /// Sets the start of a task's current wait to `now`.
    pub(crate) fn restart_wait(&mut self, task: TaskRef, now: Monotonic) {
        self.tasks.restart_wait(task, now);
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let shape = self.shapes.indexed(entry.shape);
        if let Some(shape) = shape.filter(|_| entry.status == TaskStatus::Pending) {
            self.lists[entry.list].set_wait(entry.order(task), shape, now);
        }
    }

    /// Updates the status of the delayed tasks that are due.
    pub(crate) fn admit_due(&mut self, now: Now) {
        while let Some(task) = self.tasks.pop_due(now.wall) {
            self.update_status(task, now);
        }
    }
}
