//! Mechanisms that can be turned off, to show that the checker then notices.
//!
//! Most mutations are built into the cores, which own them; this module names
//! them in one list and adds those of the cluster itself: its disks and its
//! starts of processes.

use agent::AgentMutation;
use emulator::runner::RunnerMutation;
use serde::de::IntoDeserializer;
use serde::de::value::Error as NameError;
use serde::{Deserialize, Serialize};
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
    /// An unanswered start is sent again, where a revocation belongs.
    #[serde(rename = "resend_start_instead_of_void")]
    ResendStartInsteadOfRevoke,
    /// An unanswered start is given up without a revocation.
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
    #[serde(rename = "no_basis_check")]
    NoHeartbeatCheck,
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
    /// The scheduler pulls for every runner and looks into every list.
    #[serde(rename = "look_at_all")]
    ScanAll,
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
        Self::ResendStartInsteadOfRevoke,
        Self::CloseUnansweredStart,
        Self::SkipLeaseCheck,
        Self::AcknowledgeBeforeCommit,
        Self::ExpireRunsEarly,
        Self::NoTombstones,
        Self::NoRunnerTermFence,
        Self::NoHeartbeatCheck,
        Self::NoSelfStop,
        Self::AcknowledgeBeforeSync,
        Self::KeepIdentityOnEmptyDisk,
        Self::AnyConfigurationVersion,
        Self::ResentSubmitIsNew,
        Self::SkipReservationCheck,
        Self::ForgetFailures,
        Self::KeepRestOfGang,
        Self::ScanAll,
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
            Self::ResendStartInsteadOfRevoke => {
                Some(coordinator::Mutation::ResendStartInsteadOfRevoke)
            }
            Self::CloseUnansweredStart => Some(coordinator::Mutation::CloseUnansweredStart),
            Self::SkipLeaseCheck => Some(coordinator::Mutation::SkipLeaseCheck),
            Self::AcknowledgeBeforeCommit => Some(coordinator::Mutation::AcknowledgeBeforeCommit),
            Self::ExpireRunsEarly => Some(coordinator::Mutation::ExpireRunsEarly),
            Self::ScanAll => Some(coordinator::Mutation::ScanAll),
            other => other.of_record().map(coordinator::Mutation::StateMachine),
        }
    }

    /// The part of it that is built into the record.
    fn of_record(self) -> Option<state_machine::mutation::Mutation> {
        use state_machine::mutation::Mutation as OfRecord;
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

    /// The part of it that is built into the emulated runner.
    pub fn of_runner(self) -> Option<RunnerMutation> {
        match self {
            Self::NoTombstones => Some(RunnerMutation::NoTombstones),
            Self::NoRunnerTermFence => Some(RunnerMutation::NoTermFence),
            Self::NoHeartbeatCheck => Some(RunnerMutation::NoHeartbeatCheck),
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
