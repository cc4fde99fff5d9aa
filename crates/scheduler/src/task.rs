//! Tasks: publish, remove, and the one place each task stands in.

use crate::pending::Order;
use crate::queue::{ListIndex, TenantList};
use crate::shape::{Shape, ShapeIndex};
use crate::{Published, Scheduler};
use types::{Monotonic, Now, QueueName, StepRules, TaskMeta, TaskRef, TenantId, Urgency, WallTime};

/// Where a published task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskStatus {
    /// May start now.
    Pending,
    /// Runs, and may have a further copy.
    Copies,
    /// Its time has not come.
    Delayed,
    /// A shadow queue has decided on it.
    Shadowed,
    /// A member of a gang that could start, were the whole gang here.
    Gathered,
    /// Has all the runs it may have.
    Bound,
}

/// A published task (source: the `jobs:<id>` entry, here one for each task).
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) list: ListIndex,
    pub(crate) shape: ShapeIndex,
    pub(crate) max_copies: u32,
    pub(crate) urgency: Urgency,
    pub(crate) status: TaskStatus,
    /// Zero when it may start at once.
    pub(crate) not_before: WallTime,
    /// Since when it may start, on this leader's clock.
    pub(crate) waiting_since: Monotonic,
    /// The rules of its step.
    pub(crate) rules: StepRules,
    /// Tasks of its step.
    pub(crate) step_tasks: u32,
}

impl Task {
    fn order(&self, task: TaskRef) -> Order {
        (self.urgency, task)
    }
}

/// True for a task that would start if it had room and a seat.
fn is_waiting(status: TaskStatus) -> bool {
    matches!(status, TaskStatus::Pending | TaskStatus::Gathered)
}

impl Scheduler {
    pub(crate) fn add_task(&mut self, meta: TaskMeta, now: Now) -> Published {
        let open_runs = self.runs_of.get(&meta.task).map_or(0, Vec::len);
        let is_bound = open_runs >= meta.max_copies.max(1) as usize;
        if is_bound || self.tasks.contains_key(&meta.task) {
            return Published::Present;
        }
        let list = self.list_index(&meta.queue, &meta.tenant);
        let failed_on = self.failed_on.get(&meta.task).cloned();
        let shape = Shape::new(&meta, failed_on.unwrap_or_default());
        let shape = self.shapes.acquire(shape);
        let task = Task {
            list,
            shape,
            max_copies: meta.max_copies.max(1),
            urgency: meta.urgency,
            status: TaskStatus::Bound,
            not_before: meta.not_before.unwrap_or_default(),
            waiting_since: now.monotonic,
            rules: meta.rules,
            step_tasks: meta.step_tasks,
        };
        self.tasks.insert(meta.task, task);
        self.settle(meta.task, now);
        Published::New
    }

    pub(crate) fn remove_task(&mut self, task: TaskRef) -> bool {
        if !self.tasks.contains_key(&task) {
            return false;
        }
        self.stand(task, TaskStatus::Bound);
        if let Some(entry) = self.tasks.remove(&task) {
            self.shapes.release(entry.shape);
        }
        true
    }

    /// Puts a task where its time and its open runs say.
    pub(crate) fn settle(&mut self, task: TaskRef, now: Now) {
        let Some(entry) = self.tasks.get_mut(&task) else {
            return;
        };
        let open_runs = self.runs_of.get(&task).map_or(0, Vec::len);
        let status = if open_runs >= entry.max_copies as usize {
            TaskStatus::Bound
        } else if entry.not_before > now.wall {
            TaskStatus::Delayed
        } else if open_runs == 0 && entry.rules.gang {
            TaskStatus::Gathered
        } else if open_runs == 0 {
            TaskStatus::Pending
        } else {
            TaskStatus::Copies
        };
        if status != entry.status {
            entry.waiting_since = now.monotonic;
        }
        self.stand(task, status);
    }

    /// Moves a task from where it stands to another standing.
    pub(crate) fn stand(&mut self, task: TaskRef, status: TaskStatus) {
        let Some(entry) = self.tasks.get_mut(&task) else {
            return;
        };
        if entry.status == status {
            return;
        }
        let order = entry.order(task);
        let (index, shape, not_before) = (entry.list, entry.shape, entry.not_before);
        let size = entry.step_tasks;
        let needs = self.shapes.get(shape).map(|shape| shape.resources);
        let needs = needs.unwrap_or_default();
        let licence = entry.rules.licence.clone();
        let waited = is_waiting(entry.status);
        let old = std::mem::replace(&mut entry.status, status);
        let latest = self.latest;
        let list = &mut self.lists[index];
        match (waited, is_waiting(status)) {
            (false, true) => {
                if list.pending.is_empty() {
                    list.waiting_since = latest;
                }
                list.demand.wait(&needs, latest);
            }
            (true, false) => list.demand.wait_no_more(&needs),
            _ => {}
        }
        match old {
            TaskStatus::Pending => drop(list.pending.remove(order, shape)),
            TaskStatus::Copies => drop(list.copies.remove(order, shape)),
            TaskStatus::Delayed => drop(self.delayed.remove(&(not_before, task))),
            TaskStatus::Shadowed => drop(list.shadowed.remove(&task)),
            TaskStatus::Gathered => self.gangs.leave(task),
            TaskStatus::Bound => {}
        }
        match status {
            TaskStatus::Pending => drop(list.pending.insert(order, shape, needs)),
            TaskStatus::Copies => drop(list.copies.insert(order, shape, needs)),
            TaskStatus::Delayed => drop(self.delayed.insert((not_before, task))),
            TaskStatus::Shadowed => drop(list.shadowed.insert(task)),
            TaskStatus::Gathered => self.gangs.gather(task, size, index),
            TaskStatus::Bound => {}
        }
        list.above_limit = false;
        if let Some(licence) = licence {
            let queue = self.lists[index].queue;
            match (waited, is_waiting(status)) {
                (false, true) => self.seats.wait(&licence, queue),
                (true, false) => self.seats.wait_no_more(&licence, queue),
                _ => {}
            }
        }
        self.refresh_list(index);
    }

    /// Lets tasks whose time has come into their pending lists.
    pub(crate) fn admit_due(&mut self, now: Now) {
        while let Some(&(time, task)) = self.delayed.first() {
            if time > now.wall {
                return;
            }
            // Taken out here as well, so that the loop ends whatever it meets.
            self.delayed.pop_first();
            self.settle(task, now);
        }
    }

    /// Index of the waiting work of a tenant in a queue, made when new.
    pub(crate) fn list_index(&mut self, queue: &QueueName, tenant: &TenantId) -> ListIndex {
        let queue = self.queue_index(queue);
        let tenant = self.tenant_index(tenant);
        self.list_of_pair(queue, tenant)
    }

    /// The same by the indexes of both.
    pub(crate) fn list_of_pair(&mut self, queue: usize, tenant: usize) -> ListIndex {
        if let Some(&index) = self.list_of.get(&(queue, tenant)) {
            return index;
        }
        let index = self.lists.len();
        self.lists.push(TenantList {
            queue,
            tenant,
            pending: Default::default(),
            copies: Default::default(),
            shadowed: Default::default(),
            above_limit: false,
            limited_by_headroom: false,
            demand: Default::default(),
            started_at: self.latest,
            waiting_since: self.latest,
            last_reason: None,
        });
        self.list_of.insert((queue, tenant), index);
        self.queues[queue].lists.push(index);
        self.tenants[tenant].lists.push(index);
        index
    }

    /// Puts a list into its queue's runnable sets, or takes it out.
    pub(crate) fn refresh_list(&mut self, index: ListIndex) {
        let list = &self.lists[index];
        let is_below_step_limit = !self.tenants[list.tenant].is_at_limit();
        let runnable = is_below_step_limit && !list.above_limit && !list.pending.is_empty();
        let copying = is_below_step_limit && !list.copies.is_empty();
        let queue = &mut self.queues[list.queue];
        queue.runnable.set(index, runnable);
        queue.copying.set(index, copying);
    }

    /// The same for all lists of a tenant, after its holdings or resource limit moved.
    pub(crate) fn refresh_tenant(&mut self, tenant: usize) {
        for position in 0..self.tenants[tenant].lists.len() {
            let index = self.tenants[tenant].lists[position];
            self.lists[index].above_limit = false;
            self.refresh_list(index);
        }
    }
}
