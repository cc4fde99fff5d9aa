//! Interface of the rules, and the violations that they report.

use super::observed::ObservedCluster;
use super::{Limits, Violation, ViolationKind};
use crate::Observation;
use types::Milliseconds;

/// Check of one guarantee, which reads the history event by event.
pub(super) trait Rule {
    /// Checks the next event and reports violations to `findings`. `observed` has
    /// the state before this event.
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        limits: &Limits,
        findings: &mut Findings,
    );
}

/// Violations that the rules have reported.
#[derive(Debug, Default)]
pub(super) struct Findings {
    violations: Vec<Violation>,
}

impl Findings {
    /// Adds a violation; `at` is the time at which it occurred.
    pub(super) fn add(&mut self, kind: ViolationKind, at: Milliseconds, detail: String) {
        self.violations.push(Violation { kind, at, detail });
    }

    /// Returns the violations in order of time.
    pub(super) fn into_violations(mut self) -> Vec<Violation> {
        self.violations.sort_by_key(|violation| violation.at);
        self.violations
    }
}
