//! Readiness, the polite stop, and the end of service after unreadable state.

use crate::Coordinator;
use crate::core::{Effect, Input};
use consensus::RaftRole;
use types::{Milliseconds, Now};

/// Longest wait for a successor after a polite stop.
const HANDOVER_WAIT: Milliseconds = Milliseconds(2_000);

impl Coordinator {
    pub(crate) fn begin_stop(&mut self, now: Now) {
        if self.handover.is_some() {
            return;
        }
        let successor = self
            .replica
            .as_mut()
            .and_then(|replica| replica.node.transfer_leadership(now.monotonic));
        let wait = match successor {
            Some(_) => HANDOVER_WAIT,
            None => Milliseconds(0),
        };
        self.handover = Some(now.monotonic + wait);
    }

    pub(crate) fn finish_stop(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let Some(deadline) = self.handover else {
            return;
        };
        let is_leader = self
            .status(now)
            .is_some_and(|status| status.role == RaftRole::Leader);
        if !is_leader || now.monotonic >= deadline {
            self.stopped = true;
            effects.push(Effect::Stopped);
        }
    }

    pub(crate) fn report_readiness(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let readiness = self.readiness_now(now);
        if self.readiness.as_ref() != Some(&readiness) {
            self.readiness = Some(readiness.clone());
            effects.push(Effect::Ready(readiness));
        }
    }

    fn readiness_now(&self, now: Now) -> Result<(), String> {
        if let Some(fault) = &self.fault {
            return Err(fault.clone());
        }
        if self.handover.is_some() {
            return Err("stopping".to_owned());
        }
        let Some(status) = self.status(now) else {
            return Err("belongs to no cluster yet".to_owned());
        };
        if status.membership.socket(self.own.node).is_none() {
            return Err("waits to be taken in by the cluster".to_owned());
        }
        let is_leader = self.is_serving(now);
        let follows = status.leader.is_some_and(|leader| leader != self.own.node);
        if is_leader || follows {
            Ok(())
        } else {
            Err("knows no leader".to_owned())
        }
    }

    /// After unreadable state nothing is done any more but to say so.
    pub(crate) fn handle_faulted(&mut self, input: &Input, effects: &mut Vec<Effect>) {
        let reason = self.fault.clone().unwrap_or_default();
        if self.readiness != Some(Err(reason.clone())) {
            self.readiness = Some(Err(reason.clone()));
            effects.push(Effect::Ready(Err(reason)));
        }
        if matches!(input, Input::Stop) {
            self.stopped = true;
            effects.push(Effect::Stopped);
        }
    }

    /// Serves no more, for this reason. The log or snapshot of a majority
    /// cannot be skipped, so there is nothing to go on with.
    pub(crate) fn fail(&mut self, reason: String) {
        tracing::error!(reason, "stopped serving: state is unreadable");
        self.fault = Some(reason);
        self.leader = None;
    }
}
