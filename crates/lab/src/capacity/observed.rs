//! Counts and times observed by the hollow runners and agents of one trial.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use types::{ConfigurationVersion, Monotonic, Term};

/// Collector of observations, shared by all hollow workers. Clones share the data.
#[derive(Debug, Clone, Default)]
pub struct SharedObservations {
    shared: Arc<Mutex<Observations>>,
}

/// Counts and times observed so far.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    /// Number of runs started.
    pub starts: u64,
    /// Number of start orders that did not start a run.
    pub not_started: u64,
    /// Number of sessions lost after they had been opened.
    pub sessions_lost: u64,
    /// Times from submit to start of ordinary tasks, in milliseconds.
    pub ordinary: Vec<u64>,
    /// Times from submit to start of urgent tasks, in milliseconds.
    pub urgent: Vec<u64>,
    /// Time of the first start in each term.
    pub first_starts: BTreeMap<Term, Monotonic>,
    /// Arrivals of each configuration version at the agents.
    pub configurations: BTreeMap<ConfigurationVersion, Arrivals>,
}

/// Arrivals of one configuration version at the agents.
#[derive(Debug, Clone, Copy, Default)]
pub struct Arrivals {
    /// Number of arrivals; an agent that receives the version again counts again.
    pub count: usize,
    /// Time of the last arrival.
    pub last: Monotonic,
}

impl SharedObservations {
    /// Records the start of a run. `wait` has the time from submit to start in
    /// milliseconds, and whether the task is urgent; `None` if the payload cannot be
    /// read.
    pub fn started(&self, term: Term, now: Monotonic, wait: Option<(u64, bool)>) {
        let mut observations = self.lock();
        observations.starts += 1;
        observations.first_starts.entry(term).or_insert(now);
        match wait {
            Some((length, true)) => observations.urgent.push(length),
            Some((length, false)) => observations.ordinary.push(length),
            None => {}
        }
    }

    /// Records a start order that did not start a run.
    pub fn not_started(&self) {
        self.lock().not_started += 1;
    }

    /// Records the loss of an agent's session.
    pub fn session_lost(&self) {
        self.lock().sessions_lost += 1;
    }

    /// Records the arrival of a configuration version at an agent.
    pub fn configured(&self, version: ConfigurationVersion, now: Monotonic) {
        let mut observations = self.lock();
        let arrivals = observations.configurations.entry(version).or_default();
        arrivals.count += 1;
        arrivals.last = arrivals.last.max(now);
    }

    /// Clears the times from submit to start, at the beginning of a window.
    pub fn begin_window(&self) {
        let mut observations = self.lock();
        observations.ordinary.clear();
        observations.urgent.clear();
    }

    /// Returns a copy of all observations so far.
    pub fn snapshot(&self) -> Observations {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
