//! The rules.

mod cancel;
mod configuration;
mod dependency;
mod drain;
mod end;
mod facts;
mod gang;
mod lost;
mod observed;
mod order;
mod reopened;
mod repeat;
mod resource_limit;
mod retry;
mod rule;
mod seats;
mod service;
mod start_time;
mod started;

use crate::{Event, Observation, ReadState};
use observed::ObservedCluster;
use rule::{Findings, Rule};
use serde::{Deserialize, Serialize};
use types::{JobState, Milliseconds};

/// Times and margins of the promises, from the brief.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// An acknowledged job is known to everyone after this.
    pub known_after: Milliseconds,
    /// No new start of a cancelled job after this.
    pub cancel_after: Milliseconds,
    /// No new start on a leaving runner after this.
    pub drain_after: Milliseconds,
    /// An acknowledged configuration holds everywhere after this.
    pub configuration_after: Milliseconds,
    /// Service is back this long after the last fault healed.
    pub service_after: Milliseconds,
    /// A resource limit may be exceeded by this part, in percent.
    #[serde(rename = "ceiling_margin_percent")]
    pub limit_margin_percent: u32,
    /// An acknowledged job may be forgotten this long after it was taken.
    pub retention: Milliseconds,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            known_after: Milliseconds(3_000),
            cancel_after: Milliseconds(3_000),
            drain_after: Milliseconds(2_000),
            configuration_after: Milliseconds(2_000),
            service_after: Milliseconds(12_000),
            limit_margin_percent: 5,
            retention: Milliseconds::from_seconds(3_600),
        }
    }
}

/// Kinds of broken promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// An acknowledged job was unknown later, or never finished.
    LostJob,
    /// A job was marked failed, cancelled or done without cause.
    FalseEnd,
    /// A final state changed.
    Reopened,
    /// Two runs of a task at once beyond its copies.
    OverlappingRuns,
    /// A task started again after it ended done.
    RepeatedTask,
    /// One run identifier started twice.
    DoubleStart,
    /// A start before a step it depends on was done.
    StartBeforeDependency,
    /// A start before the job's time.
    StartBeforeTime,
    /// A tenant held more than its resource limit and margin.
    #[serde(rename = "ceiling_exceeded")]
    ResourceLimitExceeded,
    /// More runs took a seat of a licence than it has.
    SeatsExceeded,
    /// A member of a gang went on while another one had not started.
    GangApart,
    /// A task was run again past its allowed failures.
    RetriedPastAllowed,
    /// A start after the cancel should have held.
    StartAfterCancel,
    /// A start on a runner that was leaving.
    StartOnDrainingRunner,
    /// A configuration was not in force in time.
    ConfigurationLate,
    /// A daemon went back to an older configuration.
    ConfigurationSlidBack,
    /// Two documents were acknowledged under one version.
    TwoWinners,
    /// An order of a superseded leader was accepted.
    StaleOrderAccepted,
    /// Service was not back in time.
    ServiceNotBack,
}

/// A broken promise, with what shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Which promise.
    pub kind: ViolationKind,
    /// When it broke.
    pub at: Milliseconds,
    /// What was seen, in one sentence.
    pub detail: String,
}

/// The checker's findings and counts.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Report {
    /// Broken promises in order of time.
    pub violations: Vec<Violation>,
    /// Jobs acknowledged.
    pub acknowledged_jobs: u64,
    /// Jobs seen done.
    pub done_jobs: u64,
    /// Jobs seen failed.
    pub failed_jobs: u64,
    /// Jobs seen cancelled.
    pub cancelled_jobs: u64,
    /// Runs started.
    pub started_runs: u64,
    /// Of those, runs of a task that had ended done on a runner that fell
    /// unresponsive past its run lease, or died, before it could report it.
    pub repeated_unreported: u64,
    /// Of those, runs past the allowed failures, after a failure that was
    /// unreported in the same way.
    pub retried_unreported: u64,
}

/// Checks a whole history, in order of time. What was asked and not answered
/// may or may not have been taken; the rules allow for both.
pub fn check(history: &[Observation], limits: &Limits) -> Report {
    let mut rules = all_rules();
    let mut observed = ObservedCluster::default();
    let mut findings = Findings::default();
    let mut report = Report::default();
    for observation in history {
        for rule in &mut rules {
            rule.observe(observation, &observed, limits, &mut findings);
        }
        count(observation, &observed, &mut report);
        observed.observe(observation);
    }
    report.violations = findings.into_violations();
    report
}

fn all_rules() -> Vec<Box<dyn Rule>> {
    vec![
        Box::new(lost::LostJob),
        Box::new(end::FalseEnd),
        Box::new(reopened::Reopened::default()),
        Box::new(repeat::OverlappingRuns::default()),
        Box::new(repeat::RepeatedTask),
        Box::new(repeat::DoubleStart::default()),
        Box::new(dependency::StartBeforeDependency),
        Box::new(start_time::StartBeforeTime),
        Box::new(resource_limit::ResourceLimitExceeded::default()),
        Box::new(seats::SeatsExceeded::default()),
        Box::new(retry::RetriedPastAllowed),
        Box::new(gang::GangApart::default()),
        Box::new(cancel::StartAfterCancel),
        Box::new(drain::StartOnDrainingRunner::default()),
        Box::new(configuration::ConfigurationLate::default()),
        Box::new(configuration::ConfigurationSlidBack::default()),
        Box::new(configuration::TwoWinners::default()),
        Box::new(order::StaleOrderAccepted::default()),
        Box::new(service::ServiceNotBack::default()),
    ]
}

fn count(observation: &Observation, observed: &ObservedCluster, report: &mut Report) {
    match &observation.event {
        Event::RunStarted { .. } => {
            report.started_runs += 1;
            let start = started::Started::of(observation);
            let repeated = start.is_some_and(|start| start.repeats_unreported(observed));
            report.repeated_unreported += u64::from(repeated);
            let retried = start.is_some_and(|start| start.retries_unreported(observed));
            report.retried_unreported += u64::from(retried);
        }
        Event::SubmitAcknowledged { job } => {
            let known = observed.job(job).and_then(|facts| facts.acknowledged_at);
            report.acknowledged_jobs += u64::from(known.is_none());
        }
        Event::StateRead {
            job,
            state: ReadState::Known(state),
            ..
        } => {
            let first = observed
                .job(job)
                .is_none_or(|facts| facts.final_state.is_none());
            let counter = match state {
                JobState::Done => &mut report.done_jobs,
                JobState::Failed => &mut report.failed_jobs,
                JobState::Cancelled => &mut report.cancelled_jobs,
                JobState::Waiting | JobState::Running => return,
            };
            *counter += u64::from(first);
        }
        _ => {}
    }
}
