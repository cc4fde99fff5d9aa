//! Measurement of the lag of the coordinator's event loop. Reported by metrics
//! and, if the lag is long, by a log line with the longest wait, the longest step
//! and the number of waiting messages per lane.

use std::time::{Duration, Instant};
use transport::{Arrival, Inbox, Lane};
use types::Milliseconds;

/// Longest wait of a message from which on the lag is logged.
const LOGGED_WAIT: Milliseconds = Milliseconds(250);
/// Time between two reports of the lag.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Length of a lag window. A delay counts for the rest of its window and the whole
/// next one.
const LAG_WINDOW: Duration = Duration::from_millis(500);

/// Recent lag of the loop: the longest message wait, timer delay or step in the
/// current and the previous window.
#[derive(Debug)]
struct Lag {
    max: Duration,
    previous_max: Duration,
    window_started_at: Instant,
}

impl Lag {
    fn new() -> Self {
        Self {
            max: Duration::ZERO,
            previous_max: Duration::ZERO,
            window_started_at: Instant::now(),
        }
    }

    fn record(&mut self, delay: Duration) {
        if self.window_started_at.elapsed() >= LAG_WINDOW {
            self.previous_max = self.max;
            self.max = Duration::ZERO;
            self.window_started_at = Instant::now();
        }
        self.max = self.max.max(delay);
    }

    fn recent_max(&self) -> Duration {
        self.max.max(self.previous_max)
    }
}

/// Measurements of the loop since the last report.
#[derive(Debug)]
pub(crate) struct Load {
    max_wait: Milliseconds,
    max_step: Duration,
    steps: u32,
    inputs: u32,
    reported_at: Instant,
    lag: Lag,
}

/// Converts a duration to milliseconds, rounded down.
pub(crate) fn as_milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Load {
    /// Creates an empty measurement.
    pub(crate) fn new() -> Self {
        Self {
            max_wait: Milliseconds(0),
            max_step: Duration::ZERO,
            steps: 0,
            inputs: 0,
            reported_at: Instant::now(),
            lag: Lag::new(),
        }
    }

    /// Returns the recent lag of the loop.
    pub(crate) fn lag(&self) -> Milliseconds {
        Milliseconds(as_milliseconds(self.lag.recent_max()))
    }

    /// Records the delay of a timer.
    pub(crate) fn record_wakeup(&mut self, delay: Duration) {
        self.lag.record(delay);
    }

    /// Records a message that is taken from the inbox, and its wait there.
    pub(crate) fn record_arrival(&mut self, arrival: &Arrival, waited: Milliseconds) {
        metrics::histogram!("cypressdrum_inbox_wait_seconds", "lane" => arrival.lane.name())
            .record(waited.0 as f64 / 1_000.0);
        self.max_wait = self.max_wait.max(waited);
        self.lag.record(Duration::from_millis(waited.0));
    }

    /// Records the duration and number of inputs of a step of the core. Reports the
    /// lag if a report is due.
    pub(crate) fn record_step(&mut self, inputs: usize, elapsed: Duration, inbox: &Inbox) {
        metrics::histogram!("cypressdrum_step_seconds").record(elapsed.as_secs_f64());
        self.max_step = self.max_step.max(elapsed);
        self.lag.record(elapsed);
        self.steps += 1;
        self.inputs += u32::try_from(inputs).unwrap_or(u32::MAX);
        if self.reported_at.elapsed() >= REPORT_INTERVAL {
            self.report(inbox);
        }
    }

    fn report(&mut self, inbox: &Inbox) {
        if self.max_wait >= LOGGED_WAIT {
            tracing::warn!(
                max_wait_ms = self.max_wait.0,
                max_step_ms = as_milliseconds(self.max_step),
                steps = self.steps,
                inputs = self.inputs,
                liveness = inbox.queued(Lane::Liveness),
                work = inbox.queued(Lane::Work),
                requests = inbox.queued(Lane::Requests),
                "core loop is behind"
            );
        }
        let lag = std::mem::replace(&mut self.lag, Lag::new());
        *self = Self { lag, ..Self::new() };
    }
}
