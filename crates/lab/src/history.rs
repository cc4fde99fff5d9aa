//! History of a trial, with the timestamps of one clock.

use crate::LabError;
use checker::{Event, Observation};
use std::io::BufWriter;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use types::{Milliseconds, Monotonic};

/// Events observed by callers, runners and the lab, ordered by time. Clones share
/// the same events.
#[derive(Debug, Clone)]
pub struct History {
    started: Instant,
    observations: Arc<Mutex<Vec<Observation>>>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            observations: Arc::default(),
        }
    }
}

impl History {
    /// Returns the time since the history was created.
    pub fn now(&self) -> Milliseconds {
        let elapsed = self.started.elapsed().as_millis();
        Milliseconds(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Returns [`History::now`] in the type that the emulators use.
    pub fn monotonic(&self) -> Monotonic {
        Monotonic(self.now().0)
    }

    /// Appends an event with the current time. The clock is read under the lock,
    /// so that the events are ordered by time.
    pub fn record(&self, observer: &str, event: Event) {
        let mut observations = self.lock();
        let observation = Observation {
            at: self.now(),
            observer: observer.to_owned(),
            event,
        };
        observations.push(observation);
    }

    /// Returns a copy of all events recorded so far.
    pub fn observations(&self) -> Vec<Observation> {
        self.lock().clone()
    }

    /// Writes all events to a file, one line of JSON for each.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), LabError> {
        let file = std::fs::File::create(path).map_err(LabError::file(path))?;
        checker::write_history(BufWriter::new(file), &self.observations())?;
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Observation>> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
