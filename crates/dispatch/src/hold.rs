//! Runners kept free for a large task that small ones would starve.

use crate::Dispatcher;
use crate::queue::ListIndex;
use crate::runner::RunnerIndex;
use crate::task::Standing;
use configuration::QueueMode;
use types::{Monotonic, Now, Resources, TaskRef};

/// One runner in this many may be kept free, and at least one in a pool.
const RUNNERS_PER_HOLD: usize = 10;

/// A runner is kept free for at most this many times `hold_after`; then the
/// task waits as long as at first before another one is.
const LONGEST_HOLD_FACTOR: u64 = 24;

/// The task a runner is kept free for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Hold {
    pub(crate) task: TaskRef,
    pub(crate) since: Monotonic,
}

impl Dispatcher {
    /// The task that the runner is kept free for, while the hold stands; a
    /// hold that lost its cause is released.
    pub(crate) fn held_task(&mut self, runner: RunnerIndex, now: Now) -> Option<TaskRef> {
        let hold = self.runners[runner].hold?;
        if self.hold_stands(runner, hold, now) {
            return Some(hold.task);
        }
        self.release_hold(runner);
        if let Some(entry) = self.tasks.get_mut(&hold.task) {
            entry.waiting_since = now.monotonic;
        }
        None
    }

    fn hold_stands(&self, runner: RunnerIndex, hold: Hold, now: Now) -> bool {
        let Some(entry) = self.tasks.get(&hold.task) else {
            return false;
        };
        let Some(shape) = self.shapes.get(entry.shape) else {
            return false;
        };
        let list = &self.lists[entry.list];
        let queue = &self.queues[list.queue];
        let reported = self.runners[runner].reported.as_ref();
        let longest = self
            .options
            .hold_after
            .0
            .saturating_mul(LONGEST_HOLD_FACTOR);
        let starts_work = matches!(queue.mode, QueueMode::Active | QueueMode::Draining);
        matches!(entry.standing, Standing::Pending | Standing::Gathered)
            && starts_work
            && now.monotonic.since(hold.since).0 <= longest
            && self.list_allows(entry.list, &shape.resources, now)
            && self.pull_refusal(runner, now).is_none()
            && reported.is_some_and(|last| {
                Some(last.pool) == queue.pool
                    && shape.resources.fits_in(&last.capacity)
                    && shape.matches(&last.labels)
            })
    }

    pub(crate) fn release_hold(&mut self, runner: RunnerIndex) {
        self.runners[runner].hold = None;
        for pool in 0..self.pools.len() {
            self.pools[pool].holds.remove(&runner);
        }
    }

    /// Releases what no longer has a cause, in the whole pool.
    pub(crate) fn review_holds(&mut self, pool: usize, now: Now) {
        let held: Vec<RunnerIndex> = self.pools[pool].holds.iter().copied().collect();
        for runner in held {
            self.held_task(runner, now);
        }
    }

    /// Keeps the most suitable runner free for a task that waits too long;
    /// false when the task found none.
    pub(crate) fn hold_runner_for(&mut self, task: TaskRef, pool: usize, now: Now) -> bool {
        if !self.options.policy.holds {
            return true;
        }
        let allowed = (self.pools[pool].runners.len() / RUNNERS_PER_HOLD).max(1);
        if self.pools[pool].holds.len() >= allowed {
            self.review_holds(pool, now);
        }
        if self.holder_of(task, pool).is_some() || self.pools[pool].holds.len() >= allowed {
            return true;
        }
        let Some(runner) = self.most_suitable_runner(task, pool, now) else {
            return false;
        };
        self.pools[pool].holds.insert(runner);
        self.runners[runner].hold = Some(Hold {
            task,
            since: now.monotonic,
        });
        true
    }

    /// The runner that is kept free for the task.
    pub(crate) fn holder_of(&self, task: TaskRef, pool: usize) -> Option<RunnerIndex> {
        let mut holds = self.pools[pool].holds.iter().copied();
        holds.find(|runner| {
            let hold = self.runners[*runner].hold;
            hold.is_some_and(|hold| hold.task == task)
        })
    }

    /// Keeps a runner free for the first task of a list that waits too long,
    /// so that a tenant seldom drawn does not depend on the draw for it.
    pub(crate) fn relieve_list(&mut self, index: ListIndex, now: Now) {
        let list = &self.lists[index];
        let queue = &self.queues[list.queue];
        let starts_work = matches!(queue.mode, QueueMode::Active | QueueMode::Draining);
        let Some(pool) = queue.pool.filter(|_| starts_work) else {
            return;
        };
        let tenant = &self.tenants[list.tenant];
        if tenant.is_above_share(pool, &self.pools[pool].capacity) {
            return;
        }
        let kept = self.kept_for_urgent(index, now.monotonic);
        let heads = self.look_ahead(list.pending.heads());
        let starving: Vec<TaskRef> = heads
            .filter(|((_, task), shape)| {
                self.note_look();
                let needs = self.shapes.get(*shape);
                let allowed = needs.is_some_and(|n| tenant.allows_beside(&n.resources, &kept));
                allowed && self.starves(*task, now)
            })
            .map(|((_, task), _)| task)
            .collect();
        for task in starving {
            if self.hold_runner_for(task, pool, now) {
                return;
            }
        }
    }

    // The runner that lacks least; among equals the first known.
    fn most_suitable_runner(&self, task: TaskRef, pool: usize, now: Now) -> Option<RunnerIndex> {
        self.note_looks(self.pools[pool].runners.len());
        let needs = self.shapes.get(self.tasks.get(&task)?.shape)?;
        let suitable = |runner: &RunnerIndex| {
            let runner = &self.runners[*runner];
            let Some(last) = &runner.reported else {
                return false;
            };
            runner.hold.is_none()
                && needs.resources.fits_in(&last.capacity)
                && needs.matches(&last.labels)
        };
        let runners = self.pools[pool].runners.iter().copied();
        runners
            .filter(suitable)
            .filter(|runner| self.pull_refusal(*runner, now).is_none())
            .filter(|runner| self.may_hold_more(needs, *runner))
            .min_by_key(|runner| lack(&needs.resources, &self.runners[*runner]))
    }
}

// What is missing on a runner, in thousandths of its capacity over all kinds.
fn lack(needs: &Resources, runner: &crate::runner::Runner) -> u64 {
    let Some(last) = &runner.reported else {
        return u64::MAX;
    };
    let missing = needs.minus(&runner.room());
    let part = |missing: u32, all: u32| u64::from(missing) * 1_000 / u64::from(all.max(1));
    part(missing.slots, last.capacity.slots)
        + part(missing.cpu_milli, last.capacity.cpu_milli)
        + part(missing.memory_mib, last.capacity.memory_mib)
        + part(missing.gpus, last.capacity.gpus)
}
