//! Ways round a cut: relays through followers, and what is not relayed.

use crate::bench::{Bench, INTERVAL, OWN, coordinator, lease, socket};
use session::SessionEvent;
use transport::{PeerMessage, Relay};
use types::{Address, Term};

fn relay(origin: &Address, destination: u64, body: PeerMessage) -> PeerMessage {
    PeerMessage::Relay(Relay {
        origin: origin.clone(),
        destination: socket(destination),
        body: Box::new(body),
    })
}

/// A leader whose answers no longer arrive; followers still carry them.
fn cut_from_leader() -> Bench {
    let mut bench = Bench::opened();
    let mut at = 0;
    loop {
        at += INTERVAL / 4;
        assert!(at < 8 * INTERVAL, "a relay is used within eight intervals");
        bench.tick_at(at);
        let follower = [2, 3]
            .into_iter()
            .find(|follower| bench.hello_through(*follower, 1).is_some());
        if let Some(follower) = follower {
            let keep_alive = bench.hello_through(follower, 1).expect("found above");
            let answer = lease(1, 1, keep_alive.sequence);
            bench.receive_relayed(&coordinator(follower), &coordinator(1), answer);
            return bench;
        }
    }
}

#[test]
fn one_way_cut_keeps_the_session_through_a_follower() {
    let mut bench = cut_from_leader();
    assert!(!bench.events.contains(&SessionEvent::Lost));
    assert_eq!(bench.client.term(bench.now()), Some(Term(1)));
    let (to, message) = bench
        .client
        .to_leader(bench.now(), PeerMessage::Discover)
        .expect("a leader");
    assert!([socket(2), socket(3)].contains(&to));
    let own = crate::bench::address(OWN, types::Role::Agent);
    assert_eq!(message, relay(&own, 1, PeerMessage::Discover));
    let mut at = bench.at;
    for _ in 0..40 {
        at += INTERVAL / 4;
        bench.tick_at(at);
        for follower in [2, 3] {
            if let Some(keep_alive) = bench.hello_through(follower, 1) {
                let answer = lease(1, 1, keep_alive.sequence);
                bench.receive_relayed(&coordinator(follower), &coordinator(1), answer);
            }
        }
    }
    assert!(!bench.events.contains(&SessionEvent::Lost));
}

#[test]
fn the_direct_way_is_taken_again_once_it_answers() {
    let mut bench = cut_from_leader();
    let mut at = bench.at;
    let keep_alive = loop {
        at += INTERVAL / 4;
        assert!(at < 40 * INTERVAL, "the direct way is tried now and then");
        bench.tick_at(at);
        if let Some(keep_alive) = bench.hello_to(1) {
            break keep_alive;
        }
    };
    bench.receive(&coordinator(1), lease(1, 1, keep_alive.sequence));
    let (to, message) = bench
        .client
        .to_leader(bench.now(), PeerMessage::Discover)
        .expect("a leader");
    assert_eq!((to, message), (socket(1), PeerMessage::Discover));
}

#[test]
fn a_relay_to_this_process_is_opened() {
    let mut bench = Bench::opened();
    let reply = PeerMessage::OrderResults {
        results: Vec::new(),
    };
    bench.receive_relayed(&coordinator(2), &coordinator(1), reply.clone());
    let [envelope] = bench.rest.as_slice() else {
        panic!("one message given back, not {:?}", bench.rest);
    };
    assert_eq!(envelope.from, coordinator(1));
    assert_eq!(envelope.via, Some(socket(2)));
    assert_eq!(envelope.body, reply);
}

#[test]
fn a_relayed_discovery_is_answered_through_the_relay() {
    let mut bench = Bench::opened();
    bench.sent.clear();
    bench.receive_relayed(&coordinator(2), &coordinator(3), PeerMessage::Discover);
    let [(to, PeerMessage::Relay(answer))] = bench.sent.as_slice() else {
        panic!("one relay, not {:?}", bench.sent);
    };
    assert_eq!(*to, socket(2));
    assert_eq!(answer.destination, socket(3));
}

#[test]
fn a_relay_for_another_goes_on_once_and_never_in_a_circle() {
    let mut bench = Bench::opened();
    bench.sent.clear();
    let message = relay(&coordinator(2), 3, PeerMessage::Discover);
    bench.receive(&coordinator(2), message.clone());
    assert_eq!(bench.sent, vec![(socket(3), message.clone())]);
    bench.sent.clear();
    bench.receive(&coordinator(1), message.clone());
    assert!(bench.sent.is_empty(), "not from its origin");
    bench.receive(&coordinator(2), relay(&coordinator(2), OWN, message));
    assert!(bench.sent.is_empty(), "a relay in a relay");
}
