//! The coordinator role: a core without I/O and its tokio shell.
//!
//! The core holds a consensus node, the record, and, while it leads, the
//! scheduler and the leader's view of sessions and runners. It takes inputs
//! with the time they came at and gives back effects; the shell (or the
//! simulation) carries them out.

pub mod core;
pub mod shell;

mod effect;
mod identity;
mod leader;
mod options;
mod readiness;
mod replica;
mod sender;

pub use crate::core::Coordinator;
pub use effect::{Effect, Input};
pub use options::{BootstrapRule, CoordinatorOptions, Mutation};
pub use readiness::{NotReadyReason, Readiness};
pub use replica::snapshots;
pub use shell::{CoordinatorError, ShellOptions, run};
