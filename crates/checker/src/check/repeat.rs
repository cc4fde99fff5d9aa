//! Guarantees: a run starts once, and a task runs only once at a time (or as often
//! as it has copies) and never after it is done.
//!
//! Reads the orders to start, the starts and ends of runs, and the runners that
//! freeze and resume. Each rule below states when it reports a violation.

use super::facts::RunFacts;
use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::started::RunStart;
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use std::collections::{BTreeMap, BTreeSet};
use types::{Milliseconds, RunId};

/// Guarantee: a run starts at most once, and its start order is delivered at most
/// once.
///
/// Reports a violation also if only the delivery is repeated: a runner does not
/// have to reject a repeated order.
#[derive(Debug, Default)]
pub(super) struct DoubleStart {
    /// Runs whose start order reached a runner.
    delivered: BTreeSet<RunId>,
}

impl Rule for DoubleStart {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        if let Event::StartDelivered { runner, run } = &observation.event
            && !self.delivered.insert(*run)
        {
            let detail = format!("the start of run {run} reached {runner} a second time");
            findings.add(ViolationKind::DoubleStart, observation.at, detail);
        }
        let Event::RunStarted { runner, run, .. } = &observation.event else {
            return;
        };
        if let Some(first) = observed.run(*run) {
            let detail = format!(
                "run {run} started on {runner}, and had started on {} at {}",
                first.runner, first.started_at
            );
            findings.add(ViolationKind::DoubleStart, observation.at, detail);
        }
    }
}

/// Time within which a runner that resumes must end the runs that other runs have
/// replaced while it was frozen.
const RESUME_TOLERANCE: Milliseconds = Milliseconds(20);

/// Guarantee: at most as many runs of a task are open at once as it has copies.
///
/// Runs on a frozen machine make no progress and do not count. When the machine
/// resumes, those that other runs have replaced must end at once.
#[derive(Debug, Default)]
pub(super) struct OverlappingRuns {
    /// Runs that must end, each with the time at which its runner resumed.
    replaced: BTreeMap<RunId, Milliseconds>,
}

impl Rule for OverlappingRuns {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        self.check_replaced(observation.at, observed, findings);
        match &observation.event {
            Event::RunStarted { .. } => check_start(observation, observed, findings),
            Event::RunnerWoke { runner } => {
                let exceeding = observed
                    .open_runs_on(runner)
                    .filter(|run| exceeds_copies(*run, observed));
                self.replaced
                    .extend(exceeding.map(|run| (run, observation.at)));
            }
            Event::RunEnded { run, .. } => {
                self.replaced.remove(run);
            }
            _ => {}
        }
    }
}

impl OverlappingRuns {
    fn check_replaced(
        &mut self,
        now: Milliseconds,
        observed: &ObservedCluster,
        findings: &mut Findings,
    ) {
        let late: Vec<RunId> = self
            .replaced
            .iter()
            .filter(|(_, resumed_at)| now > **resumed_at + RESUME_TOLERANCE)
            .map(|(run, _)| *run)
            .collect();
        for run in late {
            self.replaced.remove(&run);
            if observed.run(run).is_some_and(RunFacts::is_open) {
                let detail = format!(
                    "run {run} continued after its runner resumed, although another run replaced it"
                );
                findings.add(ViolationKind::OverlappingRuns, now, detail);
            }
        }
    }
}

/// Returns whether more runs of the run's task are open than it has copies.
fn exceeds_copies(run: RunId, observed: &ObservedCluster) -> bool {
    let Some(facts) = observed.run(run) else {
        return false;
    };
    let (step, task) = &facts.task;
    let open_runs = observed
        .task(&facts.job, step, *task)
        .map_or(0, |task| task.open_runs.len());
    let max_copies = observed
        .job(&facts.job)
        .map_or(1, |job| job.allowed_copies(step));
    open_runs > max_copies as usize
}

fn check_start(observation: &Observation, observed: &ObservedCluster, findings: &mut Findings) {
    let Some(start) = RunStart::from_observation(observation) else {
        return;
    };
    let Some(facts) = start.facts(observed) else {
        return;
    };
    let others = facts.open_runs.iter().filter(|open| **open != start.run);
    let overlapping = others
        .filter_map(|open| observed.run(*open))
        .filter(|open| !observed.is_frozen(&open.runner))
        .count();
    if overlapping >= start.max_copies(observed) as usize {
        let detail = format!("{start} started while {overlapping} others were open");
        findings.add(ViolationKind::OverlappingRuns, observation.at, detail);
    }
}

/// Guarantee: no run of a task starts after the task ended done.
///
/// A done end that the runner may not have reported does not count: the runner
/// became unresponsive before it could report the end, and its run lease expired or
/// its process ended before the new start. The system does not wait forever for a
/// machine that may have failed, so it has to start the task again. The report
/// counts such starts. Where copies are allowed, one that was ordered before the
/// done end was reported may still start.
#[derive(Debug)]
pub(super) struct RepeatedTask;

impl Rule for RepeatedTask {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        limits: &Limits,
        findings: &mut Findings,
    ) {
        let Some(start) = RunStart::from_observation(observation) else {
            return;
        };
        let done_at = start.facts(observed).and_then(|facts| facts.done_at);
        let Some(done_at) = done_at else {
            return;
        };
        if !start.repeats_unreported(observed) && start.is_too_late(done_at, observed, limits) {
            let detail = format!("{start} started, but its task was done at {done_at}");
            findings.add(ViolationKind::RepeatedTask, observation.at, detail);
        }
    }
}
