//! Discovery of the leader, leases, terms, freezes and the configuration replica.

use crate::harness::{
    Harness, INTERVAL, LEASE, OWN, configuration, coordinator, lease, lease_with_version, socket,
};
use session::SessionEvent;
use transport::PeerMessage;
use types::{ConfigurationVersion, Term};

#[test]
fn first_tick_discovers_all_seeds_except_own() {
    let mut harness = Harness::new(&[OWN, 7, 8]);
    harness.tick_at(0);
    let targets: Vec<_> = harness.sent.iter().map(|(to, _)| *to).collect();
    assert_eq!(targets, vec![socket(7), socket(8)]);
    assert!(
        harness
            .sent
            .iter()
            .all(|(_, message)| *message == PeerMessage::Discover)
    );
}

/// Guards against a process that cannot join because most of its seeds do not
/// reply, or because the one that does is no coordinator.
#[test]
fn joins_through_single_live_seed_of_any_role() {
    let mut harness = Harness::new(&[OWN, 7, 8]);
    for round in 0..5 {
        harness.tick_at(round * 2 * INTERVAL);
    }
    let gateway = crate::harness::address(8, types::Role::Gateway);
    let members = transport::Members {
        members: vec![gateway.clone(), coordinator(2)],
        leader: None,
        term: Term(0),
        cluster: None,
    };
    harness.receive(&gateway, PeerMessage::Members(members));
    assert!(
        harness.keep_alive_to(2).is_some(),
        "the coordinator must be contacted at once"
    );
    let hint = PeerMessage::NotLeader {
        leader: Some(coordinator(3)),
    };
    harness.receive(&coordinator(2), hint);
    let keep_alive = harness
        .keep_alive_to(3)
        .expect("the hint must be followed at once");
    harness.receive(&coordinator(3), lease(4, 3, keep_alive.sequence));
    assert_eq!(harness.events, vec![SessionEvent::Opened { term: Term(4) }]);
    assert_eq!(harness.client.term(harness.now()), Some(Term(4)));
}

/// Guards against a lease that outlasts the leader's view of it because the
/// client counts it from the arrival of the reply.
#[test]
fn lease_counts_from_send_time_of_keep_alive() {
    let mut harness = Harness::with_session();
    harness.time_ms = LEASE - 1;
    assert_eq!(harness.client.term(harness.now()), Some(Term(1)));
    harness.time_ms = LEASE;
    assert_eq!(harness.client.term(harness.now()), None);
    harness.tick_at(LEASE);
    assert_eq!(harness.events.last(), Some(&SessionEvent::Lost));
}

#[test]
fn lease_expired_on_arrival_opens_no_session() {
    let mut harness = Harness::new(&[1]);
    harness.tick_at(0);
    let hint = PeerMessage::NotLeader {
        leader: Some(coordinator(1)),
    };
    harness.receive(&coordinator(2), hint);
    let keep_alive = harness.keep_alive_to(1).expect("keep-alive");
    harness.time_ms = LEASE;
    harness.receive(&coordinator(1), lease(1, 1, keep_alive.sequence));
    assert!(harness.events.is_empty());
    assert_eq!(harness.client.term(harness.now()), None);
}

#[test]
fn lease_for_unknown_keep_alive_is_ignored() {
    let mut harness = Harness::with_session();
    harness.receive(&coordinator(2), lease(5, 2, 1));
    assert_eq!(harness.client.highest_term(), Term(1));
}

#[test]
fn lease_of_lower_term_is_ignored() {
    let mut harness = Harness::with_session();
    harness.tick_at(2 * INTERVAL);
    let keep_alive = harness.keep_alive_to(1).expect("keep-alive");
    harness.receive(&coordinator(2), lease(3, 2, keep_alive.sequence));
    assert_eq!(harness.client.term(harness.now()), Some(Term(3)));
    harness.receive(&coordinator(1), lease(2, 1, keep_alive.sequence));
    assert_eq!(harness.client.term(harness.now()), Some(Term(3)));
    let (to, _) = harness
        .client
        .to_leader(harness.now(), PeerMessage::Discover)
        .expect("a known leader");
    assert_eq!(to, socket(2));
}

#[test]
fn lease_of_other_cluster_is_ignored() {
    let mut harness = Harness::with_session();
    harness.tick_at(2 * INTERVAL);
    let keep_alive = harness.keep_alive_to(1).expect("keep-alive");
    let PeerMessage::Lease(mut other) = lease(8, 1, keep_alive.sequence) else {
        panic!("lease() must build a lease");
    };
    other.cluster = types::ClusterId(10);
    harness.receive(&coordinator(1), PeerMessage::Lease(other));
    assert_eq!(harness.client.highest_term(), Term(1));
}

#[test]
fn client_joins_new_leader_after_leader_failure() {
    let mut harness = Harness::with_session();
    let mut time_ms = 0;
    while harness.keep_alive_to(2).is_none() && harness.keep_alive_to(3).is_none() {
        time_ms += INTERVAL / 4;
        assert!(
            time_ms < 6 * INTERVAL,
            "a follower must be contacted within six intervals"
        );
        harness.tick_at(time_ms);
    }
    let contacted = if harness.keep_alive_to(2).is_some() {
        2
    } else {
        3
    };
    let hint = PeerMessage::NotLeader {
        leader: Some(coordinator(3)),
    };
    harness.receive(&coordinator(contacted), hint);
    let keep_alive = harness
        .keep_alive_to(3)
        .expect("keep-alive to the new leader");
    harness.receive(&coordinator(3), lease(2, 3, keep_alive.sequence));
    assert_eq!(
        harness.events.last(),
        Some(&SessionEvent::Opened { term: Term(2) })
    );
}

#[test]
fn hint_is_ignored_while_leader_is_responsive() {
    let mut harness = Harness::with_session();
    let hint = PeerMessage::NotLeader {
        leader: Some(coordinator(3)),
    };
    harness.receive(&coordinator(2), hint);
    assert!(harness.keep_alive_to(3).is_none());
}

/// Guards against an endless exchange of messages: two coordinators each report
/// the other one as leader, and the client follows each hint.
#[test]
fn circular_hints_cause_bounded_number_of_messages() {
    let mut harness = Harness::new(&[1]);
    harness.tick_at(0);
    for _ in 0..20 {
        for (from, hint) in [(1, 2), (2, 1)] {
            let leader = Some(coordinator(hint));
            harness.receive(&coordinator(from), PeerMessage::NotLeader { leader });
        }
    }
    assert!(harness.sent.len() < 8, "{} messages", harness.sent.len());
}

/// Guards against a process that acts on messages received right after a freeze
/// although its lease expired during the freeze.
#[test]
fn freeze_expires_lease_before_next_message_is_handled() {
    let mut harness = Harness::with_session();
    harness.tick_at(INTERVAL * 2);
    let keep_alive = harness.keep_alive_to(1).expect("keep-alive");
    harness.events.clear();
    harness.time_ms = 30_000;
    harness.receive(&coordinator(1), lease(1, 1, keep_alive.sequence));
    assert_eq!(harness.events, vec![SessionEvent::Lost]);
    let keep_alive = harness
        .keep_alive_to(1)
        .expect("the client must rejoin at once");
    harness.receive(&coordinator(1), lease(1, 1, keep_alive.sequence));
    assert_eq!(
        harness.events,
        vec![SessionEvent::Lost, SessionEvent::Opened { term: Term(1) }]
    );
}

#[test]
fn discovery_reply_lists_coordinators_and_own_address() {
    let mut harness = Harness::with_session();
    harness.sent.clear();
    let joining_agent = crate::harness::address(60, types::Role::Agent);
    harness.receive(&joining_agent, PeerMessage::Discover);
    let [(to, PeerMessage::Members(members))] = harness.sent.as_slice() else {
        panic!("expected one reply, found {:?}", harness.sent);
    };
    assert_eq!(*to, joining_agent.socket);
    assert_eq!(members.leader, Some(coordinator(1)));
    for number in [OWN, 1, 2, 3] {
        let is_listed = members
            .members
            .iter()
            .any(|member| member.socket == socket(number));
        assert!(is_listed, "{number} is missing");
    }
}

#[test]
fn replica_version_only_increases_and_expires_without_confirmation() {
    let mut harness = Harness::with_session();
    let version = |harness: &Harness| {
        harness
            .client
            .configuration(harness.now())
            .map(|(v, _)| v.0)
    };
    assert_eq!(version(&harness), Some(0));
    harness.tick_at(1_000);
    let keep_alive = harness.keep_alive_to(1).expect("keep-alive");
    harness.receive(
        &coordinator(1),
        lease_with_version(1, 1, keep_alive.sequence, 3),
    );
    harness.time_ms = 2_000;
    assert_eq!(
        version(&harness),
        None,
        "the leader reported a newer version at 1000"
    );
    harness.receive(&coordinator(1), configuration(3));
    assert_eq!(version(&harness), Some(3));
    harness.receive(&coordinator(1), configuration(2));
    assert_eq!(version(&harness), Some(3));
    let updated = SessionEvent::Configuration(ConfigurationVersion(3));
    assert_eq!(harness.events.last(), Some(&updated));
    harness.time_ms = 2_999;
    assert_eq!(version(&harness), Some(3));
    harness.time_ms = 3_000;
    assert_eq!(
        version(&harness),
        None,
        "2000 ms after the keep-alive sent at 1000"
    );
}

#[test]
fn configuration_from_non_leader_is_ignored() {
    let mut harness = Harness::with_session();
    harness.receive(&coordinator(2), configuration(3));
    let version = harness.client.configuration(harness.now()).map(|(v, _)| v);
    assert_eq!(version, Some(ConfigurationVersion(0)));
}

#[test]
fn same_seed_sends_same_messages() {
    let run = || {
        let mut harness = Harness::with_session();
        let mut messages = Vec::new();
        for step in 0..40 {
            harness.tick_at(step * 100);
            messages.append(&mut harness.sent);
        }
        messages
    };
    assert_eq!(run(), run());
}

/// Guards against a lease from before a freeze: a reply to an earlier keep-alive
/// must not open a session after the client rejoined.
#[test]
fn rejoin_ignores_replies_to_earlier_keep_alives() {
    let mut harness = Harness::with_session();
    harness.tick_at(2 * INTERVAL);
    let before = harness.keep_alive_to(1).expect("keep-alive");
    harness.events.clear();
    let now = harness.now();
    harness.client.rejoin(now, &mut harness.sent);
    assert_eq!(harness.client.term(now), None);
    harness.receive(&coordinator(1), lease(1, 1, before.sequence));
    assert!(harness.events.is_empty());
    let after = harness.keep_alive_to(1).expect("keep-alive at once");
    harness.receive(&coordinator(1), lease(1, 1, after.sequence));
    assert_eq!(harness.events, vec![SessionEvent::Opened { term: Term(1) }]);
}
