//! Placement of complete gangs.
//!
//! A gang is placed as a whole or not at all. Tenant lists with a complete gang
//! are drawn uniformly, and a list's oldest gang is placed first. In each pool,
//! runners are reserved for at most one starving gang at a time.

use crate::backfill::Backfill;
use crate::decision::Decision;
use crate::gang::Gang;
use crate::index::{ListIndex, PoolIndex, RunnerIndex};
use crate::shape::Shape;
use crate::step::StepRef;
use crate::view::View;
use rand::Rng;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use types::{Milliseconds, Monotonic, Now, RackName, TaskRef};

/// Runner that may take tasks of a gang.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    runner: RunnerIndex,
    rack: RackName,
    /// Number of the gang's tasks that fit now.
    pub(crate) fits: usize,
    /// Number of the gang's tasks that would fit on the empty runner.
    fits_empty: usize,
    /// Number of the gang's tasks that can be expected to fit within the time of a
    /// reservation.
    pub(crate) fits_foreseeable: usize,
}

/// Complete gang that its queue, resource limit and licence allow to start.
#[derive(Debug, Clone)]
struct AllowedGang {
    step: StepRef,
    /// Number of tasks of the gang.
    size: u32,
    pool: PoolIndex,
    needs: Arc<Shape>,
    same_rack: bool,
    /// Time at which the gang's first task started to wait.
    waiting_since: Monotonic,
    /// Time since then.
    waited: Milliseconds,
    /// Time before which no runners are searched to reserve.
    next_search: Monotonic,
}

impl AllowedGang {
    fn first_task(&self) -> TaskRef {
        self.step.task(0)
    }

    fn len(&self) -> usize {
        self.size as usize
    }
}

impl View {
    /// Places complete gangs as long as the number of decisions stays within
    /// `limit`. The first gang may exceed it, since one that is larger than any
    /// limit would never start otherwise.
    pub(crate) fn place_gangs(&mut self, now: Now, limit: usize, decisions: &mut Vec<Decision>) {
        let mut waiting = self.gangs.complete_by_list();
        while !waiting.is_empty() {
            let Some(list) = self.draw_gang_list(&waiting) else {
                return;
            };
            let room = self.gang_room(list, now);
            for step in waiting.remove(&list).unwrap_or_default() {
                let size = self.gangs.get(step).map_or(0, |gang| gang.size as usize);
                let is_within_limit = decisions.is_empty() || decisions.len() + size <= limit;
                if limit > 0 && is_within_limit && self.may_place_gang(step, &room, now) {
                    decisions.extend(self.place_gang(step, now));
                }
            }
        }
    }

    /// Draws uniformly among the lists of the most urgent queues. Returns
    /// `None` when there is no list.
    fn draw_gang_list(&mut self, waiting: &BTreeMap<ListIndex, Vec<StepRef>>) -> Option<ListIndex> {
        let priority = |list: &ListIndex| self.queues[self.lists[*list].queue].priority;
        let first_priority = waiting.keys().map(priority).min()?;
        let drawable: Vec<ListIndex> = waiting
            .keys()
            .filter(|list| priority(list) == first_priority)
            .copied()
            .collect();
        let drawn = self.random.random_range(0..drawable.len());
        drawable.get(drawn).copied()
    }

    /// Binds all tasks of a gang or none of them.
    fn place_gang(&mut self, step: StepRef, now: Now) -> Vec<Decision> {
        let gang = self.gangs.get(step);
        let Some(gang) = gang.and_then(|gang| self.allowed_gang(step, gang, now)) else {
            return Vec::new();
        };
        let candidates = self.gang_candidates(&gang, now);
        let Some(runners) = self.choose_gang_runners(&gang, &candidates) else {
            if self.may_search_for_gang(&gang, now) {
                self.reserve_for_gang(&gang, &candidates, now);
            }
            return Vec::new();
        };
        self.backfills.release_step(step, gang.pool);
        let tasks = (0..gang.size).map(|task| step.task(task));
        tasks
            .zip(runners)
            .filter_map(|(task, runner)| self.bind_gang_task(task, runner, now))
            .collect()
    }

    /// Returns whether runners may be searched to reserve for the gang.
    fn may_search_for_gang(&self, gang: &AllowedGang, now: Now) -> bool {
        self.options.policy.backfill_reservations
            && gang.waited >= self.options.reserve_after
            && now.monotonic >= gang.next_search
    }

    /// Returns the gang if its queue, resource limit and licence let it start.
    fn allowed_gang(&self, step: StepRef, gang: &Gang, now: Now) -> Option<AllowedGang> {
        let queue = self.lists[gang.list].queue;
        let pool = self.queues[queue].starting_pool()?;
        let first = self.tasks.get(step.task(0))?;
        let needs = self.shapes.get(first.shape)?;
        let all_needs = needs.resources.times(gang.size);
        let is_allowed = self.list_allows(gang.list, &all_needs, now)
            && self.has_seats(needs.licence.as_ref(), queue, gang.size);
        is_allowed.then(|| AllowedGang {
            step,
            size: gang.size,
            pool,
            needs: Arc::clone(needs),
            same_rack: first.rules.same_rack,
            waiting_since: first.waiting_since,
            waited: now.monotonic.since(first.waiting_since),
            next_search: gang.next_search,
        })
    }

    /// Chooses runners for all tasks, within one rack if possible. A gang with
    /// the rule `same_rack` waits up to `locality_wait` for that.
    fn choose_gang_runners(
        &self,
        gang: &AllowedGang,
        candidates: &[Candidate],
    ) -> Option<Vec<RunnerIndex>> {
        let any_rack = !gang.same_rack || gang.waited >= self.options.locality_wait;
        choose_in_rack(candidates, &gang.needs, gang.len()).or_else(|| {
            any_rack
                .then(|| choose_best_fit(candidates.iter(), gang.len()))
                .flatten()
        })
    }

    fn gang_candidates(&mut self, gang: &AllowedGang, now: Now) -> Vec<Candidate> {
        self.count_scans(self.pools[gang.pool].runner_count());
        let runners: Vec<RunnerIndex> = self.pools[gang.pool].runners().collect();
        let goes_first =
            self.is_overdue(gang.waiting_since, now) && self.is_underused(gang.pool, now);
        let mut candidates = Vec::new();
        for runner in runners {
            let reserved = self.reserved_task(runner, now);
            let reserved_for_other = reserved.is_some_and(|task| StepRef::of(task) != gang.step);
            if (!reserved_for_other || goes_first) && self.pull_rejection(runner, now).is_none() {
                candidates.extend(self.gang_candidate(runner, &gang.needs, now.monotonic));
            }
        }
        candidates
    }

    /// Returns the runner as a candidate for a gang's tasks; `None` when it lacks
    /// a label.
    pub(crate) fn gang_candidate(
        &self,
        runner: RunnerIndex,
        needs: &Shape,
        now: Monotonic,
    ) -> Option<Candidate> {
        let state = &self.runners[runner];
        let last = state.reported.as_ref()?;
        let max_tasks = needs
            .spread
            .map_or(usize::MAX, |spread| spread.max_per_runner as usize);
        needs.matches(&last.labels).then(|| Candidate {
            runner,
            rack: last.rack.clone(),
            fits: needs.resources.count_in(&state.free()).min(max_tasks),
            fits_empty: needs.resources.count_in(&last.capacity).min(max_tasks),
            fits_foreseeable: needs
                .resources
                .count_in(&self.foreseeable(runner, now))
                .min(max_tasks),
        })
    }

    /// Reserves runners that together can take the gang, in order of how many
    /// of its tasks fit now. Releases them if they cannot be expected to become free.
    fn reserve_for_gang(&mut self, gang: &AllowedGang, candidates: &[Candidate], now: Now) {
        let is_other_gang_reserved = self
            .backfills
            .tasks(gang.pool)
            .any(|task| self.gangs.contains(task) && StepRef::of(task) != gang.step);
        let max_tasks_when_empty: usize = candidates.iter().map(|c| c.fits_empty).sum();
        if is_other_gang_reserved || max_tasks_when_empty < gang.len() {
            return;
        }
        let max_tasks: usize = candidates.iter().map(|c| c.fits_foreseeable).sum();
        if max_tasks < gang.len() {
            self.backfills.release_step(gang.step, gang.pool);
            let next_search = now.monotonic + self.options.reserve_after;
            self.gangs.set_next_search(gang.step, next_search);
            return;
        }
        let fitting = candidates.iter().filter(|c| c.fits_foreseeable > 0);
        let mut order: Vec<&Candidate> = fitting.collect();
        order.sort_by_key(|candidate| Reverse((candidate.fits, candidate.fits_foreseeable)));
        let backfill = Backfill {
            task: gang.first_task(),
            reserved_at: now.monotonic,
        };
        let mut reserved = 0;
        for candidate in order {
            if reserved >= gang.len() {
                return;
            }
            reserved += candidate.fits_foreseeable;
            self.backfills
                .reserve(candidate.runner, gang.pool, backfill);
        }
    }
}

/// Chooses runners for all tasks within one rack. Tries the preferred rack
/// first; returns `None` when no rack has capacity for all tasks.
fn choose_in_rack(
    candidates: &[Candidate],
    needs: &Shape,
    size: usize,
) -> Option<Vec<RunnerIndex>> {
    let preferred = needs.preferred_rack.as_ref();
    let mut racks: Vec<&RackName> = candidates.iter().map(|c| &c.rack).collect();
    racks.sort_by_key(|rack| (preferred != Some(*rack), *rack));
    racks.dedup();
    racks.into_iter().find_map(|rack| {
        let within = candidates.iter().filter(|c| c.rack == *rack);
        choose_best_fit(within, size)
    })
}

/// Chooses runners for all tasks, those with the least free resources first, so
/// that large free capacity is not fragmented. Returns `None` when the tasks do
/// not all fit.
fn choose_best_fit<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    size: usize,
) -> Option<Vec<RunnerIndex>> {
    let mut order: Vec<&Candidate> = candidates.collect();
    order.sort_by_key(|candidate| candidate.fits);
    let assignments = order
        .into_iter()
        .flat_map(|candidate| std::iter::repeat_n(candidate.runner, candidate.fits.min(size)));
    let chosen: Vec<RunnerIndex> = assignments.take(size).collect();
    (chosen.len() == size).then_some(chosen)
}
