//! Report of a campaign, as text and as JSON.

use crate::LabError;
use checker::{Violation, ViolationKind};
use cypressdrum::output::Table;
use serde::Serialize;
use simulation::{Plan, SeedResult, Summary};
use std::collections::BTreeMap;

/// Maximum number of violations printed for one failing seed.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// Results of a campaign.
#[derive(Debug, Serialize)]
pub(super) struct CampaignReport {
    seeds: u64,
    not_run: u64,
    events: u64,
    jobs: u64,
    runs: u64,
    repeated_unreported: u64,
    retried_unreported: u64,
    broken: BTreeMap<ViolationKind, u64>,
    failed: Vec<FailedSeed>,
}

/// Seed with a violation, or whose plan could not be run.
#[derive(Debug, Serialize)]
pub(super) struct FailedSeed {
    seed: u64,
    repeat: String,
    error: Option<String>,
    violations: Vec<Violation>,
    smallest_plan: Option<String>,
}

impl FailedSeed {
    pub(super) fn new(result: &SeedResult, repeat: String, smallest: Option<Plan>) -> Self {
        Self {
            seed: result.plan.seed,
            repeat,
            error: result.error.clone(),
            violations: result.report.violations.clone(),
            smallest_plan: smallest.map(|plan| plan_text(&plan)),
        }
    }

    fn render(&self, text: &mut String) {
        text.push_str(&format!("\nseed {}:\n  {}\n", self.seed, self.repeat));
        if let Some(error) = &self.error {
            text.push_str(&format!("  not run: {error}\n"));
        }
        for found in self.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            text.push_str(&format!(
                "  {:?} at {}: {}\n",
                found.kind, found.at, found.detail
            ));
        }
        let more = self.violations.len().saturating_sub(MAX_PRINTED_VIOLATIONS);
        if more > 0 {
            text.push_str(&format!("  and {more} more\n"));
        }
        if let Some(plan) = &self.smallest_plan {
            text.push_str(&format!(
                "\n  smallest plan that still breaks it:\n\n{plan}"
            ));
        }
    }
}

fn plan_text(plan: &Plan) -> String {
    plan.to_text().unwrap_or_else(|error| error.to_string())
}

impl CampaignReport {
    pub(super) fn new(summary: &Summary, failed: Vec<FailedSeed>) -> Self {
        Self {
            seeds: summary.seeds,
            not_run: summary.not_run,
            events: summary.events,
            jobs: summary.jobs,
            runs: summary.runs,
            repeated_unreported: summary.repeated_unreported,
            retried_unreported: summary.retried_unreported,
            broken: summary.broken.clone(),
            failed,
        }
    }

    pub(super) fn to_json(&self) -> Result<String, LabError> {
        serde_json::to_string_pretty(self).map_err(|error| LabError::Output(error.to_string()))
    }

    pub(super) fn render(&self) -> String {
        let mut totals = Table::new(&["RESULT", ""]);
        for (name, value) in [
            ("seeds", self.seeds),
            ("seeds that could not be run", self.not_run),
            ("seeds with a broken promise", self.failed.len() as u64),
            ("events", self.events),
            ("jobs acknowledged", self.jobs),
            ("runs started", self.runs),
            ("runs repeated, end unreported", self.repeated_unreported),
            (
                "runs past the allowed failures, one unreported",
                self.retried_unreported,
            ),
        ] {
            totals.row([name.to_owned(), value.to_string()]);
        }
        let mut text = totals.render();
        for (kind, seeds) in &self.broken {
            text.push_str(&format!("\n{kind:?} broke in {seeds} seeds\n"));
        }
        for failed in &self.failed {
            failed.render(&mut text);
        }
        text
    }
}
