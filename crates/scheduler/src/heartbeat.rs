//! What runners and operators say about runners, and when none may pull.

use crate::runner::RunnerIndex;
use crate::{RunnerView, Scheduler};
use types::{Monotonic, Now, Resources, RunnerId, RunnerReport, TaskRef};

/// One runner in this many of a pool may be on probation at once.
const RUNNERS_PER_PROBATION: usize = 3;

/// Why a runner gets no pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PullRejection {
    NotSeen,
    Draining,
    Unresponsive,
    OnProbation,
}

impl Scheduler {
    pub(crate) fn pull_rejection(&self, runner: RunnerIndex, now: Now) -> Option<PullRejection> {
        let state = &self.runners[runner];
        let Some(last) = &state.reported else {
            return Some(PullRejection::NotSeen);
        };
        if state.is_draining() {
            return Some(PullRejection::Draining);
        }
        if now.monotonic.since(last.received_at) > self.options.unresponsive_after {
            return Some(PullRejection::Unresponsive);
        }
        let at = now.monotonic;
        let is_tried = state.health.on_trial(at) && state.has_run_of_current_incarnation();
        if state.health.on_probation(at) || is_tried {
            return Some(PullRejection::OnProbation);
        }
        None
    }

    pub(crate) fn take_heartbeat(&mut self, report: &RunnerReport, now: Now) {
        let runner = self.runner_index(&report.runner);
        if self.runners[runner].is_stale(report) {
            return;
        }
        let pool = self.pool_index(&report.pool);
        let before = self.runners[runner].reported.as_ref();
        let before = before.map(|last| (last.pool, last.capacity, last.rack.clone()));
        let current = (pool, report.capacity, report.rack.clone());
        let was_present = self.runners[runner].present(now.monotonic).is_some();
        self.runners[runner].take_report(report, pool, now.monotonic);
        if was_present && before.as_ref() == Some(&current) {
            return;
        }
        if let Some((old_pool, _, _)) = before
            && old_pool != pool
        {
            self.release_backfill(runner);
            self.pools[old_pool].leave(runner);
            self.sum_capacity(old_pool, now.monotonic);
        }
        self.pools[pool].enter(runner, &report.rack);
        self.sum_capacity(pool, now.monotonic);
    }

    /// Counts what a pool has, by which shares are judged: its runners that
    /// were heard lately or that runs are bound to.
    pub(crate) fn sum_capacity(&mut self, pool: usize, now: Monotonic) {
        let runners = self.pools[pool].runners.iter();
        let present = runners.filter_map(|runner| self.runners[*runner].present(now));
        let capacity = present.fold(Resources::ZERO, |sum, last| sum.plus(&last.capacity));
        self.pools[pool].capacity = capacity;
    }

    pub(crate) fn take_outcome(
        &mut self,
        runner: &RunnerId,
        task: TaskRef,
        failed: bool,
        now: Monotonic,
    ) {
        let Some(index) = self.runners.find(runner) else {
            return;
        };
        if !failed {
            self.runners[index].health.record_done(now);
            return;
        }
        if self.runs_of.contains_key(&task) || self.tasks.contains_key(&task) {
            self.failed_on.entry(task).or_default().insert(index);
        }
        if !self.options.policy.probation {
            self.runners[index]
                .health
                .record_failed(task.job, u32::MAX, now);
            return;
        }
        let threshold = self.options.probation_failures;
        let health = &mut self.runners[index].health;
        if health.record_failed(task.job, threshold, now) && self.may_go_on_probation(index, now) {
            let length = self.options.probation;
            self.runners[index].health.start_probation(now, length);
        }
    }

    // When everything fails, the runners are not to blame and must go on.
    fn may_go_on_probation(&self, runner: RunnerIndex, now: Monotonic) -> bool {
        let Some(last) = &self.runners[runner].reported else {
            return false;
        };
        let runners = &self.pools[last.pool].runners;
        let on_probation = runners
            .iter()
            .filter(|other| self.runners[**other].health.on_probation(now));
        on_probation.count() < runners.len() / RUNNERS_PER_PROBATION
    }

    pub(crate) fn view_runners(&self, now: Now) -> Vec<RunnerView> {
        let runners = self.runners.iter();
        let seen =
            runners.filter_map(|(name, state)| Some((name, state, state.reported.as_ref()?)));
        seen.filter_map(|(name, state, last)| {
            Some(RunnerView {
                runner: name.clone(),
                incarnation: last.incarnation,
                pool: self.pools.name(last.pool)?.clone(),
                rack: last.rack.clone(),
                labels: last.labels.as_ref().clone(),
                capacity: last.capacity,
                free: state.free(),
                open_runs: u32::try_from(state.open_runs()).unwrap_or(u32::MAX),
                draining: state.is_draining(),
                on_probation: state.health.on_probation(now.monotonic),
                since_last_contact: now.monotonic.since(last.received_at),
            })
        })
        .collect()
    }
}
