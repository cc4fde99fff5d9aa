//! Summary of a trial, computed from its history and the checker's report.

use checker::{Event, Observation, ReadState, Report, ViolationKind};
use cypressdrum::output::Table;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use types::{JobKey, JobState, Milliseconds, TenantId, Term};

/// Significant decimal digits of the histograms of queue waits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Printed for a value that is absent.
const ABSENT: &str = "-";

/// Queue wait of one tenant's jobs: from the acknowledgement of a job to its first
/// start, 0 if the start was observed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// Number of jobs that were acknowledged and started.
    pub jobs: u64,
    /// Median.
    pub p50: Milliseconds,
    /// 99th percentile.
    pub p99: Milliseconds,
}

/// Results of a trial.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Summary {
    /// Number of jobs submitted; retries of a submit are not counted.
    pub submitted: u64,
    /// Number of jobs acknowledged.
    pub acknowledged: u64,
    /// Number of jobs read as done.
    pub done: u64,
    /// Number of jobs read as failed.
    pub failed: u64,
    /// Violations in which a run or a task started twice, or its runs overlapped.
    pub double_starts: u64,
    /// Violations in which an acknowledged job was lost or never ended.
    pub lost: u64,
    /// Violations of all kinds.
    pub broken: u64,
    /// Queue waits by tenant; tenants without a started job are absent.
    pub waits: BTreeMap<TenantId, Wait>,
    /// Time from the kill of the leader to the first start under a later leader;
    /// `None` without a kill or without such a start.
    pub first_start_after_kill: Option<Milliseconds>,
}

/// Computes the summary of a trial. `killed_at` is the time of the leader's kill, if
/// there was one.
pub fn summarise(
    history: &[Observation],
    report: &Report,
    killed_at: Option<Milliseconds>,
) -> Summary {
    Summary {
        submitted: submitted(history),
        acknowledged: report.acknowledged_jobs,
        done: ended(history, JobState::Done),
        failed: ended(history, JobState::Failed),
        double_starts: count(
            report,
            &[
                ViolationKind::DoubleStart,
                ViolationKind::OverlappingRuns,
                ViolationKind::RepeatedTask,
            ],
        ),
        lost: count(report, &[ViolationKind::LostJob]),
        broken: report.violations.len() as u64,
        waits: waits(history),
        first_start_after_kill: killed_at.and_then(|at| first_start_after(history, at)),
    }
}

fn count(report: &Report, kinds: &[ViolationKind]) -> u64 {
    let found = report.violations.iter();
    found.filter(|found| kinds.contains(&found.kind)).count() as u64
}

fn submitted(history: &[Observation]) -> u64 {
    let mut jobs = BTreeSet::new();
    for observation in history {
        if let Event::SubmitSent { job, .. } = &observation.event {
            jobs.insert(job);
        }
    }
    jobs.len() as u64
}

fn ended(history: &[Observation], final_state: JobState) -> u64 {
    let mut jobs = BTreeSet::new();
    for observation in history {
        if let Event::StateRead { job, state, .. } = &observation.event
            && *state == ReadState::Known(final_state)
        {
            jobs.insert(job);
        }
    }
    jobs.len() as u64
}

fn first_times<'a>(
    history: &'a [Observation],
    job_of: impl Fn(&'a Event) -> Option<&'a JobKey>,
) -> BTreeMap<&'a JobKey, Milliseconds> {
    let mut times = BTreeMap::new();
    for observation in history {
        if let Some(job) = job_of(&observation.event) {
            times.entry(job).or_insert(observation.at);
        }
    }
    times
}

fn waits(history: &[Observation]) -> BTreeMap<TenantId, Wait> {
    let acknowledged = first_times(history, |event| match event {
        Event::SubmitAcknowledged { job } => Some(job),
        _ => None,
    });
    let started = first_times(history, |event| match event {
        Event::RunStarted { job, .. } => Some(job),
        _ => None,
    });
    let mut by_tenant: BTreeMap<TenantId, Vec<u64>> = BTreeMap::new();
    for (job, acknowledged_at) in acknowledged {
        if let Some(started_at) = started.get(job) {
            let wait = started_at.0.saturating_sub(acknowledged_at.0);
            by_tenant.entry(job.tenant.clone()).or_default().push(wait);
        }
    }
    let by_tenant = by_tenant.into_iter();
    by_tenant
        .filter_map(|(tenant, waits)| Some((tenant, wait_of(&waits)?)))
        .collect()
}

fn wait_of(waits: &[u64]) -> Option<Wait> {
    let mut histogram = Histogram::<u64>::new(SIGNIFICANT_DIGITS).ok()?;
    for wait in waits {
        histogram.record(*wait).ok()?;
    }
    Some(Wait {
        jobs: histogram.len(),
        p50: Milliseconds(histogram.value_at_quantile(0.50)),
        p99: Milliseconds(histogram.value_at_quantile(0.99)),
    })
}

/// Returns the time from the kill to the first start in a term higher than every
/// term before it. Orders of the killed leader that arrive late do not count.
fn first_start_after(history: &[Observation], killed_at: Milliseconds) -> Option<Milliseconds> {
    let mut highest_before = Term::default();
    for observation in history {
        let Event::RunStarted { run, .. } = &observation.event else {
            continue;
        };
        if observation.at <= killed_at {
            highest_before = highest_before.max(run.term);
        } else if run.term > highest_before {
            return Some(Milliseconds(observation.at.0 - killed_at.0));
        }
    }
    None
}

impl Summary {
    /// Renders the totals and the queue waits as tables.
    pub fn render(&self) -> String {
        let mut totals = Table::new(&["RESULT", ""]);
        let first_start = self.first_start_after_kill;
        let first_start = first_start.map_or(ABSENT.to_owned(), |time| time.to_string());
        for (name, value) in [
            ("jobs submitted", self.submitted.to_string()),
            ("jobs acknowledged", self.acknowledged.to_string()),
            ("jobs done", self.done.to_string()),
            ("jobs failed", self.failed.to_string()),
            ("double starts", self.double_starts.to_string()),
            ("jobs lost", self.lost.to_string()),
            ("first start after the kill", first_start),
            ("broken promises", self.broken.to_string()),
        ] {
            totals.row([name.to_owned(), value]);
        }
        let mut waits = Table::new(&["TENANT", "JOBS", "WAIT P50", "WAIT P99"]);
        for (tenant, wait) in &self.waits {
            waits.row([
                tenant.to_string(),
                wait.jobs.to_string(),
                wait.p50.to_string(),
                wait.p99.to_string(),
            ]);
        }
        format!("{}\n{}", totals.render(), waits.render())
    }
}
