//! Measurement of how far the coordinator's loop is behind, reported by metrics
//! and, when it is far behind, by its log: whose messages wait, how long, and what
//! takes the time.

use std::time::{Duration, Instant};
use transport::{Arrival, Inbox, Lane};
use types::Milliseconds;

/// The log says that the loop is behind when something waited this long.
const BEHIND_AFTER: Milliseconds = Milliseconds(250);
/// Shortest time between two such log lines.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// A delay counts as the loop's lag for one to two such windows.
const LAG_WINDOW: Duration = Duration::from_millis(500);

/// The recent lag of the loop: the longest wait of a message, delay of a timer or
/// step in this window and the one before.
#[derive(Debug)]
struct Lag {
    max: Duration,
    previous_max: Duration,
    window_at: Instant,
}

impl Lag {
    fn new() -> Self {
        Self {
            max: Duration::ZERO,
            previous_max: Duration::ZERO,
            window_at: Instant::now(),
        }
    }

    fn record(&mut self, late: Duration) {
        if self.window_at.elapsed() >= LAG_WINDOW {
            self.previous_max = self.max;
            self.max = Duration::ZERO;
            self.window_at = Instant::now();
        }
        self.max = self.max.max(late);
    }

    fn now(&self) -> Duration {
        self.max.max(self.previous_max)
    }
}

/// Figures of the loop since the last log line.
#[derive(Debug)]
pub(crate) struct Load {
    max_wait: Milliseconds,
    max_step: Duration,
    steps: u32,
    inputs: u32,
    line_at: Instant,
    lag: Lag,
}

/// Converts a duration to milliseconds, rounded down.
pub(crate) fn as_milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Load {
    /// Begins with no figures.
    pub(crate) fn new() -> Self {
        Self {
            max_wait: Milliseconds(0),
            max_step: Duration::ZERO,
            steps: 0,
            inputs: 0,
            line_at: Instant::now(),
            lag: Lag::new(),
        }
    }

    /// The recent lag of the loop.
    pub(crate) fn lag(&self) -> Milliseconds {
        Milliseconds(as_milliseconds(self.lag.now()))
    }

    /// Records a timer that fired so late.
    pub(crate) fn record_wakeup(&mut self, late: Duration) {
        self.lag.record(late);
    }

    /// Records a message that is taken now.
    pub(crate) fn record_arrival(&mut self, arrival: &Arrival, waited: Milliseconds) {
        metrics::histogram!("cypressdrum_inbox_wait_seconds", "lane" => arrival.lane.name())
            .record(waited.0 as f64 / 1_000.0);
        self.max_wait = self.max_wait.max(waited);
        self.lag.record(Duration::from_millis(waited.0));
    }

    /// Records a step of the core with so many inputs.
    pub(crate) fn record_step(&mut self, inputs: usize, took: Duration, inbox: &Inbox) {
        metrics::histogram!("cypressdrum_step_seconds").record(took.as_secs_f64());
        self.max_step = self.max_step.max(took);
        self.lag.record(took);
        self.steps += 1;
        self.inputs += u32::try_from(inputs).unwrap_or(u32::MAX);
        if self.line_at.elapsed() >= LINE_INTERVAL {
            self.report(inbox);
        }
    }

    fn report(&mut self, inbox: &Inbox) {
        if self.max_wait >= BEHIND_AFTER {
            tracing::warn!(
                max_wait_ms = self.max_wait.0,
                max_step_ms = as_milliseconds(self.max_step),
                steps = self.steps,
                inputs = self.inputs,
                liveness = inbox.waiting(Lane::Liveness),
                work = inbox.waiting(Lane::Work),
                requests = inbox.waiting(Lane::Requests),
                "core loop is behind"
            );
        }
        let lag = std::mem::replace(&mut self.lag, Lag::new());
        *self = Self { lag, ..Self::new() };
    }
}
