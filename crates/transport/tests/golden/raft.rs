//! Samples of consensus messages.

use super::bytes::Sample;
use super::samples::socket;
use consensus::{Entry, LinkHealth, Membership, Message, Payload, SnapshotMeta};
use std::collections::BTreeMap;
use std::sync::Arc;
use transport::PeerMessage;
use types::{ClusterId, LogIndex, NodeId, Term};

pub fn membership() -> Membership {
    Membership {
        voters: BTreeMap::from([
            (NodeId(901), socket("10.20.30.41:7001")),
            (NodeId(902), socket("[fd00::2]:7002")),
        ]),
        learners: BTreeMap::from([(NodeId(903), socket("10.20.30.43:7003"))]),
    }
}

pub fn payloads() -> [Payload; 3] {
    [
        Payload::Noop,
        Payload::Command(Arc::from([0xC0, 0xFF, 0xEE])),
        Payload::Membership(membership()),
    ]
}

fn entries() -> Vec<Entry> {
    let numbered = (1_000..).zip(payloads());
    let entries = numbered.map(|(index, payload)| Entry {
        index: LogIndex(index),
        term: Term(31),
        payload,
    });
    entries.collect()
}

fn health_with_slow_disk() -> LinkHealth {
    LinkHealth {
        good_links: 3,
        bad_links: 2,
        slow_disk: true,
        recently_transferred: false,
    }
}

fn health_after_transfer() -> LinkHealth {
    LinkHealth {
        good_links: 1,
        bad_links: 4,
        slow_disk: false,
        recently_transferred: true,
    }
}

/// Returns link health with each of its two flags set once.
pub fn link_healths() -> [LinkHealth; 2] {
    [health_with_slow_disk(), health_after_transfer()]
}

fn votes() -> Vec<Sample<Message>> {
    let (last_index, last_term) = (LogIndex(2_000), Term(32));
    let pre_vote = Message::PreVote {
        term: Term(33),
        last_index,
        last_term,
    };
    let pre_vote_reply = Message::PreVoteReply {
        term: Term(33),
        granted: true,
    };
    let vote = Message::Vote {
        term: Term(33),
        last_index,
        last_term,
        transfer: true,
    };
    let vote_reply = Message::VoteReply {
        term: Term(33),
        granted: true,
    };
    let timeout_now = Message::TimeoutNow { term: Term(33) };
    vec![
        Sample {
            name: "raft.pre-vote",
            value: pre_vote,
        },
        Sample {
            name: "raft.pre-vote-reply",
            value: pre_vote_reply,
        },
        Sample {
            name: "raft.vote",
            value: vote,
        },
        Sample {
            name: "raft.vote-reply",
            value: vote_reply,
        },
        Sample {
            name: "raft.timeout-now",
            value: timeout_now,
        },
    ]
}

fn replication() -> Vec<Sample<Message>> {
    let append = Message::Append {
        term: Term(34),
        previous_index: LogIndex(999),
        previous_term: Term(30),
        entries: entries(),
        commit: LogIndex(998),
        round: 5_000,
    };
    let append_reply = Message::AppendReply {
        term: Term(34),
        success: true,
        index: LogIndex(1_002),
        round: 5_001,
    };
    vec![
        Sample {
            name: "raft.append",
            value: append,
        },
        Sample {
            name: "raft.append-reply",
            value: append_reply,
        },
    ]
}

fn snapshots() -> Vec<Sample<Message>> {
    let chunk = Message::SnapshotChunk {
        term: Term(35),
        meta: SnapshotMeta {
            index: LogIndex(3_000),
            term: Term(29),
            membership: membership(),
        },
        offset: 65_536,
        total: 131_072,
        data: Arc::from([0xBE, 0xEF]),
        round: 5_002,
    };
    let reply = Message::SnapshotReply {
        term: Term(35),
        index: LogIndex(3_000),
        next_offset: 65_538,
        round: 5_003,
    };
    vec![
        Sample {
            name: "raft.snapshot-chunk",
            value: chunk,
        },
        Sample {
            name: "raft.snapshot-reply",
            value: reply,
        },
    ]
}

fn probes() -> Vec<Sample<Message>> {
    let [slow_disk, transferred] = link_healths().map(|health| Message::Probe {
        number: 6_000,
        health,
    });
    let reply = Message::ProbeReply { number: 6_001 };
    vec![
        Sample {
            name: "raft.probe.slow-disk",
            value: slow_disk,
        },
        Sample {
            name: "raft.probe.gave-way",
            value: transferred,
        },
        Sample {
            name: "raft.probe-reply",
            value: reply,
        },
    ]
}

/// Returns samples of all consensus messages.
pub fn messages() -> Vec<Sample<Message>> {
    let groups = [votes(), replication(), snapshots(), probes()];
    groups.into_iter().flatten().collect()
}

/// Returns [`messages`], each wrapped in the message between daemons.
pub fn samples() -> Vec<Sample<PeerMessage>> {
    let messages = messages().into_iter();
    messages
        .map(|sample| Sample {
            name: sample.name,
            value: PeerMessage::Raft {
                cluster: ClusterId(4_242),
                to: NodeId(902),
                message: sample.value,
            },
        })
        .collect()
}
