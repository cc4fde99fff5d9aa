//! Seats of a licence that less urgent work leaves to more urgent work.
//!
//! One free seat is set aside for each waiting task of a more urgent queue, in
//! any pool. A task that cannot start in a foreseeable time gets none, since no runner
//! could take it, its tenant is at its limit, or its gang needs more seats than become free:
//! otherwise enough of them would keep all seats from less urgent work for good.

use crate::head::ShapeHead;
use crate::index::{ListIndex, PoolIndex, QueueIndex, RunnerIndex, ShapeIndex};
use crate::licence::Licence;
use crate::needs_tree::HeadSummary;
use crate::pending::HeadQuery;
use crate::run::Run;
use crate::runner_kind::RunnerKind;
use crate::shape::Shape;
use crate::view::View;
use indexmap::IndexSet;
use std::collections::BTreeSet;
use types::LicenceName;

impl View {
    /// Returns whether `wanted` seats of the licence are available to the queue;
    /// tasks without a licence need none.
    pub(crate) fn has_seats(
        &self,
        licence: Option<&LicenceName>,
        queue: QueueIndex,
        wanted: u32,
    ) -> bool {
        let Some(name) = licence else {
            return true;
        };
        let Some(licence) = self.licences.get(name) else {
            return false;
        };
        let Some(spare) = licence.free().checked_sub(wanted) else {
            return false;
        };
        let priority = self.queues[queue].priority;
        let is_more_urgent = |other: QueueIndex| {
            let other = &self.queues[other];
            other.starting_pool().is_some() && other.priority < priority
        };
        let spare = spare as usize;
        licence.waiting_in(is_more_urgent) <= spare
            || self.count_placeable(name, is_more_urgent, spare) <= spare
    }

    /// Returns the number of waiting tasks of the licence, in the queues that
    /// `include` selects, that some runner could take in a foreseeable time. Stops counting
    /// once the number exceeds `limit`.
    fn count_placeable(
        &self,
        licence: &LicenceName,
        include: impl Fn(QueueIndex) -> bool,
        limit: usize,
    ) -> usize {
        let mut count = 0;
        for index in (0..self.queues.len()).filter(|index| include(*index)) {
            let queue = &self.queues[index];
            let Some(pool) = queue.starting_pool() else {
                continue;
            };
            let kinds = self.present_kinds(pool);
            for &list in &queue.lists {
                count += self.count_placeable_tasks(list, licence, &kinds);
                count += self.count_placeable_gang_tasks(list, licence, pool);
                if count > limit {
                    return count;
                }
            }
        }
        count
    }

    /// Returns the different kinds of the pool's runners that take work.
    fn present_kinds(&self, pool: PoolIndex) -> IndexSet<RunnerKind> {
        self.count_scans(self.pools[pool].runner_count());
        self.runner_kinds(self.working_runners(pool), self.latest())
    }

    fn count_placeable_tasks(
        &self,
        list: ListIndex,
        licence: &LicenceName,
        kinds: &IndexSet<RunnerKind>,
    ) -> usize {
        let tasks = self.lists[list].pending();
        let tenant = &self.tenants[self.lists[list].tenant];
        let Some(allowance) = tenant.allowance() else {
            return 0;
        };
        let mut shapes: BTreeSet<ShapeIndex> = BTreeSet::new();
        for kind in kinds {
            let largest = kind.foreseeable.component_min(&allowance);
            let query = HeadQuery {
                labels: &kind.labels,
                has_seats: |other: Option<&LicenceName>| other == Some(licence),
                may_match: |heads: &HeadSummary| {
                    self.count_scan();
                    heads.bounds.min.fits_in(&largest)
                },
            };
            let mut record = |head: &ShapeHead| {
                let needs = self.shapes.get(head.shape)?;
                if needs.resources.fits_in(&largest) {
                    shapes.insert(head.shape);
                }
                None::<()>
            };
            tasks.find_first(&query, &mut record, &mut None);
        }
        shapes
            .iter()
            .map(|shape| tasks.count_of_shape(*shape))
            .sum()
    }

    fn count_placeable_gang_tasks(
        &self,
        list: ListIndex,
        licence: &LicenceName,
        pool: PoolIndex,
    ) -> usize {
        let tenant = &self.tenants[self.lists[list].tenant];
        let gangs = self.gangs.of_list(list);
        let placeable = gangs.filter(|(step, gang)| {
            let first = gang.first_task(*step);
            let entry = first.and_then(|task| self.tasks.get(task));
            let needs = entry.and_then(|entry| self.shapes.get(entry.shape));
            needs.is_some_and(|needs| {
                let size = gang.size as usize;
                needs.licence.as_ref() == Some(licence)
                    && tenant.allows(&needs.resources.times(gang.size))
                    && self.foreseeable_seats(licence) >= size
                    && self.max_gang_size(needs, pool) >= size
            })
        });
        placeable.map(|(_, gang)| gang.startable_count()).sum()
    }

    /// Returns the number of seats that can be expected to be free within the time of a
    /// reservation.
    fn foreseeable_seats(&self, licence: &LicenceName) -> usize {
        let seats = self.licences.get(licence).map_or(0, Licence::seats);
        let horizon = self.max_backfill_duration();
        let of_licence = |run: &Run| run.licence.as_ref() == Some(licence);
        let runs = self.runs.iter().filter(|(_, run)| of_licence(run));
        let going_on = runs.filter(|(id, run)| {
            let runner = &self.runners[run.runner];
            !runner.ends_within(*id, horizon, self.latest())
        });
        (seats as usize).saturating_sub(going_on.count())
    }

    /// Returns how many tasks of a gang the pool's runners could take together
    /// in a foreseeable time.
    fn max_gang_size(&self, needs: &Shape, pool: PoolIndex) -> usize {
        self.count_scans(self.pools[pool].runner_count());
        self.working_runners(pool)
            .filter_map(|runner| self.gang_candidate(runner, needs, self.latest()))
            .map(|candidate| candidate.fits_foreseeable)
            .fold(0, usize::saturating_add)
    }

    /// Returns the pool's runners that take work.
    fn working_runners(&self, pool: PoolIndex) -> impl Iterator<Item = RunnerIndex> {
        let max_age = self.options.unresponsive_after;
        self.pools[pool]
            .runners()
            .filter(move |runner| self.runners[*runner].takes_work(self.latest(), max_age))
    }
}
