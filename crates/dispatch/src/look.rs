//! A look into one tenant's list: what of it a runner could take.

use crate::Dispatcher;
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
pub(crate) struct Finding {
    pub(crate) startable: Option<TaskRef>,
    /// Waits longer than a task should and fits an empty runner like this one.
    pub(crate) starving: Option<TaskRef>,
    /// Every task looked at would exceed the tenant's ceiling, or what is left
    /// of it beside the part kept for urgent work.
    pub(crate) above_ceiling: bool,
    /// Some task would start but for that part.
    pub(crate) leaves_room: bool,
}

impl Dispatcher {
    /// The task of a list that a pull may take, or one that starves.
    pub(crate) fn look_for_task(
        &self,
        index: ListIndex,
        offer: &Offer,
        starving: Starving,
        now: Now,
    ) -> Finding {
        let list = &self.lists[index];
        let tenant = &self.tenants[list.tenant];
        let in_shadow = self.queues[list.queue].mode == QueueMode::Shadow;
        let searches = starving == Starving::Search && !in_shadow;
        let reserve = self.reserve_beside(list.queue, offer);
        let bounds = list.pending.bounds();
        let may_admit = bounds.is_some_and(|bounds| reserve.may_admit(&bounds, offer));
        if !searches && !may_admit && self.passes_over {
            return Finding::default();
        }
        let kept = self.kept_for_urgent(index, now.monotonic);
        let mut finding = Finding {
            above_ceiling: true,
            ..Finding::default()
        };
        for ((_, task), shape) in self.look_ahead(list.pending.heads()) {
            self.note_look();
            let Some(needs) = self.shapes.get(shape) else {
                continue;
            };
            if !tenant.allows_beside(&needs.resources, &kept) {
                finding.leaves_room |= tenant.allows(&needs.resources);
                continue;
            }
            finding.above_ceiling = false;
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
    pub(crate) fn look_for_copy(&self, index: ListIndex, offer: &Offer) -> Finding {
        let list = &self.lists[index];
        let tenant = &self.tenants[list.tenant];
        let bounds = list.copies.bounds();
        if !bounds.is_some_and(|bounds| bounds.least.fits_in(&offer.room)) {
            return Finding::default();
        }
        let fits = |shape: ShapeIndex| {
            self.note_look();
            self.shapes.get(shape).is_some_and(|needs| {
                tenant.allows(&needs.resources)
                    && self.has_seats(needs, list.queue, 1)
                    && needs.matches(&offer.labels)
                    && self.may_hold_more(needs, offer.runner)
                    && needs.resources.fits_in(&offer.room)
            })
        };
        let shapes = self.look_ahead(list.copies.heads());
        let tasks = shapes
            .filter(|(_, shape)| fits(*shape))
            .flat_map(|(_, shape)| list.copies.of_shape(shape))
            .take(self.options.look_ahead.saturating_add(1));
        let startable = tasks
            .map(|(_, task)| task)
            .find(|task| !self.runs_on(*task, offer.runner));
        Finding {
            startable,
            ..Finding::default()
        }
    }

    pub(crate) fn look_ahead<'a>(
        &self,
        heads: impl Iterator<Item = (Order, ShapeIndex)> + 'a,
    ) -> impl Iterator<Item = (Order, ShapeIndex)> + 'a {
        heads.take(self.options.look_ahead.saturating_add(1))
    }

    /// True for a task that has waited long beside smaller ones. Among equals
    /// the draw alone decides, however long they wait.
    pub(crate) fn starves(&self, task: TaskRef, now: Now) -> bool {
        self.tasks.get(&task).is_some_and(|entry| {
            now.monotonic.since(entry.waiting_since) >= self.options.hold_after
                && self.shapes.has_smaller(entry.shape)
        })
    }
}
