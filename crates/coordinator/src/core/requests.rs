//! Requests of callers and operators. The list of members is built here, since
//! it needs the directory and the consensus status.

use super::Coordinator;
use crate::effect::Effect;
use crate::leader::Leader;
use crate::replica::Replica;
use crate::sender::Sender;
use consensus::{LinkHealth, Status};
use std::net::SocketAddr;
use transport::{Envelope, MemberView, Operation, PeerMessage, Request};
use types::{Address, ConfigurationVersion, Milliseconds, NodeId, Now, Role, ZoneName};

impl Coordinator {
    /// Passes a request to the leader if this process holds the lease; answers
    /// with the address of the leader otherwise.
    pub(super) fn receive_request(
        &mut self,
        now: Now,
        sender: &Sender,
        request: Request,
        effects: &mut Vec<Effect>,
    ) {
        if !self.is_serving(now) {
            return self.point_to_leader(now, sender, effects);
        }
        if request.time_left == Milliseconds(0) {
            return;
        }
        let members = match request.operation {
            Operation::ListMembers => self.list_members(now),
            _ => Vec::new(),
        };
        if let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) {
            leader.receive_request(replica.state_machine(), sender, request, members, now);
        }
    }

    /// Rejects a request that waited too long in the inbox. Any other message is
    /// handled as usual.
    pub(super) fn reject_overdue(
        &mut self,
        now: Now,
        envelope: Envelope,
        effects: &mut Vec<Effect>,
    ) {
        let Some(envelope) = self.open_relay(envelope, effects) else {
            return;
        };
        let PeerMessage::Request(request) = &envelope.body else {
            return self.receive(now, envelope, effects);
        };
        let id = request.id;
        let sender = Sender::of(&envelope);
        if !self.is_serving(now) {
            return self.point_to_leader(now, &sender, effects);
        }
        if let Some(leader) = &mut self.leader {
            leader.reject_overdue(&sender, id);
        }
    }

    /// Lists the coordinators of the membership, followed by all sessions.
    fn list_members(&self, now: Now) -> Vec<MemberView> {
        let (Some(leader), Some(replica)) = (&self.leader, &self.replica) else {
            return Vec::new();
        };
        let status = replica.status(now.monotonic);
        let members = &status.membership;
        let mut views: Vec<MemberView> = members
            .voters
            .iter()
            .chain(members.learners.iter())
            .filter_map(|(node, socket)| {
                Some(MemberView {
                    address: self.member_address(*node, *socket)?,
                    status: self.member_status(&status, *node).to_owned(),
                    since_last_contact: since_last_contact(&status, *node),
                    configuration: self.member_version(leader, replica, *node),
                    links: self.member_links(&status, *node),
                })
            })
            .collect();
        views.extend(leader.session_views(now));
        views
    }

    fn member_status(&self, status: &Status, node: NodeId) -> &'static str {
        if node == self.own.node {
            "leader"
        } else if status.membership.voters.contains_key(&node) {
            "voter"
        } else {
            "learner"
        }
    }

    /// Returns the configuration version that a member has applied; `None` if it
    /// has not reported to this leader.
    fn member_version(
        &self,
        leader: &Leader,
        replica: &Replica,
        node: NodeId,
    ) -> Option<ConfigurationVersion> {
        if node == self.own.node {
            return Some(replica.state_machine().configuration().0);
        }
        leader.member_version(node)
    }

    /// Returns the health of a member's links, as last reported; `None` without a
    /// report.
    fn member_links(&self, status: &Status, node: NodeId) -> Option<LinkHealth> {
        if node == self.own.node {
            return Some(status.links);
        }
        let mut reports = status.peer_reports.iter();
        reports
            .find(|(reporter, _)| *reporter == node)
            .map(|(_, links)| *links)
    }

    /// Returns the address of a member, with the zone `unknown` before its first
    /// message.
    fn member_address(&self, node: NodeId, socket: SocketAddr) -> Option<Address> {
        if let Some(address) = self.directory.address(node) {
            return Some(address.clone());
        }
        Some(Address {
            node,
            role: Role::Coordinator,
            zone: ZoneName::new("unknown").ok()?,
            socket,
        })
    }
}

/// Returns the time since the last message of a member; 0 if the consensus node
/// has recorded none.
fn since_last_contact(status: &Status, node: NodeId) -> Milliseconds {
    let contacts = status.since_last_contact.iter();
    contacts
        .rev()
        .find(|(member, _)| *member == node)
        .map(|(_, since)| *since)
        .unwrap_or_default()
}
