//! Checks whether a runner may pull, and builds its pull.

use crate::index::RunnerIndex;
use crate::pull::{Pull, PullScope};
use crate::view::View;
use std::sync::Arc;
use types::Now;

/// Reason why a runner may not pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PullRejection {
    /// This leader has no heartbeat of the runner, or has removed it as
    /// unresponsive.
    NotSeen,
    /// The runner or an operator has set it to draining.
    Draining,
    /// The last heartbeat is older than `unresponsive_after`.
    Unresponsive,
    /// The runner is on probation, or it is on trial and its one allowed run is
    /// open.
    OnProbation,
}

impl View {
    /// Returns why a runner may not pull; `None` when it may.
    pub(crate) fn pull_rejection(&self, runner: RunnerIndex, now: Now) -> Option<PullRejection> {
        let state = &self.runners[runner];
        let Some(last) = &state.reported else {
            return Some(PullRejection::NotSeen);
        };
        if state.is_draining() {
            return Some(PullRejection::Draining);
        }
        let at = now.monotonic;
        if at.since(last.received_at) > self.options.unresponsive_after {
            return Some(PullRejection::Unresponsive);
        }
        if state.health.on_probation(at) || state.awaits_trial_run(at) {
            return Some(PullRejection::OnProbation);
        }
        None
    }

    /// Returns the pull of a runner; `None` when this leader has no heartbeat
    /// of it.
    pub(crate) fn pull_of(&self, runner: RunnerIndex) -> Option<Pull> {
        let state = &self.runners[runner];
        let last = state.reported.as_ref()?;
        Some(Pull {
            runner,
            incarnation: last.incarnation,
            self_stop: last.self_stop,
            pool: last.pool,
            free: state.free(),
            capacity: last.capacity,
            labels: Arc::clone(&last.labels),
            rack: last.rack.clone(),
            endpoint: last.endpoint.clone(),
            scope: PullScope::All,
        })
    }
}
