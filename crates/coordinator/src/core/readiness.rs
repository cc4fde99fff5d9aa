//! Readiness, the polite stop, and the end of service after unreadable state.

use super::Coordinator;
use crate::effect::{Effect, Input};
use crate::readiness::{NotReadyReason, Readiness};
use crate::replica::ReplicaError;
use consensus::RaftRole;
use types::{Milliseconds, Now};

/// Longest wait for a successor after a polite stop.
const HANDOVER_WAIT: Milliseconds = Milliseconds(2_000);

impl Coordinator {
    /// Begins a polite stop: transfers leadership, if it has it and another
    /// voter can take it.
    pub(super) fn begin_stop(&mut self, now: Now) {
        if self.handover_deadline.is_some() {
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
        self.handover_deadline = Some(now.monotonic + wait);
    }

    /// Ends a polite stop when leadership is transferred or the wait is over.
    pub(super) fn finish_stop(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let Some(deadline) = self.handover_deadline else {
            return;
        };
        let status = self.status(now);
        let is_leader = status.is_some_and(|status| status.role == RaftRole::Leader);
        if !is_leader || now.monotonic >= deadline {
            self.stopped = true;
            effects.push(Effect::Stopped);
        }
    }

    /// Reports the readiness if it has changed.
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
        if self.handover_deadline.is_some() {
            return Some(NotReadyReason::Stopping);
        }
        let Some(status) = self.status(now) else {
            return Some(NotReadyReason::NoCluster);
        };
        if status.membership.socket(self.own.node).is_none() {
            return Some(NotReadyReason::NotMember);
        }
        let follows = status.leader.is_some_and(|leader| leader != self.own.node);
        let has_leader = self.is_serving(now) || follows;
        (!has_leader).then_some(NotReadyReason::NoLeader)
    }

    /// Takes an input after unreadable state: nothing is done any more but to
    /// report it and to stop.
    pub(super) fn handle_faulted(&mut self, now: Now, input: &Input, effects: &mut Vec<Effect>) {
        self.report_readiness(now, effects);
        if matches!(input, Input::Stop) {
            self.stopped = true;
            effects.push(Effect::Stopped);
        }
    }

    /// Stops serving. The log or snapshot of a majority cannot be skipped, so
    /// there is nothing to go on with.
    pub(super) fn stop_serving(&mut self, error: ReplicaError) {
        let reason = error.to_string();
        tracing::error!(reason, "stopped serving: state is unreadable");
        self.fault = Some(error);
        self.leader = None;
    }
}
