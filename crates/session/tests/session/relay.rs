//! Relays through followers while the direct path to the leader fails, and
//! messages that must not be relayed.

use crate::harness::{Harness, INTERVAL, OWN, coordinator, lease, socket};
use session::SessionEvent;
use transport::{PeerMessage, Relay};
use types::{Address, Term};

/// Builds a relay from `origin` to `destination`.
fn relay(origin: &Address, destination: u64, body: PeerMessage) -> PeerMessage {
    PeerMessage::Relay(Relay {
        origin: origin.clone(),
        destination: socket(destination),
        body: Box::new(body),
    })
}

/// Returns a client with a session whose direct path to the leader failed, and
/// which received one lease through a follower.
fn relayed_session() -> Harness {
    let mut harness = Harness::with_session();
    let mut time_ms = 0;
    loop {
        time_ms += INTERVAL / 4;
        assert!(
            time_ms < 8 * INTERVAL,
            "a relay must be used within eight intervals"
        );
        harness.tick_at(time_ms);
        let follower = [2, 3]
            .into_iter()
            .find(|follower| harness.keep_alive_through(*follower, 1).is_some());
        if let Some(follower) = follower {
            let keep_alive = harness
                .keep_alive_through(follower, 1)
                .expect("keep-alive found above");
            let reply = lease(1, 1, keep_alive.sequence);
            harness.receive_relayed(&coordinator(follower), &coordinator(1), reply);
            return harness;
        }
    }
}

/// Guards against a lost session in a one-way partition: the leader receives the
/// keep-alives, but its direct replies do not arrive.
#[test]
fn one_way_partition_keeps_session_through_follower() {
    let mut harness = relayed_session();
    assert!(!harness.events.contains(&SessionEvent::Lost));
    assert_eq!(harness.client.term(harness.now()), Some(Term(1)));
    let (to, message) = harness
        .client
        .to_leader(harness.now(), PeerMessage::Discover)
        .expect("a known leader");
    assert!([socket(2), socket(3)].contains(&to));
    let own = crate::harness::address(OWN, types::Role::Agent);
    assert_eq!(message, relay(&own, 1, PeerMessage::Discover));
    let mut time_ms = harness.time_ms;
    for _ in 0..40 {
        time_ms += INTERVAL / 4;
        harness.tick_at(time_ms);
        for follower in [2, 3] {
            if let Some(keep_alive) = harness.keep_alive_through(follower, 1) {
                let reply = lease(1, 1, keep_alive.sequence);
                harness.receive_relayed(&coordinator(follower), &coordinator(1), reply);
            }
        }
    }
    assert!(!harness.events.contains(&SessionEvent::Lost));
}

#[test]
fn direct_path_is_used_again_once_responsive() {
    let mut harness = relayed_session();
    let mut time_ms = harness.time_ms;
    let keep_alive = loop {
        time_ms += INTERVAL / 4;
        assert!(
            time_ms < 40 * INTERVAL,
            "the direct path must be probed regularly"
        );
        harness.tick_at(time_ms);
        if let Some(keep_alive) = harness.keep_alive_to(1) {
            break keep_alive;
        }
    };
    harness.receive(&coordinator(1), lease(1, 1, keep_alive.sequence));
    let (to, message) = harness
        .client
        .to_leader(harness.now(), PeerMessage::Discover)
        .expect("a known leader");
    assert_eq!((to, message), (socket(1), PeerMessage::Discover));
}

#[test]
fn relay_to_own_address_is_unwrapped() {
    let mut harness = Harness::with_session();
    let reply = PeerMessage::OrderResults {
        results: Vec::new(),
    };
    harness.receive_relayed(&coordinator(2), &coordinator(1), reply.clone());
    let [envelope] = harness.returned.as_slice() else {
        panic!(
            "expected one returned message, found {:?}",
            harness.returned
        );
    };
    assert_eq!(envelope.from, coordinator(1));
    assert_eq!(envelope.via, Some(socket(2)));
    assert_eq!(envelope.body, reply);
}

#[test]
fn relayed_discovery_is_answered_through_relay() {
    let mut harness = Harness::with_session();
    harness.sent.clear();
    harness.receive_relayed(&coordinator(2), &coordinator(3), PeerMessage::Discover);
    let [(to, PeerMessage::Relay(reply))] = harness.sent.as_slice() else {
        panic!("expected one relay, found {:?}", harness.sent);
    };
    assert_eq!(*to, socket(2));
    assert_eq!(reply.destination, socket(3));
}

/// Guards against relays that loop between processes: only the origin's relay is
/// forwarded, and a nested relay is dropped.
#[test]
fn relay_to_other_process_is_forwarded_once_without_loop() {
    let mut harness = Harness::with_session();
    harness.sent.clear();
    let message = relay(&coordinator(2), 3, PeerMessage::Discover);
    harness.receive(&coordinator(2), message.clone());
    assert_eq!(harness.sent, vec![(socket(3), message.clone())]);
    harness.sent.clear();
    harness.receive(&coordinator(1), message.clone());
    assert!(
        harness.sent.is_empty(),
        "a relay that its origin did not send must be dropped"
    );
    harness.receive(&coordinator(2), relay(&coordinator(2), OWN, message));
    assert!(harness.sent.is_empty(), "a nested relay must be dropped");
}
