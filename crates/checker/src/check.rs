//! Checks a history with every rule, and counts jobs and runs.
//!
//! Each module below checks one guarantee, or a few that belong together.

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

/// Times and margins of the guarantees.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Time after the acknowledgement of a submit from which every request for
    /// the job's state must find it.
    pub known_after: Milliseconds,
    /// Time after the acknowledgement of a cancel from which no run of the job
    /// may start.
    pub cancel_after: Milliseconds,
    /// Time after the start of draining from which no run may start on the
    /// runner.
    pub drain_after: Milliseconds,
    /// Time after the acknowledgement of a configuration from which every ready
    /// daemon must use it.
    pub configuration_after: Milliseconds,
    /// Time after the end of the last fault within which service must be
    /// available again.
    pub service_after: Milliseconds,
    /// Part of a resource limit by which a tenant may exceed it, in percent.
    #[serde(rename = "ceiling_margin_percent")]
    pub limit_margin_percent: u32,
    /// Time after the acknowledgement of a submit from which the job may be
    /// removed.
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

/// Kinds of violated guarantee.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// An acknowledged job was unknown later, or never reached a final state.
    LostJob,
    /// A job was read as failed, cancelled or done without an observed cause.
    FalseEnd,
    /// A job left its final state.
    Reopened,
    /// More runs of a task were open at once than its copies.
    OverlappingRuns,
    /// A task started again after it ended done.
    RepeatedTask,
    /// One run identifier started twice.
    DoubleStart,
    /// A run started before a step that its own depends on was done.
    StartBeforeDependency,
    /// A run started before the earliest start of its job.
    StartBeforeTime,
    /// A tenant's runs held more than its resource limit plus the margin.
    #[serde(rename = "ceiling_exceeded")]
    ResourceLimitExceeded,
    /// More runs used a licence at once than it has seats.
    SeatsExceeded,
    /// A member of a gang kept running while another member had no run.
    GangApart,
    /// A task ran again after more failures than allowed.
    RetriedPastAllowed,
    /// A run started too long after the cancel of its job was acknowledged.
    StartAfterCancel,
    /// A run started on a runner that was draining.
    StartOnDrainingRunner,
    /// A daemon did not use an acknowledged configuration in time.
    ConfigurationLate,
    /// A daemon returned to an older configuration.
    ConfigurationSlidBack,
    /// Two documents were acknowledged or read under one version.
    TwoWinners,
    /// A runner accepted an order of a superseded leader.
    StaleOrderAccepted,
    /// Service was not available again in time after the last fault.
    ServiceNotBack,
}

/// A violated guarantee and the observation that shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Guarantee that was violated.
    pub kind: ViolationKind,
    /// Time of the violation on the observer's clock.
    pub at: Milliseconds,
    /// Description of the observed facts, in one line.
    pub detail: String,
}

/// Violations in a history, and counts of its jobs and runs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Report {
    /// Violations of all rules, in order of time.
    pub violations: Vec<Violation>,
    /// Number of jobs of which a submit was acknowledged.
    pub acknowledged_jobs: u64,
    /// Number of jobs whose first final state was done.
    pub done_jobs: u64,
    /// Number of jobs whose first final state was failed.
    pub failed_jobs: u64,
    /// Number of jobs whose first final state was cancelled.
    pub cancelled_jobs: u64,
    /// Number of observed starts of runs.
    pub started_runs: u64,
    /// Number of starts of a task that had ended done on a runner that became
    /// unresponsive past its run lease, or stopped, before it could report the
    /// end. The guarantees allow such starts.
    pub repeated_unreported: u64,
    /// Number of starts past the allowed failures, after a failure that was
    /// unreported in the same way. The guarantees allow such starts.
    pub retried_unreported: u64,
}

/// Checks a complete history, whose observations are in order of time.
///
/// A request without a reply may or may not have taken effect; the rules allow
/// both.
pub fn check(history: &[Observation], limits: &Limits) -> Report {
    let mut rules = all_rules();
    let mut observed = ObservedCluster::default();
    let mut findings = Findings::default();
    let mut report = Report::default();
    for observation in history {
        for rule in &mut rules {
            rule.observe(observation, &observed, limits, &mut findings);
        }
        count_event(observation, &observed, &mut report);
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

fn count_event(observation: &Observation, observed: &ObservedCluster, report: &mut Report) {
    match &observation.event {
        Event::RunStarted { .. } => {
            report.started_runs += 1;
            let start = started::RunStart::from_observation(observation);
            let repeated = start.is_some_and(|start| start.repeats_unreported(observed));
            report.repeated_unreported += u64::from(repeated);
            let retried = start.is_some_and(|start| start.retries_unreported(observed));
            report.retried_unreported += u64::from(retried);
        }
        Event::SubmitAcknowledged { job } => {
            let acknowledged_at = observed.job(job).and_then(|facts| facts.acknowledged_at);
            report.acknowledged_jobs += u64::from(acknowledged_at.is_none());
        }
        Event::StateRead {
            job,
            state: ReadState::Known(state),
            ..
        } => {
            let is_first = observed
                .job(job)
                .is_none_or(|facts| facts.final_state.is_none());
            let counter = match state {
                JobState::Done => &mut report.done_jobs,
                JobState::Failed => &mut report.failed_jobs,
                JobState::Cancelled => &mut report.cancelled_jobs,
                JobState::Waiting | JobState::Running => return,
            };
            *counter += u64::from(is_first);
        }
        _ => {}
    }
}
