//! Scan of one tenant list for a task that a pull may take.

use crate::eligibility::UrgentReserve;
use crate::head::{Match, ShapeHead, TaskOrder};
use crate::index::{ListIndex, RunnerIndex, ShapeIndex};
use crate::needs_tree::HeadSummary;
use crate::pending::{HeadQuery, PendingList};
use crate::pull::{Pull, PullScope, StarvationSearch};
use crate::shape::Shape;
use crate::tenant_list::TenantList;
use crate::view::View;
use configuration::QueueMode;
use std::sync::Arc;
use types::{LicenceName, Monotonic, Now, Resources, TaskRef};

/// Result of a scan of one tenant list.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ScanResult {
    /// First task that the pull may take.
    pub(crate) startable: Option<TaskRef>,
    /// First starving task that would fit on this runner once it is empty.
    pub(crate) starving: Option<TaskRef>,
    /// Whether every task examined would exceed the tenant's resource limit or
    /// the headroom below it.
    pub(crate) above_limit: bool,
    /// Whether some task is blocked only by the headroom.
    pub(crate) limited_by_headroom: bool,
}

impl View {
    /// Scans a list for a task without a run that the pull may take. If
    /// `search` is enabled, also scans for a task that starves.
    pub(crate) fn scan_for_task(
        &self,
        index: ListIndex,
        pull: &Pull,
        search: StarvationSearch,
        now: Now,
    ) -> ScanResult {
        let list = &self.lists[index];
        let in_shadow = self.queues[list.queue].mode == QueueMode::Shadow;
        let finds_starving = search == StarvationSearch::Enabled && !in_shadow;
        let reserve = self.urgent_reserve(list.queue, pull);
        let bounds = list.pending().bounds();
        let may_admit = bounds.is_some_and(|bounds| {
            reserve.may_admit(&bounds, pull)
                || (bounds.min.fits_in(&pull.free) && self.may_use_urgent_reserve(pull.pool, now))
        });
        if !finds_starving && !may_admit && self.skips_by_bounds {
            return ScanResult::default();
        }
        self.scan_pending(index, pull, reserve, finds_starving, now)
    }

    fn scan_pending(
        &self,
        index: ListIndex,
        pull: &Pull,
        reserve: UrgentReserve,
        finds_starving: bool,
        now: Now,
    ) -> ScanResult {
        let list = &self.lists[index];
        let tenant = &self.tenants[list.tenant];
        let headroom = self.urgent_headroom(index, now.monotonic);
        let Some(allowance) = tenant.allowance_with_headroom(&headroom) else {
            return ScanResult {
                above_limit: true,
                ..ScanResult::default()
            };
        };
        let startable = self.find_startable(list, pull, &reserve, &allowance, now);
        let limit = startable.map(|found| found.order);
        let starving = finds_starving
            .then(|| self.find_starving(list, pull, &reserve, &allowance, limit, now))
            .flatten();
        let is_above = startable.is_none() && !list.pending().any_fits_in(&allowance);
        let limit_allows = |limit: Resources| list.pending().any_fits_in(&limit);
        ScanResult {
            startable: startable.map(|found| found.value),
            starving,
            above_limit: is_above,
            limited_by_headroom: is_above && tenant.allowance().is_some_and(limit_allows),
        }
    }

    /// Finds the first pending task that may start on the runner.
    fn find_startable(
        &self,
        list: &TenantList,
        pull: &Pull,
        reserve: &UrgentReserve,
        allowance: &Resources,
        now: Now,
    ) -> Option<Match<TaskRef>> {
        let may_use_urgent_reserve = self.may_use_urgent_reserve(pull.pool, now);
        let ignores_reserve =
            |since: Monotonic| may_use_urgent_reserve && self.is_overdue(since, now);
        let is_in_scope = |since: Monotonic| match pull.scope {
            PullScope::All => true,
            PullScope::Overdue => self.is_overdue(since, now),
        };
        let query = HeadQuery {
            labels: &pull.labels,
            has_seats: |licence: Option<&LicenceName>| self.has_seats(licence, list.queue, 1),
            may_match: |heads: &HeadSummary| {
                let min = &heads.bounds.min;
                min.fits_in(allowance)
                    && is_in_scope(heads.waiting_since)
                    && (reserve.may_admit(&heads.bounds, pull)
                        || (ignores_reserve(heads.waiting_since) && min.fits_in(&pull.free)))
            },
        };
        let mut accept = |head: &ShapeHead| {
            let task = head.order.task;
            let needs = self.matching_shape(head, &query)?;
            let fits = reserve.admits(needs, pull)
                || (ignores_reserve(head.waiting_since) && needs.resources.fits_in(&pull.free));
            let may_start = needs.resources.fits_in(allowance)
                && is_in_scope(head.waiting_since)
                && fits
                && self.is_eligible(task, needs, pull, now);
            may_start.then_some(task)
        };
        let mut best = None;
        self.find_head(list.pending(), &query, &mut accept, &mut best);
        best
    }

    /// Finds the first pending task that starves and would fit on the empty
    /// runner, among those before `limit`.
    fn find_starving(
        &self,
        list: &TenantList,
        pull: &Pull,
        reserve: &UrgentReserve,
        allowance: &Resources,
        limit: Option<TaskOrder>,
        now: Now,
    ) -> Option<TaskRef> {
        let query = HeadQuery {
            labels: &pull.labels,
            has_seats: |licence: Option<&LicenceName>| self.has_seats(licence, list.queue, 1),
            may_match: |heads: &HeadSummary| {
                heads.bounds.min.fits_in(allowance)
                    && heads.bounds.min.fits_in(&pull.capacity)
                    && self.has_waited_long(heads.waiting_since, now)
            },
        };
        let mut accept = |head: &ShapeHead| {
            let task = head.order.task;
            let needs = self.matching_shape(head, &query)?;
            let starves = needs.resources.fits_in(allowance)
                && needs.resources.fits_in(&pull.capacity)
                && self.starves(head, now)
                && !reserve.admits(needs, pull)
                && self.is_eligible(task, needs, pull, now);
            starves.then_some(Some(task))
        };
        let mut best = limit.map(|order| Match { order, value: None });
        self.find_head(list.pending(), &query, &mut accept, &mut best);
        best?.value
    }

    /// Returns the shape of a head; `None` when its labels or its licence rule it
    /// out.
    pub(crate) fn matching_shape<M>(
        &self,
        head: &ShapeHead,
        query: &HeadQuery<'_, impl Fn(Option<&LicenceName>) -> bool, M>,
    ) -> Option<&Arc<Shape>> {
        let needs = self.shapes.get(head.shape)?;
        let matches = needs.matches(query.labels) && (query.has_seats)(needs.licence.as_ref());
        matches.then_some(needs)
    }

    /// Finds the first of the tasks that the query selects, that `accept`
    /// accepts, and that comes before `best`.
    pub(crate) fn find_head<T>(
        &self,
        tasks: &PendingList,
        query: &HeadQuery<'_, impl Fn(Option<&LicenceName>) -> bool, impl Fn(&HeadSummary) -> bool>,
        accept: &mut impl FnMut(&ShapeHead) -> Option<T>,
        best: &mut Option<Match<T>>,
    ) {
        if !self.uses_indexes {
            self.find_head_exhaustively(tasks, accept, best);
            return;
        }
        let counted = HeadQuery {
            labels: query.labels,
            has_seats: &query.has_seats,
            may_match: |heads: &HeadSummary| {
                self.count_scan();
                (query.may_match)(heads)
            },
        };
        tasks.find_first(&counted, accept, best);
    }

    /// Finds the same task as [`View::find_head`] by examining the first task of
    /// every shape.
    fn find_head_exhaustively<T>(
        &self,
        tasks: &PendingList,
        accept: &mut impl FnMut(&ShapeHead) -> Option<T>,
        best: &mut Option<Match<T>>,
    ) {
        for head in tasks.heads() {
            self.count_scan();
            if best.as_ref().is_some_and(|best| best.order <= head.order) {
                return;
            }
            if let Some(value) = accept(&head) {
                let order = head.order;
                *best = Some(Match { order, value });
            }
        }
    }

    /// Scans a list for a running task that may have a further copy on the runner.
    pub(crate) fn scan_for_copy(&self, index: ListIndex, pull: &Pull) -> ScanResult {
        let list = &self.lists[index];
        let Some(allowance) = self.tenants[list.tenant].allowance() else {
            return ScanResult::default();
        };
        let largest = allowance.component_min(&pull.free);
        let query = HeadQuery {
            labels: &pull.labels,
            has_seats: |licence: Option<&LicenceName>| self.has_seats(licence, list.queue, 1),
            may_match: |heads: &HeadSummary| heads.bounds.min.fits_in(&largest),
        };
        let mut accept = |head: &ShapeHead| {
            let needs = self.matching_shape(head, &query)?;
            let may_copy =
                needs.resources.fits_in(&largest) && self.is_below_step_limit(needs, pull.runner);
            may_copy
                .then(|| self.task_without_run_on(list.copyable(), head.shape, pull.runner))
                .flatten()
        };
        let mut best = None;
        self.find_head(list.copyable(), &query, &mut accept, &mut best);
        ScanResult {
            startable: best.map(|found| found.value),
            ..ScanResult::default()
        }
    }

    /// Returns the first task of a shape that has no run on the runner. At most
    /// as many tasks are skipped as runs are open on the runner.
    fn task_without_run_on(
        &self,
        tasks: &PendingList,
        shape: ShapeIndex,
        runner: RunnerIndex,
    ) -> Option<TaskRef> {
        tasks
            .tasks_of_shape(shape)
            .map(|order| order.task)
            .find(|task| !self.runs.has_task_on_runner(*task, runner))
    }

    /// Returns whether a wait is long enough to count as starving.
    pub(crate) fn has_waited_long(&self, waiting_since: Monotonic, now: Now) -> bool {
        now.monotonic.since(waiting_since) >= self.options.reserve_after
    }

    /// Returns whether a task starves: it has waited for `reserve_after` while
    /// smaller tasks could take the capacity that it needs. Among tasks of
    /// equal size only the draw decides, however long they wait.
    pub(crate) fn starves(&self, head: &ShapeHead, now: Now) -> bool {
        self.has_waited_long(head.waiting_since, now) && self.shapes.has_smaller(head.shape)
    }
}
