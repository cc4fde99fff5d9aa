//! Finding the leader, leases, terms, freezes and the configuration replica.

use crate::bench::{
    Bench, INTERVAL, LEASE, OWN, configuration, coordinator, lease, lease_with, socket,
};
use session::SessionEvent;
use transport::PeerMessage;
use types::{ConfigurationVersion, Term};

#[test]
fn asks_every_seed_but_itself() {
    let mut bench = Bench::new(&[OWN, 7, 8]);
    bench.tick_at(0);
    let asked: Vec<_> = bench.sent.iter().map(|(to, _)| *to).collect();
    assert_eq!(asked, vec![socket(7), socket(8)]);
    assert!(
        bench
            .sent
            .iter()
            .all(|(_, message)| *message == PeerMessage::Discover)
    );
}

#[test]
fn joins_through_the_one_live_seed_of_any_role() {
    let mut bench = Bench::new(&[OWN, 7, 8]);
    for round in 0..5 {
        bench.tick_at(round * 2 * INTERVAL);
    }
    let gateway = crate::bench::address(8, types::Role::Gateway);
    let members = transport::Members {
        members: vec![gateway.clone(), coordinator(2)],
        leader: None,
        term: Term(0),
        cluster: None,
    };
    bench.receive(&gateway, PeerMessage::Members(members));
    assert!(bench.hello_to(2).is_some(), "tries the coordinator at once");
    let hint = PeerMessage::NotLeader {
        leader: Some(coordinator(3)),
    };
    bench.receive(&coordinator(2), hint);
    let keep_alive = bench.hello_to(3).expect("follows the hint at once");
    bench.receive(&coordinator(3), lease(4, 3, keep_alive.sequence));
    assert_eq!(bench.events, vec![SessionEvent::Opened { term: Term(4) }]);
    assert_eq!(bench.client.term(bench.now()), Some(Term(4)));
}

#[test]
fn a_lease_counts_from_when_its_hello_was_sent() {
    let mut bench = Bench::opened();
    bench.at = LEASE - 1;
    assert_eq!(bench.client.term(bench.now()), Some(Term(1)));
    bench.at = LEASE;
    assert_eq!(bench.client.term(bench.now()), None);
    bench.tick_at(LEASE);
    assert_eq!(bench.events.last(), Some(&SessionEvent::Lost));
}

#[test]
fn a_lease_that_arrives_after_its_end_opens_nothing() {
    let mut bench = Bench::new(&[1]);
    bench.tick_at(0);
    let hint = PeerMessage::NotLeader {
        leader: Some(coordinator(1)),
    };
    bench.receive(&coordinator(2), hint);
    let keep_alive = bench.hello_to(1).expect("a hello");
    bench.at = LEASE;
    bench.receive(&coordinator(1), lease(1, 1, keep_alive.sequence));
    assert!(bench.events.is_empty());
    assert_eq!(bench.client.term(bench.now()), None);
}

#[test]
fn a_lease_for_a_hello_never_sent_is_ignored() {
    let mut bench = Bench::opened();
    bench.receive(&coordinator(2), lease(5, 2, 1));
    assert_eq!(bench.client.highest_term(), Term(1));
}

#[test]
fn terms_only_rise() {
    let mut bench = Bench::opened();
    bench.tick_at(2 * INTERVAL);
    let keep_alive = bench.hello_to(1).expect("a hello");
    bench.receive(&coordinator(2), lease(3, 2, keep_alive.sequence));
    assert_eq!(bench.client.term(bench.now()), Some(Term(3)));
    bench.receive(&coordinator(1), lease(2, 1, keep_alive.sequence));
    assert_eq!(bench.client.term(bench.now()), Some(Term(3)));
    let (to, _) = bench
        .client
        .to_leader(bench.now(), PeerMessage::Discover)
        .expect("a leader");
    assert_eq!(to, socket(2));
}

#[test]
fn another_clusters_lease_is_ignored() {
    let mut bench = Bench::opened();
    bench.tick_at(2 * INTERVAL);
    let keep_alive = bench.hello_to(1).expect("a hello");
    let PeerMessage::Lease(mut other) = lease(8, 1, keep_alive.sequence) else {
        panic!("a lease");
    };
    other.cluster = types::ClusterId(10);
    bench.receive(&coordinator(1), PeerMessage::Lease(other));
    assert_eq!(bench.client.highest_term(), Term(1));
}

#[test]
fn a_new_leader_is_found_when_the_old_one_dies() {
    let mut bench = Bench::opened();
    let mut at = 0;
    while bench.hello_to(2).is_none() && bench.hello_to(3).is_none() {
        at += INTERVAL / 4;
        assert!(
            at < 6 * INTERVAL,
            "a follower is asked within six intervals"
        );
        bench.tick_at(at);
    }
    let asked = if bench.hello_to(2).is_some() { 2 } else { 3 };
    let hint = PeerMessage::NotLeader {
        leader: Some(coordinator(3)),
    };
    bench.receive(&coordinator(asked), hint);
    let keep_alive = bench.hello_to(3).expect("a hello to the new leader");
    bench.receive(&coordinator(3), lease(2, 3, keep_alive.sequence));
    assert_eq!(
        bench.events.last(),
        Some(&SessionEvent::Opened { term: Term(2) })
    );
}

#[test]
fn an_old_hint_does_not_turn_it_from_a_leader_that_answers() {
    let mut bench = Bench::opened();
    let hint = PeerMessage::NotLeader {
        leader: Some(coordinator(3)),
    };
    bench.receive(&coordinator(2), hint);
    assert!(bench.hello_to(3).is_none());
}

#[test]
fn coordinators_pointing_at_each_other_do_not_keep_it_busy() {
    let mut bench = Bench::new(&[1]);
    bench.tick_at(0);
    for _ in 0..20 {
        for (from, hint) in [(1, 2), (2, 1)] {
            let leader = Some(coordinator(hint));
            bench.receive(&coordinator(from), PeerMessage::NotLeader { leader });
        }
    }
    assert!(bench.sent.len() < 8, "{} messages", bench.sent.len());
}

#[test]
fn after_a_freeze_it_loses_the_lease_before_it_takes_anything() {
    let mut bench = Bench::opened();
    bench.tick_at(INTERVAL * 2);
    let keep_alive = bench.hello_to(1).expect("a hello");
    bench.events.clear();
    bench.at = 30_000;
    bench.receive(&coordinator(1), lease(1, 1, keep_alive.sequence));
    assert_eq!(bench.events, vec![SessionEvent::Lost]);
    let keep_alive = bench.hello_to(1).expect("rejoins at once");
    bench.receive(&coordinator(1), lease(1, 1, keep_alive.sequence));
    assert_eq!(
        bench.events,
        vec![SessionEvent::Lost, SessionEvent::Opened { term: Term(1) }]
    );
}

#[test]
fn tells_newcomers_about_the_coordinators_and_itself() {
    let mut bench = Bench::opened();
    bench.sent.clear();
    let newcomer = crate::bench::address(60, types::Role::Agent);
    bench.receive(&newcomer, PeerMessage::Discover);
    let [(to, PeerMessage::Members(members))] = bench.sent.as_slice() else {
        panic!("one answer, not {:?}", bench.sent);
    };
    assert_eq!(*to, newcomer.socket);
    assert_eq!(members.leader, Some(coordinator(1)));
    for number in [OWN, 1, 2, 3] {
        let known = members
            .members
            .iter()
            .any(|member| member.socket == socket(number));
        assert!(known, "{number} is missing");
    }
}

#[test]
fn the_replica_only_rises_and_needs_a_fresh_word() {
    let mut bench = Bench::opened();
    let version = |bench: &Bench| bench.client.configuration(bench.now()).map(|(v, _)| v.0);
    assert_eq!(version(&bench), Some(0));
    bench.tick_at(1_000);
    let keep_alive = bench.hello_to(1).expect("a hello");
    bench.receive(&coordinator(1), lease_with(1, 1, keep_alive.sequence, 3));
    bench.at = 2_000;
    assert_eq!(version(&bench), None, "known to be behind since 1000");
    bench.receive(&coordinator(1), configuration(3));
    assert_eq!(version(&bench), Some(3));
    bench.receive(&coordinator(1), configuration(2));
    assert_eq!(version(&bench), Some(3));
    let taken = SessionEvent::Configuration(ConfigurationVersion(3));
    assert_eq!(bench.events.last(), Some(&taken));
    bench.at = 2_999;
    assert_eq!(version(&bench), Some(3));
    bench.at = 3_000;
    assert_eq!(version(&bench), None, "2000 after the hello of 1000");
}

#[test]
fn a_configuration_from_a_stranger_is_ignored() {
    let mut bench = Bench::opened();
    bench.receive(&coordinator(2), configuration(3));
    let held = bench.client.configuration(bench.now()).map(|(v, _)| v);
    assert_eq!(held, Some(ConfigurationVersion(0)));
}

#[test]
fn the_same_seed_gives_the_same_messages() {
    let run = || {
        let mut bench = Bench::opened();
        let mut all = Vec::new();
        for step in 0..40 {
            bench.tick_at(step * 100);
            all.append(&mut bench.sent);
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn rejoining_takes_answers_to_new_hellos_only() {
    let mut bench = Bench::opened();
    bench.tick_at(2 * INTERVAL);
    let before = bench.hello_to(1).expect("a hello");
    bench.events.clear();
    let now = bench.now();
    bench.client.rejoin(now, &mut bench.sent);
    assert_eq!(bench.client.term(now), None);
    bench.receive(&coordinator(1), lease(1, 1, before.sequence));
    assert!(bench.events.is_empty());
    let after = bench.hello_to(1).expect("a hello at once");
    bench.receive(&coordinator(1), lease(1, 1, after.sequence));
    assert_eq!(bench.events, vec![SessionEvent::Opened { term: Term(1) }]);
}
