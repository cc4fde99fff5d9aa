//! Guarantee: no run starts on a draining runner.
//!
//! Reads the reports of draining by runners, the operators' acknowledged orders to
//! drain, and the starts of runs. A runner's own report holds until its process
//! stops, an operator's order until it is lifted. Reports a violation if a run
//! starts more than [`Limits::drain_after`] after the runner began to drain.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use std::collections::BTreeMap;
use types::{Milliseconds, RunnerId};

#[derive(Debug, Default)]
pub(super) struct StartOnDrainingRunner {
    /// Time since which each runner reports that it is draining.
    by_runner: BTreeMap<RunnerId, Milliseconds>,
    /// Time since which an operator's order to drain each runner is in force.
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
                    let detail = format!("run {run} started on {runner}, draining since {since}");
                    findings.add(ViolationKind::StartOnDrainingRunner, at, detail);
                }
            }
            _ => {}
        }
    }
}
