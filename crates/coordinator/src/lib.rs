//! The coordinator role: a core without I/O and its tokio shell.
//!
//! The core holds a consensus node, the record, and, while it leads, the
//! scheduler and the leader's view of sessions and runners. It takes inputs
//! with the time they came at and gives back effects; the shell (or the
//! simulation) carries them out.

pub mod core;
pub mod shell;
pub mod snapshots;

mod admission;
mod audit;
mod budget;
mod decisions;
mod directory;
mod disk;
mod first_start;
mod identification;
mod leader;
mod leadership;
mod lifecycle;
mod load;
mod membership;
mod orders;
mod placement;
mod progress_history;
mod reads;
mod replica;
mod requests;
mod runners;
mod runs;
mod sessions;
mod waiting;

pub use crate::core::{BootstrapRule, Coordinator, CoordinatorOptions, Effect, Input, Mutation};
pub use shell::{CoordinatorError, ShellOptions, run};
