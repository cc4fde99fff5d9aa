//! Guarantee: service is available again in time after the last fault.
//!
//! Reads the injected faults, the requests and replies of callers, and the starts
//! and ends of runs. After all faults have ended, it waits for
//! [`Limits::service_after`] and then reports a violation if
//!
//! * callers sent requests, but none was answered;
//! * no run started, ended or was open, although an acknowledged job could run.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use types::{JobKey, Milliseconds};

/// Events observed since all faults ended.
#[derive(Debug)]
struct RecoveryTracker {
    healed_at: Milliseconds,
    /// Whether a caller sent a submit or cancel, or a request timed out.
    has_request: bool,
    /// Whether a submit was acknowledged, or a request for a job's state answered.
    has_reply: bool,
    /// Whether a run started or ended.
    has_progress: bool,
}

#[derive(Debug, Default)]
pub(super) struct ServiceNotBack {
    /// Tracker of the recovery in progress; None if no recovery is in progress.
    tracker: Option<RecoveryTracker>,
}

impl Rule for ServiceNotBack {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        limits: &Limits,
        findings: &mut Findings,
    ) {
        let at = observation.at;
        if let Some(tracker) = &self.tracker
            && at > tracker.healed_at + limits.service_after
        {
            check_recovery(tracker, observed, limits, findings);
            self.tracker = None;
        }
        match &observation.event {
            Event::Healed => {
                self.tracker = Some(RecoveryTracker {
                    healed_at: at,
                    has_request: false,
                    has_reply: false,
                    has_progress: false,
                });
            }
            // A new fault cancels the check: only the recovery from the last fault
            // counts.
            Event::Fault { .. } => self.tracker = None,
            event => {
                if let Some(tracker) = &mut self.tracker {
                    tracker.record(event);
                }
            }
        }
    }
}

impl RecoveryTracker {
    fn record(&mut self, event: &Event) {
        match event {
            Event::SubmitSent { .. } | Event::CancelSent { .. } | Event::RequestTimedOut { .. } => {
                self.has_request = true;
            }
            Event::SubmitAcknowledged { .. } => self.has_reply = true,
            // The reply to a request sent before the faults ended is no evidence
            // that service is available again.
            Event::StateRead { asked_at, .. } if *asked_at >= self.healed_at => {
                self.has_reply = true;
            }
            Event::RunStarted { .. } | Event::RunEnded { .. } => self.has_progress = true,
            _ => {}
        }
    }
}

fn check_recovery(
    tracker: &RecoveryTracker,
    observed: &ObservedCluster,
    limits: &Limits,
    findings: &mut Findings,
) {
    let deadline = tracker.healed_at + limits.service_after;
    let healed_at = tracker.healed_at;
    if tracker.has_request && !tracker.has_reply {
        let detail =
            format!("no submit or state read succeeded since the faults ended at {healed_at}");
        findings.add(ViolationKind::ServiceNotBack, deadline, detail);
    }
    if tracker.has_progress || observed.has_open_runs() {
        return;
    }
    let waiting = observed.unfinished.iter();
    if let Some(job) = waiting
        .into_iter()
        .find(|job| was_startable(job, healed_at, observed))
    {
        let detail =
            format!("nothing ran since the faults ended at {healed_at}, although {job} waits");
        findings.add(ViolationKind::ServiceNotBack, deadline, detail);
    }
}

/// Returns whether a job could run at a time: it was acknowledged by then, its
/// earliest start had passed, and no cancel was sent.
fn was_startable(job: &JobKey, at: Milliseconds, observed: &ObservedCluster) -> bool {
    observed.job(job).is_some_and(|facts| {
        let is_acknowledged = facts.acknowledged_at.is_some_and(|time| time <= at);
        let is_due = facts.not_before.is_none_or(|time| time <= at);
        is_acknowledged && is_due && !facts.cancel_sent
    })
}
