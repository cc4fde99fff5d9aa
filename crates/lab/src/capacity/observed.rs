//! What the hollow runners and agents of one trial saw.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use types::{ConfigurationVersion, Monotonic, Term};

/// Shared by all hollow agents. Clones are the same.
#[derive(Debug, Clone, Default)]
pub struct Observed {
    shared: Arc<Mutex<Seen>>,
}

/// What was seen so far.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// Runs started.
    pub starts: u64,
    /// Starts that were rejected or not taken.
    pub not_started: u64,
    /// Sessions that were opened and lost again.
    pub sessions_lost: u64,
    /// From submit to start of ordinary tasks, in milliseconds.
    pub ordinary: Vec<u64>,
    /// From submit to start of urgent tasks, in milliseconds.
    pub urgent: Vec<u64>,
    /// First start of each term.
    pub first_starts: BTreeMap<Term, Monotonic>,
    /// For each configuration: agents that have it, and when the last got it.
    pub configurations: BTreeMap<ConfigurationVersion, Arrivals>,
}

/// Agents a configuration has reached.
#[derive(Debug, Clone, Copy, Default)]
pub struct Arrivals {
    /// How many.
    pub count: usize,
    /// When the last of them got it.
    pub last: Monotonic,
}

impl Observed {
    /// A run started.
    pub fn started(&self, term: Term, now: Monotonic, wait: Option<(u64, bool)>) {
        let mut seen = self.lock();
        seen.starts += 1;
        seen.first_starts.entry(term).or_insert(now);
        match wait {
            Some((length, true)) => seen.urgent.push(length),
            Some((length, false)) => seen.ordinary.push(length),
            None => {}
        }
    }

    /// A start was rejected.
    pub fn not_started(&self) {
        self.lock().not_started += 1;
    }

    /// An agent lost its session.
    pub fn session_lost(&self) {
        self.lock().sessions_lost += 1;
    }

    /// An agent has this configuration.
    pub fn configured(&self, version: ConfigurationVersion, now: Monotonic) {
        let mut seen = self.lock();
        let arrivals = seen.configurations.entry(version).or_default();
        arrivals.count += 1;
        arrivals.last = arrivals.last.max(now);
    }

    /// Forgets the waits seen so far: a window begins.
    pub fn begin_window(&self) {
        let mut seen = self.lock();
        seen.ordinary.clear();
        seen.urgent.clear();
    }

    /// All that was seen.
    pub fn seen(&self) -> Seen {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
