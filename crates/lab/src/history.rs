//! The history of a trial, dated by one clock.

use crate::LabError;
use checker::{Event, Observation};
use std::io::BufWriter;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use types::{Milliseconds, Monotonic};

/// What callers, runners and the lab saw, in order of time. Clones share it.
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
    /// Time since the trial began.
    pub fn now(&self) -> Milliseconds {
        let elapsed = self.started.elapsed().as_millis();
        Milliseconds(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// The same clock for the emulators.
    pub fn monotonic(&self) -> Monotonic {
        Monotonic(self.now().0)
    }

    /// Adds an event, dated now. The clock is read under the lock, so the
    /// history is in order of time.
    pub fn record(&self, observer: &str, event: Event) {
        let mut observations = self.lock();
        let observation = Observation {
            at: self.now(),
            observer: observer.to_owned(),
            event,
        };
        observations.push(observation);
    }

    /// All events so far.
    pub fn observations(&self) -> Vec<Observation> {
        self.lock().clone()
    }

    /// Writes all events to a file, one JSON line each.
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
