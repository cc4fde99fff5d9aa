//! Guarantee: a runner rejects orders of a superseded leader.
//!
//! Reads the accepted orders and the stops of runners. Reports a violation if a
//! runner accepts an order although it has seen a higher term, or accepted an
//! order of one, in its current incarnation.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use std::collections::BTreeMap;
use types::{RunnerId, Term};

#[derive(Debug, Default)]
pub(super) struct StaleOrderAccepted {
    /// Highest term of an order that each runner accepted in its current
    /// incarnation.
    highest: BTreeMap<RunnerId, Term>,
}

impl Rule for StaleOrderAccepted {
    fn observe(
        &mut self,
        observation: &Observation,
        _observed: &ObservedCluster,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        match &observation.event {
            Event::RunnerStopped { runner } => {
                self.highest.remove(runner);
            }
            Event::OrderAccepted {
                runner,
                term,
                stale,
            } => {
                let highest = self.highest.entry(runner.clone()).or_insert(*term);
                if *stale || term < highest {
                    let detail = format!("{runner} accepted an order of superseded term {term}");
                    findings.add(ViolationKind::StaleOrderAccepted, observation.at, detail);
                }
                *highest = (*highest).max(*term);
            }
            _ => {}
        }
    }
}
