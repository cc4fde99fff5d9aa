//! Readiness of a daemon to receive traffic.

use std::sync::{Arc, RwLock};

/// Readiness of a daemon to receive traffic, set by its shell. Clones share the
/// same state.
#[derive(Debug, Clone, Default)]
pub struct Readiness {
    reason_not_ready: Arc<RwLock<Option<String>>>,
}

impl Readiness {
    /// Creates a readiness that is not ready, with the reason `starting`.
    pub fn starting() -> Self {
        let readiness = Self::default();
        readiness.set_not_ready("starting");
        readiness
    }

    /// Sets the daemon to ready.
    pub fn set_ready(&self) {
        self.store(None);
    }

    /// Sets the daemon to not ready, for the given reason.
    pub fn set_not_ready(&self, reason: &str) {
        self.store(Some(reason.to_owned()));
    }

    /// Returns the reason why the daemon is not ready. `None` if it is ready.
    pub fn reason_not_ready(&self) -> Option<String> {
        match self.reason_not_ready.read() {
            Ok(reason) => reason.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    fn store(&self, reason: Option<String>) {
        match self.reason_not_ready.write() {
            Ok(mut current) => *current = reason,
            Err(poisoned) => *poisoned.into_inner() = reason,
        }
    }
}
