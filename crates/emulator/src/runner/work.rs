//! A run's make-believe work.

use super::Behaviour;
use rand::Rng;
use serde::Deserialize;
use types::{Milliseconds, Monotonic, Outcome, Resources, RunSpec};

/// Length of work whose payload gives none.
const DEFAULT_DURATION_MS: u64 = 100;
/// Draws are in thousandths.
const PER_THOUSAND: u32 = 1_000;

/// A run of the task that a payload names as the failing one takes so long.
const FAIL_TASK_AFTER_MS: u64 = 200;

/// What an emulated runner reads in a payload; other fields are left alone.
#[derive(Debug, Deserialize)]
#[serde(default)]
struct Payload {
    duration_ms: u64,
    fail: bool,
    /// Position of the task that fails soon, while the others of its step go on.
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

/// A run that is going.
#[derive(Debug)]
pub struct Work {
    started_at: Monotonic,
    resources: Resources,
    /// When and how it ends by itself; none if it is stalled.
    end: Option<(Monotonic, Outcome)>,
}

impl Work {
    /// Begins a run, and settles how it will end unless it is stopped.
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

    /// When it ends by itself.
    pub fn ends_at(&self) -> Option<Monotonic> {
        self.end.as_ref().map(|(at, _)| *at)
    }

    /// How it has ended by itself by now.
    pub fn outcome(&self, now: Monotonic) -> Option<Outcome> {
        self.end
            .as_ref()
            .filter(|(at, _)| now >= *at)
            .map(|(_, outcome)| outcome.clone())
    }

    /// How long it has been going.
    pub fn age(&self, now: Monotonic) -> Milliseconds {
        now.since(self.started_at)
    }

    /// What it holds.
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
