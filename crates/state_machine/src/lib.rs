//! The deterministic replicated state machine of jobs, runs and
//! configuration.
//!
//! Every coordinator applies the same commands in the same order and reaches
//! the same state. Nothing here reads a clock or draws at random: the leader
//! stamps each command with its wall time. A command that no longer fits the
//! state is answered with a rejection and changes nothing.

pub mod command;
pub mod error;
#[doc(hidden)]
pub mod mutation;
pub mod state;

pub use command::{
    Applied, CancelSelector, Change, ClosedRun, Command, CommandRejection, CommandReply,
    ReservationRejection,
};
pub use error::StateMachineError;
pub use state::{StateMachine, TaskStatus};
