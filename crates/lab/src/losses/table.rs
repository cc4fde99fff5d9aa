//! Tables of lost credit over several seeds, by cause, queue, tenant and window.

use super::account::{Accounts, Cause};
use cypressdrum::output::Table;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Length of a window, in milliseconds of simulated time.
const WINDOW_MS: u64 = 2_000;
/// Maximum number of rows in the tables of tenants and windows.
const MAX_ROWS: usize = 6;

/// Lost credit under one policy, by seed.
#[derive(Debug, Clone, Serialize)]
pub struct Losses {
    /// Path of the policy's settings file, or `shipped` for the default policy.
    pub policy: String,
    /// One entry for each seed, in ascending order.
    pub seeds: Vec<SeedLosses>,
}

/// Lost credit under one seed. A job that is done has a credit of 1.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SeedLosses {
    /// Seed of the simulation.
    pub seed: u64,
    /// Number of jobs that are done.
    pub done: usize,
    /// Number of acknowledged jobs that are not done.
    pub not_done: usize,
    /// Lost credit by cause.
    pub causes: BTreeMap<Cause, f64>,
    /// Lost credit by queue.
    pub queues: BTreeMap<String, f64>,
    /// Lost credit by tenant.
    pub tenants: BTreeMap<String, f64>,
    /// Lost credit by the 2 s window of the job's first submit, numbered from 0.
    pub windows: BTreeMap<u64, f64>,
}

impl SeedLosses {
    /// Sums the accounts of one simulation.
    pub fn new(seed: u64, accounts: &Accounts) -> Self {
        let mut sums = Self {
            seed,
            done: accounts.jobs.len(),
            not_done: accounts.not_done,
            ..Self::default()
        };
        for job in &accounts.jobs {
            let lost: f64 = job.lost.values().sum();
            for (cause, part) in &job.lost {
                *sums.causes.entry(*cause).or_default() += part;
            }
            *sums.queues.entry(job.queue.to_string()).or_default() += lost;
            *sums.tenants.entry(job.job.tenant.to_string()).or_default() += lost;
            *sums.windows.entry(job.sent.0 / WINDOW_MS).or_default() += lost;
        }
        sums
    }

    /// Returns the total lost credit for each 100 jobs that are done.
    pub fn lost_per_hundred(&self) -> f64 {
        self.per_hundred(self.causes.values().sum())
    }

    fn per_hundred(&self, lost: f64) -> f64 {
        lost * 100.0 / self.done.max(1) as f64
    }
}

/// Returns the mean, and the difference between maximum and minimum.
fn mean_and_range(values: &[f64]) -> (f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let max = values.iter().copied().fold(f64::MIN, f64::max);
    let min = values.iter().copied().fold(f64::MAX, f64::min);
    (mean, if values.is_empty() { 0.0 } else { max - min })
}

/// Renders the tables of each policy; for several policies also a table that
/// compares them by seed.
pub fn render(all: &[Losses]) -> String {
    let mut text = String::new();
    for losses in all {
        text.push_str(&render_one(losses));
    }
    if all.len() > 1 {
        text.push_str(&render_comparison(all));
    }
    text
}

fn render_one(losses: &Losses) -> String {
    let seeds = &losses.seeds;
    let done: usize = seeds.iter().map(|seed| seed.done).sum();
    let not_done: usize = seeds.iter().map(|seed| seed.not_done).sum();
    let mut text = format!(
        "policy {}: {} seeds, {done} jobs done, {not_done} not done; lost for each 100 done\n\n",
        losses.policy,
        seeds.len()
    );
    let by = |heading: &str, rows: Vec<(String, f64, f64)>| {
        let mut table = Table::new(&[heading, "MEAN", "SPREAD"]);
        for (name, mean, range) in rows {
            table.row([name, format!("{mean:.2}"), format!("{range:.2}")]);
        }
        format!("{}\n", table.render())
    };
    text.push_str(&by(
        "CAUSE",
        rows(seeds, |seed| by_cause_name(&seed.causes), usize::MAX),
    ));
    text.push_str(&by(
        "QUEUE",
        rows(seeds, |seed| seed.queues.clone(), usize::MAX),
    ));
    text.push_str(&by(
        "TENANT",
        rows(seeds, |seed| seed.tenants.clone(), MAX_ROWS),
    ));
    let window = |seed: &SeedLosses| {
        let windows = seed.windows.iter();
        windows
            .map(|(window, lost)| (format!("from {:>3} s", window * WINDOW_MS / 1_000), *lost))
            .collect()
    };
    text.push_str(&by("WINDOW", rows(seeds, window, MAX_ROWS)));
    text
}

fn by_cause_name(causes: &BTreeMap<Cause, f64>) -> BTreeMap<String, f64> {
    let text = |cause: &Cause| {
        let value = serde_json::to_value(cause).unwrap_or_default();
        value.as_str().unwrap_or_default().to_owned()
    };
    causes
        .iter()
        .map(|(cause, lost)| (text(cause), *lost))
        .collect()
}

/// Returns name, mean and range over the seeds, sorted by descending mean. A name
/// that is missing under a seed counts as 0 there.
fn rows(
    seeds: &[SeedLosses],
    of: impl Fn(&SeedLosses) -> BTreeMap<String, f64>,
    max: usize,
) -> Vec<(String, f64, f64)> {
    let sums: Vec<BTreeMap<String, f64>> = seeds.iter().map(&of).collect();
    let names: BTreeSet<&String> = sums.iter().flat_map(BTreeMap::keys).collect();
    let mut rows: Vec<(String, f64, f64)> = names
        .into_iter()
        .map(|name| {
            let values: Vec<f64> = seeds
                .iter()
                .zip(&sums)
                .map(|(seed, sums)| seed.per_hundred(sums.get(name).copied().unwrap_or(0.0)))
                .collect();
            let (mean, range) = mean_and_range(&values);
            (name.clone(), mean, range)
        })
        .collect();
    rows.sort_by(|one, other| other.1.total_cmp(&one.1).then_with(|| one.0.cmp(&other.0)));
    rows.truncate(max);
    rows
}

fn render_comparison(all: &[Losses]) -> String {
    let mut headings = vec!["SEED"];
    headings.extend(all.iter().map(|losses| losses.policy.as_str()));
    let mut table = Table::new(&headings);
    let seeds = all.first().map_or(0, |losses| losses.seeds.len());
    for position in 0..seeds {
        let of = |losses: &Losses| losses.seeds.get(position).cloned().unwrap_or_default();
        let mut row = vec![of(&all[0]).seed.to_string()];
        let lost = all.iter().map(|losses| of(losses).lost_per_hundred());
        row.extend(lost.map(|lost| format!("{lost:.2}")));
        table.row(row);
    }
    format!("lost for each 100 done, seed by seed\n\n{}", table.render())
}
