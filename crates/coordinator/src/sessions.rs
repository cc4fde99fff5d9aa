//! Sessions of gateways, agents and joining coordinators with the leader.

use crate::Coordinator;
use crate::core::{Effect, Sender};
use crate::leader::Leader;
use state_machine::StateMachine;
use std::collections::BTreeMap;
use std::ops::Bound;
use transport::{Bootstrap, KeepAlive, PeerMessage, SessionLease};
use types::{Address, ConfigurationVersion, Milliseconds, Monotonic, NodeId, Now, Role};

/// Gateways and agents named in one lease. They serve as further seeds only.
const MAX_OTHERS: usize = 16;

/// A gateway or agent is told them once in this many keep-alives: naming them in each
/// lease was three quarters of its bytes.
const HELLOS_PER_OTHERS: u64 = 16;

/// A coordinator is told all sessions once in this many keep-alives.
const KEEP_ALIVES_PER_LIST: u64 = 5;

/// A process that said keep-alive.
#[derive(Debug, Clone)]
pub(crate) struct Session {
    pub(crate) sender: Sender,
    pub(crate) last_seen: Monotonic,
    pub(crate) configuration: ConfigurationVersion,
}

/// Sessions by identity.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    sessions: BTreeMap<NodeId, Session>,
}

impl Sessions {
    fn keep_alive(&mut self, sender: &Sender, configuration: ConfigurationVersion, now: Monotonic) {
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

    /// Another message of the process than a keep-alive: it is alive.
    pub(crate) fn record_contact(&mut self, sender: &Sender, now: Monotonic) {
        if let Some(session) = self.sessions.get_mut(&sender.address.node) {
            session.last_seen = now;
            session.sender = sender.clone();
        }
    }

    /// Returns whether the session lasts.
    pub(crate) fn is_fresh(&self, node: NodeId, now: Monotonic, lease: Milliseconds) -> bool {
        self.sessions
            .get(&node)
            .is_some_and(|session| now.since(session.last_seen) <= lease)
    }

    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Session> {
        self.sessions.values()
    }

    /// Addresses of some gateways and agents: those that follow the asking one
    /// by identity, so that each process is named to a few others.
    fn others(&self, asking: NodeId, keep_alive: u64) -> Vec<Address> {
        if keep_alive % HELLOS_PER_OTHERS != 1 {
            return Vec::new();
        }
        let after = self
            .sessions
            .range((Bound::Excluded(asking), Bound::Unbounded));
        let before = self.sessions.range(..asking);
        after
            .chain(before)
            .map(|(_, session)| &session.sender.address)
            .filter(|address| address.role != Role::Coordinator)
            .take(MAX_OTHERS)
            .cloned()
            .collect()
    }
}

impl Coordinator {
    /// Takes a keep-alive: a lease from the leader, a hint from anyone else.
    pub(crate) fn keep_alive_received(
        &mut self,
        now: Now,
        sender: &Sender,
        keep_alive: KeepAlive,
        effects: &mut Vec<Effect>,
    ) {
        let Some(replica) = &self.replica else {
            return;
        };
        if keep_alive
            .cluster
            .is_some_and(|cluster| cluster != replica.cluster)
        {
            return;
        }
        if !self.is_serving(now) {
            return self.point_to_leader(now, sender, effects);
        }
        if sender.address.role == Role::Coordinator && !self.admit(now, sender, &keep_alive) {
            return;
        }
        let coordinators = self.live_coordinators(now);
        let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) else {
            return;
        };
        leader.keep_alive(
            &replica.state_machine,
            sender,
            &keep_alive,
            coordinators,
            now,
        );
    }

    /// Tells who leads, as far as this process knows.
    pub(crate) fn point_to_leader(&self, now: Now, sender: &Sender, effects: &mut Vec<Effect>) {
        let leader = self.known_leader(now);
        let (to, message) = sender.answer(&self.own, PeerMessage::NotLeader { leader });
        effects.push(Effect::Send { to, message });
    }

    /// Records a coordinator that asks to be taken in, and what a member says it
    /// has applied. False when a lease would
    /// mislead it: an empty process that is a voter by the first proposal must
    /// take that proposal, to know its voters.
    fn admit(&mut self, now: Now, sender: &Sender, keep_alive: &KeepAlive) -> bool {
        let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) else {
            return false;
        };
        let node = sender.address.node;
        let membership = replica.node.status(now.monotonic).membership;
        if membership.socket(node).is_none() {
            if keep_alive.cluster.is_some() {
                leader.joiners.record(&sender.address, now.monotonic);
            }
            return true;
        }
        if keep_alive.cluster.is_some() {
            let versions = &mut leader.member_versions;
            versions.insert(node, keep_alive.configuration);
            versions.retain(|node, _| membership.socket(*node).is_some());
        }
        if keep_alive.cluster.is_some() || !membership.voters.contains_key(&node) {
            return true;
        }
        let voters = match self.identification.attached() {
            Some((_, initial)) if initial.voters.contains_key(&node) => initial,
            _ => membership,
        };
        let cluster = replica.cluster;
        let propose = PeerMessage::Bootstrap(Bootstrap::Propose { cluster, voters });
        leader.answer(sender, propose);
        false
    }

    /// Coordinators of the membership that were heard a short while ago.
    fn live_coordinators(&self, now: Now) -> Vec<Address> {
        let Some(status) = self.status(now) else {
            return Vec::new();
        };
        let members = &status.membership;
        members
            .voters
            .keys()
            .chain(members.learners.keys())
            .filter_map(|node| self.directory.alive_address(*node, now.monotonic))
            .cloned()
            .collect()
    }
}

impl Leader {
    fn keep_alive(
        &mut self,
        state_machine: &StateMachine,
        sender: &Sender,
        keep_alive: &KeepAlive,
        coordinators: Vec<Address>,
        now: Now,
    ) {
        if keep_alive.leaving {
            self.sessions.sessions.remove(&sender.address.node);
            return;
        }
        if sender.address.role != Role::Coordinator {
            self.sessions
                .keep_alive(sender, keep_alive.configuration, now.monotonic);
        }
        let (version, document) = state_machine.configuration();
        let lease = SessionLease {
            term: self.identity.term,
            leader: self.identity.own.clone(),
            cluster: self.identity.cluster,
            sequence: keep_alive.sequence,
            lease: self.options.session_lease,
            configuration: version,
            coordinators,
            others: match sender.address.role {
                Role::Coordinator => self.all_sessions(keep_alive.sequence),
                _ => self
                    .sessions
                    .others(sender.address.node, keep_alive.sequence),
            },
        };
        self.answer(sender, PeerMessage::Lease(lease));
        if keep_alive.configuration < version && sender.address.role != Role::Coordinator {
            let document = document.clone();
            self.answer(sender, PeerMessage::Configuration { version, document });
        }
    }

    /// Every gateway and agent, told to coordinators now and then: one that is
    /// elected says so to all of them at once.
    fn all_sessions(&self, keep_alive: u64) -> Vec<Address> {
        if !keep_alive.is_multiple_of(KEEP_ALIVES_PER_LIST) {
            return Vec::new();
        }
        let sessions = self.sessions.iter();
        sessions
            .map(|session| session.sender.address.clone())
            .collect()
    }

    /// Ends sessions of processes silent over their lease.
    pub(crate) fn expire_sessions(&mut self, now: Monotonic) {
        let lease = self.options.session_lease;
        self.sessions
            .sessions
            .retain(|_, session| now.since(session.last_seen) <= lease);
    }

    /// Another configuration is in force: scheduler, admission and every
    /// session get it at once.
    pub(crate) fn configuration_changed(&mut self, state_machine: &StateMachine) {
        let (version, document) = state_machine.configuration();
        self.timings = document.timings.clone();
        self.scheduler.configure(document);
        let replicas: Vec<Sender> = self
            .sessions
            .iter()
            .map(|session| session.sender.clone())
            .filter(|sender| sender.address.role != Role::Coordinator)
            .collect();
        for sender in replicas {
            let document = document.clone();
            self.answer(&sender, PeerMessage::Configuration { version, document });
        }
    }
}
