//! Reason why a ready task is not running.

use crate::availability::PullRejection;
use crate::decision::NotPlacedReason;
use crate::index::{PoolIndex, RunnerIndex};
use crate::queue::Queue;
use crate::shape::Shape;
use crate::step::StepRef;
use crate::task::{Task, TaskStatus};
use crate::tenant_list::TenantList;
use crate::view::View;
use configuration::QueueMode;
use types::{Now, TaskRef, WallTime};

impl View {
    /// Returns why a task is not running; `None` when the view does not have the
    /// task or nothing prevents its start.
    pub(crate) fn explain(&self, task: TaskRef, now: Now) -> Option<NotPlacedReason> {
        let Some(entry) = self.tasks.get(task) else {
            let is_running = self.runs.has_task(task);
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
        let pool = match starting_pool(queue) {
            Ok(pool) => pool,
            Err(reason) => return Some(reason),
        };
        let needs = self.shapes.get(entry.shape)?;
        let size = self.gang_size(task);
        self.reason_of_limits(entry, needs, size, now)
            .or_else(|| self.reason_of_runners(task, entry, needs, pool, now))
            .or_else(|| self.reason_of_gang_room(task, needs, pool, now))
            .or_else(|| self.reason_of_share(list, pool))
    }

    /// Returns the number of tasks that start together with this one, itself included.
    fn gang_size(&self, task: TaskRef) -> u32 {
        let gang = self.gangs.get(StepRef::of(task));
        gang.map_or(1, |gang| gang.size)
    }

    /// Returns the reason for which runners have room for each task of a gang but not for
    /// all of them at once; `None` when they have, and outside gangs.
    fn reason_of_gang_room(
        &self,
        task: TaskRef,
        needs: &Shape,
        pool: PoolIndex,
        now: Now,
    ) -> Option<NotPlacedReason> {
        let step = StepRef::of(task);
        let size = self.gangs.get(step)?.size as usize;
        self.count_scans(self.pools[pool].runner_count());
        let is_free = |runner: &RunnerIndex| {
            let backfill = self.backfills.get(*runner);
            let is_reserved = backfill.is_some_and(|other| StepRef::of(other.task) != step);
            !is_reserved && self.pull_rejection(*runner, now).is_none()
        };
        let runners = self.pools[pool].runners().filter(is_free);
        let room: usize = runners
            .filter_map(|runner| self.gang_candidate(runner, needs, now.monotonic))
            .map(|candidate| candidate.fits)
            .sum();
        (room < size).then_some(NotPlacedReason::NoCapacity)
    }

    /// Returns since when, as far as this leader knows, no runner that reports
    /// can meet the needs of a task, even when it is empty; `None` when one can,
    /// when the task is not waiting, or when the pool has no runner at all.
    ///
    /// A leader knows of runners from their heartbeats alone. For a task that
    /// waited before its election, the time is not before the election.
    pub(crate) fn unmet_since(&self, task: TaskRef, now: Now) -> Option<WallTime> {
        let entry = self.tasks.get(task)?;
        let pool = starting_pool(&self.queues[self.lists[entry.list].queue]).ok()?;
        let needs = self.shapes.get(entry.shape)?;
        if !entry.status.is_waiting() || self.pools[pool].runner_count() == 0 {
            return None;
        }
        let mut since = entry.waiting_since;
        for runner in self.pools[pool].runners() {
            let state = &self.runners[runner];
            if !state.could_run(needs) {
                continue;
            }
            if self.pull_rejection(runner, now) != Some(PullRejection::Unresponsive) {
                return None;
            }
            let last = state.reported.as_ref();
            since = since.max(last.map_or(since, |last| last.received_at));
        }
        let elapsed = now.monotonic.since(since);
        Some(WallTime(now.wall.0.saturating_sub(elapsed.0)))
    }

    fn reason_of_limits(
        &self,
        entry: &Task,
        needs: &Shape,
        size: u32,
        now: Now,
    ) -> Option<NotPlacedReason> {
        let list = &self.lists[entry.list];
        let resources = needs.resources.times(size);
        if !self.tenants[list.tenant].allows(&resources) {
            return Some(NotPlacedReason::TenantAtLimit);
        }
        if !self.list_allows(entry.list, &resources, now) {
            return Some(NotPlacedReason::LimitReservedForUrgent);
        }
        if !self.has_seats(needs.licence.as_ref(), list.queue, size) {
            return Some(NotPlacedReason::NoSeat);
        }
        None
    }

    fn reason_of_runners(
        &self,
        task: TaskRef,
        entry: &Task,
        needs: &Shape,
        pool: PoolIndex,
        now: Now,
    ) -> Option<NotPlacedReason> {
        if self.pools[pool].runner_count() == 0 {
            return Some(NotPlacedReason::NoRunnerKnown);
        }
        let mut reason = NotPlacedReason::NoRunnerWithLabels;
        for runner in self.pools[pool].runners() {
            self.count_scan();
            let runner_reason = self.reason_of_runner(runner, task, entry, needs, now)?;
            if rank(&runner_reason) > rank(&reason) {
                reason = runner_reason;
            }
        }
        Some(reason)
    }

    /// Returns why the runner cannot take the task; `None` when it could.
    fn reason_of_runner(
        &self,
        runner: RunnerIndex,
        task: TaskRef,
        entry: &Task,
        needs: &Shape,
        now: Now,
    ) -> Option<NotPlacedReason> {
        let state = &self.runners[runner];
        let last = state.reported.as_ref();
        if !last.is_some_and(|last| needs.matches(&last.labels)) {
            return Some(NotPlacedReason::NoRunnerWithLabels);
        }
        let rejection = self.pull_rejection(runner, now);
        if rejection.is_some_and(|rejection| rejection != PullRejection::OnProbation) {
            return Some(NotPlacedReason::RunnersAway);
        }
        let is_copy_here =
            entry.status == TaskStatus::Copyable && self.runs.has_task_on_runner(task, runner);
        let has_room = needs.resources.fits_in(&state.free());
        if is_copy_here || !has_room || !self.is_below_step_limit(needs, runner) {
            return Some(NotPlacedReason::NoCapacity);
        }
        if rejection.is_some() {
            return Some(NotPlacedReason::RunnerOnProbation);
        }
        let name = self.runners.name(runner)?;
        let backfill = self.backfills.get(runner);
        if backfill.is_some_and(|backfill| backfill.task != task) {
            let runner = name.clone();
            return Some(NotPlacedReason::ReservedForLargerTask { runner });
        }
        let pull = self.pull_of(runner)?;
        let reserve = self.urgent_reserve(self.lists[entry.list].queue, &pull);
        let is_in_gang = entry.status == TaskStatus::InGang;
        (!is_in_gang && !reserve.admits(needs, &pull)).then(|| NotPlacedReason::ReservedForUrgent {
            runner: name.clone(),
        })
    }

    fn reason_of_share(&self, list: &TenantList, pool: PoolIndex) -> Option<NotPlacedReason> {
        if !self.is_above_share(list, pool) {
            return None;
        }
        let queues = self.pools[pool].queues.iter();
        let mut lists = queues.flat_map(|queue| self.queues[*queue].lists.iter());
        let others_wait = lists.any(|other| {
            let other = &self.lists[*other];
            !other.pending().is_empty()
                && !self.tenants[other.tenant].is_at_limit()
                && !self.is_above_share(other, pool)
        });
        others_wait.then_some(NotPlacedReason::TenantAboveShare)
    }
}

/// Returns the pool of a queue, or the reason why the queue starts no tasks.
fn starting_pool(queue: &Queue) -> Result<PoolIndex, NotPlacedReason> {
    let pool = queue.pool.ok_or(NotPlacedReason::QueuePaused)?;
    match queue.mode {
        QueueMode::Paused => Err(NotPlacedReason::QueuePaused),
        QueueMode::Shadow => Err(NotPlacedReason::QueueShadow),
        QueueMode::Active | QueueMode::Draining => Ok(pool),
    }
}

/// Returns the rank of a reason. The highest one among the runners of a pool is
/// reported: the reason of the runner that is closest to taking the task.
fn rank(reason: &NotPlacedReason) -> u8 {
    match reason {
        NotPlacedReason::ReservedForLargerTask { .. } => 5,
        NotPlacedReason::ReservedForUrgent { .. } => 4,
        NotPlacedReason::RunnerOnProbation => 3,
        NotPlacedReason::NoCapacity => 2,
        NotPlacedReason::RunnersAway => 1,
        NotPlacedReason::NoRunnerWithLabels
        | NotPlacedReason::TenantAtLimit
        | NotPlacedReason::LimitReservedForUrgent
        | NotPlacedReason::NoSeat
        | NotPlacedReason::TenantAboveShare
        | NotPlacedReason::BeforeItsTime { .. }
        | NotPlacedReason::WaitingForStep
        | NotPlacedReason::QueuePaused
        | NotPlacedReason::QueueShadow
        | NotPlacedReason::NoRunnerKnown
        | NotPlacedReason::AlreadyRunning => 0,
    }
}
