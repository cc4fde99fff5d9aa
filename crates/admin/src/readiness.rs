//! Whether a daemon should get traffic, and why not.

use std::sync::{Arc, RwLock};

/// Whether the daemon should get traffic, set by its shell.
#[derive(Debug, Clone, Default)]
pub struct Readiness {
    reason_not_ready: Arc<RwLock<Option<String>>>,
}

impl Readiness {
    /// Starts as not ready.
    pub fn starting() -> Self {
        let readiness = Self::default();
        readiness.set_not_ready("starting");
        readiness
    }

    /// Ready from now on.
    pub fn set_ready(&self) {
        self.store(None);
    }

    /// Not ready, for this reason.
    pub fn set_not_ready(&self, reason: &str) {
        self.store(Some(reason.to_owned()));
    }

    /// Why it is not ready; none when it is.
    pub fn reason_not_ready(&self) -> Option<String> {
        match self.reason_not_ready.read() {
            Ok(reason) => reason.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    fn store(&self, reason: Option<String>) {
        match self.reason_not_ready.write() {
            Ok(mut slot) => *slot = reason,
            Err(poisoned) => *poisoned.into_inner() = reason,
        }
    }
}
