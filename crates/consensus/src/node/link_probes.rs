//! Probes between followers, which measure the health of their links.

use super::Node;
use crate::Message;
use crate::link_health::LinkHealth;
use types::{Milliseconds, NodeId};

impl Node {
    /// Sends probes to the other voters if they are due. The leader sends none:
    /// it measures the replies to its rounds of heartbeats.
    pub(super) fn probe_if_due(&mut self) {
        if !self.options.transfer_when_degraded || self.clock < self.link_monitor.next_probe() {
            return;
        }
        self.link_monitor
            .schedule_next_probe(self.clock, &self.options);
        if !self.is_voter() || self.role.is_leader() {
            self.link_monitor.clear_links();
            return;
        }
        let health = self.follower_link_health();
        let others = self.other_voters();
        let number = self
            .link_monitor
            .begin_probe(&others, self.leader, self.clock);
        for to in others {
            self.send(to, Message::Probe { number, health });
        }
    }

    /// Handles a probe of another voter, or the reply to one.
    pub(super) fn step_probe(&mut self, from: NodeId, message: &Message) {
        match *message {
            Message::Probe { number, health } => {
                self.link_monitor
                    .record_peer_report(from, health, self.clock);
                if !self.role.is_leader() {
                    self.send(from, Message::ProbeReply { number });
                }
            }
            Message::ProbeReply { number } => {
                self.link_monitor
                    .record_probe_reply(from, number, self.clock, &self.options);
            }
            _ => {}
        }
    }

    /// Returns the health of this node's links except the one to the leader.
    pub(super) fn follower_link_health(&self) -> LinkHealth {
        let oldest_sync = self.persist_queue.oldest_handed_out_at();
        self.link_monitor
            .follower_health(self.leader, oldest_sync, self.clock, &self.options)
    }

    /// Records the duration of a sync, from which a slow disk is detected.
    pub(super) fn record_sync(&mut self, elapsed: Milliseconds) {
        self.link_monitor
            .record_sync(elapsed, self.clock, &self.options);
    }
}
