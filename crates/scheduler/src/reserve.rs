//! Reserve step: chooses a task for one pull and binds it to the runner.

use crate::backfill_placement::BackfillAttempt;
use crate::decision::{Decision, DecisionKind};
use crate::index::{ListIndex, RunnerIndex};
use crate::pull::{Pull, PullScope, RunKind, StarvationSearch};
use crate::run::Run;
use crate::run_duration::RunDuration;
use crate::task::TaskStatus;
use crate::view::View;
use configuration::QueueMode;
use std::collections::BTreeSet;
use types::{Milliseconds, Now, Reservation, Resources, TaskRef};

/// Time for which pulls do not search again after an unsuccessful search for a
/// runner to reserve.
const BACKFILL_SEARCH_INTERVAL: Milliseconds = Milliseconds(100);

/// Task chosen for a pull.
#[derive(Debug, Clone, Copy)]
struct ChosenTask {
    task: TaskRef,
    /// Number of tenant lists that were runnable when one was drawn.
    runnable_tenants: u32,
}

/// List whose examined tasks would all exceed its tenant's resource limit or
/// the headroom below it.
#[derive(Debug, Clone, Copy)]
struct ListAboveLimit {
    list: ListIndex,
    /// Whether some of these tasks are blocked only by the headroom.
    limited_by_headroom: bool,
}

/// Startable and starving tasks of the lists that one pull has drawn.
#[derive(Debug, Clone, Default)]
struct DrawResult {
    /// Startable task of the first tenant below its share that has one.
    below_share: Option<TaskRef>,
    /// Startable task of the first tenant above its share that has one.
    above_share: Option<TaskRef>,
    /// First starving task of a tenant below its share.
    starving: Option<TaskRef>,
    /// Lists that are not drawn again until they, the limit or the usage
    /// change.
    above_limit: Vec<ListAboveLimit>,
}

impl View {
    /// Chooses a task for one pull of a runner and binds it. Returns `None`
    /// when nothing may start. The caller admits due tasks beforehand.
    pub(crate) fn reserve(
        &mut self,
        runner: RunnerIndex,
        search: StarvationSearch,
        now: Now,
    ) -> Option<Decision> {
        if self.pull_rejection(runner, now).is_some() {
            return None;
        }
        let pull = self.pull_of(runner)?;
        if pull.free == Resources::ZERO {
            return None;
        }
        let chosen = match self.reserved_task(runner, now) {
            Some(task) => self
                .choose_reserved(task, &pull)
                .or_else(|| self.choose_overdue(&pull, now))?,
            None => self
                .choose(RunKind::Only, &pull, search, now)
                .or_else(|| self.choose_copy(&pull, search, now))?,
        };
        self.bind_chosen(chosen, &pull, now)
    }

    /// Chooses the task for which the runner is reserved, if it may start now. A gang is
    /// placed as a whole and not by a pull.
    fn choose_reserved(&self, task: TaskRef, pull: &Pull) -> Option<ChosenTask> {
        if self.gangs.contains(task) {
            return None;
        }
        let entry = self.tasks.get(task)?;
        let needs = self.shapes.get(entry.shape)?;
        let may_start = self.has_seats(needs.licence.as_ref(), self.lists[entry.list].queue, 1)
            && self.is_below_step_limit(needs, pull.runner)
            && needs.resources.fits_in(&pull.free);
        may_start.then(|| ChosenTask {
            task,
            runnable_tenants: self.runnable_count(pull.pool, RunKind::Only),
        })
    }

    /// Chooses an overdue task for a runner that is reserved for another one, if the pool
    /// is underused.
    fn choose_overdue(&mut self, pull: &Pull, now: Now) -> Option<ChosenTask> {
        if !self.is_underused(pull.pool, now) {
            return None;
        }
        let pull = Pull {
            scope: PullScope::Overdue,
            ..pull.clone()
        };
        self.choose(RunKind::Only, &pull, StarvationSearch::Disabled, now)
    }

    /// Chooses among the queues of the most urgent priority that has a task.
    fn choose(
        &mut self,
        kind: RunKind,
        pull: &Pull,
        search: StarvationSearch,
        now: Now,
    ) -> Option<ChosenTask> {
        let queues = self.pools[pull.pool].queues.iter();
        let priorities: BTreeSet<u8> = queues.map(|queue| self.queues[*queue].priority).collect();
        priorities
            .into_iter()
            .find_map(|priority| self.choose_at_priority(priority, kind, pull, search, now))
    }

    fn choose_copy(
        &mut self,
        pull: &Pull,
        search: StarvationSearch,
        now: Now,
    ) -> Option<ChosenTask> {
        if !self.options.policy.copies {
            return None;
        }
        self.choose(RunKind::Copy, pull, search, now)
    }

    fn choose_at_priority(
        &mut self,
        priority: u8,
        kind: RunKind,
        pull: &Pull,
        search: StarvationSearch,
        now: Now,
    ) -> Option<ChosenTask> {
        let runnable_tenants = self.runnable_count(pull.pool, kind);
        let result = self.scan_drawn_lists(priority, kind, pull, search, now);
        for above in result.above_limit {
            let list = &mut self.lists[above.list];
            list.above_limit = true;
            list.limited_by_headroom = above.limited_by_headroom;
            self.refresh_list(above.list);
        }
        if let Some(task) = result.starving
            && now.monotonic >= self.next_backfill_search
            && self.reserve_runner(task, pull.pool, now) == BackfillAttempt::NoSuitableRunner
        {
            self.next_backfill_search = now.monotonic + BACKFILL_SEARCH_INTERVAL;
        }
        let task = result.below_share.or(result.above_share)?;
        let may_start = pull.scope == PullScope::Overdue || self.is_free_for(task, pull.runner);
        may_start.then_some(ChosenTask {
            task,
            runnable_tenants,
        })
    }

    /// Draws lists until one of a tenant below its share has a startable task.
    fn scan_drawn_lists(
        &mut self,
        priority: u8,
        kind: RunKind,
        pull: &Pull,
        search: StarvationSearch,
        now: Now,
    ) -> DrawResult {
        let mut state = self.start_draw(priority, kind, pull.pool);
        let mut result = DrawResult::default();
        while let Some(list) = self.draw_list(&mut state) {
            let scan = match kind {
                RunKind::Only => self.scan_for_task(list, pull, search, now),
                RunKind::Copy => self.scan_for_copy(list, pull),
            };
            if scan.above_limit {
                result.above_limit.push(ListAboveLimit {
                    list,
                    limited_by_headroom: scan.limited_by_headroom,
                });
            }
            let shares = self.options.policy.shares;
            if shares && self.is_above_share(&self.lists[list], pull.pool) {
                result.above_share = result.above_share.or(scan.startable);
                continue;
            }
            result.starving = result.starving.or(scan.starving);
            if scan.startable.is_some() {
                result.below_share = scan.startable;
                break;
            }
        }
        result
    }

    /// Returns whether the runner is not reserved for another task. The current
    /// pull may have reserved it for one that starves.
    fn is_free_for(&self, task: TaskRef, runner: RunnerIndex) -> bool {
        let backfill = self.backfills.get(runner);
        backfill.is_none_or(|backfill| backfill.task == task)
    }

    /// Binds the chosen task. For a queue in shadow mode, only reports the
    /// decision.
    fn bind_chosen(&mut self, chosen: ChosenTask, pull: &Pull, now: Now) -> Option<Decision> {
        let index = self.tasks.get(chosen.task)?.list;
        let list = &self.lists[index];
        let (queue, tenant) = (list.queue, list.tenant);
        let reservation = Reservation {
            run: self.runs.next_id(),
            task: chosen.task,
            runner: self.runners.name(pull.runner)?.clone(),
            incarnation: pull.incarnation,
            endpoint: pull.endpoint.clone(),
            self_stop: pull.self_stop,
        };
        let shadow = self.queues[queue].mode == QueueMode::Shadow;
        if shadow {
            self.set_status(chosen.task, TaskStatus::Shadowed);
        } else {
            self.bind(&reservation, pull, now)?;
        }
        Some(Decision {
            at: now.wall,
            queue: self.queues.name(queue)?.clone(),
            tenant: self.tenants.name(tenant)?.clone(),
            kind: DecisionKind::Placed {
                reservation,
                runnable_tenants: chosen.runnable_tenants,
                shadow,
            },
        })
    }

    /// Opens the run of a reservation. Releases the runner of the pool that was
    /// reserved for the task.
    fn bind(&mut self, reservation: &Reservation, pull: &Pull, now: Now) -> Option<()> {
        let entry = self.tasks.get(reservation.task)?;
        let needs = self.shapes.get(entry.shape)?;
        let reserve = self.urgent_reserve(self.lists[entry.list].queue, pull);
        if !reserve.admits(needs, pull) {
            self.pools[pull.pool].urgent_reserve_used_at = Some(now.monotonic);
        }
        let list = &mut self.lists[entry.list];
        list.last_placed_at = now.monotonic;
        let run = Run {
            task: reservation.task,
            tenant: list.tenant,
            list: entry.list,
            pool: Some(pull.pool),
            runner: pull.runner,
            incarnation: pull.incarnation,
            resources: needs.resources,
            licence: needs.licence.clone(),
            duration: RunDuration::of_step(&entry.rules),
        };
        self.open_run(reservation.run, run);
        if let Some(reserved) = self.backfills.find_runner(reservation.task, pull.pool) {
            self.backfills.release(reserved);
        }
        Some(())
    }

    /// Binds one task of a gang to a runner; `None` when the runner has no
    /// heartbeat or the task is not published.
    pub(crate) fn bind_gang_task(
        &mut self,
        task: TaskRef,
        runner: RunnerIndex,
        now: Now,
    ) -> Option<Decision> {
        let pull = self.pull_of(runner)?;
        let chosen = ChosenTask {
            task,
            runnable_tenants: self.runnable_count(pull.pool, RunKind::Only),
        };
        self.bind_chosen(chosen, &pull, now)
    }
}
