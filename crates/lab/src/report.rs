//! What a trial showed, computed from its history alone.

use checker::{Event, Observation, ReadState, Report, ViolationKind};
use cypressdrum::output::Table;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use types::{JobKey, JobState, Milliseconds, TenantId, Term};

/// Digits of a histogram that count.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Shown where nothing was measured.
const NONE: &str = "-";

/// Queue wait: from a job's acknowledgement to its first start, nothing when
/// the start was seen first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// Jobs measured.
    pub jobs: u64,
    /// Half of them waited at most this long.
    pub p50: Milliseconds,
    /// All but one in a hundred waited at most this long.
    pub p99: Milliseconds,
}

/// What a trial showed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Summary {
    /// Jobs sent at least once.
    pub submitted: u64,
    /// Jobs acknowledged.
    pub acknowledged: u64,
    /// Jobs seen done.
    pub done: u64,
    /// Jobs seen failed.
    pub failed: u64,
    /// Runs or tasks that started twice.
    pub double_starts: u64,
    /// Acknowledged jobs that were lost or never ended.
    pub lost: u64,
    /// Broken promises of all kinds.
    pub broken: u64,
    /// Queue wait by tenant.
    pub waits: BTreeMap<TenantId, Wait>,
    /// From the kill of the leader to the first start ordered by a later one.
    pub first_start_after_kill: Option<Milliseconds>,
}

/// Computes the summary.
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

fn ended(history: &[Observation], wanted: JobState) -> u64 {
    let mut jobs = BTreeSet::new();
    for observation in history {
        if let Event::StateRead { job, state, .. } = &observation.event
            && *state == ReadState::Known(wanted)
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
    let measured = by_tenant.into_iter();
    measured
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

/// Time from the kill to the first start of a term above all seen before it:
/// an order of the dead leader that was still on its way does not count.
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
    /// The closing table.
    pub fn render(&self) -> String {
        let mut totals = Table::new(&["RESULT", ""]);
        let first_start = self.first_start_after_kill;
        let first_start = first_start.map_or(NONE.to_owned(), |time| time.to_string());
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
