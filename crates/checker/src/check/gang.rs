//! Guarantee: the tasks of a gang run together, and none without the others.
//!
//! Reads the starts and ends of runs of gangs, and the faults. Reports a violation
//! if a run of a gang is still open, no task of the gang has ended done, and
//! another task has had no run for longer than `GANG_TOLERANCE` without a fault.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::started::RunStart;
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use std::collections::BTreeSet;
use types::{Milliseconds, RunId};

/// Time, without a fault that delays orders, within which all tasks of a gang
/// start, and within which all are stopped after one of them ended without being
/// done.
const GANG_TOLERANCE: Milliseconds = Milliseconds(3_000);

/// Guarantee: while a run of a gang is open and none of its tasks is done, every
/// other task has an open run.
#[derive(Debug, Default)]
pub(super) struct GangApart {
    /// Runs to check, each with the time since which another task of the gang may
    /// have no run.
    pending_checks: BTreeSet<(Milliseconds, RunId)>,
}

impl Rule for GangApart {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        self.add_pending_checks(observation, observed);
        while let Some((since, run)) = self.pending_checks.first().copied() {
            let fault_free_since = observed.fault_free_since(since);
            if fault_free_since
                .is_none_or(|fault_free| observation.at <= fault_free + GANG_TOLERANCE)
            {
                return;
            }
            self.pending_checks.pop_first();
            if let Some(missing) = missing_member(run, observation.at, observed) {
                self.pending_checks.retain(|(_, other)| *other != run);
                let detail =
                    format!("run {run} of a gang continues without a run of task {missing}");
                findings.add(ViolationKind::GangApart, observation.at, detail);
            }
        }
    }
}

impl GangApart {
    /// Adds a run of a gang that started, or the open runs of the gang if one of
    /// its runs ended.
    fn add_pending_checks(&mut self, observation: &Observation, observed: &ObservedCluster) {
        match &observation.event {
            Event::RunStarted { .. } => {
                let start = RunStart::from_observation(observation)
                    .filter(|start| is_gang(start, observed));
                self.pending_checks
                    .extend(start.map(|start| (observation.at, start.run)));
            }
            Event::RunEnded { run, .. } => {
                let others = open_members(*run, observed);
                self.pending_checks
                    .extend(others.into_iter().map(|run| (observation.at, run)));
            }
            _ => {}
        }
    }
}

fn is_gang(start: &RunStart<'_>, observed: &ObservedCluster) -> bool {
    let step = observed.job(start.job).and_then(|job| job.step(start.step));
    step.is_some_and(|step| step.gang)
}

/// Returns the open runs of a run's gang; empty if the run belongs to no gang.
fn open_members(run: RunId, observed: &ObservedCluster) -> Vec<RunId> {
    let Some(facts) = observed.run(run) else {
        return Vec::new();
    };
    let (step, _) = &facts.task;
    let job = observed.job(&facts.job);
    let expected = job.and_then(|job| job.step(step));
    let members = expected
        .filter(|step| step.gang)
        .map_or(0, |step| step.tasks);
    (0..members)
        .filter_map(|member| observed.task(&facts.job, step, member))
        .flat_map(|member| member.open_runs.iter().copied())
        .collect()
}

/// Returns a task of an open run's gang that has had no run for too long; None if
/// there is none, or a task of the gang is done.
fn missing_member(run: RunId, at: Milliseconds, observed: &ObservedCluster) -> Option<u32> {
    let facts = observed.run(run).filter(|run| run.is_open())?;
    let (step, _) = &facts.task;
    let job = observed.job(&facts.job)?;
    let expected = job.step(step).filter(|_| job.done_tasks(step) == 0)?;
    (0..expected.tasks).find(|task| {
        let member = observed.task(&facts.job, step, *task);
        member.is_none_or(|member| {
            member.open_runs.is_empty() && at > member.changed_at + GANG_TOLERANCE
        })
    })
}
