//! Emulated caller.
//!
//! It submits each job until the job is acknowledged or finally rejected, then
//! polls its state until that is final. A rejection with a retry delay is
//! honoured.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use types::{JobKey, JobState, Milliseconds, Monotonic};

/// Minimum time without an answer before a request is sent again.
const RESEND_AFTER: Milliseconds = Milliseconds(1_000);
/// Maximum random time added to [`RESEND_AFTER`], in milliseconds.
const RESEND_JITTER_MS: u64 = 1_000;
/// Maximum random time added to a retry, in milliseconds. A retry delay given
/// by the server adds up to a quarter of its length on top.
const RETRY_JITTER_MS: u64 = 50;
/// Delay between an acknowledgement and the first poll of the state.
const FIRST_POLL: Milliseconds = Milliseconds(200);
/// Maximum delay between two polls of the state.
const MAX_POLL: Milliseconds = Milliseconds(2_000);

/// Request that the caller has to send now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAction {
    /// Submit the job, for the first time or again.
    Submit(JobKey),
    /// Poll the state of the job.
    Ask(JobKey),
}

/// Answer to a request of the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The submit is acknowledged.
    Acknowledged,
    /// The request is rejected and may be retried after this delay.
    RetryAfter(Milliseconds),
    /// The submit is rejected and must not be retried.
    Rejected,
    /// Current state of the job.
    State(JobState),
    /// The server has no such job.
    Unknown,
    /// The request timed out without an answer.
    TimedOut,
}

/// Progress of a job at the caller.
#[derive(Debug, Clone, Copy)]
enum Phase {
    Submitting,
    /// The submit is acknowledged. Holds the current poll interval.
    Polling(Milliseconds),
}

#[derive(Debug)]
struct TrackedJob {
    phase: Phase,
    next: Monotonic,
}

/// Follows all jobs of one caller from submit to their final state.
#[derive(Debug)]
pub struct Caller {
    random: ChaCha8Rng,
    jobs: BTreeMap<JobKey, TrackedJob>,
    schedule: BTreeSet<(Monotonic, JobKey)>,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new(0)
    }
}

impl Caller {
    /// Creates a caller without jobs. `seed` determines the jitter of resends.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            jobs: BTreeMap::new(),
            schedule: BTreeSet::new(),
        }
    }

    /// Starts to follow a job. Has no effect on a job that is already followed.
    pub fn follow(&mut self, job: JobKey, now: Monotonic) {
        if self.jobs.contains_key(&job) {
            return;
        }
        self.reschedule(job, Phase::Submitting, now);
    }

    /// Returns the requests that are due, and schedules each to be sent again
    /// after one to two seconds. A lost answer therefore needs no call of
    /// [`Caller::answered`].
    pub fn actions(&mut self, now: Monotonic) -> Vec<CallerAction> {
        let mut actions = Vec::new();
        while let Some((at, _)) = self.schedule.first()
            && *at <= now
        {
            let Some((_, job)) = self.schedule.pop_first() else {
                break;
            };
            let Some(phase) = self.jobs.get(&job).map(|tracked| tracked.phase) else {
                continue;
            };
            actions.push(match phase {
                Phase::Submitting => CallerAction::Submit(job.clone()),
                Phase::Polling(_) => CallerAction::Ask(job.clone()),
            });
            let resend_at = now + RESEND_AFTER + self.draw(RESEND_JITTER_MS);
            self.reschedule(job, phase, resend_at);
        }
        actions
    }

    /// Processes an answer about a job. It is ignored if the job is no longer
    /// followed, and a late answer never moves a job back to an earlier phase.
    pub fn answered(&mut self, job: &JobKey, answer: CallerAnswer, now: Monotonic) {
        let Some(phase) = self.jobs.get(job).map(|tracked| tracked.phase) else {
            return;
        };
        match (answer, phase) {
            (CallerAnswer::Rejected, _) => self.untrack(job),
            (CallerAnswer::State(state), _) if state.is_final() => self.untrack(job),
            (CallerAnswer::Acknowledged | CallerAnswer::State(_), Phase::Submitting) => {
                self.reschedule(job.clone(), Phase::Polling(FIRST_POLL), now + FIRST_POLL);
            }
            (CallerAnswer::Acknowledged, Phase::Polling(_)) => {}
            (CallerAnswer::State(_) | CallerAnswer::Unknown, Phase::Polling(wait)) => {
                let next_wait = Milliseconds(wait.0 * 3 / 2).min(MAX_POLL);
                self.reschedule(job.clone(), Phase::Polling(next_wait), now + next_wait);
            }
            (CallerAnswer::RetryAfter(wait), _) => {
                let jitter = self.draw(wait.0 / 4 + RETRY_JITTER_MS);
                self.reschedule(job.clone(), phase, now + wait + jitter);
            }
            (CallerAnswer::TimedOut, _) | (CallerAnswer::Unknown, Phase::Submitting) => {
                let retry_at = now + self.draw(RETRY_JITTER_MS);
                self.reschedule(job.clone(), phase, retry_at);
            }
        }
    }

    /// Returns the number of jobs that are not final yet.
    pub fn unfinished(&self) -> usize {
        self.jobs.len()
    }

    /// Returns when [`Caller::actions`] next has a request to send. `None` when no
    /// job is followed.
    pub fn next_wakeup(&self) -> Option<Monotonic> {
        self.schedule.first().map(|(at, _)| *at)
    }

    fn draw(&mut self, max_ms: u64) -> Milliseconds {
        Milliseconds(self.random.random_range(0..=max_ms))
    }

    fn reschedule(&mut self, job: JobKey, phase: Phase, next: Monotonic) {
        let tracked = TrackedJob { phase, next };
        if let Some(previous) = self.jobs.insert(job.clone(), tracked) {
            self.schedule.remove(&(previous.next, job.clone()));
        }
        self.schedule.insert((next, job));
    }

    fn untrack(&mut self, job: &JobKey) {
        if let Some(tracked) = self.jobs.remove(job) {
            self.schedule.remove(&(tracked.next, job.clone()));
        }
    }
}
