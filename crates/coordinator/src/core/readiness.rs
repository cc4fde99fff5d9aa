//! Readiness reports, graceful shutdown, and the stop of service when the state
//! is unreadable.

use super::Coordinator;
use crate::effect::{Effect, Input};
use crate::readiness::{NotReadyReason, Readiness};
use crate::replica::ReplicaError;
use consensus::RaftRole;
use types::{Milliseconds, Now};

/// Longest wait for a successor during a graceful shutdown.
const HANDOVER_WAIT: Milliseconds = Milliseconds(2_000);

impl Coordinator {
    /// Begins a graceful shutdown. A leader transfers leadership if another voter
    /// can take over.
    pub(super) fn begin_stop(&mut self, now: Now) {
        if self.shutdown_deadline.is_some() {
            return;
        }
        let successor = self
            .replica
            .as_mut()
            .and_then(|replica| replica.transfer_leadership(now.monotonic));
        let wait = match successor {
            Some(_) => HANDOVER_WAIT,
            None => Milliseconds(0),
        };
        self.shutdown_deadline = Some(now.monotonic + wait);
    }

    /// Completes a graceful shutdown when this process is not the leader any more
    /// or the deadline has passed.
    pub(super) fn finish_stop(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let Some(deadline) = self.shutdown_deadline else {
            return;
        };
        let status = self.status(now);
        let is_leader = status.is_some_and(|status| status.role == RaftRole::Leader);
        if !is_leader || now.monotonic >= deadline {
            self.stopped = true;
            effects.push(Effect::Stopped);
        }
    }

    /// Reports the readiness if it differs from the last report.
    pub(super) fn report_readiness(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let readiness = match self.find_not_ready_reason(now) {
            Some(reason) => Readiness::NotReady(reason),
            None => Readiness::Ready,
        };
        if self.reported_readiness.as_ref() != Some(&readiness) {
            self.reported_readiness = Some(readiness.clone());
            effects.push(Effect::Ready(readiness));
        }
    }

    fn find_not_ready_reason(&self, now: Now) -> Option<NotReadyReason> {
        if let Some(error) = &self.fault {
            let error = error.to_string();
            return Some(NotReadyReason::StateUnreadable { error });
        }
        if self.shutdown_deadline.is_some() {
            return Some(NotReadyReason::Stopping);
        }
        let Some(status) = self.status(now) else {
            return Some(NotReadyReason::NoCluster);
        };
        if status.membership.socket(self.own.node).is_none() {
            return Some(NotReadyReason::NotMember);
        }
        let follows_leader = status.leader.is_some_and(|leader| leader != self.own.node);
        let has_leader = self.is_serving(now) || follows_leader;
        (!has_leader).then_some(NotReadyReason::NoLeader)
    }

    /// Handles an input when the state is unreadable: reports the readiness, and
    /// stops on request. Any other input is ignored.
    pub(super) fn handle_faulted(&mut self, now: Now, input: &Input, effects: &mut Vec<Effect>) {
        self.report_readiness(now, effects);
        if matches!(input, Input::Stop) {
            self.stopped = true;
            effects.push(Effect::Stopped);
        }
    }

    /// Stops serving. A committed entry or snapshot must not be skipped, so a
    /// member that cannot read one cannot continue.
    pub(super) fn stop_serving(&mut self, error: ReplicaError) {
        let reason = error.to_string();
        tracing::error!(reason, "stopped serving: state is unreadable");
        self.fault = Some(error);
        self.leader = None;
    }
}
