//! Campaigns: simulations of many seeds in parallel threads.

use crate::planner::{PlannerOptions, plan_from_seed};
use crate::run::{Outcome, run};
use crate::{Mutation, Plan};
use checker::ViolationKind;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Range of seeds to simulate, with the options of their plans.
#[derive(Debug, Clone)]
pub struct Campaign {
    /// First seed of the range.
    pub first_seed: u64,
    /// Number of consecutive seeds.
    pub seeds: u64,
    /// Number of threads; at least one is used.
    pub threads: usize,
    /// Limits for the plans.
    pub planner: PlannerOptions,
    /// Mechanism to disable in every simulation; `None` disables nothing.
    pub mutation: Option<Mutation>,
}

/// Result of one seed, without the history.
#[derive(Debug, Clone)]
pub struct SeedResult {
    /// Plan that was simulated.
    pub plan: Plan,
    /// The checker's report: violations and totals.
    pub report: checker::Report,
    /// Number of events handled.
    pub events: u64,
    /// Error that prevented the simulation; `None` if it took place.
    pub error: Option<String>,
}

impl SeedResult {
    /// Returns whether the simulation took place without a violation.
    pub fn is_good(&self) -> bool {
        self.error.is_none() && self.report.violations.is_empty()
    }

    /// Returns whether the simulation has a violation of this kind.
    pub fn breaks(&self, kind: ViolationKind) -> bool {
        let mut violations = self.report.violations.iter();
        violations.any(|violation| violation.kind == kind)
    }
}

/// Totals of a campaign.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    /// Number of seeds.
    pub seeds: u64,
    /// Number of events handled.
    pub events: u64,
    /// Number of acknowledged jobs.
    pub jobs: u64,
    /// Number of started runs of tasks.
    pub runs: u64,
    /// Number of runs that repeat a done task because its end could not be reported in
    /// time.
    pub repeated_unreported: u64,
    /// Number of runs beyond the allowed failures of a task because one of the failures
    /// could not be reported in time.
    pub retried_unreported: u64,
    /// Number of seeds whose simulation did not take place because of an error.
    pub not_run: u64,
    /// Number of seeds with a violation, by its kind.
    pub broken: BTreeMap<ViolationKind, u64>,
    /// Results of the seeds with a violation or an error, in the order of the seeds.
    pub failed: Vec<SeedResult>,
}

/// Runs a plan and returns its result without the history.
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

/// Runs all seeds of a campaign. Calls `progress` after each one, from any thread.
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
    /// Adds the result of a seed to the totals.
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
