//! Scan of one tenant list for a task that a pull may take.

use crate::eligibility::UrgentReserve;
use crate::index::{ListIndex, ShapeIndex};
use crate::pull::{Pull, StarvationSearch};
use crate::tenant_list::TenantList;
use crate::view::View;
use configuration::QueueMode;
use types::{Now, Resources, TaskRef};

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
        let may_admit = bounds.is_some_and(|bounds| reserve.may_admit(&bounds, pull));
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
        let headroom = self.urgent_headroom(index, now.monotonic);
        let mut result = ScanResult {
            above_limit: true,
            ..ScanResult::default()
        };
        for head in self.scanned_heads(list.pending()) {
            self.count_scan();
            let task = head.order.task;
            let Some(needs) = self.shapes.get(head.shape) else {
                continue;
            };
            if self.is_above_limit(list, &needs.resources, &headroom, &mut result) {
                continue;
            }
            let admitted = reserve.admits(needs, pull);
            let may_starve = finds_starving
                && result.starving.is_none()
                && needs.resources.fits_in(&pull.capacity)
                && self.starves(task, now);
            // The most expensive check comes last.
            if !(admitted || may_starve)
                || !needs.matches(&pull.labels)
                || !self.has_seats(needs, list.queue, 1)
                || !self.is_eligible(task, needs, pull, now)
            {
                continue;
            }
            if admitted {
                result.startable = Some(task);
                break;
            }
            result.starving = Some(task);
        }
        result
    }

    /// Returns whether a task of the list would exceed the tenant's limit or
    /// the headroom below it, and records that in the result.
    fn is_above_limit(
        &self,
        list: &TenantList,
        needs: &Resources,
        headroom: &Resources,
        result: &mut ScanResult,
    ) -> bool {
        let tenant = &self.tenants[list.tenant];
        let is_above = !tenant.allows_with_headroom(needs, headroom);
        if is_above {
            result.limited_by_headroom |= tenant.allows(needs);
        } else {
            result.above_limit = false;
        }
        is_above
    }

    /// Scans a list for a running task that may have a further copy on the runner.
    pub(crate) fn scan_for_copy(&self, index: ListIndex, pull: &Pull) -> ScanResult {
        let list = &self.lists[index];
        let bounds = list.copyable().bounds();
        if !bounds.is_some_and(|bounds| bounds.min.fits_in(&pull.free)) {
            return ScanResult::default();
        }
        let startable = self
            .scanned_heads(list.copyable())
            .filter(|head| self.may_copy(list, head.shape, pull))
            .flat_map(|head| list.copyable().tasks_of_shape(head.shape))
            .take(self.max_scanned())
            .map(|order| order.task)
            .find(|task| !self.runs.has_task_on_runner(*task, pull.runner));
        ScanResult {
            startable,
            ..ScanResult::default()
        }
    }

    fn may_copy(&self, list: &TenantList, shape: ShapeIndex, pull: &Pull) -> bool {
        self.count_scan();
        self.shapes.get(shape).is_some_and(|needs| {
            self.tenants[list.tenant].allows(&needs.resources)
                && self.has_seats(needs, list.queue, 1)
                && needs.matches(&pull.labels)
                && self.is_below_step_limit(needs, pull.runner)
                && needs.resources.fits_in(&pull.free)
        })
    }

    /// Returns whether a task starves: it has waited for `reserve_after` while
    /// smaller tasks could take the capacity that it needs. Among tasks of
    /// equal size only the draw decides, however long they wait.
    pub(crate) fn starves(&self, task: TaskRef, now: Now) -> bool {
        self.tasks.get(task).is_some_and(|entry| {
            now.monotonic.since(entry.waiting_since) >= self.options.reserve_after
                && self.shapes.has_smaller(entry.shape)
        })
    }
}
