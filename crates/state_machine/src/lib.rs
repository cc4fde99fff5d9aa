//! Deterministic replicated state machine of jobs, runs and configuration.
//!
//! Every coordinator applies the same commands in the same order and reaches
//! the same state. This crate reads no clock and no source of randomness: the
//! leader stamps each command with its wall time. A command that does not fit
//! the state is rejected and changes nothing.

pub mod command;
pub mod error;
#[doc(hidden)]
pub mod mutation;
pub mod state;

pub use command::{
    Applied, CancelSelector, Change, ClosedRun, Command, CommandRejection, CommandReply,
    ReservationRejection,
};
pub use error::{SnapshotInconsistency, StateMachineError};
pub use state::{StateMachine, TaskStatus};
