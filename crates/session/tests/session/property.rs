//! Properties of a session that hold for random messages in any order, after
//! pauses of any length.

use crate::harness::{Harness, LEASE, configuration, coordinator, lease_with_version};
use proptest::prelude::*;
use session::SessionEvent;
use transport::{KeepAlive, PeerMessage};
use types::Term;

#[derive(Debug, Clone)]
enum Step {
    /// The clock advances by this number of milliseconds.
    Advance(u64),
    /// A lease arrives for the keep-alive `back` before the last one.
    Lease {
        back: usize,
        term: u64,
        version: u64,
    },
    /// A coordinator replies that it is not the leader.
    Hint { from: u64, leader: Option<u64> },
    /// A coordinator sends a configuration.
    Configuration { from: u64, version: u64 },
}

fn any_step() -> impl Strategy<Value = Step> {
    let pause = prop_oneof![4 => 1..500_u64, 1 => 500..30_000_u64];
    prop_oneof![
        4 => pause.prop_map(Step::Advance),
        4 => (0..6_usize, 1..5_u64, 0..4_u64)
            .prop_map(|(back, term, version)| Step::Lease { back, term, version }),
        1 => (1..4_u64, prop::option::of(1..4_u64))
            .prop_map(|(from, leader)| Step::Hint { from, leader }),
        1 => (1..4_u64, 0..5_u64)
            .prop_map(|(from, version)| Step::Configuration { from, version }),
    ]
}

/// Returns the keep-alive in a message, relayed or not.
fn find_keep_alive(message: &PeerMessage) -> Option<&KeepAlive> {
    match message {
        PeerMessage::KeepAlive(keep_alive) => Some(keep_alive),
        PeerMessage::Relay(relay) => find_keep_alive(&relay.body),
        _ => None,
    }
}

/// Checks the client's events, term and version after each step.
#[derive(Default)]
struct Checker {
    /// Sequence number of each keep-alive sent, and the time of sending.
    keep_alives: Vec<(u64, u64)>,
    /// Latest time at which a lease that was granted expires.
    latest_expiry: u64,
    is_open: bool,
    checked_events: usize,
    highest_term: Term,
    version: u64,
}

impl Checker {
    /// Records the keep-alives sent, and panics if a property does not hold.
    fn check(&mut self, harness: &Harness) {
        for (_, message) in &harness.sent {
            if let Some(keep_alive) = find_keep_alive(message)
                && !self
                    .keep_alives
                    .iter()
                    .any(|(sequence, _)| *sequence == keep_alive.sequence)
            {
                self.keep_alives
                    .push((keep_alive.sequence, harness.time_ms));
            }
        }
        for event in &harness.events[self.checked_events..] {
            match event {
                SessionEvent::Opened { .. } => self.is_open = true,
                SessionEvent::Lost => {
                    assert!(self.is_open, "lease lost without a session");
                    self.is_open = false;
                }
                SessionEvent::Configuration(version) => {
                    assert!(
                        version.0 > self.version,
                        "the replica's version did not increase"
                    );
                    self.version = version.0;
                }
            }
        }
        self.checked_events = harness.events.len();
        let term = harness.client.highest_term();
        assert!(term >= self.highest_term, "the highest term decreased");
        self.highest_term = term;
        if harness.client.term(harness.now()).is_some() {
            assert!(self.is_open, "lease without a session");
            assert!(
                harness.time_ms < self.latest_expiry,
                "lease longer than any granted one"
            );
        }
    }

    /// Returns the keep-alive `back` before the last one.
    fn keep_alive_from_end(&self, back: usize) -> Option<(u64, u64)> {
        self.keep_alives.iter().rev().nth(back).copied()
    }
}

/// Returns the configuration of the property test, with a fixed seed so that each
/// run has the same cases.
fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    /// Guards against a lease that outlasts its grant, and against a term or a
    /// configuration version that decreases, because replies are delayed,
    /// repeated or out of order.
    #[test]
    fn lease_ends_in_time_and_terms_and_versions_increase(
        steps in prop::collection::vec(any_step(), 1..60),
    ) {
        let mut harness = Harness::with_session();
        let mut checker = Checker { latest_expiry: LEASE, ..Checker::default() };
        checker.check(&harness);
        for step in steps {
            match step {
                Step::Advance(pause) => {
                    let time_ms = harness.time_ms + pause;
                    harness.tick_at(time_ms);
                }
                Step::Lease { back, term, version } => {
                    if let Some((sequence, sent_at)) = checker.keep_alive_from_end(back) {
                        checker.latest_expiry = checker.latest_expiry.max(sent_at + LEASE);
                        let leader = 1 + term % 3;
                        let reply = lease_with_version(term, leader, sequence, version);
                        harness.receive(&coordinator(leader), reply);
                    }
                }
                Step::Hint { from, leader } => {
                    let leader = leader.map(coordinator);
                    harness.receive(&coordinator(from), PeerMessage::NotLeader { leader });
                }
                Step::Configuration { from, version } => {
                    harness.receive(&coordinator(from), configuration(version));
                }
            }
            checker.check(&harness);
        }
    }
}
