//! The coordinator role: a core without I/O and its tokio shell.
//!
//! The core holds a consensus node, the record, and, while it leads, the
//! dispatcher and the leader's view of sessions and runners. It takes inputs
//! with the time they came at and gives back effects; the shell (or the
//! simulation) carries them out.

pub mod core;
pub mod shell;

pub use crate::core::{Coordinator, CoordinatorOptions, Effect, Input};
pub use shell::{CoordinatorError, ShellOptions, run};
