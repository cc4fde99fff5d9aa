//! Directory of known processes, used for discovery and for the addresses of
//! members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use types::{Address, Milliseconds, Monotonic, NodeId, Role};

/// Time since its last message within which a process counts as responsive and
/// is named to others.
const RESPONSIVE_WITHIN: Milliseconds = Milliseconds(5_000);
/// Time after which a process is removed if it neither sends a message nor is
/// named by another process.
const REMOVE_AFTER: Milliseconds = Milliseconds(60_000);
/// Limit of processes named in one message.
const MAX_NAMED: usize = 32;
/// Limit of processes kept. The one with the oldest contact is removed first.
const MAX_KNOWN: usize = 4_096;

/// A process and the last time it sent a message or was named.
#[derive(Debug, Clone)]
struct KnownProcess {
    address: Address,
    /// Time at which the process last sent a message or was last named by another.
    last_contact: Monotonic,
    /// Whether the last contact was a message from the process itself.
    is_direct: bool,
}

impl KnownProcess {
    fn is_responsive(&self, now: Monotonic) -> bool {
        self.is_direct && now.since(self.last_contact) <= RESPONSIVE_WITHIN
    }
}

/// Known processes, by identity.
#[derive(Debug)]
pub(crate) struct Directory {
    own: Address,
    known: BTreeMap<NodeId, KnownProcess>,
}

impl Directory {
    /// Creates a directory that contains only this process.
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
        // Only one process can listen on a socket, so the earlier one has ended.
        self.known
            .retain(|_, known| known.address.socket != address.socket);
        self.insert(address, now, true);
    }

    /// Adds a process that another one named, unless a known process has its
    /// socket.
    pub(crate) fn add_named(&mut self, address: &Address, now: Monotonic) {
        let is_own = address.node == self.own.node || address.socket == self.own.socket;
        let socket_known = self
            .known
            .values()
            .any(|known| known.address.socket == address.socket);
        if !is_own && !socket_known {
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

    /// Removes processes without contact for [`REMOVE_AFTER`].
    pub(crate) fn remove_unresponsive(&mut self, now: Monotonic) {
        self.known
            .retain(|_, known| now.since(known.last_contact) <= REMOVE_AFTER);
    }

    /// Returns the address of a process, if it is known.
    pub(crate) fn address(&self, node: NodeId) -> Option<&Address> {
        if node == self.own.node {
            return Some(&self.own);
        }
        self.known.get(&node).map(|known| &known.address)
    }

    /// Returns the address of a responsive process; `None` if it is unknown or
    /// unresponsive.
    pub(crate) fn responsive_address(&self, node: NodeId, now: Monotonic) -> Option<&Address> {
        if node == self.own.node {
            return Some(&self.own);
        }
        let known = self.known.get(&node)?;
        known.is_responsive(now).then_some(&known.address)
    }

    /// Returns up to [`MAX_NAMED`] responsive processes: this one, then the other
    /// coordinators, then processes of other roles.
    pub(crate) fn responsive(&self, now: Monotonic) -> Vec<Address> {
        let responsive = || {
            self.known
                .values()
                .filter(|known| known.is_responsive(now))
                .map(|known| &known.address)
        };
        let coordinators = responsive().filter(|address| address.role == Role::Coordinator);
        let others = responsive().filter(|address| address.role != Role::Coordinator);
        std::iter::once(&self.own)
            .chain(coordinators)
            .chain(others)
            .take(MAX_NAMED)
            .cloned()
            .collect()
    }

    /// Returns the sockets of all known gateways and agents.
    pub(crate) fn other_sockets(&self) -> Vec<SocketAddr> {
        let others = self.known.values();
        others
            .filter(|known| known.address.role != Role::Coordinator)
            .map(|known| known.address.socket)
            .collect()
    }

    /// Returns the sockets of all known coordinators except this process.
    pub(crate) fn coordinator_sockets(&self) -> Vec<SocketAddr> {
        self.known
            .values()
            .filter(|known| known.address.role == Role::Coordinator)
            .map(|known| known.address.socket)
            .collect()
    }
}
