//! Handling of the messages of the session.

use super::{SessionClient, SessionEvent};
use crate::keep_alive::{Path, SentKeepAlive};
use crate::leader::LeaderContact;
use crate::route::{self, Outbox};
use std::net::SocketAddr;
use transport::{Envelope, Members, PeerMessage, SessionLease};
use types::{Address, ClusterId, Monotonic};

impl SessionClient {
    /// Handles a message to this process. Returns the message if it does not
    /// belong to the session.
    pub(super) fn handle_own(
        &mut self,
        now: Monotonic,
        envelope: Envelope,
        out: &mut Outbox,
        events: &mut Vec<SessionEvent>,
    ) -> Option<Envelope> {
        match &envelope.body {
            PeerMessage::Discover => {
                let members = PeerMessage::Members(self.members());
                out.push(route::reply_to(&self.options.address, &envelope, members));
            }
            PeerMessage::Members(members) => self.on_members(now, members, out),
            PeerMessage::Lease(lease) => self.on_lease(now, &envelope, lease, events),
            PeerMessage::NotLeader { leader } => {
                self.on_not_leader(now, &envelope.from, leader.as_ref(), out);
            }
            PeerMessage::Configuration { .. } => self.on_configuration(envelope, events),
            _ => return Some(envelope),
        }
        None
    }

    /// Adds the members that another process listed, and follows the leader that
    /// it reported unless the leader's term is outdated.
    fn on_members(&mut self, now: Monotonic, members: &Members, out: &mut Outbox) {
        if self.is_other_cluster(members.cluster) {
            return;
        }
        let had_no_coordinator = self.directory.has_no_coordinator();
        for member in &members.members {
            self.directory.add(member);
        }
        match &members.leader {
            Some(leader) if members.term >= self.highest_term => {
                self.directory.add(leader);
                if members.term > self.highest_term {
                    self.drop_superseded_leader(leader);
                }
                self.follow_hint(now, leader, out);
            }
            _ if had_no_coordinator && self.leader.is_none() => {
                self.contact_next_coordinator(now, out);
            }
            _ => {}
        }
    }

    /// Drops the present leader if `newer`, a leader of a higher term, is another
    /// one, even if the present leader still replies.
    fn drop_superseded_leader(&mut self, newer: &Address) {
        let present = self.leader.as_ref().map(LeaderContact::address);
        if present.is_some_and(|present| present != newer) {
            self.leader = None;
        }
    }

    /// Extends or begins a lease. Ignores a lease of a lower term or of another
    /// cluster, and one that replies to no recorded keep-alive.
    fn on_lease(
        &mut self,
        now: Monotonic,
        envelope: &Envelope,
        lease: &SessionLease,
        events: &mut Vec<SessionEvent>,
    ) {
        let Some(keep_alive) = self.keep_alives.find(lease.sequence) else {
            return;
        };
        if lease.term < self.highest_term || self.is_other_cluster(Some(lease.cluster)) {
            return;
        }
        self.highest_term = lease.term;
        self.cluster = Some(lease.cluster);
        self.directory
            .replace(&lease.leader, &lease.coordinators, &lease.others);
        self.record_reply(now, &lease.leader, keep_alive, envelope.via);
        self.replica
            .record_leader_version(keep_alive.sent_at, lease.configuration);
        let expires_at = keep_alive.sent_at + lease.lease;
        if self.lease.extend(lease.term, expires_at, now) {
            events.push(SessionEvent::Opened { term: lease.term });
        }
    }

    /// Records the path to the leader that a lease proves to work.
    fn record_reply(
        &mut self,
        now: Monotonic,
        leader: &Address,
        keep_alive: SentKeepAlive,
        via: Option<SocketAddr>,
    ) {
        let known = self.leader.as_ref().map(LeaderContact::address);
        if known != Some(leader) {
            let contact = LeaderContact::new(leader.clone(), self.options.interval, now);
            self.leader = Some(contact);
        }
        let Some(contact) = &mut self.leader else {
            return;
        };
        // A direct keep-alive with a relayed reply proves no path to work in both
        // directions.
        let proves_path = matches!(keep_alive.path, Path::Relayed(_)) || via.is_none();
        contact.record_contact(proves_path.then_some(keep_alive.path), now);
    }

    /// Drops the leader if it is the sender, and follows the sender's hint.
    fn on_not_leader(
        &mut self,
        now: Monotonic,
        from: &Address,
        leader: Option<&Address>,
        out: &mut Outbox,
    ) {
        let is_from_leader = self
            .leader
            .as_ref()
            .is_some_and(|contact| contact.address().node == from.node);
        if is_from_leader {
            self.leader = None;
        }
        if let Some(leader) = leader {
            self.directory.add(leader);
            self.follow_hint(now, leader, out);
        }
    }

    /// Sends a keep-alive to the coordinator that another member reported as the
    /// leader, unless the present leader is responsive: hints may be outdated.
    fn follow_hint(&mut self, now: Monotonic, hint: &Address, out: &mut Outbox) {
        let is_own = hint.node == self.options.address.node;
        let is_leader_responsive = self
            .leader
            .as_ref()
            .is_some_and(|contact| contact.address() == hint || !contact.is_unresponsive(now));
        if is_own || is_leader_responsive || !self.schedule.take_hint() {
            return;
        }
        let contact = LeaderContact::new(hint.clone(), self.options.interval, now);
        self.leader = Some(contact);
        self.send_keep_alive(now, hint.socket, out);
    }

    /// Updates the replica with a configuration that the leader sent.
    fn on_configuration(&mut self, envelope: Envelope, events: &mut Vec<SessionEvent>) {
        let from_leader = self
            .leader
            .as_ref()
            .is_some_and(|contact| contact.address().node == envelope.from.node);
        // Before the first lease the cluster is unknown, and the sender may belong
        // to another one.
        if !from_leader || self.cluster.is_none() {
            return;
        }
        if let PeerMessage::Configuration { version, document } = envelope.body
            && self.replica.update(version, document)
        {
            events.push(SessionEvent::Configuration(version));
        }
    }

    /// Builds the reply to a discovery. It reports the leader only while there is
    /// a lease.
    fn members(&self) -> Members {
        let leader = self.leader.as_ref().filter(|_| self.lease.is_some());
        Members {
            members: self.directory.members_to_list(),
            leader: leader.map(|contact| contact.address().clone()),
            term: self.highest_term,
            cluster: self.cluster,
        }
    }

    /// Returns whether `cluster` is known to be another one than that of this
    /// process.
    fn is_other_cluster(&self, cluster: Option<ClusterId>) -> bool {
        matches!((self.cluster, cluster), (Some(own), Some(other)) if own != other)
    }
}
