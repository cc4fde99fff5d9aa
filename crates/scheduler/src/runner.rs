//! State of a runner: its last heartbeat and its open runs.

use crate::health::Health;
use crate::index::PoolIndex;
use crate::run::Run;
use crate::run_duration::RunDuration;
use crate::shape::Shape;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use types::{
    EndpointName, HeartbeatSequence, Labels, Milliseconds, Monotonic, RackName, Resources, RunId,
    RunnerIncarnation, RunnerReport,
};

/// Time after its last heartbeat for which a runner without open runs still
/// counts in its pool's capacity. Longer than a run lease and than most
/// restarts.
const CAPACITY_TIMEOUT: Milliseconds = Milliseconds(30_000);

/// Longest time for which a run on trial keeps others from its runner. A job that only
/// this runner can run must start within 3 s, so a trial may not wait for the end of a
/// run that takes long or lasts.
const TRIAL_TIME: Milliseconds = Milliseconds(2_000);

/// Content of a runner's last heartbeat.
#[derive(Debug, Clone)]
pub(crate) struct Reported {
    pub(crate) incarnation: RunnerIncarnation,
    pub(crate) sequence: HeartbeatSequence,
    pub(crate) pool: PoolIndex,
    pub(crate) rack: RackName,
    pub(crate) endpoint: Option<EndpointName>,
    pub(crate) labels: Arc<Labels>,
    pub(crate) capacity: Resources,
    /// Resources free at the time of the heartbeat.
    pub(crate) free: Resources,
    pub(crate) draining: bool,
    pub(crate) self_stop: bool,
    pub(crate) received_at: Monotonic,
}

/// Open run that is bound to a runner.
#[derive(Debug, Clone)]
struct BoundRun {
    resources: Resources,
    incarnation: RunnerIncarnation,
    duration: RunDuration,
    opened_at: Monotonic,
    /// Whether the runner's last heartbeat lists the run as active or ended.
    listed: bool,
}

impl BoundRun {
    /// Returns whether the run can be expected to end within `horizon`.
    fn ends_within(&self, horizon: Milliseconds, now: Monotonic) -> bool {
        let remaining = self.duration.remaining(self.opened_at, now);
        remaining.is_some_and(|remaining| remaining <= horizon)
    }
}

/// Runner, by its last heartbeat, and its open runs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Runner {
    /// Last heartbeat; `None` until this leader has received one, and after the
    /// runner was removed as unresponsive.
    pub(crate) reported: Option<Reported>,
    pub(crate) drained_by_operator: bool,
    pub(crate) health: Health,
    bound: BTreeMap<RunId, BoundRun>,
    /// Resources of the open runs of the current incarnation.
    bound_sum: Resources,
    /// Resources of the runs in `bound_sum` that the last heartbeat does not
    /// list.
    unlisted_sum: Resources,
}

impl Runner {
    /// Replaces the last heartbeat, and updates which open runs it lists.
    pub(crate) fn apply_report(&mut self, report: &RunnerReport, pool: PoolIndex, now: Monotonic) {
        self.reported = Some(Reported {
            incarnation: report.incarnation,
            sequence: report.sequence,
            pool,
            rack: report.rack.clone(),
            endpoint: report.endpoint.clone(),
            labels: Arc::new(report.labels.clone()),
            capacity: report.capacity,
            free: report.free,
            draining: report.draining,
            self_stop: report.self_stop,
            received_at: now,
        });
        if self.has_passed_trial(report, now) {
            self.health.end_trial();
        }
        let active = report.active.iter().map(|run| run.run);
        let listed: BTreeSet<RunId> = active
            .chain(report.ended.iter().map(|ended| ended.run))
            .collect();
        for (run, bound) in &mut self.bound {
            bound.listed = listed.contains(run);
        }
        self.recompute_sums();
    }

    /// Returns whether a newer heartbeat, or this one, was applied before.
    pub(crate) fn is_stale(&self, report: &RunnerReport) -> bool {
        self.reported.as_ref().is_some_and(|last| {
            (report.incarnation, report.sequence) <= (last.incarnation, last.sequence)
        })
    }

    /// Adds an open run.
    pub(crate) fn bind(&mut self, id: RunId, run: &Run, now: Monotonic) {
        let usage = run.resources;
        let bound = BoundRun {
            resources: usage,
            incarnation: run.incarnation,
            duration: run.duration,
            opened_at: now,
            listed: false,
        };
        if self.uses_resources(&bound) {
            self.bound_sum = self.bound_sum.plus(&usage);
            self.unlisted_sum = self.unlisted_sum.plus(&usage);
        }
        self.bound.insert(id, bound);
    }

    /// Removes a closed run.
    pub(crate) fn unbind(&mut self, run: RunId) {
        let Some(bound) = self.bound.remove(&run) else {
            return;
        };
        if !self.uses_resources(&bound) {
            return;
        }
        self.bound_sum = self.bound_sum.minus(&bound.resources);
        if !bound.listed {
            self.unlisted_sum = self.unlisted_sum.minus(&bound.resources);
        }
    }

    /// Returns the runner's pool; `None` without a heartbeat.
    pub(crate) fn pool(&self) -> Option<PoolIndex> {
        self.reported.as_ref().map(|last| last.pool)
    }

    /// Returns whether a task fits on the empty runner and matches its labels.
    pub(crate) fn could_run(&self, needs: &Shape) -> bool {
        self.reported.as_ref().is_some_and(|last| {
            needs.resources.fits_in(&last.capacity) && needs.matches(&last.labels)
        })
    }

    /// Returns the last heartbeat if the runner counts in its pool's capacity;
    /// otherwise `None`.
    pub(crate) fn present(&self, now: Monotonic) -> Option<&Reported> {
        let last = self.reported.as_ref()?;
        let is_present = self.open_runs() > 0 || now.since(last.received_at) < CAPACITY_TIMEOUT;
        is_present.then_some(last)
    }

    /// Returns whether the runner takes work in general: it is not draining, and its last
    /// heartbeat is at most `max_age` old.
    pub(crate) fn takes_work(&self, now: Monotonic, max_age: Milliseconds) -> bool {
        let last = self.reported.as_ref();
        let is_responsive = last.is_some_and(|last| now.since(last.received_at) <= max_age);
        is_responsive && !self.is_draining()
    }

    /// Returns the number of open runs, including those of earlier incarnations.
    pub(crate) fn open_runs(&self) -> usize {
        self.bound.len()
    }

    /// Returns whether the runner is on trial and a run of its trial may still show
    /// whether it works. A run from before the trial says nothing about that, and one
    /// that has been open for [`TRIAL_TIME`] keeps no other run away.
    pub(crate) fn awaits_trial_run(&self, now: Monotonic) -> bool {
        self.trial_runs(now)
            .any(|(_, bound)| now.since(bound.opened_at) < TRIAL_TIME)
    }

    /// Returns whether a heartbeat shows that a run has been active for [`TRIAL_TIME`] of
    /// a trial. Such a run stands in for a success, which a run that lasts never has.
    fn has_passed_trial(&self, report: &RunnerReport, now: Monotonic) -> bool {
        let is_active = |run: &RunId| report.active.iter().any(|active| active.run == *run);
        self.trial_runs(now)
            .filter(|(_, bound)| now.since(bound.opened_at) >= TRIAL_TIME)
            .any(|(run, _)| is_active(run))
    }

    /// Returns whether an open run has lasted for [`TRIAL_TIME`] or longer.
    pub(crate) fn has_outlasted_trial(&self, run: RunId, now: Monotonic) -> bool {
        let bound = self.bound.get(&run);
        bound.is_some_and(|bound| now.since(bound.opened_at) >= TRIAL_TIME)
    }

    /// Returns the open runs of the current incarnation that were opened in the trial.
    fn trial_runs(&self, now: Monotonic) -> impl Iterator<Item = (&RunId, &BoundRun)> {
        let began_at = self.health.trial_began_at(now);
        self.bound.iter().filter(move |(_, bound)| {
            let is_of_trial = began_at.is_some_and(|began_at| bound.opened_at >= began_at);
            is_of_trial && self.uses_resources(bound)
        })
    }

    /// Returns the resources available to new runs: the reported free resources
    /// less those of the runs that the heartbeat does not list, but at most the
    /// capacity less the resources of all open runs of the current incarnation.
    pub(crate) fn free(&self) -> Resources {
        let Some(reported) = &self.reported else {
            return Resources::ZERO;
        };
        let by_report = reported.free.minus(&self.unlisted_sum);
        let by_open_runs = reported.capacity.minus(&self.bound_sum);
        by_report.component_min(&by_open_runs)
    }

    /// Returns the resources that can be expected to be free within `horizon` if no
    /// further run starts: the capacity less the resources of the runs that may go on for
    /// longer.
    pub(crate) fn foreseeable(&self, horizon: Milliseconds, now: Monotonic) -> Resources {
        let Some(reported) = &self.reported else {
            return Resources::ZERO;
        };
        self.bound
            .values()
            .filter(|bound| self.uses_resources(bound))
            .filter(|bound| !bound.ends_within(horizon, now))
            .fold(reported.capacity, |free, bound| {
                free.minus(&bound.resources)
            })
    }

    /// Returns whether an open run can be expected to end within `horizon`.
    pub(crate) fn ends_within(&self, run: RunId, horizon: Milliseconds, now: Monotonic) -> bool {
        let bound = self.bound.get(&run);
        bound.is_none_or(|bound| bound.ends_within(horizon, now))
    }

    /// Returns whether the runner or an operator has set it to draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.drained_by_operator || self.reported.as_ref().is_some_and(|last| last.draining)
    }

    /// Returns whether a run uses resources of the runner. Runs of an earlier
    /// incarnation ended with it.
    fn uses_resources(&self, bound: &BoundRun) -> bool {
        self.reported
            .as_ref()
            .is_none_or(|last| bound.incarnation >= last.incarnation)
    }

    /// Recomputes the sums over the open runs.
    fn recompute_sums(&mut self) {
        let mut bound_sum = Resources::ZERO;
        let mut unlisted_sum = Resources::ZERO;
        for bound in self
            .bound
            .values()
            .filter(|bound| self.uses_resources(bound))
        {
            bound_sum = bound_sum.plus(&bound.resources);
            if !bound.listed {
                unlisted_sum = unlisted_sum.plus(&bound.resources);
            }
        }
        self.bound_sum = bound_sum;
        self.unlisted_sum = unlisted_sum;
    }
}
