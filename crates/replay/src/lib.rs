//! Drives one coordinator core through a stream of inputs in virtual time.
//!
//! The core is the daemon's own, as a cluster of one voter. The driver plays
//! the gateway and the agents as messages, and answers its writes at once. One
//! clock, one seed and no other source of chance: the same input and seed give
//! the same output, to the byte.

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
