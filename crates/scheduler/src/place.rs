//! Placement over all runners, and the changed reasons of what stays.

use crate::bounds::Bounds;
use crate::runner::RunnerIndex;
use crate::scan::Starving;
use crate::{Decision, DecisionKind, Scheduler};
use rand::Rng;
use std::collections::{BTreeMap, BinaryHeap};
use types::{Milliseconds, Now};

/// Runners looked at for reasons in one call. A reason takes a look at every
/// runner of its pool, so a large fleet has fewer lists looked at; the rest
/// have their turn in the next calls.
const MAX_RUNNERS_SCANNED: usize = 4_096;

/// A runner silent for this long with nothing bound to it is forgotten; until
/// then operators see how long it has been silent.
const FORGET_AFTER: Milliseconds = Milliseconds(600_000);

/// A runner with room: sound ones first, then most free slots first, then most processor time, then
/// by chance.
type Turn = (Trust, u32, u32, u32, RunnerIndex);

/// How a runner stands before others with room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Trust {
    /// Much has failed on it lately: it comes last.
    Suspect,
    /// Nothing speaks against it.
    Sound,
}

impl Scheduler {
    pub(crate) fn place_all(&mut self, now: Now, limit: usize) -> Vec<Decision> {
        self.admit_due(now);
        let mut decisions = Vec::new();
        let mut turns = BinaryHeap::new();
        let mut waiting = BTreeMap::new();
        for pool in 0..self.pools.len() {
            self.review_backfills(pool, now);
            self.forget_unresponsive(pool, now);
            if let Some(bounds) = self.bounds_of_waiting(pool) {
                self.collect_turns(pool, &bounds, now, &mut turns);
                waiting.insert(pool, bounds);
            }
        }
        self.place_gangs(now, limit, &mut decisions);
        while decisions.len() < limit {
            let Some((_, _, _, _, runner)) = turns.pop() else {
                break;
            };
            if let Some(decision) = self.pull(runner, Starving::PassOver, now) {
                decisions.push(decision);
                let pool = self.runners[runner].reported.as_ref();
                let bounds = pool.and_then(|last| waiting.get(&last.pool));
                turns.extend(bounds.and_then(|bounds| self.turn(runner, bounds, now)));
            }
        }
        self.review_lists(now, &mut decisions);
        decisions
    }

    /// Bounds of what waits in a pool; none where nothing could start.
    fn bounds_of_waiting(&self, pool: usize) -> Option<Bounds> {
        let queues = self.pools[pool].queues.iter();
        let runnable = queues
            .clone()
            .flat_map(|queue| self.queues[*queue].runnable.iter());
        let pending = runnable.filter_map(|list| self.lists[list].pending.bounds());
        let copying = queues.flat_map(|queue| self.queues[*queue].copying.iter());
        let copies = copying.filter_map(|list| self.lists[list].copies.bounds());
        pending.chain(copies).reduce(Bounds::with)
    }

    fn collect_turns(
        &mut self,
        pool: usize,
        bounds: &Bounds,
        now: Now,
        turns: &mut BinaryHeap<Turn>,
    ) {
        self.record_scans(self.pools[pool].runners.len());
        let runners = self.pools[pool].runners.iter().copied();
        let usable: Vec<RunnerIndex> = runners
            .filter(|runner| self.pull_rejection(*runner, now).is_none())
            .collect();
        for runner in usable {
            turns.extend(self.turn(runner, bounds, now));
        }
    }

    /// None where nothing that waits could fit: the runner needs no pull.
    fn turn(&mut self, runner: RunnerIndex, bounds: &Bounds, now: Now) -> Option<Turn> {
        let state = &self.runners[runner];
        let free = state.free();
        if !bounds.min.fits_in(&free) && self.passes_over {
            return None;
        }
        let suspects_last = self.options.policy.suspects_last;
        let trust = match suspects_last && state.health.is_suspect(now.monotonic) {
            true => Trust::Suspect,
            false => Trust::Sound,
        };
        let draw = self.random.random();
        Some((trust, free.slots, free.cpu_milli, draw, runner))
    }

    fn forget_unresponsive(&mut self, pool: usize, now: Now) {
        let runners = self.pools[pool].runners.iter().copied();
        let departed: Vec<RunnerIndex> = runners
            .filter(|runner| {
                let runner = &self.runners[*runner];
                let silence = runner.reported.as_ref().map(|last| last.received_at);
                runner.open_runs() == 0
                    && silence.is_none_or(|heard| now.monotonic.since(heard) >= FORGET_AFTER)
            })
            .collect();
        for runner in departed {
            self.release_backfill(runner);
            self.runners[runner].reported = None;
            self.pools[pool].leave(runner);
        }
        self.sum_capacity(pool, now.monotonic);
    }

    // Each list in its turn: is a task starving, has its reason changed.
    fn review_lists(&mut self, now: Now, decisions: &mut Vec<Decision>) {
        let affordable = MAX_RUNNERS_SCANNED / self.runners.len().max(1);
        let lists = self.lists.len();
        for _ in 0..affordable.max(1).min(lists) {
            self.reason_cursor = (self.reason_cursor + 1) % lists;
            self.rescan_if_limited_by_headroom(self.reason_cursor);
            self.relieve_list(self.reason_cursor, now);
            decisions.extend(self.changed_reason(self.reason_cursor, now));
        }
    }

    /// What is kept for urgent work shrinks as time goes by, and nothing tells.
    fn rescan_if_limited_by_headroom(&mut self, index: usize) {
        let list = &mut self.lists[index];
        if std::mem::take(&mut list.limited_by_headroom) {
            list.above_limit = false;
            self.refresh_list(index);
        }
    }

    fn changed_reason(&mut self, index: usize, now: Now) -> Option<Decision> {
        let list = &self.lists[index];
        let (queue, tenant) = (list.queue, list.tenant);
        let head = list.pending.first().map(|(_, task)| task);
        let reason = head.and_then(|task| self.reason_of(task, now));
        if self.lists[index].last_reason == reason {
            return None;
        }
        self.lists[index].last_reason = reason.clone();
        Some(Decision {
            at: now.wall,
            queue: self.queues.name(queue)?.clone(),
            tenant: self.tenants.name(tenant)?.clone(),
            kind: DecisionKind::NotPlaced {
                task: head?,
                reason: reason?,
            },
        })
    }
}
