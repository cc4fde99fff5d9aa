//! Which gangs of a list may be placed at all.
//!
//! To choose runners for a gang examines all runners of its pool. Gangs for which
//! these have no room are ruled out before, by the indexes of their tasks, so
//! that the cost of a placement does not depend on how many of them wait.

use crate::head::ShapeHead;
use crate::index::{ListIndex, PoolIndex, ShapeIndex};
use crate::needs_tree::HeadSummary;
use crate::pending::HeadQuery;
use crate::step::StepRef;
use crate::view::View;
use indexmap::IndexMap;
use std::collections::BTreeMap;
use types::{Labels, LicenceName, Now, Resources};

/// Runners of a pool that have the same labels and may pull.
#[derive(Debug, Clone, Copy, Default)]
struct RunnerGroup {
    runners: usize,
    /// Largest amount of each kind of resource that one of them has free.
    max_free: Resources,
    /// Largest amount of each kind of resource that one of them has.
    max_capacity: Resources,
}

/// Upper bounds on the number of tasks of one shape that runners could take.
#[derive(Debug, Clone, Copy, Default)]
struct ShapeRoom {
    now: usize,
    when_empty: usize,
}

/// Room for the tasks of a list's gangs. A shape without an entry fits on no
/// runner, not even on an empty one.
#[derive(Debug, Clone, Default)]
pub(crate) struct GangRoom {
    by_shape: BTreeMap<ShapeIndex, ShapeRoom>,
}

impl View {
    /// Returns the room for the gangs of a list.
    pub(crate) fn gang_room(&self, list: ListIndex, now: Now) -> GangRoom {
        let mut room = GangRoom::default();
        let list = &self.lists[list];
        let Some(pool) = self.queues[list.queue].starting_pool() else {
            return room;
        };
        for (labels, group) in self.runner_groups(pool, now) {
            let query = HeadQuery {
                labels,
                has_seats: |_: Option<&LicenceName>| true,
                may_match: |heads: &HeadSummary| {
                    self.count_scan();
                    heads.bounds.min.fits_in(&group.max_capacity)
                },
            };
            let mut add_room = |head: &ShapeHead| {
                let needs = &self.shapes.get(head.shape)?.resources;
                let shape = room.by_shape.entry(head.shape).or_default();
                shape.now += group
                    .runners
                    .saturating_mul(needs.count_in(&group.max_free));
                shape.when_empty += group
                    .runners
                    .saturating_mul(needs.count_in(&group.max_capacity));
                None::<()>
            };
            list.in_gang().find_first(&query, &mut add_room, &mut None);
        }
        room
    }

    /// Returns the groups of the pool's runners that may pull, by their labels.
    fn runner_groups(&self, pool: PoolIndex, now: Now) -> IndexMap<&Labels, RunnerGroup> {
        self.count_scans(self.pools[pool].runner_count());
        let mut groups: IndexMap<&Labels, RunnerGroup> = IndexMap::new();
        for runner in self.pools[pool].runners() {
            let state = &self.runners[runner];
            let Some(last) = &state.reported else {
                continue;
            };
            if self.pull_rejection(runner, now).is_none() {
                let group = groups.entry(&last.labels).or_default();
                group.runners += 1;
                group.max_free = group.max_free.component_max(&state.free());
                group.max_capacity = group.max_capacity.component_max(&last.capacity);
            }
        }
        groups
    }

    /// Returns `false` only when the gang can neither be placed now nor get
    /// runners reserved.
    pub(crate) fn may_place_gang(&self, step: StepRef, room: &GangRoom, now: Now) -> bool {
        if !self.uses_indexes {
            return true;
        }
        let Some(gang) = self.gangs.get(step) else {
            return false;
        };
        let Some(first) = self.tasks.get(step.task(0)) else {
            return false;
        };
        let size = gang.size as usize;
        let Some(room) = room.by_shape.get(&first.shape) else {
            return false;
        };
        room.now >= size
            || (room.when_empty >= size
                && self.has_waited_long(first.waiting_since, now)
                && now.monotonic >= gang.next_search
                && self.may_reserve_for_gang(step, gang.list))
    }

    /// Returns whether runners are reserved for this gang, or could be: the pool
    /// has reservations for one gang at a time.
    fn may_reserve_for_gang(&self, step: StepRef, list: ListIndex) -> bool {
        let pool = self.queues[self.lists[list].queue].starting_pool();
        let reserved = pool.into_iter().flat_map(|pool| self.backfills.tasks(pool));
        reserved
            .filter(|task| self.gangs.contains(*task))
            .all(|task| StepRef::of(task) == step)
    }
}
