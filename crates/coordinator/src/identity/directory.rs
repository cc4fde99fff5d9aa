//! Processes that this one knows, for discovery and for the addresses of
//! members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use types::{Address, Milliseconds, Monotonic, NodeId, Role};

/// A process without a message for this long is not named to others.
const ALIVE_WITHIN: Milliseconds = Milliseconds(5_000);
/// A process that neither sends nor is named for this long is removed.
const FORGET_AFTER: Milliseconds = Milliseconds(60_000);
/// Processes named to others at once.
const MAX_NAMED: usize = 32;
/// Processes kept at most; the one without contact for longest goes first.
const MAX_KNOWN: usize = 4_096;

/// A process and the last time it sent a message or was named.
#[derive(Debug, Clone)]
struct KnownProcess {
    address: Address,
    /// When it last sent a message, or another process last named it.
    last_contact: Monotonic,
    /// Whether its last contact was a message of its own.
    is_direct: bool,
}

impl KnownProcess {
    fn is_alive(&self, now: Monotonic) -> bool {
        self.is_direct && now.since(self.last_contact) <= ALIVE_WITHIN
    }
}

/// Processes known by identity.
#[derive(Debug)]
pub(crate) struct Directory {
    own: Address,
    known: BTreeMap<NodeId, KnownProcess>,
}

impl Directory {
    /// A directory that knows this process alone.
    pub(crate) fn new(own: Address) -> Self {
        Self {
            own,
            known: BTreeMap::new(),
        }
    }

    /// Records a message that came directly from a process.
    pub(crate) fn record_contact(&mut self, address: &Address, now: Monotonic) {
        if let Some(known) = self.known.get_mut(&address.node)
            && known.address == *address
        {
            known.last_contact = now;
            known.is_direct = true;
            return;
        }
        // Whoever had the socket before has lost it.
        self.known
            .retain(|_, known| known.address.socket != address.socket);
        self.insert(address, now, true);
    }

    /// Adds a process that another one named, unless its socket is known.
    pub(crate) fn learn(&mut self, address: &Address, now: Monotonic) {
        let own = address.node == self.own.node || address.socket == self.own.socket;
        let socket_known = self
            .known
            .values()
            .any(|known| known.address.socket == address.socket);
        if !own && !socket_known {
            self.insert(address, now, false);
        }
    }

    fn insert(&mut self, address: &Address, now: Monotonic, is_direct: bool) {
        if self.known.len() >= MAX_KNOWN {
            let oldest = self
                .known
                .iter()
                .min_by_key(|(_, known)| known.last_contact);
            if let Some(node) = oldest.map(|(node, _)| *node) {
                self.known.remove(&node);
            }
        }
        let known = KnownProcess {
            address: address.clone(),
            last_contact: now,
            is_direct,
        };
        self.known.insert(address.node, known);
    }

    /// Removes processes without contact for long.
    pub(crate) fn forget_unresponsive(&mut self, now: Monotonic) {
        self.known
            .retain(|_, known| now.since(known.last_contact) <= FORGET_AFTER);
    }

    /// The address of a process, if it is known.
    pub(crate) fn address(&self, node: NodeId) -> Option<&Address> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.known.get(&node).map(|known| &known.address)
    }

    /// The address of a process that sent a message a short while ago.
    pub(crate) fn alive_address(&self, node: NodeId, now: Monotonic) -> Option<&Address> {
        if node == self.own.node {
            return Some(&self.own);
        }
        let known = self.known.get(&node)?;
        known.is_alive(now).then_some(&known.address)
    }

    /// Processes that sent a message a short while ago: this one, the other coordinators,
    /// and some of the rest.
    pub(crate) fn alive(&self, now: Monotonic) -> Vec<Address> {
        let alive = || {
            self.known
                .values()
                .filter(|known| known.is_alive(now))
                .map(|known| &known.address)
        };
        let coordinators = alive().filter(|address| address.role == Role::Coordinator);
        let rest = alive().filter(|address| address.role != Role::Coordinator);
        std::iter::once(&self.own)
            .chain(coordinators)
            .chain(rest)
            .take(MAX_NAMED)
            .cloned()
            .collect()
    }

    /// Sockets of all gateways and agents known.
    pub(crate) fn other_sockets(&self) -> Vec<SocketAddr> {
        let others = self.known.values();
        others
            .filter(|known| known.address.role != Role::Coordinator)
            .map(|known| known.address.socket)
            .collect()
    }

    /// Sockets of all other coordinators known.
    pub(crate) fn coordinator_sockets(&self) -> Vec<SocketAddr> {
        self.known
            .values()
            .filter(|known| known.address.role == Role::Coordinator)
            .map(|known| known.address.socket)
            .collect()
    }
}
