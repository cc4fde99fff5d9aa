//! Identifiers. Names chosen by people are validated text; numbers assigned by the
//! system are integers, each kind with its own type.

use crate::InvalidName;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

fn check_name(text: &str) -> Result<(), InvalidName> {
    if text.is_empty() {
        return Err(InvalidName::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(InvalidName::TooLong {
            length: text.len(),
            max: MAX_NAME_BYTES,
        });
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    match text.chars().find(|c| !allowed(c)) {
        Some(character) => Err(InvalidName::Character { character }),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates the text and creates a name from it.
            ///
            /// # Errors
            ///
            /// Fails if the text is empty, longer than [`MAX_NAME_BYTES`], or contains a
            /// character other than ASCII letters, digits, `.`, `_`, `:` and `-`.
            pub fn new(text: impl AsRef<str>) -> Result<Self, InvalidName> {
                check_name(text.as_ref())?;
                Ok(Self(Arc::from(text.as_ref())))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;
            fn try_from(text: String) -> Result<Self, InvalidName> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl std::str::FromStr for $name {
            type Err = InvalidName;
            fn from_str(text: &str) -> Result<Self, InvalidName> {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a tenant, from its contract.
    TenantId
);
name_type!(
    /// Identifier of a job, chosen by its caller and unique within its tenant; for a job
    /// that was submitted by an entry, also among all such jobs.
    JobId
);
name_type!(
    /// Name of a queue, chosen by the operator.
    QueueName
);
name_type!(
    /// Name of a step, unique within its job.
    StepName
);
name_type!(
    /// Name of a pool of runners.
    PoolName
);
name_type!(
    /// Name of a runner, from its own settings; unchanged by restarts.
    RunnerId
);
name_type!(
    /// Endpoint of a runner, such as the socket at which it accepts calls. At most one
    /// incarnation of one runner uses an endpoint at a time.
    EndpointName
);
name_type!(
    /// Name of a licence, which limits the number of concurrent runs by its seats.
    LicenceName
);
name_type!(
    /// Name of a rack, from the settings of the runners in it.
    RackName
);
name_type!(
    /// Name of a zone, a group of machines that may fail together.
    ZoneName
);
name_type!(
    /// Public identifier of a bearer key; contains no part of its secret.
    KeyId
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

number_type!(
    /// Identity of a daemon, drawn at random at its first start. A coordinator
    /// stores it on its disk; the other roles draw a new one at every start.
    NodeId
);
number_type!(
    /// Identity of a cluster, drawn at random when the cluster is created.
    ClusterId
);
number_type!(
    /// Raft term. Runners and agents reject orders of a lower term than the highest
    /// that they have seen.
    Term
);
number_type!(
    /// Index of an entry in the replicated log; the first entry has index 1.
    LogIndex
);
number_type!(
    /// Number of a job in the replicated state, assigned in order of submission and
    /// never reused.
    JobNumber
);
number_type!(
    /// Version of the cluster configuration; the first accepted document has version 1.
    ConfigurationVersion
);
number_type!(
    /// Sequence number of an order among the orders of its term to one runner.
    OrderSequence
);
number_type!(
    /// Sequence number of a heartbeat within one incarnation of a runner.
    HeartbeatSequence
);
number_type!(
    /// Incarnation of a runner; increases with every restart of its process.
    RunnerIncarnation
);

/// Identifier of a job, unique in the cluster: tenant and identifier chosen by the
/// caller.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobKey {
    /// Tenant that the job belongs to.
    pub tenant: TenantId,
    /// Identifier chosen by the caller, unique within the tenant.
    pub job: JobId,
}

impl fmt::Display for JobKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.tenant, self.job)
    }
}

/// Address by which callers submit and read jobs, such as a host with the prefix of a
/// path. The text is compared and not interpreted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct EntryAddress(Arc<str>);

impl EntryAddress {
    /// Creates an address from its text.
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(Arc::from(text.as_ref()))
    }

    /// Returns the address as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<String> for EntryAddress {
    fn from(text: String) -> Self {
        Self::new(text)
    }
}

impl From<EntryAddress> for String {
    fn from(address: EntryAddress) -> Self {
        address.0.as_ref().to_owned()
    }
}

/// Reference to a task: its job, position of its step in the job, position in the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    /// Number of the job.
    pub job: JobNumber,
    /// Position of the step in the job, from 0.
    pub step: u16,
    /// Position of the task in the step, from 0.
    pub task: u32,
}

impl fmt::Display for TaskRef {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.job, self.step, self.task)
    }
}

/// Identifier of a run, which is one attempt at a task. The leader of `term` assigns
/// `sequence`, so no two runs have the same identifier and each is started at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// Term of the leader that reserved the run.
    pub term: Term,
    /// Sequence number among the runs of that term.
    pub sequence: u64,
}

impl fmt::Display for RunId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.term, self.sequence)
    }
}
