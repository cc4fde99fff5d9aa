//! Emulated callers, which submit jobs over the gateways and query their states, and
//! the open HTTP requests of callers and operators.

use crate::ids::Micros;
use emulator::caller::Caller;
use emulator::workload::Workload;
use std::collections::BTreeMap;
use types::{JobKey, JobSpec};

/// Time after which a caller's request times out, in milliseconds.
pub const CALLER_TIMEOUT_MS: u64 = 2_000;

/// An emulated caller with its workload.
pub struct CallerHost {
    /// Observer name in the history.
    pub name: String,
    /// Client logic: submits, retries and queries.
    pub caller: Caller,
    /// Generator of the jobs.
    pub workload: Workload,
    /// Specifications of the jobs that are not final yet, by key.
    pub jobs: BTreeMap<JobKey, JobSpec>,
    /// Gateway to use, counted up after a failed request and taken modulo the number of
    /// gateways.
    pub gateway: usize,
    /// Rate of new jobs, in percent of the workload's normal rate.
    pub load_percent: u32,
    /// Factor on the rate of new jobs; above 1 during a burst.
    pub load_factor: u32,
    /// Virtual time of the timer in the event queue; `None` if none is set.
    pub timer: Option<Micros>,
}

impl CallerHost {
    /// Returns the mean time between two new jobs.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the quotient is positive and at most 100 s"
    )]
    pub fn mean_interval(&self) -> Micros {
        let percent = f64::from(self.load_percent * self.load_factor.max(1));
        let per_second = self.workload.jobs_per_second() * percent / 100.0;
        (1_000_000.0 / per_second.max(0.01)) as Micros
    }
}

/// An HTTP request without an answer yet: its sender and its subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OpenRequest {
    /// A submit of a caller.
    Submit {
        /// Index of the caller.
        caller: usize,
        /// Key of the job.
        job: JobKey,
    },
    /// A query of a caller for the state of a job.
    GetState {
        /// Index of the caller.
        caller: usize,
        /// Key of the job.
        job: JobKey,
        /// Virtual time at which the request was sent.
        asked_at: Micros,
    },
    /// A cancel of a caller.
    Cancel {
        /// Index of the caller.
        caller: usize,
        /// Keys of the jobs to cancel.
        jobs: Vec<JobKey>,
    },
    /// A configuration, or changes to one, of an operator.
    Configure {
        /// Index of the operator.
        operator: usize,
    },
    /// A read of the current configuration by an operator.
    ReadVersion {
        /// Index of the operator.
        operator: usize,
    },
    /// A read of the configuration at one gateway, for the checker.
    ReadConfiguration {
        /// Name of the gateway's machine.
        daemon: String,
        /// Virtual time at which the request was sent.
        asked_at: Micros,
    },
}
