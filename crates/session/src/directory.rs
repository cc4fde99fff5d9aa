//! Known members of the cluster, in lists of limited length.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use types::{Address, Role};

/// Largest number of coordinators kept.
pub const MAX_COORDINATORS: usize = 16;
/// Largest number of gateways and agents kept. A process needs only a few of
/// them, to discover coordinators again if all known ones are gone.
pub const MAX_OTHERS: usize = 64;
/// Largest number of members in one reply to a discovery.
pub const MAX_MEMBERS_LISTED: usize = 32;

/// Known members by peer socket, without the process itself.
#[derive(Debug)]
pub struct Directory {
    own: Address,
    coordinators: BTreeMap<SocketAddr, Address>,
    others: BTreeMap<SocketAddr, Address>,
    last_contacted: Option<SocketAddr>,
}

impl Directory {
    /// An empty directory of the process at `own`.
    pub fn new(own: Address) -> Self {
        Self {
            own,
            coordinators: BTreeMap::new(),
            others: BTreeMap::new(),
            last_contacted: None,
        }
    }

    /// Adds a member, or updates the member at the same socket. Ignored if the
    /// list of its role is full.
    pub fn add(&mut self, member: &Address) {
        if member.node == self.own.node || member.socket == self.own.socket {
            return;
        }
        let (list, limit, elsewhere) = match member.role {
            Role::Coordinator => (&mut self.coordinators, MAX_COORDINATORS, &mut self.others),
            Role::Gateway | Role::Agent => (&mut self.others, MAX_OTHERS, &mut self.coordinators),
        };
        elsewhere.remove(&member.socket);
        if list.len() < limit || list.contains_key(&member.socket) {
            list.insert(member.socket, member.clone());
        }
    }

    /// Replaces the known members with the leader's list of live ones. Not every
    /// list has gateways and agents; without them the known ones remain.
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

    /// The coordinator after the one returned last, without `except`.
    pub fn next_coordinator(&mut self, except: Option<SocketAddr>) -> Option<SocketAddr> {
        let candidates = || {
            self.coordinators
                .keys()
                .copied()
                .filter(|socket| Some(*socket) != except)
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

    /// Sockets of known gateways and agents, in order.
    pub fn other_sockets(&self) -> Vec<SocketAddr> {
        self.others.keys().copied().collect()
    }

    /// The process itself and the members it knows, coordinators first.
    pub fn members_to_list(&self) -> Vec<Address> {
        std::iter::once(&self.own)
            .chain(self.coordinators.values())
            .chain(self.others.values())
            .take(MAX_MEMBERS_LISTED)
            .cloned()
            .collect()
    }
}
