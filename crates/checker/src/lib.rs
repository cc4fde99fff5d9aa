//! Checks a recorded history against the guarantees of the system.
//!
//! The history holds only what callers, operators and runners observed, and the
//! injected faults. The simulation, the trials with real processes and
//! `cypressdrum check FILE` use the same checker.

pub mod check;
pub mod event;
pub mod history;

pub use check::{Limits, Report, Violation, ViolationKind, check};
pub use event::{Event, ExpectedStep, Observation, ReadState};
pub use history::{HistoryError, read_history, write_history};
