//! Checks of the open runs at an interval: starts and stops without an answer,
//! stalled runs, and the runs of unresponsive runners.
//!
//! # Unresponsive runners
//!
//! The runs of an unresponsive runner are closed as lost once the runner must
//! have stopped them. A runner with self-stop does so one run lease after it
//! *sent* the heartbeat that was last confirmed. This leader receives a
//! heartbeat after it was sent, so for its own confirmations it waits for the
//! run lease and the margin from the reception. An earlier leader confirmed
//! heartbeats only under its lease, which ended before this leader was elected,
//! so for those confirmations, and for starts based on them, the wait begins at
//! the election. The runs of a runner without self-stop are never closed by a
//! timeout.
//!
//! Each reservation records in the log whether the runner has self-stop, so the
//! rule also applies to runners from which this leader received no heartbeat.

use crate::leader::Leader;
use crate::leader::run_tracker::{StartPhase, TrackedRun};
use crate::leader::runner_registry::RunnerState;
use crate::leader::stall_detection::StallDetector;
use crate::options::Mutation;
use state_machine::StateMachine;
use types::{Milliseconds, Monotonic, Now, OpenRun, RunClose, RunId};

/// Time without an answer after which the outcome of a start is uncertain.
const ORDER_TIMEOUT: Milliseconds = Milliseconds(2_000);
/// Time between two revocations or two stops of one run.
const REPEAT_INTERVAL: Milliseconds = Milliseconds(1_000);

/// Action that a check of an open run requires.
#[derive(Debug, Clone, Copy)]
enum RunAction {
    /// Close the run as lost: the run lease and its margin have expired.
    CloseLost,
    /// Close the run as rejected: no process has sent its start or will send it.
    CloseRejected,
    /// Send a stop or repeat it.
    Stop,
    /// Request a stop because the run has stalled.
    StopStalled,
    /// Revoke the run, because it is uncertain whether it started.
    Revoke,
}

impl Leader {
    /// Checks all open runs for unresponsive runners, missing answers, stalls
    /// and stops.
    pub(super) fn check_runs(&mut self, state_machine: &StateMachine, now: Now) {
        let actions: Vec<(RunId, RunAction)> = self
            .runs
            .iter()
            .filter_map(|tracked| {
                let action = self.next_action(state_machine, tracked, now.monotonic)?;
                Some((tracked.open_run().run, action))
            })
            .collect();
        for (run, action) in actions {
            match action {
                RunAction::CloseLost => self.close_run(run, RunClose::Lost),
                RunAction::CloseRejected => self.close_run(run, RunClose::Rejected),
                RunAction::Stop => self.send_stop(state_machine, run, now.monotonic),
                RunAction::StopStalled => self.stop_stalled(state_machine, run, now),
                RunAction::Revoke => self.revoke_uncertain(state_machine, run, now.monotonic),
            }
        }
    }

    fn next_action(
        &self,
        state_machine: &StateMachine,
        tracked: &TrackedRun,
        now: Monotonic,
    ) -> Option<RunAction> {
        if tracked.is_closing() {
            return None;
        }
        if self.is_runner_lost(tracked.open_run(), now) {
            return Some(RunAction::CloseLost);
        }
        let waited = tracked.since_order(now);
        let is_repeat_due = waited >= REPEAT_INTERVAL;
        match tracked.phase() {
            // The lease expired before the start was sent, so it is never sent.
            StartPhase::Reserved if !self.runs.is_start_queued(tracked.open_run().run) => {
                Some(RunAction::CloseRejected)
            }
            StartPhase::Ordered if waited >= ORDER_TIMEOUT => Some(RunAction::Revoke),
            StartPhase::Active if self.is_stalled(state_machine, tracked) => {
                Some(RunAction::StopStalled)
            }
            StartPhase::Ordered | StartPhase::Active
                if tracked.is_stop_requested() && is_repeat_due =>
            {
                Some(RunAction::Stop)
            }
            StartPhase::Uncertain if is_repeat_due => Some(RunAction::Revoke),
            StartPhase::Reserved
            | StartPhase::Ordered
            | StartPhase::Active
            | StartPhase::Uncertain => None,
        }
    }

    fn is_stalled(&self, state_machine: &StateMachine, tracked: &TrackedRun) -> bool {
        let detector = StallDetector {
            stalled_after: self.options.stalled_after,
            move_slow: self.options.move_slow,
            runs: &self.runs,
            runners: &self.runners,
            state_machine,
        };
        detector.is_stalled(tracked)
    }

    /// Stops a run that has stalled. The stall counts as a failure of the runner
    /// but not as one of the task.
    fn stop_stalled(&mut self, state_machine: &StateMachine, run: RunId, now: Now) {
        let Some(tracked) = self.runs.get(run) else {
            return;
        };
        let open_run = tracked.open_run();
        let (runner, task) = (&open_run.runner, open_run.task);
        tracing::info!(%run, %runner, "run stalled, stopping it");
        let runner = runner.clone();
        self.record_outcome(&runner, task, true, now);
        self.runs.request_stop(run);
        self.send_stop(state_machine, run, now.monotonic);
    }

    /// Returns the longest time without a heartbeat before a runner's runs are
    /// closed as lost.
    fn max_unresponsive_time(&self) -> Milliseconds {
        if self.has_mutation(Mutation::ExpireRunsEarly) {
            Milliseconds(self.timings.run_lease.0 / 10)
        } else {
            self.timings.run_lease + self.timings.run_lease_margin
        }
    }

    /// Returns whether the run lease and its margin have expired without a
    /// heartbeat of the runner, so that the runner must have stopped the run.
    fn is_runner_lost(&self, run: &OpenRun, now: Monotonic) -> bool {
        let runner = self.runners.get(&run.runner);
        let stops_itself = run.self_stop && runner.is_none_or(RunnerState::stops_itself);
        let earliest = self.lease.failure_detection_start();
        let last_seen = runner.map_or(earliest, |runner| runner.last_seen().max(earliest));
        stops_itself && now.since(last_seen) > self.max_unresponsive_time()
    }
}
