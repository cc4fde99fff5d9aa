//! Kinds of runners: what decides whether a runner could take a task in a foreseeable
//! time. Tasks are compared with the kinds of a pool in place of all its runners.

use crate::index::RunnerIndex;
use crate::view::View;
use indexmap::IndexSet;
use std::sync::Arc;
use types::{Labels, Monotonic, Resources};

/// Labels of a runner, and its resources without those of runs that may go on for longer
/// than a reservation lasts.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct RunnerKind {
    pub(crate) labels: Arc<Labels>,
    pub(crate) foreseeable: Resources,
}

impl View {
    /// Returns the different kinds of these runners, in the order of their first runner.
    pub(crate) fn runner_kinds(
        &self,
        runners: impl Iterator<Item = RunnerIndex>,
        now: Monotonic,
    ) -> IndexSet<RunnerKind> {
        let kinds = runners.filter_map(|runner| {
            let reported = self.runners[runner].reported.as_ref()?;
            Some(RunnerKind {
                labels: Arc::clone(&reported.labels),
                foreseeable: self.foreseeable(runner, now),
            })
        });
        kinds.collect()
    }
}
