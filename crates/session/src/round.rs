//! Rounds of hellos and discovery: who is asked, and by which way.

use crate::SessionClient;
use crate::client::Outbox;
use crate::hello::Path;
use crate::route;
use peer::{Hello, PeerMessage};
use rand::Rng;
use std::net::SocketAddr;
use types::{Milliseconds, Monotonic};

/// Hints to another leader followed at once between two rounds of hellos. Two
/// coordinators that point at each other would otherwise keep it busy.
pub(crate) const HINTS_EACH_ROUND: u32 = 3;
/// While a relay is in use the direct way is tried once in this many rounds.
const DIRECT_PROBE_ROUNDS: u64 = 4;
/// A round comes up to this part of the interval later, drawn each time, so
/// that a fleet's hellos spread.
const JITTER_PART: u64 = 8;
/// Without a lease the next round comes after this part of the interval:
/// nothing is served until a leader is found.
const SEARCH_PART: u64 = 4;

impl SessionClient {
    pub(crate) fn send_round_if_due(&mut self, now: Monotonic, out: &mut Outbox) {
        if now < self.next_round {
            return;
        }
        let interval = match self.has_lease() {
            true => self.options.interval,
            false => Milliseconds(self.options.interval.0 / SEARCH_PART),
        };
        let jitter = Milliseconds(self.random.random_range(0..=interval.0 / JITTER_PART));
        self.next_round = now + interval + jitter;
        self.round += 1;
        self.hints_left = HINTS_EACH_ROUND;
        self.send_round(now, out);
    }

    /// One round of hellos: to the leader; through a follower as well when its
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
        let direct_silent = leader.is_direct_silent(now);
        let silent = leader.is_silent(now);
        if relay.is_none() || self.round.is_multiple_of(DIRECT_PROBE_ROUNDS) {
            self.send_hello(now, socket, out);
        }
        if direct_silent {
            let follower = relay.or_else(|| self.directory.next_coordinator(Some(socket)));
            if let Some(follower) = follower {
                self.send_hello_through(now, follower, socket, out);
                if silent {
                    self.send_hello(now, follower, out);
                }
            }
        }
        if silent {
            self.discover(out);
        }
    }

    pub(crate) fn try_next(&mut self, now: Monotonic, out: &mut Outbox) {
        if let Some(socket) = self.directory.next_coordinator(None) {
            self.send_hello(now, socket, out);
        }
    }

    pub(crate) fn send_hello(&mut self, now: Monotonic, to: SocketAddr, out: &mut Outbox) {
        let sequence = self.hellos.note(now, Path::Direct);
        out.push((to, self.hello(sequence, false)));
    }

    fn send_hello_through(
        &mut self,
        now: Monotonic,
        follower: SocketAddr,
        leader: SocketAddr,
        out: &mut Outbox,
    ) {
        let sequence = self.hellos.note(now, Path::Relayed(follower));
        let hello = self.hello(sequence, false);
        out.push(route::through(
            &self.options.address,
            follower,
            leader,
            hello,
        ));
    }

    pub(crate) fn hello(&self, sequence: u64, leaving: bool) -> PeerMessage {
        PeerMessage::Hello(Hello {
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
