//! Rounds of keep-alives and discovery: who is asked, and by which way.

use crate::SessionClient;
use crate::client::Outbox;
use crate::keep_alive::Path;
use crate::route;
use rand::Rng;
use std::net::SocketAddr;
use transport::{KeepAlive, PeerMessage};
use types::{Milliseconds, Monotonic};

/// Hints to another leader followed at once between two rounds of keep-alives. Two
/// coordinators that point at each other would otherwise keep it busy.
pub(crate) const HINTS_EACH_ROUND: u32 = 3;
/// While a relay is in use the direct way is tried once in this many rounds.
const DIRECT_PROBE_ROUNDS: u64 = 4;
/// A round comes up to this part of the interval later, drawn each time, so
/// that a fleet's keep-alives spread.
const JITTER_PART: u64 = 8;
/// Without a lease the next round comes after this part of the interval:
/// nothing is served until a leader is found.
const SEARCH_PART: u64 = 4;

impl SessionClient {
    pub(crate) fn send_round_if_due(&mut self, now: Monotonic, out: &mut Outbox) {
        if now < self.next_round {
            return;
        }
        let interval = if self.has_lease() {
            self.options.interval
        } else {
            Milliseconds(self.options.interval.0 / SEARCH_PART)
        };
        let jitter = Milliseconds(self.random.random_range(0..=interval.0 / JITTER_PART));
        self.next_round = now + interval + jitter;
        self.round += 1;
        self.hints_left = HINTS_EACH_ROUND;
        self.send_round(now, out);
    }

    /// One round of keep-alives: to the leader; through a follower as well when its
    /// direct answers have stopped; to another coordinator and to the seeds
    /// when it is silent altogether.
    fn send_round(&mut self, now: Monotonic, out: &mut Outbox) {
        let Some(leader) = &self.leader else {
            self.try_next(now, out);
            self.discover(out);
            return;
        };
        let socket = leader.address().socket;
        let relay = leader.relay(now);
        let direct_unresponsive = leader.is_direct_unresponsive(now);
        let unresponsive = leader.is_unresponsive(now);
        if relay.is_none() || self.round.is_multiple_of(DIRECT_PROBE_ROUNDS) {
            self.send_keep_alive(now, socket, out);
        }
        if direct_unresponsive {
            let follower = relay.or_else(|| self.directory.next_coordinator(Some(socket)));
            if let Some(follower) = follower {
                self.send_keep_alive_through(now, follower, socket, out);
                if unresponsive {
                    self.send_keep_alive(now, follower, out);
                }
            }
        }
        if unresponsive {
            self.discover(out);
        }
    }

    pub(crate) fn try_next(&mut self, now: Monotonic, out: &mut Outbox) {
        if let Some(socket) = self.directory.next_coordinator(None) {
            self.send_keep_alive(now, socket, out);
        }
    }

    pub(crate) fn send_keep_alive(&mut self, now: Monotonic, to: SocketAddr, out: &mut Outbox) {
        let sequence = self.keep_alives.record(now, Path::Direct);
        out.push((to, self.keep_alive(sequence, false)));
    }

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

    pub(crate) fn keep_alive(&self, sequence: u64, leaving: bool) -> PeerMessage {
        PeerMessage::KeepAlive(KeepAlive {
            sequence,
            configuration: self.replica.version(),
            runners: self.runners.clone(),
            leaving,
            cluster: self.cluster,
        })
    }

    /// Asks all seeds, and one gateway or agent drawn from those known, who is
    /// there.
    fn discover(&mut self, out: &mut Outbox) {
        let own = self.options.address.socket;
        let seeds = self.options.seeds.iter().copied();
        let mut targets: Vec<SocketAddr> = seeds.filter(|seed| *seed != own).collect();
        let others = self.directory.other_sockets();
        if !others.is_empty() {
            let drawn = self.random.random_range(0..others.len());
            targets.extend(others.get(drawn));
        }
        targets.sort_unstable();
        targets.dedup();
        out.extend(targets.into_iter().map(|to| (to, PeerMessage::Discover)));
    }
}
