//! Sending of keep-alives and discoveries.

use super::SessionClient;
use crate::keep_alive::Path;
use crate::route::{self, Outbox};
use rand::Rng;
use std::net::SocketAddr;
use transport::{KeepAlive, PeerMessage};
use types::Monotonic;

impl SessionClient {
    /// Sends a round of keep-alives if one is due.
    pub(super) fn send_round_if_due(&mut self, now: Monotonic, out: &mut Outbox) {
        if self.schedule.is_due(now) {
            let has_lease = self.lease.is_some();
            self.schedule.begin_round(now, has_lease, &mut self.random);
            self.send_round(now, out);
        }
    }

    /// Sends the keep-alives of one round:
    ///
    /// - without a known leader, one to the next coordinator, and discoveries;
    /// - otherwise one to the leader, except in the rounds that leave out the
    ///   direct path while a relay is in use;
    /// - also one through a follower if the direct path is unresponsive;
    /// - also one to that follower itself, and discoveries, if the leader is
    ///   unresponsive on all paths.
    fn send_round(&mut self, now: Monotonic, out: &mut Outbox) {
        let Some(leader) = &self.leader else {
            self.contact_next_coordinator(now, out);
            self.discover(out);
            return;
        };
        let socket = leader.address().socket;
        let relay = leader.relay(now);
        let is_direct_unresponsive = leader.is_direct_unresponsive(now);
        let is_unresponsive = leader.is_unresponsive(now);
        if relay.is_none() || self.schedule.probes_direct_path() {
            self.send_keep_alive(now, socket, out);
        }
        if is_direct_unresponsive {
            let follower = relay.or_else(|| self.directory.next_coordinator(Some(socket)));
            if let Some(follower) = follower {
                self.send_keep_alive_through(now, follower, socket, out);
                if is_unresponsive {
                    self.send_keep_alive(now, follower, out);
                }
            }
        }
        if is_unresponsive {
            self.discover(out);
        }
    }

    /// Sends a keep-alive to the next known coordinator, which is the leader or
    /// replies with a hint to it.
    pub(super) fn contact_next_coordinator(&mut self, now: Monotonic, out: &mut Outbox) {
        if let Some(socket) = self.directory.next_coordinator(None) {
            self.send_keep_alive(now, socket, out);
        }
    }

    /// Sends a keep-alive directly to the coordinator at `to`.
    pub(super) fn send_keep_alive(&mut self, now: Monotonic, to: SocketAddr, out: &mut Outbox) {
        let sequence = self.keep_alives.record(now, Path::Direct);
        out.push((to, self.keep_alive(sequence, false)));
    }

    /// Sends a keep-alive to the leader, relayed by a follower.
    fn send_keep_alive_through(
        &mut self,
        now: Monotonic,
        follower: SocketAddr,
        leader: SocketAddr,
        out: &mut Outbox,
    ) {
        let sequence = self.keep_alives.record(now, Path::Relayed(follower));
        let keep_alive = self.keep_alive(sequence, false);
        out.push(route::through(
            &self.options.address,
            follower,
            leader,
            keep_alive,
        ));
    }

    /// Builds the keep-alive with sequence number `sequence`. `leaving` ends the
    /// session.
    pub(super) fn keep_alive(&self, sequence: u64, leaving: bool) -> PeerMessage {
        PeerMessage::KeepAlive(KeepAlive {
            sequence,
            configuration: self.replica.version(),
            runners: self.runners.clone(),
            leaving,
            cluster: self.cluster,
        })
    }

    /// Sends a discovery to all seeds except this process, and to one random known
    /// gateway or agent.
    fn discover(&mut self, out: &mut Outbox) {
        let own = self.options.address.socket;
        let seeds = self.options.seeds.iter().copied();
        let mut targets: Vec<SocketAddr> = seeds.filter(|seed| *seed != own).collect();
        let others = self.directory.other_sockets();
        if !others.is_empty() {
            let selected = self.random.random_range(0..others.len());
            targets.extend(others.get(selected));
        }
        targets.sort_unstable();
        targets.dedup();
        out.extend(targets.into_iter().map(|to| (to, PeerMessage::Discover)));
    }
}
