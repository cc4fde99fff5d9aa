//! Lost credit of a job, attributed to causes.
//!
//! A job that is done has a credit of 1. Its time extends from the first submit
//! until its end is recorded. The job keeps the fraction of this time in which one
//! of its runs that ended as done was executing. The rest is lost, and each part of
//! it is attributed to the cause that delayed the job at that time, as given by the
//! scheduler's decision stream.

use checker::{Event, Observation};
use scheduler::{DecisionKind, NotPlacedReason};
use simulation::{Outcome, TimedDecision};
use std::collections::{BTreeMap, BTreeSet};
use transport::DecisionEvent;
use types::{JobKey, JobState, Milliseconds, QueueName, RunId, TenantId};

/// Cause that delayed a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The submit was not yet acknowledged, which takes gateway, leader and log.
    Acceptance,
    /// The tenant was at its resource limit.
    #[serde(rename = "ceiling")]
    ResourceLimit,
    /// The rest of the tenant's resource limit was reserved for more urgent work.
    #[serde(rename = "ceiling_kept")]
    UrgentHeadroom,
    /// The tenant used more than its share.
    Share,
    /// No seat of a licence was free.
    Seat,
    /// No runner had enough free capacity.
    #[serde(rename = "room")]
    Capacity,
    /// No runner with enough free capacity has the labels.
    Labels,
    /// The suitable runners were leaving or unresponsive.
    RunnersAway,
    /// Only a runner on probation had enough free capacity.
    Probation,
    /// The capacity was reserved for a larger task.
    #[serde(rename = "held")]
    ReservedForLargerTask,
    /// No runner of the pool had reported to the new leader yet.
    NewLeader,
    /// No decision explains the delay, or the wait was too short for one: the
    /// scheduler's draw, log latency or the placement interval.
    Draw,
    /// A run was reserved, but its start order had not reached the runner.
    Order,
    /// Only runs that did not end as done were executing.
    RepeatedWork,
    /// A run had ended, but its end was not yet recorded.
    Report,
}

/// Lost credit of one job that is done.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Key of the job.
    pub job: JobKey,
    /// Queue that the scheduler placed the job from.
    pub queue: QueueName,
    /// Time of the first submit, on the observer's clock.
    pub sent: Milliseconds,
    /// Lost credit by cause, each from 0 to 1.
    pub lost: BTreeMap<Cause, f64>,
}

/// Lost credit of all jobs in one simulation of a plan.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Accounts {
    /// Accounts of the jobs that are done.
    pub jobs: Vec<Account>,
    /// Number of acknowledged jobs that are not done: failed, cancelled or unfinished.
    pub not_done: usize,
}

/// Half-open time interval: `from` is included, `to` is not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TimeInterval {
    from: Milliseconds,
    to: Milliseconds,
}

impl TimeInterval {
    fn contains(&self, at: Milliseconds) -> bool {
        self.from <= at && at < self.to
    }
}

/// First observed time of each state of a run; `None` if not observed.
#[derive(Debug, Clone, Copy, Default)]
struct RunTimes {
    placed: Option<Milliseconds>,
    started: Option<Milliseconds>,
    ended: Option<Milliseconds>,
    closed: Option<Milliseconds>,
    done: bool,
}

/// First observed times of a job, with its queue and runs; `None` if not observed.
#[derive(Debug, Clone, Default)]
struct JobTimes {
    sent: Option<Milliseconds>,
    acknowledged: Option<Milliseconds>,
    ended: Option<Milliseconds>,
    queue: Option<QueueName>,
    runs: BTreeSet<RunId>,
}

/// Wait that is attributed to the log and the placement interval. A longer one is
/// attributed to the last reason reported for the tenant and queue, since a reason
/// is reported only when it changes.
const MIN_EXPLAINED_WAIT: Milliseconds = Milliseconds(100);

/// Reported reasons with their times, by tenant and queue.
type Reasons = BTreeMap<(TenantId, QueueName), Vec<(Milliseconds, Option<Cause>)>>;

/// Jobs, runs and reasons of one simulation, from its history and decisions.
#[derive(Debug, Default)]
struct Timeline {
    jobs: BTreeMap<JobKey, JobTimes>,
    runs: BTreeMap<RunId, RunTimes>,
    reasons: Reasons,
}

/// Computes the lost credit of all jobs of a simulation.
pub fn account(outcome: &Outcome) -> Accounts {
    let mut timeline = Timeline::default();
    for observation in &outcome.history {
        timeline.add_observation(observation);
    }
    for decision in &outcome.decisions {
        timeline.add_decision(decision);
    }
    let acknowledged = timeline
        .jobs
        .iter()
        .filter(|(_, job)| job.acknowledged.is_some());
    let mut accounts = Accounts::default();
    for (key, job) in acknowledged {
        match timeline.account_of(key, job) {
            Some(account) => accounts.jobs.push(account),
            None => accounts.not_done += 1,
        }
    }
    accounts
}

impl Timeline {
    fn add_observation(&mut self, observation: &Observation) {
        let at = observation.at;
        match &observation.event {
            Event::SubmitSent { job, .. } => {
                self.jobs
                    .entry(job.clone())
                    .or_default()
                    .sent
                    .get_or_insert(at);
            }
            Event::SubmitAcknowledged { job } => {
                let job = self.jobs.entry(job.clone()).or_default();
                job.acknowledged.get_or_insert(at);
            }
            Event::RunStarted { run, job, .. } => {
                self.runs.entry(*run).or_default().started.get_or_insert(at);
                self.jobs.entry(job.clone()).or_default().runs.insert(*run);
            }
            Event::RunEnded { run, outcome, .. } => {
                let times = self.runs.entry(*run).or_default();
                times.ended.get_or_insert(at);
                times.done = *outcome == types::Outcome::Done;
            }
            _ => {}
        }
    }

    fn add_decision(&mut self, decision: &TimedDecision) {
        let at = decision.at;
        let key = decision.entry.job.as_ref();
        match &decision.entry.event {
            DecisionEvent::Dispatch(decision) => {
                let list = (decision.tenant.clone(), decision.queue.clone());
                let reasons = self.reasons.entry(list).or_default();
                match &decision.kind {
                    DecisionKind::Placed { reservation, .. } => {
                        let run = self.runs.entry(reservation.run).or_default();
                        run.placed.get_or_insert(at);
                        if let Some(key) = key {
                            let job = self.jobs.entry(key.clone()).or_default();
                            job.queue = Some(decision.queue.clone());
                            job.runs.insert(reservation.run);
                        }
                    }
                    DecisionKind::NotPlaced { reason, .. } => {
                        reasons.push((at, cause_of(reason)));
                    }
                }
            }
            DecisionEvent::Closed { run, .. } => {
                self.runs.entry(*run).or_default().closed.get_or_insert(at);
            }
            DecisionEvent::JobEnded {
                state: JobState::Done,
                ..
            } => {
                if let Some(key) = key {
                    let job = self.jobs.entry(key.clone()).or_default();
                    job.ended.get_or_insert(at);
                }
            }
            DecisionEvent::Ordered { .. } | DecisionEvent::JobEnded { .. } => {}
        }
    }

    /// Returns the account of a job, or `None` if it is not done or no decision names
    /// it.
    fn account_of(&self, key: &JobKey, job: &JobTimes) -> Option<Account> {
        let queue = job.queue.clone()?;
        let interval = TimeInterval {
            from: job.sent?,
            to: job.ended?,
        };
        let runs: Vec<RunTimes> = job
            .runs
            .iter()
            .filter_map(|run| self.runs.get(run))
            .copied()
            .collect();
        let reasons = self.reasons.get(&(key.tenant.clone(), queue.clone()));
        let boundaries = boundaries_of(interval, job, &runs, reasons.map_or(&[], Vec::as_slice));
        let total = interval.to.0.saturating_sub(interval.from.0).max(1) as f64;
        let mut lost = BTreeMap::new();
        for pair in boundaries.windows(2) {
            let cause = cause_at(pair[0], job, &runs, reasons.map_or(&[], Vec::as_slice));
            if let Some(cause) = cause {
                let part = pair[1].0.saturating_sub(pair[0].0) as f64 / total;
                *lost.entry(cause).or_insert(0.0) += part;
            }
        }
        Some(Account {
            job: key.clone(),
            queue,
            sent: interval.from,
            lost,
        })
    }
}

/// Returns the sorted times within a job's time at which its cause of delay can
/// change, including the start and the end.
fn boundaries_of(
    interval: TimeInterval,
    job: &JobTimes,
    runs: &[RunTimes],
    reasons: &[(Milliseconds, Option<Cause>)],
) -> Vec<Milliseconds> {
    let of_runs = runs
        .iter()
        .flat_map(|run| [run.placed, run.started, run.ended, run.closed]);
    let times = of_runs.chain([job.acknowledged]).flatten();
    let explained = wait_starts(job, runs).map(|from| from + MIN_EXPLAINED_WAIT);
    let times = times.chain(explained);
    let times = times.chain(reasons.iter().map(|(at, _)| *at));
    let within: BTreeSet<Milliseconds> = times
        .filter(|at| interval.contains(*at))
        .chain([interval.from, interval.to])
        .collect();
    within.into_iter().collect()
}

/// Returns the times at which a task of a job may have started to wait.
fn wait_starts(job: &JobTimes, runs: &[RunTimes]) -> impl Iterator<Item = Milliseconds> {
    let closed = runs.iter().filter_map(|run| run.closed);
    closed.chain(job.acknowledged)
}

/// Returns the cause that delays a job from this time on, or `None` while a run
/// that ends as done is executing.
fn cause_at(
    at: Milliseconds,
    job: &JobTimes,
    runs: &[RunTimes],
    reasons: &[(Milliseconds, Option<Cause>)],
) -> Option<Cause> {
    let within = |from: Option<Milliseconds>, to: Option<Milliseconds>| {
        let to = to.unwrap_or(Milliseconds(u64::MAX));
        from.is_some_and(|from| TimeInterval { from, to }.contains(at))
    };
    let is_executing = |run: &&RunTimes| within(run.started, run.ended);
    if runs.iter().filter(is_executing).any(|run| run.done) {
        return None;
    }
    if job
        .acknowledged
        .is_none_or(|acknowledged| at < acknowledged)
    {
        return Some(Cause::Acceptance);
    }
    if runs.iter().any(|run| is_executing(&run)) {
        return Some(Cause::RepeatedWork);
    }
    let is_ordered = |run: &RunTimes| within(run.placed, run.started.or(run.closed));
    if runs.iter().any(is_ordered) {
        return Some(Cause::Order);
    }
    if runs.iter().any(|run| within(run.ended, run.closed)) {
        return Some(Cause::Report);
    }
    let wait_start = wait_starts(job, runs).filter(|from| *from <= at).max();
    if wait_start.is_none_or(|from| at < from + MIN_EXPLAINED_WAIT) {
        return Some(Cause::Draw);
    }
    let reported = reasons.partition_point(|(reported_at, _)| *reported_at <= at);
    let reason = reported.checked_sub(1).and_then(|last| reasons[last].1);
    Some(reason.unwrap_or(Cause::Draw))
}

/// Maps a reason of the scheduler to its cause, or to `None` if the reason has no
/// separate cause.
fn cause_of(reason: &NotPlacedReason) -> Option<Cause> {
    match reason {
        NotPlacedReason::TenantAtLimit => Some(Cause::ResourceLimit),
        NotPlacedReason::LimitReservedForUrgent => Some(Cause::UrgentHeadroom),
        NotPlacedReason::NoSeat => Some(Cause::Seat),
        NotPlacedReason::TenantAboveShare => Some(Cause::Share),
        NotPlacedReason::RunnersAway => Some(Cause::RunnersAway),
        NotPlacedReason::NoCapacity | NotPlacedReason::ReservedForUrgent { .. } => {
            Some(Cause::Capacity)
        }
        NotPlacedReason::NoRunnerWithLabels => Some(Cause::Labels),
        NotPlacedReason::RunnerOnProbation => Some(Cause::Probation),
        NotPlacedReason::ReservedForLargerTask { .. } => Some(Cause::ReservedForLargerTask),
        NotPlacedReason::NoRunnerKnown => Some(Cause::NewLeader),
        NotPlacedReason::BeforeItsTime { .. }
        | NotPlacedReason::WaitingForStep
        | NotPlacedReason::QueuePaused
        | NotPlacedReason::QueueShadow
        | NotPlacedReason::AlreadyRunning => None,
    }
}
