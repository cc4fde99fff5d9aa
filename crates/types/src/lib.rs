//! Typed identifiers, resources, jobs, runs and times shared by every crate.
//!
//! The crate does no I/O. The JSON format of the public API is defined in the `api`
//! crate only.

pub mod address;
pub mod error;
pub mod id;
pub mod job;
pub mod resources;
pub mod run;
pub mod runner;
pub mod task;
pub mod time;

pub use address::{Address, Role};
pub use error::InvalidName;
pub use id::{
    ClusterId, ConfigurationVersion, EndpointName, EntryAddress, HeartbeatSequence, JobId, JobKey,
    JobNumber, KeyId, LicenceName, LogIndex, NodeId, OrderSequence, PoolName, QueueName, RackName,
    RunId, RunnerId, RunnerIncarnation, StepName, TaskRef, TenantId, Term, ZoneName,
};
pub use job::{
    JobAccess, JobSpec, JobState, JobView, StepRules, StepSpec, StepView, TaskState, Urgency,
};
pub use resources::{Labels, Resources};
pub use run::{ActiveRun, EndedRun, Outcome, RunClose, RunName, RunSpec, UnnamedRun};
pub use runner::{OrderAnswer, OrderKind, RejectionReason, RunnerOrder, RunnerReport};
pub use task::{NumberedJob, OpenRun, Reservation, TaskMeta};
pub use time::{Milliseconds, Monotonic, Now, WallTime};
