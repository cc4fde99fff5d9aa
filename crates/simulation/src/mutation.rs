//! Mechanisms that can be turned off, to show that the checker then notices.
//!
//! Most mutations are built into the cores, which own them; this module names
//! them in one list and adds those of the world itself: its disks and its
//! starts of processes.

use agent::AgentMutation;
use serde::de::IntoDeserializer;
use serde::de::value::Error as NameError;
use serde::{Deserialize, Serialize};
use standin::runner::RunnerMutation;
use std::fmt;
use std::str::FromStr;

/// A mechanism turned off in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mutation {
    /// Voters grant votes although they hear a live leader.
    VoteDespiteLeader,
    /// The leader's lease is dated from when the answers came.
    LeaseFromReply,
    /// An unanswered start is sent again, where a void belongs.
    ResendStartInsteadOfVoid,
    /// An unanswered start is given up without a void.
    CloseUnansweredStart,
    /// The leader acts without looking at its lease.
    SkipLeaseCheck,
    /// A submit is acknowledged before it is committed.
    AcknowledgeBeforeCommit,
    /// Runs of a silent runner are given up before their lease is over.
    ExpireRunsEarly,
    /// Runners keep no tombstones.
    NoTombstones,
    /// Runners take orders of any term.
    NoRunnerTermFence,
    /// Runners take starts however old their basis is.
    NoBasisCheck,
    /// Runners go on after their run lease.
    NoSelfStop,
    /// Disks say that a write is synced before it is written.
    AcknowledgeBeforeSync,
    /// A coordinator with an empty disk takes its old identity again.
    KeepIdentityOnEmptyDisk,
    /// A configuration is taken under any version.
    AnyConfigurationVersion,
    /// A resent submit becomes a further job.
    ResentSubmitIsNew,
    /// A reservation is not checked again when it is applied.
    SkipReservationCheck,
    /// Failed runs do not use up the allowance of their task.
    ForgetFailures,
    /// The end of one member does not end the rest of its gang.
    KeepRestOfGang,
    /// The dispatcher pulls for every runner and looks into every list.
    LookAtAll,
    /// Agents deliver orders of any term.
    NoAgentTermFence,
    /// Agents keep orders over a lost session or a freeze.
    AgentKeepsOrders,
}

impl Mutation {
    /// Every mutation, in order.
    pub const ALL: [Self; 21] = [
        Self::VoteDespiteLeader,
        Self::LeaseFromReply,
        Self::ResendStartInsteadOfVoid,
        Self::CloseUnansweredStart,
        Self::SkipLeaseCheck,
        Self::AcknowledgeBeforeCommit,
        Self::ExpireRunsEarly,
        Self::NoTombstones,
        Self::NoRunnerTermFence,
        Self::NoBasisCheck,
        Self::NoSelfStop,
        Self::AcknowledgeBeforeSync,
        Self::KeepIdentityOnEmptyDisk,
        Self::AnyConfigurationVersion,
        Self::ResentSubmitIsNew,
        Self::SkipReservationCheck,
        Self::ForgetFailures,
        Self::KeepRestOfGang,
        Self::LookAtAll,
        Self::NoAgentTermFence,
        Self::AgentKeepsOrders,
    ];

    /// The part of it that is built into consensus.
    pub fn of_consensus(self) -> Option<consensus::Mutation> {
        match self {
            Self::VoteDespiteLeader => Some(consensus::Mutation::VoteDespiteLeader),
            Self::LeaseFromReply => Some(consensus::Mutation::LeaseFromReply),
            _ => None,
        }
    }

    /// The part of it that is built into the coordinator.
    pub fn of_coordinator(self) -> Option<coordinator::Mutation> {
        match self {
            Self::ResendStartInsteadOfVoid => Some(coordinator::Mutation::ResendStartInsteadOfVoid),
            Self::CloseUnansweredStart => Some(coordinator::Mutation::CloseUnansweredStart),
            Self::SkipLeaseCheck => Some(coordinator::Mutation::SkipLeaseCheck),
            Self::AcknowledgeBeforeCommit => Some(coordinator::Mutation::AcknowledgeBeforeCommit),
            Self::ExpireRunsEarly => Some(coordinator::Mutation::ExpireRunsEarly),
            Self::LookAtAll => Some(coordinator::Mutation::LookAtAll),
            other => other.of_record().map(coordinator::Mutation::Record),
        }
    }

    /// The part of it that is built into the record.
    fn of_record(self) -> Option<record::mutation::Mutation> {
        use record::mutation::Mutation as OfRecord;
        match self {
            Self::AnyConfigurationVersion => Some(OfRecord::AnyConfigurationVersion),
            Self::ResentSubmitIsNew => Some(OfRecord::ResentSubmitIsNew),
            Self::SkipReservationCheck => Some(OfRecord::SkipReservationCheck),
            Self::ForgetFailures => Some(OfRecord::ForgetFailures),
            Self::KeepRestOfGang => Some(OfRecord::KeepRestOfGang),
            _ => None,
        }
    }

    /// The part of it that is built into the agent.
    pub fn of_agent(self) -> Option<AgentMutation> {
        match self {
            Self::NoAgentTermFence => Some(AgentMutation::NoTermFence),
            Self::AgentKeepsOrders => Some(AgentMutation::KeepOrdersOverLostSession),
            _ => None,
        }
    }

    /// The part of it that is built into the stand-in runner.
    pub fn of_runner(self) -> Option<RunnerMutation> {
        match self {
            Self::NoTombstones => Some(RunnerMutation::NoTombstones),
            Self::NoRunnerTermFence => Some(RunnerMutation::NoTermFence),
            Self::NoBasisCheck => Some(RunnerMutation::NoBasisCheck),
            Self::NoSelfStop => Some(RunnerMutation::NoSelfStop),
            _ => None,
        }
    }
}

impl FromStr for Mutation {
    type Err = NameError;

    /// Takes the name as it stands in plans, in snake case.
    fn from_str(name: &str) -> Result<Self, NameError> {
        Self::deserialize(name.into_deserializer())
    }
}

impl fmt::Display for Mutation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(formatter)
    }
}
