//! Heartbeats of runners and results of orders, as sent by agents. Processed
//! only by a leader with a valid lease.

use super::Coordinator;
use crate::sender::Sender;
use transport::{AgentReport, OrderResult};
use types::Now;

impl Coordinator {
    /// Handles the heartbeats of an agent's runners.
    pub(super) fn receive_report(&mut self, now: Now, sender: &Sender, report: &AgentReport) {
        if !self.is_serving(now) {
            return;
        }
        if let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) {
            leader.receive_report(replica.state_machine(), sender, report, now);
        }
    }

    /// Handles the results of orders.
    pub(super) fn receive_order_results(
        &mut self,
        now: Now,
        sender: &Sender,
        results: &[OrderResult],
    ) {
        if !self.is_serving(now) {
            return;
        }
        if let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) {
            leader.receive_order_results(replica.state_machine(), sender, results, now);
        }
    }
}
