//! Compares the encoding of all messages with the recorded bytes of protocol
//! version 3.

mod golden;

use configuration::{KeyRole, QueueMode};
use consensus::{Message, Payload};
use golden::bytes::{Codec, Sample, assert_recorded, variants};
use golden::{answers, messages, operations, orders, raft, samples};
use scheduler::{DecisionKind, NotPlacedReason};
use serde::Serialize;
use serde::de::DeserializeOwned;
use state_machine::CancelSelector;
use transport::{
    Bootstrap, DecisionEvent, Operation, OperationReply, PROTOCOL_VERSION, PeerMessage,
    RejectionCode,
};
use types::{JobState, OrderAnswer, OrderKind, Outcome, RejectionReason, Role, RunClose};

/// Protocol version of the recorded bytes.
const RECORDED_VERSION: u32 = 3;
const MESSAGES: &str = include_str!("golden/messages.txt");
const ENVELOPES: &str = include_str!("golden/envelopes.txt");

/// Returns the codec of frame bodies.
fn codec<T: Serialize + DeserializeOwned>() -> Codec<T> {
    Codec {
        encode: |value| postcard::to_stdvec(value).unwrap(),
        decode: |bytes| postcard::from_bytes(bytes).unwrap(),
    }
}

fn values<T>(samples: &[Sample<T>]) -> impl Iterator<Item = &T> {
    samples.iter().map(|sample| &sample.value)
}

#[test]
fn every_message_encodes_to_recorded_bytes() {
    assert_eq!(PROTOCOL_VERSION, RECORDED_VERSION);
    assert_recorded(MESSAGES, &messages::samples(), &codec());
}

#[test]
fn envelopes_encode_to_recorded_bytes() {
    assert_recorded(ENVELOPES, &messages::envelopes(), &codec());
}

#[test]
fn samples_cover_every_message_variant() {
    let samples = messages::samples();
    variants!(PeerMessage {
        Discover,
        Members,
        Bootstrap,
        Raft,
        KeepAlive,
        Lease,
        NotLeader,
        Configuration,
        Request,
        Reply,
        AgentReport,
        RunnerUpdate,
        Orders,
        OrderResults,
        Relay,
    })
    .assert_covered(values(&samples));
    variants!(Bootstrap {
        Announce,
        Propose,
        Accept
    })
    .assert_covered(&messages::bootstraps());
    variants!(Role {
        Coordinator,
        Gateway,
        Agent
    })
    .assert_covered(&samples::ROLES);
}

#[test]
fn samples_cover_every_consensus_message_variant() {
    variants!(Message {
        PreVote,
        PreVoteReply,
        Vote,
        VoteReply,
        Append,
        AppendReply,
        SnapshotChunk,
        SnapshotReply,
        TimeoutNow,
        Probe,
        ProbeReply,
    })
    .assert_covered(values(&raft::messages()));
    variants!(Payload {
        Noop,
        Command,
        Membership
    })
    .assert_covered(&raft::payloads());
}

#[test]
fn samples_cover_every_operation_variant() {
    variants!(Operation {
        Submit,
        GetJob,
        GetJobState,
        ListJobs,
        Cancel,
        Explain,
        PutConfiguration,
        GetConfiguration,
        GetNewestConfiguration,
        CountJobs,
        DrainRunner,
        DeclareRunnerLost,
        ListRunners,
        ListQueues,
        ListTenants,
        ListLicences,
        ListMembers,
        Decisions,
        UpdateConfiguration,
        ConfirmUpdate,
        SubmitByEntry,
        GetAccessibleJobState,
        CancelAccessible,
    })
    .assert_covered(values(&operations::operations()));
    variants!(CancelSelector { Jobs, Tenant }).assert_covered(&operations::selectors());
    variants!(KeyRole {
        Caller,
        Operator,
        Runner
    })
    .assert_covered(&samples::key_roles("acorn"));
}

#[test]
fn samples_cover_every_reply_variant() {
    variants!(OperationReply {
        Submitted,
        Job,
        Jobs,
        Cancelled,
        Explained,
        Configured,
        Configuration,
        JobState,
        Count,
        Accepted,
        RunsLost,
        Runners,
        Queues,
        Tenants,
        Licences,
        Members,
        Decisions,
    })
    .assert_covered(values(&answers::replies()));
    variants!(RejectionCode {
        Invalid,
        Unauthenticated,
        Forbidden,
        NotFound,
        Conflict,
        Overloaded,
        Unavailable,
        TimedOut,
    })
    .assert_covered(&answers::REJECTION_CODES);
    variants!(JobState {
        Waiting,
        Running,
        Done,
        Failed,
        Cancelled
    })
    .assert_covered(&answers::JOB_STATES);
    variants!(QueueMode {
        Shadow,
        Active,
        Paused,
        Draining
    })
    .assert_covered(&samples::QUEUE_MODES);
}

#[test]
fn samples_cover_every_decision_variant() {
    variants!(DecisionEvent {
        Dispatch,
        Ordered,
        Closed,
        JobEnded
    })
    .assert_covered(&answers::decision_events());
    variants!(DecisionKind { Placed, NotPlaced }).assert_covered(&answers::decision_kinds());
    variants!(NotPlacedReason {
        TenantAtLimit,
        LimitReservedForUrgent,
        NoSeat,
        TenantAboveShare,
        RunnersAway,
        NoCapacity,
        NoRunnerWithLabels,
        RunnerOnProbation,
        ReservedForLargerTask,
        BeforeItsTime,
        WaitingForStep,
        QueuePaused,
        QueueShadow,
        NoRunnerKnown,
        AlreadyRunning,
        ReservedForUrgent,
    })
    .assert_covered(&answers::not_placed_reasons());
    variants!(RunClose {
        Ended,
        Revoked,
        Lost,
        Rejected,
        TimedOut
    })
    .assert_covered(&samples::run_closes());
}

#[test]
fn samples_cover_every_order_and_answer_variant() {
    variants!(OrderKind {
        Start,
        Stop,
        Revoke
    })
    .assert_covered(&orders::kinds());
    variants!(OrderAnswer {
        Started,
        Stopping,
        Revoked,
        Active,
        Ended,
        Rejected,
        Unknown,
    })
    .assert_covered(&orders::answers());
    variants!(RejectionReason {
        StaleTerm,
        OtherIncarnation,
        StaleHeartbeat,
        KnownRun,
        NoCapacity,
        Draining,
        Unhealthy,
    })
    .assert_covered(&orders::REJECTION_REASONS);
    variants!(Outcome {
        Done,
        Failed,
        Stopped
    })
    .assert_covered(&samples::outcomes());
}
