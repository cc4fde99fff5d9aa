//! Seats of licences in use, and the tasks that wait for one.
//!
//! The state machine enforces the number of seats: it rejects a reservation
//! without a free seat, whatever this table contains.

use crate::index::QueueIndex;
use configuration::LicenceSettings;
use std::collections::BTreeMap;
use types::LicenceName;

/// Seats of one licence, and the tasks that wait for one.
#[derive(Debug, Clone, Default)]
pub(crate) struct Licence {
    seats: u32,
    used: u32,
    /// Number of tasks that wait for capacity or a licence seat, by queue.
    waiting: BTreeMap<QueueIndex, usize>,
}

impl Licence {
    /// Returns the number of seats, free or in use.
    pub(crate) fn seats(&self) -> u32 {
        self.seats
    }

    /// Returns the number of seats in use.
    pub(crate) fn used(&self) -> u32 {
        self.used
    }

    /// Returns the number of free seats.
    pub(crate) fn free(&self) -> u32 {
        self.seats.saturating_sub(self.used)
    }

    /// Returns the number of waiting tasks of the queues that `include` selects.
    pub(crate) fn waiting_in(&self, include: impl Fn(QueueIndex) -> bool) -> usize {
        self.waiting
            .iter()
            .filter(|(queue, _)| include(**queue))
            .map(|(_, waiting)| *waiting)
            .sum()
    }
}

/// Licences that the configuration or a task has named.
#[derive(Debug, Clone, Default)]
pub(crate) struct LicenceTable {
    licences: BTreeMap<LicenceName, Licence>,
}

impl LicenceTable {
    /// Sets the number of seats of each licence; zero for a licence that the
    /// configuration leaves out.
    pub(crate) fn configure(&mut self, settings: &BTreeMap<LicenceName, LicenceSettings>) {
        for (name, licence) in &mut self.licences {
            licence.seats = settings.get(name).map_or(0, |settings| settings.seats);
        }
        for (name, settings) in settings {
            self.entry(name).seats = settings.seats;
        }
    }

    /// Returns a licence; `None` when neither the configuration nor a task has
    /// named it.
    pub(crate) fn get(&self, licence: &LicenceName) -> Option<&Licence> {
        self.licences.get(licence)
    }

    /// Records that a run uses a seat.
    pub(crate) fn acquire_seat(&mut self, licence: &LicenceName) {
        self.entry(licence).used += 1;
    }

    /// Records that a run no longer uses its seat.
    pub(crate) fn release_seat(&mut self, licence: &LicenceName) {
        let entry = self.entry(licence);
        entry.used = entry.used.saturating_sub(1);
    }

    /// Adds a waiting task of the queue.
    pub(crate) fn add_waiting(&mut self, licence: &LicenceName, queue: QueueIndex) {
        *self.entry(licence).waiting.entry(queue).or_default() += 1;
    }

    /// Removes a waiting task of the queue.
    pub(crate) fn remove_waiting(&mut self, licence: &LicenceName, queue: QueueIndex) {
        if let Some(waiting) = self.entry(licence).waiting.get_mut(&queue) {
            *waiting = waiting.saturating_sub(1);
        }
    }

    fn entry(&mut self, licence: &LicenceName) -> &mut Licence {
        self.licences.entry(licence.clone()).or_default()
    }
}
