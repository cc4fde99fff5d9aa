//! A gang runs whole: no member goes on without the others.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::started::Started;
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use std::collections::BTreeSet;
use types::{Milliseconds, RunId};

/// Where no fault delays orders, a gang is all seen to start within this time,
/// and is all stopped within it after a member ended without result.
const TOGETHER: Milliseconds = Milliseconds(3_000);

/// No run of a gang that goes on while another member has none.
#[derive(Debug, Default)]
pub(super) struct GangApart {
    /// Runs of gangs to look at, with the time from which they may be alone.
    watched: BTreeSet<(Milliseconds, RunId)>,
}

impl Rule for GangApart {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        self.watch(observation, observed);
        while let Some((since, run)) = self.watched.first().copied() {
            let calm_since = observed.calm_since(since);
            if calm_since.is_none_or(|calm| observation.at <= calm + TOGETHER) {
                return;
            }
            self.watched.pop_first();
            if let Some(missing) = missing_member(run, observation.at, observed) {
                self.watched.retain(|(_, other)| *other != run);
                let detail = format!("run {run} of a gang goes on without task {missing}");
                findings.add(ViolationKind::GangApart, observation.at, detail);
            }
        }
    }
}

impl GangApart {
    /// Takes up a run of a gang that began, or those that another one left.
    fn watch(&mut self, observation: &Observation, observed: &ObservedCluster) {
        match &observation.event {
            Event::RunStarted { .. } => {
                let start = Started::of(observation).filter(|start| is_gang(start, observed));
                self.watched
                    .extend(start.map(|start| (observation.at, start.run)));
            }
            Event::RunEnded { run, .. } => {
                let others = open_members(*run, observed);
                self.watched
                    .extend(others.into_iter().map(|run| (observation.at, run)));
            }
            _ => {}
        }
    }
}

fn is_gang(start: &Started<'_>, observed: &ObservedCluster) -> bool {
    let step = observed.job(start.job).and_then(|job| job.step(start.step));
    step.is_some_and(|step| step.gang)
}

/// Open runs of the gang that a run belongs to.
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
        .flat_map(|member| member.open.iter().copied())
        .collect()
}

/// A member of an open run's gang that has had no run for too long, where no
/// member is done yet.
fn missing_member(run: RunId, at: Milliseconds, observed: &ObservedCluster) -> Option<u32> {
    let facts = observed.run(run).filter(|run| run.is_open())?;
    let (step, _) = &facts.task;
    let job = observed.job(&facts.job)?;
    let expected = job.step(step).filter(|_| job.done_in(step) == 0)?;
    (0..expected.tasks).find(|task| {
        let member = observed.task(&facts.job, step, *task);
        member.is_none_or(|member| member.open.is_empty() && at > member.changed_at + TOGETHER)
    })
}
