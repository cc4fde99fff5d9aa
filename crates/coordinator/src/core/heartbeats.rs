//! Heartbeats of runners and results of orders, which agents pass on. Only a
//! leader under its lease takes them.

use super::Coordinator;
use crate::sender::Sender;
use transport::{AgentReport, OrderResult};
use types::Now;

impl Coordinator {
    /// Takes the heartbeats of an agent's runners.
    pub(super) fn receive_report(&mut self, now: Now, sender: &Sender, report: &AgentReport) {
        if !self.is_serving(now) {
            return;
        }
        if let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) {
            leader.receive_report(replica.state_machine(), sender, report, now);
        }
    }

    /// Takes the results of orders.
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
