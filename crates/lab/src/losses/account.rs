//! What a job loses, and to what.
//!
//! A job that is done is worth 1. It keeps the part of its time, from the first
//! sending to its end in the record, in which a run of it worked that ended done.
//! The rest is lost, to whatever stood in the way at that moment: the product's own
//! decision stream says what.

use checker::{Event, Observation};
use scheduler::{DecisionKind, NotPlacedReason};
use simulation::{Outcome, TimedDecision};
use std::collections::{BTreeMap, BTreeSet};
use transport::DecisionEvent;
use types::{JobKey, JobState, Milliseconds, QueueName, RunId, TenantId};

/// What stood in the way of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The submit was not acknowledged: gateway, leader, log.
    Acceptance,
    /// The tenant was at its resource limit.
    #[serde(rename = "ceiling")]
    ResourceLimit,
    /// What was left of the resource limit is kept for more urgent work.
    #[serde(rename = "ceiling_kept")]
    UrgentHeadroom,
    /// The tenant was above its share.
    Share,
    /// No seat of a licence was free.
    Seat,
    /// No runner had room.
    #[serde(rename = "room")]
    Capacity,
    /// No runner with room carries the labels.
    Labels,
    /// The runners that could take it leave or are silent.
    RunnersAway,
    /// The only room was on a runner on probation.
    Probation,
    /// A runner was kept free for a larger task.
    #[serde(rename = "held")]
    ReservedForLargerTask,
    /// The leader did not know its runners yet.
    NewLeader,
    /// Nothing stood against it, or for a moment only: the draw, the log, the
    /// placement's interval.
    Draw,
    /// A run was reserved, and its start had not come to the runner.
    Order,
    /// Only runs were at work that did not end done.
    RepeatedWork,
    /// All runs had ended, and the record did not know it.
    Report,
}

/// One job that is done, and what it lost.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// The job.
    pub job: JobKey,
    /// Its queue.
    pub queue: QueueName,
    /// When it was first sent, on the observer's clock.
    pub sent: Milliseconds,
    /// What it lost to each cause, as parts of its worth of 1.
    pub lost: BTreeMap<Cause, f64>,
}

/// What was lost in one run of a plan.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Accounts {
    /// Jobs that are done.
    pub jobs: Vec<Account>,
    /// Jobs acknowledged that are not done: failed, cancelled or unfinished.
    pub not_done: usize,
}

/// A span of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Span {
    from: Milliseconds,
    to: Milliseconds,
}

impl Span {
    fn contains(&self, at: Milliseconds) -> bool {
        self.from <= at && at < self.to
    }
}

/// A run as it was seen.
#[derive(Debug, Clone, Copy, Default)]
struct SeenRun {
    placed: Option<Milliseconds>,
    started: Option<Milliseconds>,
    ended: Option<Milliseconds>,
    closed: Option<Milliseconds>,
    done: bool,
}

/// A job as it was seen.
#[derive(Debug, Clone, Default)]
struct SeenJob {
    sent: Option<Milliseconds>,
    acknowledged: Option<Milliseconds>,
    ended: Option<Milliseconds>,
    queue: Option<QueueName>,
    runs: BTreeSet<RunId>,
}

/// A shorter wait is that of the log and of the placement's interval. For a longer
/// one the last reason told for the list holds: a reason is told when it changes.
const UNEXPLAINED: Milliseconds = Milliseconds(100);

/// Reasons told for one tenant's work in one queue.
type Reasons = BTreeMap<(TenantId, QueueName), Vec<(Milliseconds, Option<Cause>)>>;

#[derive(Debug, Default)]
struct Seen {
    jobs: BTreeMap<JobKey, SeenJob>,
    runs: BTreeMap<RunId, SeenRun>,
    reasons: Reasons,
}

/// Accounts for all jobs of a run.
pub fn account(outcome: &Outcome) -> Accounts {
    let mut seen = Seen::default();
    for observation in &outcome.history {
        seen.observe(observation);
    }
    for decision in &outcome.decisions {
        seen.decided(decision);
    }
    let acknowledged = seen
        .jobs
        .iter()
        .filter(|(_, job)| job.acknowledged.is_some());
    let mut accounts = Accounts::default();
    for (key, job) in acknowledged {
        match seen.account_of(key, job) {
            Some(account) => accounts.jobs.push(account),
            None => accounts.not_done += 1,
        }
    }
    accounts
}

impl Seen {
    fn observe(&mut self, observation: &Observation) {
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
                let seen = self.runs.entry(*run).or_default();
                seen.ended.get_or_insert(at);
                seen.done = *outcome == types::Outcome::Done;
            }
            _ => {}
        }
    }

    fn decided(&mut self, decision: &TimedDecision) {
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

    /// None for a job that is not done, or that no decision names.
    fn account_of(&self, key: &JobKey, job: &SeenJob) -> Option<Account> {
        let queue = job.queue.clone()?;
        let span = Span {
            from: job.sent?,
            to: job.ended?,
        };
        let runs: Vec<SeenRun> = job
            .runs
            .iter()
            .filter_map(|run| self.runs.get(run))
            .copied()
            .collect();
        let reasons = self.reasons.get(&(key.tenant.clone(), queue.clone()));
        let moments = moments_of(span, job, &runs, reasons.map_or(&[], Vec::as_slice));
        let total = span.to.0.saturating_sub(span.from.0).max(1) as f64;
        let mut lost = BTreeMap::new();
        for pair in moments.windows(2) {
            let cause = cause_at(pair[0], job, &runs, reasons.map_or(&[], Vec::as_slice));
            if let Some(cause) = cause {
                let part = pair[1].0.saturating_sub(pair[0].0) as f64 / total;
                *lost.entry(cause).or_insert(0.0) += part;
            }
        }
        Some(Account {
            job: key.clone(),
            queue,
            sent: span.from,
            lost,
        })
    }
}

/// The moments within a job's time at which something changes, in order, with both
/// ends.
fn moments_of(
    span: Span,
    job: &SeenJob,
    runs: &[SeenRun],
    reasons: &[(Milliseconds, Option<Cause>)],
) -> Vec<Milliseconds> {
    let of_runs = runs
        .iter()
        .flat_map(|run| [run.placed, run.started, run.ended, run.closed]);
    let moments = of_runs.chain([job.acknowledged]).flatten();
    let explained = waits_from(job, runs).map(|from| from + UNEXPLAINED);
    let moments = moments.chain(explained);
    let moments = moments.chain(reasons.iter().map(|(at, _)| *at));
    let within: BTreeSet<Milliseconds> = moments
        .filter(|at| span.contains(*at))
        .chain([span.from, span.to])
        .collect();
    within.into_iter().collect()
}

/// Moments from which some task of a job may have waited.
fn waits_from(job: &SeenJob, runs: &[SeenRun]) -> impl Iterator<Item = Milliseconds> {
    let closed = runs.iter().filter_map(|run| run.closed);
    closed.chain(job.acknowledged)
}

/// What stands in the way of a job from this moment on; none while it gets on.
fn cause_at(
    at: Milliseconds,
    job: &SeenJob,
    runs: &[SeenRun],
    reasons: &[(Milliseconds, Option<Cause>)],
) -> Option<Cause> {
    let within = |from: Option<Milliseconds>, to: Option<Milliseconds>| {
        let to = to.unwrap_or(Milliseconds(u64::MAX));
        from.is_some_and(|from| Span { from, to }.contains(at))
    };
    let at_work = |run: &&SeenRun| within(run.started, run.ended);
    if runs.iter().filter(at_work).any(|run| run.done) {
        return None;
    }
    if job
        .acknowledged
        .is_none_or(|acknowledged| at < acknowledged)
    {
        return Some(Cause::Acceptance);
    }
    if runs.iter().any(|run| at_work(&run)) {
        return Some(Cause::RepeatedWork);
    }
    let ordered = |run: &SeenRun| within(run.placed, run.started.or(run.closed));
    if runs.iter().any(ordered) {
        return Some(Cause::Order);
    }
    if runs.iter().any(|run| within(run.ended, run.closed)) {
        return Some(Cause::Report);
    }
    let waits_from = waits_from(job, runs).filter(|from| *from <= at).max();
    if waits_from.is_none_or(|from| at < from + UNEXPLAINED) {
        return Some(Cause::Draw);
    }
    let known = reasons.partition_point(|(known, _)| *known <= at);
    let reason = known.checked_sub(1).and_then(|last| reasons[last].1);
    Some(reason.unwrap_or(Cause::Draw))
}

fn cause_of(reason: &NotPlacedReason) -> Option<Cause> {
    match reason {
        NotPlacedReason::TenantAtLimit => Some(Cause::ResourceLimit),
        NotPlacedReason::LimitReservedForUrgent => Some(Cause::UrgentHeadroom),
        NotPlacedReason::NoSeat => Some(Cause::Seat),
        NotPlacedReason::TenantAboveShare => Some(Cause::Share),
        NotPlacedReason::RunnersAway => Some(Cause::RunnersAway),
        NotPlacedReason::NoCapacity => Some(Cause::Capacity),
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
