//! Sessions of gateways and agents with the leader, which their keep-alives
//! open and renew.

use crate::sender::Sender;
use std::collections::BTreeMap;
use std::ops::Bound;
use transport::MemberView;
use types::{Address, ConfigurationVersion, Milliseconds, Monotonic, NodeId, Role};

/// Gateways and agents named in one lease. They serve as further seeds only.
const MAX_OTHERS: usize = 16;

/// A lease names others to a gateway or agent once in this many keep-alives:
/// naming them in each was three quarters of its bytes.
const KEEP_ALIVES_PER_OTHERS: u64 = 16;

/// A lease names all sessions to a coordinator once in this many keep-alives.
const KEEP_ALIVES_PER_LIST: u64 = 5;

/// Status of a session in the list of members.
const SESSION_STATUS: &str = "session";

/// A gateway or agent whose keep-alive arrived.
#[derive(Debug, Clone)]
struct Session {
    sender: Sender,
    last_seen: Monotonic,
    /// The configuration that it last said to have applied.
    configuration: ConfigurationVersion,
}

/// Sessions by identity.
#[derive(Debug)]
pub(super) struct Sessions {
    lease: Milliseconds,
    sessions: BTreeMap<NodeId, Session>,
}

impl Sessions {
    /// No sessions yet; each will last for `lease` after its last message.
    pub(super) fn new(lease: Milliseconds) -> Self {
        Self {
            lease,
            sessions: BTreeMap::new(),
        }
    }

    /// Opens or renews a session.
    pub(super) fn renew(
        &mut self,
        sender: &Sender,
        configuration: ConfigurationVersion,
        now: Monotonic,
    ) {
        let (node, socket) = (sender.address.node, sender.address.socket);
        if !self.sessions.contains_key(&node) {
            // A restarted process has another identity on the same socket.
            self.sessions
                .retain(|_, session| session.sender.address.socket != socket);
        }
        let session = Session {
            sender: sender.clone(),
            last_seen: now,
            configuration,
        };
        self.sessions.insert(node, session);
    }

    /// Renews a session because of another message than a keep-alive.
    pub(super) fn record_contact(&mut self, sender: &Sender, now: Monotonic) {
        if let Some(session) = self.sessions.get_mut(&sender.address.node) {
            session.last_seen = now;
            session.sender = sender.clone();
        }
    }

    /// Ends the session of a process that leaves.
    pub(super) fn close(&mut self, node: NodeId) {
        self.sessions.remove(&node);
    }

    /// Ends the sessions that were not renewed in time.
    pub(super) fn expire(&mut self, now: Monotonic) {
        let lease = self.lease;
        self.sessions
            .retain(|_, session| now.since(session.last_seen) <= lease);
    }

    /// Returns whether the process has a session that lasts.
    pub(super) fn is_live(&self, node: NodeId, now: Monotonic) -> bool {
        let session = self.sessions.get(&node);
        session.is_some_and(|session| now.since(session.last_seen) <= self.lease)
    }

    /// Number of sessions.
    pub(super) fn len(&self) -> usize {
        self.sessions.len()
    }

    /// The processes that have a session.
    pub(super) fn senders(&self) -> Vec<Sender> {
        let sessions = self.sessions.values();
        sessions.map(|session| session.sender.clone()).collect()
    }

    /// The sessions, for the list of members.
    pub(super) fn views(&self, now: Monotonic) -> impl Iterator<Item = MemberView> {
        self.sessions.values().map(move |session| MemberView {
            address: session.sender.address.clone(),
            status: SESSION_STATUS.to_owned(),
            since_last_contact: now.since(session.last_seen),
            configuration: Some(session.configuration),
            links: None,
        })
    }

    /// Addresses that a lease names besides the coordinators, in the answer to
    /// the keep-alive of this number.
    pub(super) fn addresses_for(&self, receiver: &Address, keep_alive: u64) -> Vec<Address> {
        match receiver.role {
            Role::Coordinator => self.all_addresses(keep_alive),
            Role::Gateway | Role::Agent => self.some_addresses(receiver.node, keep_alive),
        }
    }

    /// Every gateway and agent, now and then: a coordinator that is elected
    /// announces itself to all of them at once.
    fn all_addresses(&self, keep_alive: u64) -> Vec<Address> {
        if !keep_alive.is_multiple_of(KEEP_ALIVES_PER_LIST) {
            return Vec::new();
        }
        let sessions = self.sessions.values();
        sessions
            .map(|session| session.sender.address.clone())
            .collect()
    }

    /// Some gateways and agents, now and then: those that follow the receiver
    /// by identity, so that each process is named to a few others.
    fn some_addresses(&self, receiver: NodeId, keep_alive: u64) -> Vec<Address> {
        if keep_alive % KEEP_ALIVES_PER_OTHERS != 1 {
            return Vec::new();
        }
        let after = self
            .sessions
            .range((Bound::Excluded(receiver), Bound::Unbounded));
        let before = self.sessions.range(..receiver);
        after
            .chain(before)
            .map(|(_, session)| &session.sender.address)
            .filter(|address| address.role != Role::Coordinator)
            .take(MAX_OTHERS)
            .cloned()
            .collect()
    }
}
