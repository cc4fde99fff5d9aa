//! A runner: what it last reported and which open runs are bound to it.

use crate::backfill::Backfill;
use crate::health::Health;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use types::{
    EndpointName, HeartbeatSequence, Labels, Milliseconds, Monotonic, RackName, Resources, RunId,
    RunnerIncarnation, RunnerReport,
};

/// Index of a runner in the scheduler.
pub(crate) type RunnerIndex = usize;

/// A runner silent for this long with nothing bound to it no longer counts in
/// its pool's capacity. Longer than a run lease and than most restarts.
const COUNTED_FOR: Milliseconds = Milliseconds(30_000);

/// What the last heartbeat said.
#[derive(Debug, Clone)]
pub(crate) struct Reported {
    pub(crate) incarnation: RunnerIncarnation,
    pub(crate) sequence: HeartbeatSequence,
    pub(crate) pool: usize,
    pub(crate) rack: RackName,
    pub(crate) endpoint: Option<EndpointName>,
    pub(crate) labels: Arc<Labels>,
    pub(crate) capacity: Resources,
    pub(crate) free: Resources,
    pub(crate) draining: bool,
    pub(crate) self_stop: bool,
    pub(crate) received_at: Monotonic,
}

#[derive(Debug, Clone)]
struct BoundRun {
    resources: Resources,
    incarnation: RunnerIncarnation,
    /// True once the runner has listed it as held or ended.
    listed: bool,
}

/// A runner with its bound runs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Runner {
    /// None until this leader has heard it.
    pub(crate) reported: Option<Reported>,
    pub(crate) drained_by_operator: bool,
    pub(crate) health: Health,
    /// The large task it is kept free for.
    pub(crate) backfill: Option<Backfill>,
    bound: BTreeMap<RunId, BoundRun>,
    /// Sum over bound runs of its current incarnation.
    bound_sum: Resources,
    /// Sum over those of them that it has not listed yet.
    unlisted_sum: Resources,
}

impl Runner {
    /// Takes a newer heartbeat and counts its bound runs anew.
    pub(crate) fn take_report(&mut self, report: &RunnerReport, pool: usize, now: Monotonic) {
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
        let active = report.active.iter().map(|run| run.run);
        let listed: BTreeSet<RunId> = active
            .chain(report.ended.iter().map(|ended| ended.run))
            .collect();
        for (run, bound) in &mut self.bound {
            bound.listed = listed.contains(run);
        }
        self.recount();
    }

    /// Returns whether the report is older than one already taken.
    pub(crate) fn is_stale(&self, report: &RunnerReport) -> bool {
        self.reported.as_ref().is_some_and(|last| {
            (report.incarnation, report.sequence) <= (last.incarnation, last.sequence)
        })
    }

    /// Binds a run.
    pub(crate) fn bind(&mut self, run: RunId, incarnation: RunnerIncarnation, usage: Resources) {
        let bound = BoundRun {
            resources: usage,
            incarnation,
            listed: false,
        };
        if self.counts(&bound) {
            self.bound_sum = self.bound_sum.plus(&usage);
            self.unlisted_sum = self.unlisted_sum.plus(&usage);
        }
        self.bound.insert(run, bound);
    }

    /// Lets a run go.
    pub(crate) fn unbind(&mut self, run: RunId) {
        let Some(bound) = self.bound.remove(&run) else {
            return;
        };
        if !self.counts(&bound) {
            return;
        }
        self.bound_sum = self.bound_sum.minus(&bound.resources);
        if !bound.listed {
            self.unlisted_sum = self.unlisted_sum.minus(&bound.resources);
        }
    }

    /// What it last said, unless it may be gone for good: silent for long and
    /// with nothing bound to it.
    pub(crate) fn present(&self, now: Monotonic) -> Option<&Reported> {
        let last = self.reported.as_ref()?;
        let is_present = self.open_runs() > 0 || now.since(last.received_at) < COUNTED_FOR;
        is_present.then_some(last)
    }

    /// Open runs, those of earlier incarnations among them.
    pub(crate) fn open_runs(&self) -> usize {
        self.bound.len()
    }

    /// Returns whether an open run belongs to its current incarnation.
    pub(crate) fn has_run_of_current_incarnation(&self) -> bool {
        self.bound.values().any(|bound| self.counts(bound))
    }

    /// What may still be placed: reported free room less runs on their way,
    /// and never more than capacity less all its open runs.
    pub(crate) fn free(&self) -> Resources {
        let Some(reported) = &self.reported else {
            return Resources::ZERO;
        };
        let by_report = reported.free.minus(&self.unlisted_sum);
        let by_record = reported.capacity.minus(&self.bound_sum);
        by_report.component_min(&by_record)
    }

    /// Returns whether it or an operator says that it leaves.
    pub(crate) fn is_draining(&self) -> bool {
        self.drained_by_operator || self.reported.as_ref().is_some_and(|last| last.draining)
    }

    // Runs of an earlier incarnation died with it and take no room in this one.
    fn counts(&self, bound: &BoundRun) -> bool {
        self.reported
            .as_ref()
            .is_none_or(|last| bound.incarnation >= last.incarnation)
    }

    fn recount(&mut self) {
        let mut bound_sum = Resources::ZERO;
        let mut unlisted_sum = Resources::ZERO;
        for bound in self.bound.values().filter(|bound| self.counts(bound)) {
            bound_sum = bound_sum.plus(&bound.resources);
            if !bound.listed {
                unlisted_sum = unlisted_sum.plus(&bound.resources);
            }
        }
        self.bound_sum = bound_sum;
        self.unlisted_sum = unlisted_sum;
    }
}
