//! Sessions of gateways and agents with the leader. Keep-alives open and renew
//! them.

use crate::sender::Sender;
use std::collections::BTreeMap;
use std::ops::Bound;
use transport::MemberView;
use types::{Address, ConfigurationVersion, Milliseconds, Monotonic, NodeId, Role};

/// Maximum number of gateways and agents listed in the lease of a gateway or
/// agent, which uses them only as additional seeds.
const MAX_LISTED_PEERS: usize = 16;

/// Number of keep-alives of a gateway or agent for each lease that lists peers.
/// Listed in every lease, the peers made up three quarters of its bytes.
const KEEP_ALIVES_PER_PEER_LIST: u64 = 16;

/// Number of keep-alives of a coordinator for each lease that lists all sessions.
const KEEP_ALIVES_PER_SESSION_LIST: u64 = 5;

/// Status that the list of members shows for a session.
const SESSION_STATUS: &str = "session";

/// Session of a gateway or agent.
#[derive(Debug, Clone)]
struct Session {
    sender: Sender,
    last_seen: Monotonic,
    /// Configuration version in the last keep-alive of the process.
    configuration: ConfigurationVersion,
}

/// All sessions, by the identity of the process.
#[derive(Debug)]
pub(super) struct Sessions {
    lease: Milliseconds,
    sessions: BTreeMap<NodeId, Session>,
}

impl Sessions {
    /// Creates an empty table. Each session expires `lease` after the last
    /// message of its process.
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
            // A restarted process has a new identity on the same socket, so the
            // earlier session is removed.
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

    /// Renews a session after a message other than a keep-alive.
    pub(super) fn record_contact(&mut self, sender: &Sender, now: Monotonic) {
        if let Some(session) = self.sessions.get_mut(&sender.address.node) {
            session.last_seen = now;
            session.sender = sender.clone();
        }
    }

    /// Ends the session of a process that stops.
    pub(super) fn close(&mut self, node: NodeId) {
        self.sessions.remove(&node);
    }

    /// Ends the sessions whose lease has expired.
    pub(super) fn expire(&mut self, now: Monotonic) {
        let lease = self.lease;
        self.sessions
            .retain(|_, session| now.since(session.last_seen) <= lease);
    }

    /// Returns whether the process has a session that has not expired.
    pub(super) fn is_live(&self, node: NodeId, now: Monotonic) -> bool {
        let session = self.sessions.get(&node);
        session.is_some_and(|session| now.since(session.last_seen) <= self.lease)
    }

    /// Returns the number of sessions, expired ones included until they are
    /// removed.
    pub(super) fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the processes that have a session.
    pub(super) fn senders(&self) -> Vec<Sender> {
        let sessions = self.sessions.values();
        sessions.map(|session| session.sender.clone()).collect()
    }

    /// Returns the sessions as entries of the list of members.
    pub(super) fn views(&self, now: Monotonic) -> impl Iterator<Item = MemberView> {
        self.sessions.values().map(move |session| MemberView {
            address: session.sender.address.clone(),
            status: SESSION_STATUS.to_owned(),
            since_last_contact: now.since(session.last_seen),
            configuration: Some(session.configuration),
            links: None,
        })
    }

    /// Returns the addresses that the lease of `receiver` lists in addition to
    /// the coordinators. `keep_alive` is the number of the keep-alive that the
    /// lease answers.
    pub(super) fn addresses_for(&self, receiver: &Address, keep_alive: u64) -> Vec<Address> {
        match receiver.role {
            Role::Coordinator => self.session_list(keep_alive),
            Role::Gateway | Role::Agent => self.peer_list(receiver.node, keep_alive),
        }
    }

    /// Returns all gateways and agents for a lease of a coordinator, once in
    /// [`KEEP_ALIVES_PER_SESSION_LIST`] keep-alives and otherwise an empty list.
    /// A coordinator announces itself to all of them when it is elected.
    fn session_list(&self, keep_alive: u64) -> Vec<Address> {
        if !keep_alive.is_multiple_of(KEEP_ALIVES_PER_SESSION_LIST) {
            return Vec::new();
        }
        let sessions = self.sessions.values();
        sessions
            .map(|session| session.sender.address.clone())
            .collect()
    }

    /// Returns up to [`MAX_LISTED_PEERS`] gateways and agents for a lease of a
    /// gateway or agent, once in [`KEEP_ALIVES_PER_PEER_LIST`] keep-alives and
    /// otherwise an empty list. They are the next processes after the receiver
    /// in the order of identities, so that each process is listed to a few
    /// others.
    fn peer_list(&self, receiver: NodeId, keep_alive: u64) -> Vec<Address> {
        if keep_alive % KEEP_ALIVES_PER_PEER_LIST != 1 {
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
            .take(MAX_LISTED_PEERS)
            .cloned()
            .collect()
    }
}
