//! A stand-in caller: sends a job until it is acknowledged or refused for
//! good, asks for its state until it is final, and waits when told when to
//! come back.

use types::{JobKey, JobState, Milliseconds, Monotonic};

/// What the caller wants sent now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAction {
    /// Send, or send again, the submit.
    Submit(JobKey),
    /// Ask for the state.
    Ask(JobKey),
}

/// What the caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The submit is acknowledged.
    Acknowledged,
    /// Refused; come back after this time.
    RetryAfter(Milliseconds),
    /// Refused for good.
    Refused,
    /// The job's state.
    State(JobState),
    /// No such job.
    Unknown,
    /// No answer in time.
    Silence,
}

/// Follows all jobs of one caller from submit to their final state.
#[derive(Debug, Default)]
pub struct Caller {}

impl Caller {
    /// A caller without jobs.
    pub fn new(seed: u64) -> Self {
        let _ = seed;
        Self {}
    }

    /// Begins to follow a job.
    pub fn follow(&mut self, job: JobKey, now: Monotonic) {
        let _ = (job, now);
        todo!()
    }

    /// What to send now.
    pub fn actions(&mut self, now: Monotonic) -> Vec<CallerAction> {
        let _ = now;
        todo!()
    }

    /// Takes an answer about a job.
    pub fn answered(&mut self, job: &JobKey, answer: CallerAnswer, now: Monotonic) {
        let _ = (job, answer, now);
        todo!()
    }

    /// Jobs not final yet.
    pub fn unfinished(&self) -> usize {
        todo!()
    }

    /// When [`Caller::actions`] has something next.
    pub fn next_wakeup(&self) -> Option<Monotonic> {
        todo!()
    }
}
