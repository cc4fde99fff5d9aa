//! What holds of a session whatever arrives, in any order, after any pause.

use crate::bench::{Bench, LEASE, configuration, coordinator, lease_with};
use proptest::prelude::*;
use session::SessionEvent;
use transport::{KeepAlive, PeerMessage};
use types::Term;

#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    Lease {
        back: usize,
        term: u64,
        version: u64,
    },
    Hint {
        from: u64,
        leader: Option<u64>,
    },
    Configuration {
        from: u64,
        version: u64,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    let pause = prop_oneof![4 => 1..500_u64, 1 => 500..30_000_u64];
    prop_oneof![
        4 => pause.prop_map(Step::Pass),
        4 => (0..6_usize, 1..5_u64, 0..4_u64)
            .prop_map(|(back, term, version)| Step::Lease { back, term, version }),
        1 => (1..4_u64, prop::option::of(1..4_u64))
            .prop_map(|(from, leader)| Step::Hint { from, leader }),
        1 => (1..4_u64, 0..5_u64)
            .prop_map(|(from, version)| Step::Configuration { from, version }),
    ]
}

fn hello_in(message: &PeerMessage) -> Option<&KeepAlive> {
    match message {
        PeerMessage::KeepAlive(keep_alive) => Some(keep_alive),
        PeerMessage::Relay(relay) => hello_in(&relay.body),
        _ => None,
    }
}

/// Keep-alives seen, with the time each was sent, and the latest end of a lease.
#[derive(Default)]
struct Observer {
    keep_alives: Vec<(u64, u64)>,
    latest_end: u64,
    is_open: bool,
    events_seen: usize,
    highest_term: Term,
    version: u64,
}

impl Observer {
    fn look(&mut self, bench: &Bench) {
        for (_, message) in &bench.sent {
            if let Some(keep_alive) = hello_in(message)
                && !self
                    .keep_alives
                    .iter()
                    .any(|(known, _)| *known == keep_alive.sequence)
            {
                self.keep_alives.push((keep_alive.sequence, bench.at));
            }
        }
        for event in &bench.events[self.events_seen..] {
            match event {
                SessionEvent::Opened { .. } => self.is_open = true,
                SessionEvent::Lost => {
                    assert!(self.is_open, "lost without a session");
                    self.is_open = false;
                }
                SessionEvent::Configuration(version) => {
                    assert!(version.0 > self.version, "the replica slid back");
                    self.version = version.0;
                }
            }
        }
        self.events_seen = bench.events.len();
        let term = bench.client.highest_term();
        assert!(term >= self.highest_term, "the term fell");
        self.highest_term = term;
        if bench.client.term(bench.now()).is_some() {
            assert!(self.is_open, "a lease without a session");
            assert!(bench.at < self.latest_end, "a lease longer than any given");
        }
    }

    fn newest_hello(&self, back: usize) -> Option<(u64, u64)> {
        self.keep_alives.iter().rev().nth(back).copied()
    }
}

/// The same cases in every run.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn no_lease_outlives_its_hello_and_terms_and_versions_rise(
        steps in prop::collection::vec(any_step(), 1..60),
    ) {
        let mut bench = Bench::opened();
        let mut observer = Observer { latest_end: LEASE, ..Observer::default() };
        observer.look(&bench);
        for step in steps {
            match step {
                Step::Pass(pause) => {
                    let at = bench.at + pause;
                    bench.tick_at(at);
                }
                Step::Lease { back, term, version } => {
                    if let Some((sequence, sent_at)) = observer.newest_hello(back) {
                        observer.latest_end = observer.latest_end.max(sent_at + LEASE);
                        let leader = 1 + term % 3;
                        let lease = lease_with(term, leader, sequence, version);
                        bench.receive(&coordinator(leader), lease);
                    }
                }
                Step::Hint { from, leader } => {
                    let leader = leader.map(coordinator);
                    bench.receive(&coordinator(from), PeerMessage::NotLeader { leader });
                }
                Step::Configuration { from, version } => {
                    bench.receive(&coordinator(from), configuration(version));
                }
            }
            observer.look(&bench);
        }
    }
}
