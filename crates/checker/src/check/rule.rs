//! What a rule is, and what it finds.

use super::observed::ObservedCluster;
use super::{Limits, Violation, ViolationKind};
use crate::Observation;
use types::Milliseconds;

/// One promise, checked event by event.
pub(super) trait Rule {
    /// Takes the next event; `observed` holds what was seen before it.
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        limits: &Limits,
        findings: &mut Findings,
    );
}

/// Broken promises so far.
#[derive(Debug, Default)]
pub(super) struct Findings {
    violations: Vec<Violation>,
}

impl Findings {
    /// Records a broken promise.
    pub(super) fn add(&mut self, kind: ViolationKind, at: Milliseconds, detail: String) {
        self.violations.push(Violation { kind, at, detail });
    }

    /// All of them in order of time.
    pub(super) fn into_violations(mut self) -> Vec<Violation> {
        self.violations.sort_by_key(|violation| violation.at);
        self.violations
    }
}
