//! Simulated work of a run.

use super::Behaviour;
use rand::Rng;
use serde::Deserialize;
use types::{Milliseconds, Monotonic, Outcome, Resources, RunSpec};

/// Duration of a run whose payload gives none.
const DEFAULT_DURATION_MS: u64 = 100;
/// Number of runs that the rate of [`Behaviour::Failing`] refers to.
const PER_THOUSAND: u32 = 1_000;

/// Maximum duration of a run of the task that `fail_task` names, in milliseconds.
const FAIL_TASK_AFTER_MS: u64 = 200;

/// Fields of a payload that an emulated runner reads; others are ignored.
#[derive(Debug, Deserialize)]
#[serde(default)]
struct Payload {
    duration_ms: u64,
    fail: bool,
    /// Position of the task that fails early while the others of its step continue.
    fail_task: Option<u32>,
}

impl Default for Payload {
    fn default() -> Self {
        Self {
            duration_ms: DEFAULT_DURATION_MS,
            fail: false,
            fail_task: None,
        }
    }
}

/// Active run with its planned end.
#[derive(Debug)]
pub struct Work {
    started_at: Monotonic,
    resources: Resources,
    /// Time and outcome of the planned end. `None` under [`Behaviour::Stuck`].
    end: Option<(Monotonic, Outcome)>,
}

impl Work {
    /// Starts a run, and plans its end for the case that it is not stopped.
    pub fn begin(
        run: &RunSpec,
        now: Monotonic,
        behaviour: Behaviour,
        random: &mut impl Rng,
    ) -> Self {
        Self {
            started_at: now,
            resources: run.resources,
            end: planned_end(run, now, behaviour, random),
        }
    }

    /// Returns the time of the planned end. `None` if the run never ends by itself.
    pub fn ends_at(&self) -> Option<Monotonic> {
        self.end.as_ref().map(|(at, _)| *at)
    }

    /// Returns the outcome if the planned end has been reached at `now`.
    pub fn outcome(&self, now: Monotonic) -> Option<Outcome> {
        self.end
            .as_ref()
            .filter(|(at, _)| now >= *at)
            .map(|(_, outcome)| outcome.clone())
    }

    /// Returns the time since the run started.
    pub fn age(&self, now: Monotonic) -> Milliseconds {
        now.since(self.started_at)
    }

    /// Returns the resources that the run occupies.
    pub fn resources(&self) -> Resources {
        self.resources
    }
}

fn planned_end(
    run: &RunSpec,
    now: Monotonic,
    behaviour: Behaviour,
    random: &mut impl Rng,
) -> Option<(Monotonic, Outcome)> {
    let payload = match read_payload(&run.payload) {
        Ok(payload) => payload,
        Err(problem) => return Some((now, Outcome::Failed(format!("payload: {problem}")))),
    };
    let mut duration = payload.duration_ms;
    let mut fails = payload.fail;
    if payload.fail_task == Some(run.task) {
        duration = duration.min(FAIL_TASK_AFTER_MS);
        fails = true;
    }
    match behaviour {
        Behaviour::Healthy => {}
        Behaviour::Failing { per_thousand } => {
            fails |= random.random_range(0..PER_THOUSAND) < per_thousand;
        }
        Behaviour::Slow { times } => duration = duration.saturating_mul(u64::from(times)),
        Behaviour::Stuck => return None,
    }
    if duration > run.time_limit.0 {
        let reason = format!("time limit of {} reached", run.time_limit);
        return Some((now + run.time_limit, Outcome::Failed(reason)));
    }
    let outcome = if fails {
        Outcome::Failed("the task failed".to_owned())
    } else {
        Outcome::Done
    };
    Some((now + Milliseconds(duration), outcome))
}

fn read_payload(text: &str) -> Result<Payload, serde_json::Error> {
    if text.trim().is_empty() {
        return Ok(Payload::default());
    }
    serde_json::from_str(text)
}
