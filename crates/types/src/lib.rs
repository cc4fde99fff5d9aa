//! Typed identifiers, resources, jobs, runs and times shared by every crate.
//!
//! Nothing here does I/O, and nothing here knows the JSON of the outer
//! interface: that is the `api` crate's alone.

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
    ClusterId, ConfigurationVersion, EndpointName, HeartbeatSequence, JobId, JobKey, JobNumber,
    KeyId, LicenceName, LogIndex, NodeId, OrderSequence, PoolName, QueueName, RackName, RunId,
    RunnerId, RunnerIncarnation, StepName, TaskRef, TenantId, Term, ZoneName,
};
pub use job::{JobSpec, JobState, JobView, StepRules, StepSpec, StepView, TaskState, Urgency};
pub use resources::{Labels, Resources};
pub use run::{ActiveRun, EndedRun, Outcome, RunClose, RunName, RunSpec, UnnamedRun};
pub use runner::{OrderAnswer, OrderKind, RejectionReason, RunnerOrder, RunnerReport};
pub use task::{NumberedJob, OpenRun, Reservation, TaskMeta};
pub use time::{Milliseconds, Monotonic, Now, WallTime};
