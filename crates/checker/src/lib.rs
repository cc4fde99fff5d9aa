//! Checks an observed history against every promise.
//!
//! The history holds only what callers, operators and runners saw, plus the
//! faults that were caused. The same checker serves the simulation, the trials
//! with real processes, and `cypressdrum check FILE`.

pub mod check;
pub mod event;
pub mod history;

pub use check::{Limits, Report, Violation, ViolationKind, check};
pub use event::{Event, ExpectedStep, Observation, ReadState};
pub use history::{HistoryError, read_history, write_history};
