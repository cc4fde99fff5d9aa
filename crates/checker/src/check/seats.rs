//! No more runs take a seat of a licence than it has, over all runners.
//!
//! A run takes its seat from its start to its end on the runner. One on a
//! machine that stands still does nothing, and must end when it wakes, once its
//! lease is over; so it does not count while it stands.

use super::rule::{Findings, Rule};
use super::world::World;
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
        world: &World,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        match &observation.event {
            Event::SeatsInForce { licence, seats } => {
                self.seats.insert(licence.clone(), *seats);
            }
            Event::RunStarted { run, job, step, .. } => {
                let Some(licence) = world.licence_of(job, step) else {
                    return;
                };
                let Some(seats) = self.seats.get(licence) else {
                    return;
                };
                let taken = world.seats_taken(licence) + 1;
                if taken > *seats as usize {
                    let detail = format!("with run {run}, {taken} of {seats} seats of {licence}");
                    findings.add(ViolationKind::SeatsExceeded, observation.at, detail);
                }
            }
            _ => {}
        }
    }
}
