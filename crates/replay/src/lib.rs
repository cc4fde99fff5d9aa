//! Drives one coordinator core through a stream of inputs in virtual time.
//!
//! The core is the one of the daemon, run as a cluster of one voter. The driver
//! emulates the gateway and the agents as messages, and confirms each write of
//! the core at once. All times come from one virtual clock and all draws from
//! one seed, so equal input and seed give the same output, to the byte.

pub mod cluster;
pub mod input;
pub mod output;
pub mod run;
pub mod runners;
pub mod session;

pub use input::{InputLine, LineError};
pub use output::{OutputLine, Summary};
pub use run::{ReplayError, run};
pub use session::Replay;
