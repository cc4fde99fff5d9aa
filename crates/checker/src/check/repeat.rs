//! A run starts once, a task runs once at a time and never after it is done.

use super::facts::RunFacts;
use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::started::Started;
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use std::collections::{BTreeMap, BTreeSet};
use types::{Milliseconds, RunId};

/// One run identifier starts once, on one runner, and is not even asked to
/// start again: a runner need not reject a repeated start.
#[derive(Debug, Default)]
pub(super) struct DoubleStart {
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

/// A runner that wakes must end what was given up meanwhile within this time.
const WAKE_TOLERANCE: Milliseconds = Milliseconds(20);

/// No more runs of a task at once than its copies.
///
/// The runs of a frozen machine do nothing and do not count. When
/// it wakes, those that another run has taken over must end at once.
#[derive(Debug, Default)]
pub(super) struct OverlappingRuns {
    woken: BTreeMap<RunId, Milliseconds>,
}

impl Rule for OverlappingRuns {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        self.check_woken(observation.at, observed, findings);
        match &observation.event {
            Event::RunStarted { .. } => check_started(observation, observed, findings),
            Event::RunnerWoke { runner } => {
                let exceeding = observed
                    .open_on(runner)
                    .filter(|run| exceeds_copies(*run, observed));
                self.woken
                    .extend(exceeding.map(|run| (run, observation.at)));
            }
            Event::RunEnded { run, .. } => {
                self.woken.remove(run);
            }
            _ => {}
        }
    }
}

impl OverlappingRuns {
    fn check_woken(
        &mut self,
        now: Milliseconds,
        observed: &ObservedCluster,
        findings: &mut Findings,
    ) {
        let late: Vec<RunId> = self
            .woken
            .iter()
            .filter(|(_, woke_at)| now > **woke_at + WAKE_TOLERANCE)
            .map(|(run, _)| *run)
            .collect();
        for run in late {
            self.woken.remove(&run);
            if observed.run(run).is_some_and(RunFacts::is_open) {
                let detail = format!("run {run} went on after its runner woke beside another run");
                findings.add(ViolationKind::OverlappingRuns, now, detail);
            }
        }
    }
}

/// Returns whether more runs of its task are open than its copies.
fn exceeds_copies(run: RunId, observed: &ObservedCluster) -> bool {
    let Some(facts) = observed.run(run) else {
        return false;
    };
    let (step, task) = &facts.task;
    let open = observed
        .task(&facts.job, step, *task)
        .map_or(0, |task| task.open.len());
    let copies = observed
        .job(&facts.job)
        .map_or(1, |job| job.allowed_copies(step));
    open > copies as usize
}

fn check_started(observation: &Observation, observed: &ObservedCluster, findings: &mut Findings) {
    let Some(start) = Started::of(observation) else {
        return;
    };
    let Some(facts) = start.facts(observed) else {
        return;
    };
    let others = facts.open.iter().filter(|open| **open != start.run);
    let going = others
        .filter_map(|open| observed.run(*open))
        .filter(|open| !observed.is_frozen(&open.runner))
        .count();
    if going >= start.copies(observed) as usize {
        let detail = format!("{start} began beside {going} more");
        findings.add(ViolationKind::OverlappingRuns, observation.at, detail);
    }
}

/// No start of a task that ended done.
///
/// A done end that nobody can have received does not count: its runner became
/// unresponsive before it could report it, and its run lease (or its process) ended
/// before the new start. That is the price of not waiting for ever for a dead
/// machine; such starts are counted in the report.
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
        let Some(start) = Started::of(observation) else {
            return;
        };
        let done_at = start.facts(observed).and_then(|facts| facts.done_at);
        let Some(done_at) = done_at else {
            return;
        };
        if !start.repeats_unreported(observed) && start.is_too_late(done_at, observed, limits) {
            let detail = format!("{start} began, done since {done_at}");
            findings.add(ViolationKind::RepeatedTask, observation.at, detail);
        }
    }
}
