//! A leaving runner gets nothing new.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use std::collections::BTreeMap;
use types::{Milliseconds, RunnerId};

#[derive(Debug, Default)]
pub(super) struct StartOnDrainingRunner {
    /// Since when runners say themselves that they leave; until they stop.
    by_runner: BTreeMap<RunnerId, Milliseconds>,
    /// Since when operators' orders hold; until they are lifted.
    by_operator: BTreeMap<RunnerId, Milliseconds>,
}

impl Rule for StartOnDrainingRunner {
    fn observe(
        &mut self,
        observation: &Observation,
        _observed: &ObservedCluster,
        limits: &Limits,
        findings: &mut Findings,
    ) {
        let at = observation.at;
        match &observation.event {
            Event::RunnerDraining { runner } => {
                self.by_runner.entry(runner.clone()).or_insert(at);
            }
            Event::RunnerStopped { runner } => {
                self.by_runner.remove(runner);
            }
            Event::RunnerDrainAcknowledged { runner } => {
                self.by_operator.entry(runner.clone()).or_insert(at);
            }
            Event::RunnerDrainLifted { runner } => {
                self.by_operator.remove(runner);
            }
            Event::RunStarted { runner, run, .. } => {
                let since = [self.by_runner.get(runner), self.by_operator.get(runner)];
                let Some(since) = since.into_iter().flatten().min() else {
                    return;
                };
                if at > *since + limits.drain_after {
                    let detail = format!("run {run} began on {runner}, leaving since {since}");
                    findings.add(ViolationKind::StartOnDrainingRunner, at, detail);
                }
            }
            _ => {}
        }
    }
}
