//! Why a ready task is not running.

use crate::heartbeat::PullRejection;
use crate::queue::TenantList;
use crate::runner::RunnerIndex;
use crate::shape::Shape;
use crate::task::{Task, TaskStatus};
use crate::{NotPlacedReason, Scheduler};
use configuration::QueueMode;
use types::{Now, TaskRef};

impl Scheduler {
    /// None when the task is unknown, or nothing stands against its start.
    pub(crate) fn reason_of(&self, task: TaskRef, now: Now) -> Option<NotPlacedReason> {
        let Some(entry) = self.tasks.get(&task) else {
            let is_running = self.runs_of.contains_key(&task);
            return is_running.then_some(NotPlacedReason::AlreadyRunning);
        };
        if entry.status == TaskStatus::Bound {
            return Some(NotPlacedReason::AlreadyRunning);
        }
        if entry.not_before > now.wall {
            return Some(NotPlacedReason::BeforeItsTime {
                not_before: entry.not_before,
            });
        }
        let list = &self.lists[entry.list];
        let queue = &self.queues[list.queue];
        let Some(pool) = queue.pool else {
            return Some(NotPlacedReason::QueuePaused);
        };
        match queue.mode {
            QueueMode::Paused => return Some(NotPlacedReason::QueuePaused),
            QueueMode::Shadow => return Some(NotPlacedReason::QueueShadow),
            QueueMode::Active | QueueMode::Draining => {}
        }
        let needs = self.shapes.get(entry.shape)?;
        if !self.tenants[list.tenant].allows(&needs.resources) {
            return Some(NotPlacedReason::TenantAtLimit);
        }
        if !self.list_allows(entry.list, &needs.resources, now) {
            return Some(NotPlacedReason::LimitReservedForUrgent);
        }
        if !self.has_seats(needs, list.queue, 1) {
            return Some(NotPlacedReason::NoSeat);
        }
        self.reason_of_runners(task, entry, needs, pool, now)
            .or_else(|| self.reason_of_share(list, pool))
    }

    fn reason_of_runners(
        &self,
        task: TaskRef,
        entry: &Task,
        needs: &Shape,
        pool: usize,
        now: Now,
    ) -> Option<NotPlacedReason> {
        if self.pools[pool].runners.is_empty() {
            return Some(NotPlacedReason::NoRunnerKnown);
        }
        let mut reason = NotPlacedReason::NoRunnerWithLabels;
        for &runner in &self.pools[pool].runners {
            self.record_scan();
            let against = self.reason_of_runner(runner, task, entry, needs, now)?;
            if rank(&against) > rank(&reason) {
                reason = against;
            }
        }
        Some(reason)
    }

    // None when the runner could take the task.
    fn reason_of_runner(
        &self,
        runner: RunnerIndex,
        task: TaskRef,
        entry: &Task,
        needs: &Shape,
        now: Now,
    ) -> Option<NotPlacedReason> {
        let state = &self.runners[runner];
        let carries_labels = state.reported.as_ref();
        if !carries_labels.is_some_and(|last| needs.matches(&last.labels)) {
            return Some(NotPlacedReason::NoRunnerWithLabels);
        }
        let rejection = self.pull_rejection(runner, now);
        if rejection.is_some_and(|rejection| rejection != PullRejection::OnProbation) {
            return Some(NotPlacedReason::RunnersAway);
        }
        let is_copy_here = entry.status == TaskStatus::Copies && self.runs_on(task, runner);
        if is_copy_here || !needs.resources.fits_in(&state.free()) {
            return Some(NotPlacedReason::NoCapacity);
        }
        if rejection.is_some() {
            return Some(NotPlacedReason::RunnerOnProbation);
        }
        state.backfill.filter(|backfill| backfill.task != task)?;
        Some(NotPlacedReason::ReservedForLargerTask {
            runner: self.runners.name(runner)?.clone(),
        })
    }

    fn reason_of_share(&self, list: &TenantList, pool: usize) -> Option<NotPlacedReason> {
        let capacity = &self.pools[pool].capacity;
        let is_above = self.tenants[list.tenant].is_above_share(pool, capacity);
        if !is_above {
            return None;
        }
        let queues = self.pools[pool].queues.iter();
        let mut lists = queues.flat_map(|queue| self.queues[*queue].lists.iter());
        let others_wait = lists.any(|other| {
            let other = &self.lists[*other];
            let tenant = &self.tenants[other.tenant];
            !other.pending.is_empty()
                && !tenant.is_at_limit()
                && !tenant.is_above_share(pool, capacity)
        });
        others_wait.then_some(NotPlacedReason::TenantAboveShare)
    }
}

// The nearer a runner came to taking the task, the more its reason says.
fn rank(reason: &NotPlacedReason) -> u8 {
    match reason {
        NotPlacedReason::ReservedForLargerTask { .. } => 4,
        NotPlacedReason::RunnerOnProbation => 3,
        NotPlacedReason::NoCapacity => 2,
        NotPlacedReason::RunnersAway => 1,
        _ => 0,
    }
}
