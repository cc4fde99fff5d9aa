//! Directory of the known members of the cluster, limited in size.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use types::{Address, Role};

/// Maximum number of coordinators kept.
pub const MAX_COORDINATORS: usize = 16;
/// Maximum number of gateways and agents kept. A process needs only a few of
/// them, to discover coordinators again if no known one can be reached.
pub const MAX_OTHERS: usize = 64;
/// Maximum number of members in one reply to a discovery.
pub const MAX_MEMBERS_LISTED: usize = 32;

/// Known members by peer socket, without this process.
#[derive(Debug)]
pub struct Directory {
    own: Address,
    coordinators: BTreeMap<SocketAddr, Address>,
    others: BTreeMap<SocketAddr, Address>,
    /// Coordinator that [`Directory::next_coordinator`] returned last; `None`
    /// before the first one.
    last_contacted: Option<SocketAddr>,
}

impl Directory {
    /// Creates an empty directory for the process at `own`.
    pub fn new(own: Address) -> Self {
        Self {
            own,
            coordinators: BTreeMap::new(),
            others: BTreeMap::new(),
            last_contacted: None,
        }
    }

    /// Adds a member, or updates the member at the same socket. Ignores the
    /// process itself, and a new member if the list of its role is full.
    pub fn add(&mut self, member: &Address) {
        if member.node == self.own.node || member.socket == self.own.socket {
            return;
        }
        let (list, limit, other_list) = match member.role {
            Role::Coordinator => (&mut self.coordinators, MAX_COORDINATORS, &mut self.others),
            Role::Gateway | Role::Agent => (&mut self.others, MAX_OTHERS, &mut self.coordinators),
        };
        other_list.remove(&member.socket);
        if list.len() < limit || list.contains_key(&member.socket) {
            list.insert(member.socket, member.clone());
        }
    }

    /// Replaces the known members with the leader and the live members that it
    /// listed. If `others` is empty, the known gateways and agents remain, since
    /// the leader does not always list them.
    pub fn replace(&mut self, leader: &Address, coordinators: &[Address], others: &[Address]) {
        self.coordinators.clear();
        if !others.is_empty() {
            self.others.clear();
        }
        self.add(leader);
        for member in coordinators.iter().chain(others) {
            self.add(member);
        }
    }

    /// Returns the coordinator that follows the one returned last, in the order of
    /// the sockets and without `excluded`. Returns `None` if there is none.
    pub fn next_coordinator(&mut self, excluded: Option<SocketAddr>) -> Option<SocketAddr> {
        let candidates = || {
            self.coordinators
                .keys()
                .copied()
                .filter(|socket| Some(*socket) != excluded)
        };
        let after_last = candidates().find(|socket| Some(*socket) > self.last_contacted);
        let next = after_last.or_else(|| candidates().next());
        self.last_contacted = next.or(self.last_contacted);
        next
    }

    /// Returns whether no coordinator is known.
    pub fn has_no_coordinator(&self) -> bool {
        self.coordinators.is_empty()
    }

    /// Returns the sockets of the known gateways and agents, sorted.
    pub fn other_sockets(&self) -> Vec<SocketAddr> {
        self.others.keys().copied().collect()
    }

    /// Returns the members for a reply to a discovery: this process, known
    /// coordinators, and then gateways and agents.
    pub fn members_to_list(&self) -> Vec<Address> {
        std::iter::once(&self.own)
            .chain(self.coordinators.values())
            .chain(self.others.values())
            .take(MAX_MEMBERS_LISTED)
            .cloned()
            .collect()
    }
}
