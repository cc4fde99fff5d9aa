//! Seats of licences, as the view counts them. What counts in the end is the
//! record: it rejects a reservation without a seat, whatever is thought here.
//!
//! Work of a more urgent queue gets the seats first, in whatever pool it waits:
//! less urgent work takes one only if more are free than more urgent work asks
//! for.

use crate::Scheduler;
use crate::shape::Shape;
use configuration::{LicenceSettings, QueueMode};
use std::collections::BTreeMap;
use types::LicenceName;

/// One licence.
#[derive(Debug, Clone, Default)]
struct Licence {
    seats: u32,
    taken: u32,
    /// Tasks that wait for room or a seat, by queue.
    waiting: BTreeMap<usize, usize>,
}

/// All licences met.
#[derive(Debug, Clone, Default)]
pub(crate) struct Seats {
    licences: BTreeMap<LicenceName, Licence>,
}

impl Seats {
    /// Takes the numbers of seats; a licence left out has none.
    pub(crate) fn configure(&mut self, settings: &BTreeMap<LicenceName, LicenceSettings>) {
        for (name, licence) in &mut self.licences {
            licence.seats = settings.get(name).map_or(0, |settings| settings.seats);
        }
        for (name, settings) in settings {
            self.entry(name).seats = settings.seats;
        }
    }

    fn entry(&mut self, licence: &LicenceName) -> &mut Licence {
        self.licences.entry(licence.clone()).or_default()
    }

    /// A run takes a seat.
    pub(crate) fn take(&mut self, licence: &LicenceName) {
        self.entry(licence).taken += 1;
    }

    /// A run is over.
    pub(crate) fn give_back(&mut self, licence: &LicenceName) {
        let entry = self.entry(licence);
        entry.taken = entry.taken.saturating_sub(1);
    }

    /// A task of the queue begins to wait.
    pub(crate) fn wait(&mut self, licence: &LicenceName, queue: usize) {
        *self.entry(licence).waiting.entry(queue).or_default() += 1;
    }

    /// A task of the queue waits no more.
    pub(crate) fn wait_no_more(&mut self, licence: &LicenceName, queue: usize) {
        if let Some(waiting) = self.entry(licence).waiting.get_mut(&queue) {
            *waiting = waiting.saturating_sub(1);
        }
    }
}

impl Scheduler {
    /// True for a queue whose work starts, and goes before that of `priority`.
    fn starts_work_before(&self, queue: usize, priority: u8) -> bool {
        let queue = &self.queues[queue];
        let starts_work = matches!(queue.mode, QueueMode::Active | QueueMode::Draining);
        starts_work && queue.pool.is_some() && queue.priority < priority
    }

    /// Seats taken, and tasks that wait for room or a seat.
    pub fn seats_of(&self, licence: &LicenceName) -> (u32, usize) {
        let licence = self.seats.licences.get(licence);
        licence.map_or((0, 0), |one| (one.taken, one.waiting.values().sum()))
    }

    /// Returns whether so many seats are free for work of the queue.
    pub(crate) fn has_seats(&self, needs: &Shape, queue: usize, wanted: u32) -> bool {
        let Some(name) = &needs.licence else {
            return true;
        };
        let Some(licence) = self.seats.licences.get(name) else {
            return false;
        };
        let priority = self.queues[queue].priority;
        let more_urgent = licence
            .waiting
            .iter()
            .filter(|(other, _)| self.starts_work_before(**other, priority))
            .map(|(_, waiting)| *waiting)
            .sum::<usize>();
        let free = licence.seats.saturating_sub(licence.taken) as usize;
        free >= more_urgent.saturating_add(wanted as usize)
    }
}
