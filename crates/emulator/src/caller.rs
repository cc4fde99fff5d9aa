//! An emulated caller: sends a job until it is acknowledged or rejected for
//! good, asks for its state until it is final, and waits when told when to
//! come back.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use types::{JobKey, JobState, Milliseconds, Monotonic};

/// Minimum time without an answer after which a request is sent again.
const RESEND_AFTER: Milliseconds = Milliseconds(1_000);
/// Most that a draw adds to [`RESEND_AFTER`].
const RESEND_JITTER_MS: u64 = 1_000;
/// Most that a draw adds to a time to come back, beyond a quarter of it.
const RETRY_JITTER_MS: u64 = 50;
/// First wait between an acknowledgement and the question for the state.
const FIRST_POLL: Milliseconds = Milliseconds(200);
/// Longest wait between two questions for the state.
const MAX_POLL: Milliseconds = Milliseconds(2_000);

/// What the caller wants sent now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAction {
    /// Send, or send again, the submit.
    Submit(JobKey),
    /// Ask for the state.
    Ask(JobKey),
}

/// The answer that the caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The submit is acknowledged.
    Acknowledged,
    /// Rejected; come back after this time.
    RetryAfter(Milliseconds),
    /// Rejected for good.
    Rejected,
    /// The job's state.
    State(JobState),
    /// No such job.
    Unknown,
    /// No answer in time.
    TimedOut,
}

/// How far a job has come.
#[derive(Debug, Clone, Copy)]
enum Phase {
    Submitting,
    /// Acknowledged; the wait before the next question.
    Polling(Milliseconds),
}

#[derive(Debug)]
struct Followed {
    phase: Phase,
    next: Monotonic,
}

/// Follows all jobs of one caller from submit to their final state.
#[derive(Debug)]
pub struct Caller {
    random: ChaCha8Rng,
    jobs: BTreeMap<JobKey, Followed>,
    schedule: BTreeSet<(Monotonic, JobKey)>,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new(0)
    }
}

impl Caller {
    /// A caller without jobs.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            jobs: BTreeMap::new(),
            schedule: BTreeSet::new(),
        }
    }

    /// Begins to follow a job; one that is followed already stays as it is.
    pub fn follow(&mut self, job: JobKey, now: Monotonic) {
        if self.jobs.contains_key(&job) {
            return;
        }
        self.plan(job, Phase::Submitting, now);
    }

    /// What to send now. Each request is due again after a time-out, so an
    /// answer that never comes needs no call of [`Caller::answered`].
    pub fn actions(&mut self, now: Monotonic) -> Vec<CallerAction> {
        let mut actions = Vec::new();
        while let Some((at, _)) = self.schedule.first()
            && *at <= now
        {
            let Some((_, job)) = self.schedule.pop_first() else {
                break;
            };
            let Some(phase) = self.jobs.get(&job).map(|followed| followed.phase) else {
                continue;
            };
            actions.push(match phase {
                Phase::Submitting => CallerAction::Submit(job.clone()),
                Phase::Polling(_) => CallerAction::Ask(job.clone()),
            });
            let again = now + RESEND_AFTER + self.draw(RESEND_JITTER_MS);
            self.plan(job, phase, again);
        }
        actions
    }

    /// Takes an answer about a job. Answers that came late change nothing
    /// that a newer one has settled.
    pub fn answered(&mut self, job: &JobKey, answer: CallerAnswer, now: Monotonic) {
        let Some(phase) = self.jobs.get(job).map(|followed| followed.phase) else {
            return;
        };
        match (answer, phase) {
            (CallerAnswer::Rejected, _) => self.forget(job),
            (CallerAnswer::State(state), _) if state.is_final() => self.forget(job),
            (CallerAnswer::Acknowledged | CallerAnswer::State(_), Phase::Submitting) => {
                self.plan(job.clone(), Phase::Polling(FIRST_POLL), now + FIRST_POLL);
            }
            (CallerAnswer::Acknowledged, Phase::Polling(_)) => {}
            (CallerAnswer::State(_) | CallerAnswer::Unknown, Phase::Polling(wait)) => {
                let longer = Milliseconds(wait.0 * 3 / 2).min(MAX_POLL);
                self.plan(job.clone(), Phase::Polling(longer), now + longer);
            }
            (CallerAnswer::RetryAfter(wait), _) => {
                let jitter = self.draw(wait.0 / 4 + RETRY_JITTER_MS);
                self.plan(job.clone(), phase, now + wait + jitter);
            }
            (CallerAnswer::TimedOut, _) | (CallerAnswer::Unknown, Phase::Submitting) => {
                let again = now + self.draw(RETRY_JITTER_MS);
                self.plan(job.clone(), phase, again);
            }
        }
    }

    /// Jobs not final yet.
    pub fn unfinished(&self) -> usize {
        self.jobs.len()
    }

    /// When [`Caller::actions`] has something next.
    pub fn next_wakeup(&self) -> Option<Monotonic> {
        self.schedule.first().map(|(at, _)| *at)
    }

    fn draw(&mut self, most: u64) -> Milliseconds {
        Milliseconds(self.random.random_range(0..=most))
    }

    fn plan(&mut self, job: JobKey, phase: Phase, next: Monotonic) {
        let followed = Followed { phase, next };
        if let Some(before) = self.jobs.insert(job.clone(), followed) {
            self.schedule.remove(&(before.next, job.clone()));
        }
        self.schedule.insert((next, job));
    }

    fn forget(&mut self, job: &JobKey) {
        if let Some(followed) = self.jobs.remove(job) {
            self.schedule.remove(&(followed.next, job.clone()));
        }
    }
}
