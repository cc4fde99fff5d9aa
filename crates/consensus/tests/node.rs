//! A single node without a cluster: batches, restart, replies and malformed
//! messages.

mod cluster;

use cluster::{membership, options};
use consensus::{
    Entry, HardState, Message, Node, Payload, ProposeError, RaftRole, Ready, Recovered,
    SnapshotMeta,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use types::{LogIndex, Monotonic, NodeId, Term};

const LEADER: NodeId = NodeId(2);

fn command(index: u64, term: u64) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Command(Arc::from([1, 2, 3])),
    }
}

fn node(voters: &[u64], recovered: Recovered) -> Node {
    let initial = membership(voters, &[]);
    Node::new(
        NodeId(1),
        options(None),
        initial,
        recovered,
        1,
        Monotonic(0),
    )
}

fn append(term: u64, previous: (u64, u64), entries: Vec<Entry>, commit: u64) -> Message {
    Message::Append {
        term: Term(term),
        previous_index: LogIndex(previous.0),
        previous_term: Term(previous.1),
        entries,
        commit: LogIndex(commit),
        round: 1,
    }
}

fn persist_all(node: &mut Node, now: Monotonic) -> Vec<Ready> {
    let mut all = Vec::new();
    while let Some(ready) = node.ready() {
        node.persisted(now, ready.number);
        all.push(ready);
    }
    all
}

/// Ticks the node until it starts a pre-vote or an election, and returns the
/// time.
fn tick_until_election(node: &mut Node) -> Monotonic {
    loop {
        let now = node.next_wakeup();
        node.tick(now);
        let role = node.status(now).role;
        if !matches!(role, RaftRole::Follower | RaftRole::Learner) {
            return now;
        }
        // The batch has probes to other voters, which get no reply here.
        persist_all(node, now);
    }
}

/// A leader that counts its own copy before the sync would commit an entry that
/// a crash can lose.
#[test]
fn single_voter_leads_and_commits_only_synced_entries() {
    let mut node = node(&[1], Recovered::default());
    let now = tick_until_election(&mut node);
    persist_all(&mut node, now);
    assert!(node.holds_lease(now));
    assert_eq!(node.status(now).role, RaftRole::Leader);
    let index = node.propose(now, vec![1]).expect("it leads");
    let ready = node.ready().expect("an entry to write");
    assert!(ready.committed.is_empty());
    assert!(node.ready().is_none());
    node.persisted(now, ready.number);
    let committed = node.ready().expect("an entry to apply").committed;
    assert_eq!(committed.last().map(|e| e.index), Some(index));
}

/// A reply that is sent at once, because its own batch has no data, would
/// acknowledge an entry of an earlier batch that is not synced.
#[test]
fn reply_waits_for_sync_of_earlier_batches() {
    let mut node = node(&[1, 2, 3], Recovered::default());
    let now = Monotonic(10);
    node.step(now, LEADER, append(1, (0, 0), vec![command(1, 1)], 0));
    let first = node.ready().expect("an entry to write");
    assert_eq!(first.messages_after_persist.len(), 1);
    assert!(first.messages.is_empty());
    // The same append has nothing to write, but its reply acknowledges the
    // first entry.
    node.step(now, LEADER, append(1, (0, 0), vec![command(1, 1)], 0));
    assert!(node.ready().is_none());
    node.persisted(now, first.number);
    let second = node.ready().expect("the second reply");
    assert_eq!(second.number, first.number + 1);
    assert_eq!(second.messages_after_persist.len(), 1);
}

#[test]
fn restarted_node_first_hands_out_committed_entries() {
    let recovered = Recovered {
        hard_state: HardState {
            term: Term(3),
            voted_for: None,
            commit: LogIndex(2),
        },
        snapshot: None,
        entries: vec![command(1, 1), command(2, 1), command(3, 2)],
    };
    let mut node = node(&[1, 2, 3], recovered);
    let ready = node.ready().expect("entries to apply");
    assert!(!ready.needs_persist());
    assert_eq!(ready.committed, [command(1, 1), command(2, 1)]);
}

/// A voter that grants a vote at once after its restart could elect a second
/// leader while the lease of the first one lasts.
#[test]
fn restarted_voter_grants_no_vote_for_one_election_timeout() {
    let recovered = Recovered {
        hard_state: HardState {
            term: Term(3),
            ..HardState::default()
        },
        ..Recovered::default()
    };
    let mut node = node(&[1, 2, 3], recovered);
    let vote = Message::Vote {
        term: Term(4),
        last_index: LogIndex(9),
        last_term: Term(3),
        transfer: false,
    };
    node.step(Monotonic(999), LEADER, vote.clone());
    assert!(node.ready().is_none());
    node.step(Monotonic(1_000), LEADER, vote);
    let reply = Message::VoteReply {
        term: Term(4),
        granted: true,
    };
    let ready = node.ready().expect("a reply to the vote request");
    assert_eq!(ready.messages_after_persist[0].message, reply);
}

/// Returns a node that was just elected in term 4, with entries of terms 1 and
/// 2 in its log.
fn new_leader() -> (Node, Monotonic) {
    let recovered = Recovered {
        hard_state: HardState {
            term: Term(3),
            ..HardState::default()
        },
        snapshot: None,
        entries: vec![command(1, 1), command(2, 2)],
    };
    let mut node = node(&[1, 2, 3], recovered);
    let now = tick_until_election(&mut node);
    let (term, granted) = (Term(4), true);
    node.step(now, LEADER, Message::PreVoteReply { term, granted });
    persist_all(&mut node, now);
    node.step(now, LEADER, Message::VoteReply { term, granted });
    persist_all(&mut node, now);
    assert_eq!(node.status(now).role, RaftRole::Leader);
    (node, now)
}

fn append_reply(index: u64) -> Message {
    Message::AppendReply {
        term: Term(4),
        success: true,
        index: LogIndex(index),
        round: 1,
    }
}

/// An entry of an earlier term can still be overwritten although a quorum has
/// it (thesis, 3.6.2).
#[test]
fn entries_of_earlier_terms_commit_only_with_entry_of_current_term() {
    let (mut node, now) = new_leader();
    node.step(now, LEADER, append_reply(2));
    assert_eq!(node.status(now).commit, LogIndex(0));
    assert!(!node.holds_lease(now));
    node.step(now, LEADER, append_reply(3));
    assert_eq!(node.status(now).commit, LogIndex(3));
    assert!(node.holds_lease(now));
}

/// A membership change of an earlier term may be in progress on other nodes,
/// and its quorums need not share a voter with those of the new change.
#[test]
fn new_leader_rejects_membership_change_until_entry_of_its_term_is_committed() {
    let (mut node, now) = new_leader();
    let next = membership(&[1, 2, 3, 4], &[]);
    let result = node.propose_membership(now, next.clone());
    assert_eq!(result, Err(ProposeError::ChangeInProgress));
    node.step(now, LEADER, append_reply(3));
    assert_eq!(node.propose_membership(now, next), Ok(LogIndex(4)));
}

/// A follower that lost one append rejects all that follow it. If each
/// rejection caused a new append, the entries would be sent several times.
#[test]
fn rejections_after_lost_append_cause_one_append() {
    let (mut node, now) = new_leader();
    node.step(now, LEADER, append_reply(3));
    for _ in 0..3 {
        node.propose(now, vec![0; 100]).expect("it leads");
        persist_all(&mut node, now);
    }
    let mut appends = 0;
    for _ in 0..2 {
        let rejection = Message::AppendReply {
            term: Term(4),
            success: false,
            index: LogIndex(3),
            round: 1,
        };
        node.step(now, LEADER, rejection);
        appends += persist_all(&mut node, now)
            .iter()
            .flat_map(|ready| &ready.messages)
            .filter(|outgoing| outgoing.to == LEADER)
            .count();
    }
    assert_eq!(appends, 1);
}

/// Guards against a lease that is extended by a reply to an earlier term. The
/// same node may be leader again when the reply arrives, and its rounds are
/// numbered anew in each term.
#[test]
fn reply_to_leader_of_earlier_term_echoes_no_round() {
    let mut node = node(&[1, 2, 3], Recovered::default());
    let now = Monotonic(10);
    node.step(now, LEADER, append(8, (0, 0), Vec::new(), 0));
    node.step(now, LEADER, append(7, (0, 0), Vec::new(), 0));
    let replies = node.ready().expect("replies").messages_after_persist;
    let rejection = Message::AppendReply {
        term: Term(8),
        success: false,
        index: LogIndex(0),
        round: 0,
    };
    assert_eq!(replies.last().map(|r| &r.message), Some(&rejection));
}

fn random_number(random: &mut ChaCha8Rng) -> u64 {
    match random.random_range(0..8) {
        0 => u64::MAX,
        1 => u64::MAX - 1,
        _ => random.random_range(0..12),
    }
}

fn random_message(random: &mut ChaCha8Rng) -> Message {
    let mut number = || random_number(random);
    let (term, index, other, round) = (Term(number()), LogIndex(number()), number(), number());
    let entries = vec![command(number(), number()), command(number(), number())];
    let (kind, success) = (number() % 9, number() % 2 == 0);
    match kind {
        0 => Message::PreVote {
            term,
            last_index: index,
            last_term: Term(other),
        },
        1 => Message::PreVoteReply {
            term,
            granted: success,
        },
        2 => Message::Vote {
            term,
            last_index: index,
            last_term: Term(other),
            transfer: success,
        },
        3 => Message::VoteReply {
            term,
            granted: success,
        },
        4 => append(term.0, (index.0, other), entries, round),
        5 => Message::AppendReply {
            term,
            success,
            index,
            round,
        },
        6 => Message::SnapshotChunk {
            term,
            meta: SnapshotMeta {
                index,
                term: Term(other),
                membership: membership(&[1, 2, 3], &[]),
            },
            offset: number(),
            total: number(),
            data: Arc::from([0, 1]),
            round,
        },
        7 => Message::SnapshotReply {
            term,
            index,
            next_offset: other,
            round,
        },
        _ => Message::TimeoutNow { term },
    }
}

#[test]
fn random_messages_cause_no_panic() {
    for seed in 0..400 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut node = node(&[1, 2, 3], Recovered::default());
        let mut now = Monotonic(0);
        for _ in 0..100 {
            now = Monotonic(now.0 + random.random_range(0..400));
            let from = NodeId(random.random_range(0..5));
            node.step(now, from, random_message(&mut random));
            node.tick(now);
            persist_all(&mut node, now);
            node.status(now);
        }
    }
}
