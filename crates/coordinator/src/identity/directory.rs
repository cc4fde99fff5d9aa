//! Processes this one has heard of, for discovery and for the addresses of
//! members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use types::{Address, Milliseconds, Monotonic, NodeId, Role};

/// A process silent for this long is not passed on to others.
const ALIVE_WITHIN: Milliseconds = Milliseconds(5_000);
/// A process silent for this long is forgotten.
const FORGET_AFTER: Milliseconds = Milliseconds(60_000);
/// Processes named to others at once.
const MAX_NAMED: usize = 32;
/// Processes kept at most; the longest silent goes first.
const MAX_KNOWN: usize = 4_096;

#[derive(Debug, Clone)]
struct Known {
    address: Address,
    /// When it was heard, or when another process last named it.
    last: Monotonic,
    /// Whether it was heard itself.
    is_direct: bool,
}

impl Known {
    fn is_alive(&self, now: Monotonic) -> bool {
        self.is_direct && now.since(self.last) <= ALIVE_WITHIN
    }
}

/// Processes known by identity.
#[derive(Debug)]
pub(crate) struct Directory {
    own: Address,
    known: BTreeMap<NodeId, Known>,
}

impl Directory {
    pub(crate) fn new(own: Address) -> Self {
        Self {
            own,
            known: BTreeMap::new(),
        }
    }

    /// A message came straight from this process.
    pub(crate) fn record_contact(&mut self, address: &Address, now: Monotonic) {
        if let Some(known) = self.known.get_mut(&address.node)
            && known.address == *address
        {
            known.last = now;
            known.is_direct = true;
            return;
        }
        // Whoever had the socket before has lost it.
        self.known
            .retain(|_, known| known.address.socket != address.socket);
        self.insert(address, now, true);
    }

    /// Another process named this one.
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
            let oldest = self.known.iter().min_by_key(|(_, known)| known.last);
            if let Some(node) = oldest.map(|(node, _)| *node) {
                self.known.remove(&node);
            }
        }
        let known = Known {
            address: address.clone(),
            last: now,
            is_direct,
        };
        self.known.insert(address.node, known);
    }

    /// Drops processes that have been silent for long.
    pub(crate) fn forget_unresponsive(&mut self, now: Monotonic) {
        self.known
            .retain(|_, known| now.since(known.last) <= FORGET_AFTER);
    }

    /// The address of a process.
    pub(crate) fn address(&self, node: NodeId) -> Option<&Address> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.known.get(&node).map(|known| &known.address)
    }

    /// The address of a process that was heard a short while ago.
    pub(crate) fn alive_address(&self, node: NodeId, now: Monotonic) -> Option<&Address> {
        if node == self.own.node {
            return Some(&self.own);
        }
        let known = self.known.get(&node)?;
        known.is_alive(now).then_some(&known.address)
    }

    /// Processes heard a short while ago: this one, the other coordinators,
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
