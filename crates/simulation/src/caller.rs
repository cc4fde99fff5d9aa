//! Caller hosts: emulated callers that send over gateways, ask for states, and
//! cancel when the plan says so.

use crate::ids::Micros;
use emulator::caller::Caller;
use emulator::workload::Workload;
use std::collections::BTreeMap;
use types::{JobKey, JobSpec};

/// How long a caller waits for an answer.
pub const CALLER_TIMEOUT_MS: u64 = 2_000;

/// A caller with its workload.
pub struct CallerHost {
    /// Its name in the history.
    pub name: String,
    /// Its policy.
    pub caller: Caller,
    /// Where its jobs come from.
    pub workload: Workload,
    /// Jobs sent, by key; final ones are dropped.
    pub jobs: BTreeMap<JobKey, JobSpec>,
    /// The gateway it uses now.
    pub gateway: usize,
    /// Arrivals at the ordinary load, in percent.
    pub load_percent: u32,
    /// Factor on its load.
    pub times: u32,
    /// Moment of the timer in the queue.
    pub timer: Option<Micros>,
}

impl CallerHost {
    /// Mean time between two new jobs.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the quotient is positive and at most 100 s"
    )]
    pub fn mean_gap(&self) -> Micros {
        let percent = f64::from(self.load_percent * self.times.max(1));
        let per_second = self.workload.jobs_per_second() * percent / 100.0;
        (1_000_000.0 / per_second.max(0.01)) as Micros
    }
}

/// Who waits for an HTTP answer, and for what.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Waiting {
    /// A caller's submit.
    Submit {
        /// The caller.
        caller: usize,
        /// The job.
        job: JobKey,
    },
    /// A caller's question.
    Ask {
        /// The caller.
        caller: usize,
        /// The job.
        job: JobKey,
        /// When it was sent.
        asked_at: Micros,
    },
    /// A caller's cancel.
    Cancel {
        /// The caller.
        caller: usize,
        /// The jobs.
        jobs: Vec<JobKey>,
    },
    /// An operator's configuration.
    Configure {
        /// The operator.
        operator: usize,
    },
    /// An operator's question for the version in force.
    ReadVersion {
        /// The operator.
        operator: usize,
    },
    /// The question what configuration a gateway has.
    ReadConfiguration {
        /// Its name.
        daemon: String,
        /// When it was sent.
        asked_at: Micros,
    },
}
