//! Many seeds, side by side on the machine's cores.

use crate::planner::{PlannerOptions, plan_from_seed};
use crate::run::{Outcome, run};
use crate::{Mutation, Plan};
use checker::ViolationKind;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Which seeds to run, and how.
#[derive(Debug, Clone)]
pub struct Campaign {
    /// The first seed.
    pub first_seed: u64,
    /// How many, one after the other.
    pub seeds: u64,
    /// Threads to run them on.
    pub threads: usize,
    /// What the planner may draw.
    pub planner: PlannerOptions,
    /// A mechanism turned off in every run.
    pub mutation: Option<Mutation>,
}

/// What one seed gave, in short.
#[derive(Debug, Clone)]
pub struct SeedResult {
    /// The plan.
    pub plan: Plan,
    /// Jobs acknowledged, done, failed and cancelled, and runs started.
    pub report: checker::Report,
    /// Events handled.
    pub events: u64,
    /// Why the run could not be made, if so.
    pub error: Option<String>,
}

impl SeedResult {
    /// Returns whether no promise broke.
    pub fn is_good(&self) -> bool {
        self.error.is_none() && self.report.violations.is_empty()
    }

    /// Returns whether a promise of this kind broke.
    pub fn breaks(&self, kind: ViolationKind) -> bool {
        let mut violations = self.report.violations.iter();
        violations.any(|violation| violation.kind == kind)
    }
}

/// What a campaign gave.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    /// Seeds run.
    pub seeds: u64,
    /// Events handled over all.
    pub events: u64,
    /// Jobs acknowledged over all.
    pub jobs: u64,
    /// Runs started over all.
    pub runs: u64,
    /// Of those, runs of a task whose done end could not be reported in time.
    pub repeated_unreported: u64,
    /// Of those, runs past the allowed failures, one of which could not be
    /// reported in time.
    pub retried_unreported: u64,
    /// Seeds whose run could not be made at all.
    pub not_run: u64,
    /// Seeds in which each kind of promise broke.
    pub broken: BTreeMap<ViolationKind, u64>,
    /// Seeds in which some promise broke, in order.
    pub failed: Vec<SeedResult>,
}

/// Runs one plan and keeps what a campaign needs.
pub fn run_plan(plan: &Plan) -> SeedResult {
    match run(plan) {
        Ok(Outcome { report, events, .. }) => SeedResult {
            plan: plan.clone(),
            report,
            events,
            error: None,
        },
        Err(error) => SeedResult {
            plan: plan.clone(),
            report: checker::Report::default(),
            events: 0,
            error: Some(error.to_string()),
        },
    }
}

/// Runs all seeds; `progress` is called after each, from any thread.
pub fn run_campaign(campaign: &Campaign, progress: impl Fn(&SeedResult) + Sync) -> Summary {
    let next = AtomicU64::new(0);
    let summary = Mutex::new(Summary::default());
    std::thread::scope(|scope| {
        for _ in 0..campaign.threads.max(1) {
            scope.spawn(|| {
                loop {
                    let position = next.fetch_add(1, Ordering::Relaxed);
                    if position >= campaign.seeds {
                        return;
                    }
                    let seed = campaign.first_seed + position;
                    let mut plan = plan_from_seed(seed, &campaign.planner);
                    plan.mutation = campaign.mutation;
                    let result = run_plan(&plan);
                    progress(&result);
                    let mut summary = summary.lock().unwrap_or_else(PoisonError::into_inner);
                    summary.add(result);
                }
            });
        }
    });
    let mut summary = summary.into_inner().unwrap_or_else(PoisonError::into_inner);
    summary.failed.sort_by_key(|result| result.plan.seed);
    summary
}

impl Summary {
    /// Adds what one seed gave.
    pub fn add(&mut self, result: SeedResult) {
        self.seeds += 1;
        self.events += result.events;
        self.jobs += result.report.acknowledged_jobs;
        self.runs += result.report.started_runs;
        self.repeated_unreported += result.report.repeated_unreported;
        self.retried_unreported += result.report.retried_unreported;
        self.not_run += u64::from(result.error.is_some());
        let mut kinds: Vec<ViolationKind> = result
            .report
            .violations
            .iter()
            .map(|violation| violation.kind)
            .collect();
        kinds.sort_unstable();
        kinds.dedup();
        for kind in kinds {
            *self.broken.entry(kind).or_default() += 1;
        }
        if !result.is_good() {
            self.failed.push(result);
        }
    }
}
