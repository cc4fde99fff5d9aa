//! No more runs take a seat of a licence than it has, over all runners.
//!
//! A run takes its seat from its start to its end on the runner. One on a
//! machine that is frozen does nothing, and must end when it wakes, once its
//! lease is over; so it does not count until then.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use std::collections::BTreeMap;
use types::LicenceName;

#[derive(Debug, Default)]
pub(super) struct SeatsExceeded {
    seats: BTreeMap<LicenceName, u32>,
}

impl Rule for SeatsExceeded {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        match &observation.event {
            Event::SeatsInForce { licence, seats } => {
                self.seats.insert(licence.clone(), *seats);
            }
            Event::RunStarted { run, job, step, .. } => {
                let Some(licence) = observed.licence_of(job, step) else {
                    return;
                };
                let Some(seats) = self.seats.get(licence) else {
                    return;
                };
                let used = observed.seats_used(licence) + 1;
                if used > *seats as usize {
                    let detail = format!("with run {run}, {used} of {seats} seats of {licence}");
                    findings.add(ViolationKind::SeatsExceeded, observation.at, detail);
                }
            }
            _ => {}
        }
    }
}
