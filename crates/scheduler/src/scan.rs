//! A look into one tenant's list: what of it a runner could take.

use crate::Scheduler;
use crate::draw::Offer;
use crate::pending::Order;
use crate::queue::ListIndex;
use crate::shape::ShapeIndex;
use configuration::QueueMode;
use types::{Now, TaskRef};

/// Whether a pull looks for tasks that wait too long beside smaller ones. A
/// placement over all runners does not: it goes through the lists for that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Starving {
    /// Tasks that do not fit are looked at as well.
    Search,
    /// Only what may start is looked at.
    PassOver,
}

/// What a look into one tenant's list found.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ScanResult {
    pub(crate) startable: Option<TaskRef>,
    /// Waits longer than a task should and fits an empty runner like this one.
    pub(crate) starving: Option<TaskRef>,
    /// Every task looked at would exceed the tenant's resource limit, or what is left
    /// of it beside the part kept for urgent work.
    pub(crate) above_limit: bool,
    /// Some task would start but for that part.
    pub(crate) limited_by_headroom: bool,
}

impl Scheduler {
    /// The task of a list that a pull may take, or one that starves.
    pub(crate) fn scan_for_task(
        &self,
        index: ListIndex,
        offer: &Offer,
        starving: Starving,
        now: Now,
    ) -> ScanResult {
        let list = &self.lists[index];
        let tenant = &self.tenants[list.tenant];
        let in_shadow = self.queues[list.queue].mode == QueueMode::Shadow;
        let searches = starving == Starving::Search && !in_shadow;
        let reserve = self.reserve_beside(list.queue, offer);
        let bounds = list.pending.bounds();
        let may_admit = bounds.is_some_and(|bounds| reserve.may_admit(&bounds, offer));
        if !searches && !may_admit && self.passes_over {
            return ScanResult::default();
        }
        let headroom = self.urgent_headroom_of(index, now.monotonic);
        let mut finding = ScanResult {
            above_limit: true,
            ..ScanResult::default()
        };
        for ((_, task), shape) in self.scan_depth(list.pending.heads()) {
            self.record_scan();
            let Some(needs) = self.shapes.get(shape) else {
                continue;
            };
            if !tenant.allows_beside(&needs.resources, &headroom) {
                finding.limited_by_headroom |= tenant.allows(&needs.resources);
                continue;
            }
            finding.above_limit = false;
            let admitted = reserve.admits(needs, offer);
            let may_starve = searches
                && finding.starving.is_none()
                && needs.resources.fits_in(&offer.capacity)
                && self.starves(task, now);
            // What costs most to find out comes last.
            if !(admitted || may_starve)
                || !needs.matches(&offer.labels)
                || !self.has_seats(needs, list.queue, 1)
                || !self.suits(task, needs, offer, now)
            {
                continue;
            }
            if admitted {
                finding.startable = Some(task);
                break;
            }
            finding.starving = Some(task);
        }
        finding
    }

    /// A running task of a list that may have a further copy on the runner.
    pub(crate) fn scan_for_copy(&self, index: ListIndex, offer: &Offer) -> ScanResult {
        let list = &self.lists[index];
        let tenant = &self.tenants[list.tenant];
        let bounds = list.copies.bounds();
        if !bounds.is_some_and(|bounds| bounds.min.fits_in(&offer.free)) {
            return ScanResult::default();
        }
        let fits = |shape: ShapeIndex| {
            self.record_scan();
            self.shapes.get(shape).is_some_and(|needs| {
                tenant.allows(&needs.resources)
                    && self.has_seats(needs, list.queue, 1)
                    && needs.matches(&offer.labels)
                    && self.is_below_step_limit(needs, offer.runner)
                    && needs.resources.fits_in(&offer.free)
            })
        };
        let shapes = self.scan_depth(list.copies.heads());
        let tasks = shapes
            .filter(|(_, shape)| fits(*shape))
            .flat_map(|(_, shape)| list.copies.of_shape(shape))
            .take(self.options.scan_depth.saturating_add(1));
        let startable = tasks
            .map(|(_, task)| task)
            .find(|task| !self.runs_on(*task, offer.runner));
        ScanResult {
            startable,
            ..ScanResult::default()
        }
    }

    pub(crate) fn scan_depth<'a>(
        &self,
        heads: impl Iterator<Item = (Order, ShapeIndex)> + 'a,
    ) -> impl Iterator<Item = (Order, ShapeIndex)> + 'a {
        heads.take(self.options.scan_depth.saturating_add(1))
    }

    /// True for a task that has waited long beside smaller ones. Among equals
    /// the draw alone decides, however long they wait.
    pub(crate) fn starves(&self, task: TaskRef, now: Now) -> bool {
        self.tasks.get(&task).is_some_and(|entry| {
            now.monotonic.since(entry.waiting_since) >= self.options.reserve_after
                && self.shapes.has_smaller(entry.shape)
        })
    }
}
