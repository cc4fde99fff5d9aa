//! Guarantee: the runs on all runners use at most the seats that a licence has.
//!
//! Reads the seats in force and the starts of runs. Reports a violation if a run
//! starts and then more runs use the licence than it has seats. A run uses its
//! seat from its start to its end on the runner. A run on a frozen machine does
//! not count: it makes no progress, and must end when the machine resumes if its
//! lease has expired.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use std::collections::BTreeMap;
use types::LicenceName;

#[derive(Debug, Default)]
pub(super) struct SeatsExceeded {
    /// Seats in force of each licence.
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
                    let detail =
                        format!("with run {run}, {used} runs use the {seats} seats of {licence}");
                    findings.add(ViolationKind::SeatsExceeded, observation.at, detail);
                }
            }
            _ => {}
        }
    }
}
