//! Identifiers. Names chosen by people are checked text; numbers made by the
//! system are plain integers in their own types.

use crate::InvalidName;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Longest name, in bytes.
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
            /// Checks the text and makes a name of it.
            ///
            /// # Errors
            ///
            /// Fails if the text is empty, too long, or holds another character than ASCII
            /// letters, digits, `.`, `_`, `:` and `-`.
            pub fn new(text: impl AsRef<str>) -> Result<Self, InvalidName> {
                check_name(text.as_ref())?;
                Ok(Self(Arc::from(text.as_ref())))
            }

            /// The text of the name.
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
    /// A tenant, named by its contract.
    TenantId
);
name_type!(
    /// A job's identifier, chosen by its caller and unique within its tenant.
    JobId
);
name_type!(
    /// A queue, named by the operator.
    QueueName
);
name_type!(
    /// A step of a job, unique within the job.
    StepName
);
name_type!(
    /// A pool of runners.
    PoolName
);
name_type!(
    /// A runner, named by its own settings and stable over restarts.
    RunnerId
);
name_type!(
    /// Endpoint of a runner, such as the socket it takes calls at: one incarnation of
    /// one runner at a time.
    EndpointName
);
name_type!(
    /// A licence of which so many seats may be taken at once.
    LicenceName
);
name_type!(
    /// Rack of a runner.
    RackName
);
name_type!(
    /// A zone of machines that fail together.
    ZoneName
);
name_type!(
    /// A bearer key's public name, never its secret.
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
            /// The number after this one.
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
    /// A daemon's identity, drawn at random at its first start. A coordinator
    /// keeps it on its disk; the other roles draw a new one at every start.
    NodeId
);
number_type!(
    /// The cluster, drawn once at its first start.
    ClusterId
);
number_type!(
    /// A Raft term; it also fences orders.
    Term
);
number_type!(
    /// A place in the replicated log; the first entry has 1.
    LogIndex
);
number_type!(
    /// A job's number in the record, in order of submission; never used again.
    JobNumber
);
number_type!(
    /// The version of the cluster configuration; the first taken one is 1.
    ConfigurationVersion
);
number_type!(
    /// The place of an order among those of its term to one runner.
    OrderSequence
);
number_type!(
    /// The place of a heartbeat among those of one runner incarnation.
    HeartbeatSequence
);
number_type!(
    /// One incarnation of a runner process; it grows with every restart.
    RunnerIncarnation
);

/// A job as its caller names it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobKey {
    /// The tenant it belongs to.
    pub tenant: TenantId,
    /// The caller's identifier.
    pub job: JobId,
}

impl fmt::Display for JobKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.tenant, self.job)
    }
}

/// One task: job, position of its step in the job, position in the step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    /// The job's number in the record.
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

/// One attempt at a task. The leader of `term` chose `sequence`, so no two
/// runs ever share an identifier and each is started at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// Term of the leader that reserved the run.
    pub term: Term,
    /// Place among the runs of that term.
    pub sequence: u64,
}

impl fmt::Display for RunId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.term, self.sequence)
    }
}
