//! Mutations, which prove that the checker notices faults of the software.
//!
//! A mutation disables one mechanism of the software on purpose; the checker must then
//! report a violation. A plan, which describes a simulation with its sizes and its list
//! of faults, may name one mutation.
//!
//! Most mutations are implemented in the cores of the daemons. This module lists all of
//! them and adds those of the simulated cluster, which concern its disks and the start of
//! processes.

use agent::AgentMutation;
use emulator::runner::RunnerMutation;
use serde::de::IntoDeserializer;
use serde::de::value::Error as NameError;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A mechanism that is disabled in a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mutation {
    /// Voters grant votes although they have a live leader.
    VoteDespiteLeader,
    /// The leader's lease counts from the arrival of the replies instead of the sending of
    /// the requests.
    LeaseFromReply,
    /// An unanswered start is sent again instead of revoked.
    #[serde(rename = "resend_start_instead_of_void")]
    ResendStartInsteadOfRevoke,
    /// An unanswered start is closed without a revocation.
    CloseUnansweredStart,
    /// The leader acts without a check of its lease.
    SkipLeaseCheck,
    /// A submit is acknowledged before it is committed.
    AcknowledgeBeforeCommit,
    /// Runs of an unresponsive runner are closed before their lease expires.
    ExpireRunsEarly,
    /// Runners keep no tombstones of revoked, rejected and recorded runs.
    NoTombstones,
    /// Runners accept orders of any term.
    NoRunnerTermFence,
    /// Runners accept starts regardless of the age of the heartbeat that they are based on.
    #[serde(rename = "no_basis_check")]
    NoHeartbeatCheck,
    /// Runners do not stop their runs when the run lease expires.
    NoSelfStop,
    /// Disks report a write as synced before it is written.
    AcknowledgeBeforeSync,
    /// A coordinator with an empty disk keeps its previous identity.
    KeepIdentityOnEmptyDisk,
    /// A configuration is applied under any version.
    AnyConfigurationVersion,
    /// A resent submit creates another job.
    ResentSubmitIsNew,
    /// A reservation is not validated again when it is applied.
    SkipReservationCheck,
    /// Failed runs do not count towards the allowed failures of their task.
    ForgetFailures,
    /// The other runs of a gang continue after one has failed.
    KeepRestOfGang,
    /// The scheduler pulls for every runner and scans every list.
    #[serde(rename = "look_at_all")]
    ScanAll,
    /// Agents deliver orders of any term.
    NoAgentTermFence,
    /// Agents keep and accept orders after a lost session or a freeze.
    AgentKeepsOrders,
}

impl Mutation {
    /// All mutations in the order of their declaration.
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

    /// Returns the mutation as the consensus crate defines it; `None` if it disables no
    /// mechanism of that crate.
    pub fn of_consensus(self) -> Option<consensus::Mutation> {
        match self {
            Self::VoteDespiteLeader => Some(consensus::Mutation::VoteDespiteLeader),
            Self::LeaseFromReply => Some(consensus::Mutation::LeaseFromReply),
            _ => None,
        }
    }

    /// Returns the mutation as the coordinator crate defines it; `None` if it disables no
    /// mechanism of the coordinator or its state machine.
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
            other => other
                .of_state_machine()
                .map(coordinator::Mutation::StateMachine),
        }
    }

    /// Returns the mutation as the state machine crate defines it; `None` if it disables no
    /// mechanism of that crate.
    fn of_state_machine(self) -> Option<state_machine::mutation::Mutation> {
        use state_machine::mutation::Mutation as StateMachineMutation;
        match self {
            Self::AnyConfigurationVersion => Some(StateMachineMutation::AnyConfigurationVersion),
            Self::ResentSubmitIsNew => Some(StateMachineMutation::ResentSubmitIsNew),
            Self::SkipReservationCheck => Some(StateMachineMutation::SkipReservationCheck),
            Self::ForgetFailures => Some(StateMachineMutation::ForgetFailures),
            Self::KeepRestOfGang => Some(StateMachineMutation::KeepRestOfGang),
            _ => None,
        }
    }

    /// Returns the mutation as the agent crate defines it; `None` if it disables no
    /// mechanism of the agent.
    pub fn of_agent(self) -> Option<AgentMutation> {
        match self {
            Self::NoAgentTermFence => Some(AgentMutation::NoTermFence),
            Self::AgentKeepsOrders => Some(AgentMutation::KeepOrdersOverLostSession),
            _ => None,
        }
    }

    /// Returns the mutation as the emulated runner defines it; `None` if it disables no
    /// mechanism of the runner.
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

    /// Parses a mutation's name as plans write it: the variant's serialized name in snake
    /// case.
    fn from_str(name: &str) -> Result<Self, NameError> {
        Self::deserialize(name.into_deserializer())
    }
}

impl fmt::Display for Mutation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(formatter)
    }
}
