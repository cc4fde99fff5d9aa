//! Gangs: steps whose tasks work only all together.
//!
//! A gang's tasks wait apart from the pending lists. Once all of them may
//! start, the gang is placed as a whole or not at all: tenants with a complete
//! gang are drawn uniformly, and a tenant's oldest gang goes first. A gang that
//! waits long has runners kept free for it, one gang of a pool at a time.

use crate::backfill::Backfill;
use crate::queue::ListIndex;
use crate::runner::RunnerIndex;
use crate::shape::{Shape, StepRef};
use crate::{Decision, Scheduler};
use configuration::QueueMode;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use types::{Now, RackName, TaskRef};

/// The tasks of one gang that may start.
#[derive(Debug, Clone)]
struct Gang {
    list: ListIndex,
    size: u32,
    tasks: BTreeSet<u32>,
}

/// All gangs of which a task may start.
#[derive(Debug, Clone, Default)]
pub(crate) struct Gangs {
    gangs: BTreeMap<StepRef, Gang>,
}

impl Gangs {
    /// A member may start.
    pub(crate) fn gather(&mut self, task: TaskRef, size: u32, list: ListIndex) {
        let gang = self.gangs.entry(StepRef::of(task)).or_insert_with(|| Gang {
            list,
            size,
            tasks: BTreeSet::new(),
        });
        gang.tasks.insert(task.task);
    }

    /// A member may not start any more.
    pub(crate) fn leave(&mut self, task: TaskRef) {
        let step = StepRef::of(task);
        let Some(gang) = self.gangs.get_mut(&step) else {
            return;
        };
        gang.tasks.remove(&task.task);
        if gang.tasks.is_empty() {
            self.gangs.remove(&step);
        }
    }

    /// Returns whether the task is a gathered member of a gang.
    pub(crate) fn has(&self, task: TaskRef) -> bool {
        let gang = self.gangs.get(&StepRef::of(task));
        gang.is_some_and(|gang| gang.tasks.contains(&task.task))
    }

    /// Gangs all of whose members may start, oldest first, by list.
    fn complete(&self) -> BTreeMap<ListIndex, Vec<StepRef>> {
        let mut by_list: BTreeMap<ListIndex, Vec<StepRef>> = BTreeMap::new();
        let complete = self
            .gangs
            .iter()
            .filter(|(_, gang)| gang.tasks.len() == gang.size as usize);
        for (step, gang) in complete {
            by_list.entry(gang.list).or_default().push(*step);
        }
        by_list
    }
}

/// A runner that could take members of a gang.
#[derive(Debug, Clone)]
struct Candidate {
    runner: RunnerIndex,
    rack: RackName,
    /// Members that fit now.
    fits: usize,
    /// Members that would fit if it were empty.
    fits_empty: usize,
}

impl Scheduler {
    /// Places complete gangs, as many as have room.
    pub(crate) fn place_gangs(&mut self, now: Now, limit: usize, decisions: &mut Vec<Decision>) {
        let mut waiting = self.gangs.complete();
        while !waiting.is_empty() {
            let Some(list) = self.draw_gang_list(&waiting) else {
                return;
            };
            for step in waiting.remove(&list).unwrap_or_default() {
                let size = self.gangs.gangs.get(&step).map_or(0, |gang| gang.size);
                if decisions.len() + size as usize <= limit {
                    decisions.extend(self.place_gang(step, now));
                }
            }
        }
    }

    /// A list drawn uniformly among those of the most urgent queues.
    fn draw_gang_list(&mut self, waiting: &BTreeMap<ListIndex, Vec<StepRef>>) -> Option<ListIndex> {
        let priority = |list: &ListIndex| self.queues[self.lists[*list].queue].priority;
        let most_urgent = waiting.keys().map(priority).min()?;
        let drawable = waiting.keys().filter(|list| priority(list) == most_urgent);
        let drawable: Vec<ListIndex> = drawable.copied().collect();
        let drawn = self.random.random_range(0..drawable.len());
        drawable.get(drawn).copied()
    }

    /// Binds every member of a gang, or none.
    fn place_gang(&mut self, step: StepRef, now: Now) -> Vec<Decision> {
        let Some(gang) = self.gangs.gangs.get(&step).cloned() else {
            return Vec::new();
        };
        let list = &self.lists[gang.list];
        let queue = &self.queues[list.queue];
        let starts_work = matches!(queue.mode, QueueMode::Active | QueueMode::Draining);
        let Some(pool) = queue.pool.filter(|_| starts_work) else {
            return Vec::new();
        };
        let first = step.task(0);
        let Some(entry) = self.tasks.get(&first) else {
            return Vec::new();
        };
        let Some(needs) = self.shapes.get(entry.shape).cloned() else {
            return Vec::new();
        };
        if !self.list_allows(gang.list, &needs.resources.times(gang.size), now) {
            return Vec::new();
        }
        if !self.has_seats(&needs, list.queue, gang.size) {
            return Vec::new();
        }
        let same_rack = entry.rules.same_rack;
        let waited = now.monotonic.since(entry.waiting_since);
        let candidates = self.gang_candidates(step, &needs, pool, now);
        let size = gang.size as usize;
        let spread_out = !same_rack || waited >= self.options.locality_wait;
        let chosen = choose_in_rack(&candidates, &needs, size)
            .or_else(|| spread_out.then(|| choose(&candidates, size)).flatten());
        let Some(chosen) = chosen else {
            if waited >= self.options.reserve_after && self.options.policy.backfill_reservations {
                self.backfill_for_gang(first, pool, &candidates, size, now);
            }
            return Vec::new();
        };
        self.release_gang_backfills(step, pool);
        let members = (0..gang.size).map(|member| step.task(member));
        members
            .zip(chosen)
            .filter_map(|(member, runner)| self.take_member(member, runner, now))
            .collect()
    }

    fn gang_candidates(
        &mut self,
        step: StepRef,
        needs: &Shape,
        pool: usize,
        now: Now,
    ) -> Vec<Candidate> {
        let runners: Vec<RunnerIndex> = self.pools[pool].runners.iter().copied().collect();
        let mut candidates = Vec::new();
        for runner in runners {
            let reserved = self.reserved_task(runner, now);
            let for_others = reserved.is_some_and(|task| StepRef::of(task) != step);
            if for_others || self.pull_rejection(runner, now).is_some() {
                continue;
            }
            let state = &self.runners[runner];
            let Some(last) = state.reported.as_ref() else {
                continue;
            };
            if !needs.matches(&last.labels) {
                continue;
            }
            let most = needs
                .spread
                .map_or(usize::MAX, |spread| spread.max_per_runner as usize);
            candidates.push(Candidate {
                runner,
                rack: last.rack.clone(),
                fits: needs.resources.count_in(&state.free()).min(most),
                fits_empty: needs.resources.count_in(&last.capacity).min(most),
            });
        }
        candidates
    }

    /// Keeps runners free that together could hold the gang, those first that
    /// have the most room already. One gang of a pool at a time.
    fn backfill_for_gang(
        &mut self,
        first: TaskRef,
        pool: usize,
        candidates: &[Candidate],
        size: usize,
        now: Now,
    ) {
        let step = StepRef::of(first);
        let mut holds = self.pools[pool].backfills.iter();
        let another = holds.any(|runner| {
            let backfill = self.runners[*runner].backfill;
            backfill.is_some_and(|backfill| {
                self.gangs.has(backfill.task) && StepRef::of(backfill.task) != step
            })
        });
        let possible: usize = candidates.iter().map(|c| c.fits_empty).sum();
        if another || possible < size {
            return;
        }
        let mut order: Vec<&Candidate> = candidates.iter().filter(|c| c.fits_empty > 0).collect();
        order.sort_by_key(|candidate| std::cmp::Reverse((candidate.fits, candidate.fits_empty)));
        let mut reserved = 0;
        for candidate in order {
            if reserved >= size {
                return;
            }
            reserved += candidate.fits_empty;
            self.pools[pool].backfills.insert(candidate.runner);
            self.runners[candidate.runner]
                .backfill
                .get_or_insert(Backfill {
                    task: first,
                    since: now.monotonic,
                });
        }
    }

    fn release_gang_backfills(&mut self, step: StepRef, pool: usize) {
        let holders: Vec<RunnerIndex> = self.pools[pool].backfills.iter().copied().collect();
        for runner in holders {
            let backfill = self.runners[runner].backfill;
            if backfill.is_some_and(|backfill| StepRef::of(backfill.task) == step) {
                self.release_backfill(runner);
            }
        }
    }
}

/// Runners for all members within one rack, the preferred one if it can.
fn choose_in_rack(
    candidates: &[Candidate],
    needs: &Shape,
    size: usize,
) -> Option<Vec<RunnerIndex>> {
    let mut racks: Vec<&RackName> = candidates.iter().map(|c| &c.rack).collect();
    racks.sort_by_key(|rack| {
        (
            needs.preferred_rack.as_ref() != Some(*rack),
            (*rack).clone(),
        )
    });
    racks.dedup();
    racks.into_iter().find_map(|rack| {
        let within = candidates.iter().filter(|c| c.rack == *rack).cloned();
        choose(&within.collect::<Vec<_>>(), size)
    })
}

/// Runners for all members: those with the least room first, so that large
/// room stays whole.
fn choose(candidates: &[Candidate], size: usize) -> Option<Vec<RunnerIndex>> {
    let mut order: Vec<&Candidate> = candidates.iter().collect();
    order.sort_by_key(|candidate| candidate.fits);
    let places = order
        .into_iter()
        .flat_map(|candidate| std::iter::repeat_n(candidate.runner, candidate.fits.min(size)));
    let chosen: Vec<RunnerIndex> = places.take(size).collect();
    (chosen.len() == size).then_some(chosen)
}
