//! Guards against unintended changes of behaviour: fixed seeds must produce the recorded
//! totals, and the first one the recorded history to the byte. The totals are those of
//! `lab simulate --seeds 8 --first-seed 5000000 --load-percent 100 --output json`, the
//! history is the one that its `--history FILE` writes. A change that alters decisions,
//! messages or the format of the history on purpose updates the figures here and states
//! this in its commit.

use checker::write_history;
use sha2::{Digest, Sha256};
use simulation::{Campaign, FleetSize, PlannerOptions, Summary, plan_from_seed, run, run_campaign};

const FIRST_SEED: u64 = 5_000_000;
const SEEDS: u64 = 8;
const LOAD_PERCENT: u32 = 100;
/// Number of threads, which does not affect the totals.
const THREADS: usize = 4;

const EXPECTED_TOTALS: Totals = Totals {
    seeds: SEEDS,
    events: 1_756_449,
    jobs: 22_839,
    runs: 36_824,
    repeated_unreported: 14,
    retried_unreported: 0,
    not_run: 0,
    violated_guarantees: 0,
    failed_seeds: 0,
};

/// Observations in the history of the first seed. If only the digest differs, this number
/// and the number of bytes show whether observations are missing or have another format.
const EXPECTED_OBSERVATIONS: usize = 34_858;
const EXPECTED_BYTES: usize = 5_355_622;
const EXPECTED_SHA256: &str = "33f64d9d371136bfc0a8499bdfc7b0ddd70e1fe9b02fbc8f252ed693c41ffd10";

/// Figures of a campaign's summary. `violated_guarantees` counts each kind of
/// violation once per seed.
#[derive(Debug, PartialEq, Eq)]
struct Totals {
    seeds: u64,
    events: u64,
    jobs: u64,
    runs: u64,
    repeated_unreported: u64,
    retried_unreported: u64,
    not_run: u64,
    violated_guarantees: u64,
    failed_seeds: usize,
}

impl From<&Summary> for Totals {
    fn from(summary: &Summary) -> Self {
        Self {
            seeds: summary.seeds,
            events: summary.events,
            jobs: summary.jobs,
            runs: summary.runs,
            repeated_unreported: summary.repeated_unreported,
            retried_unreported: summary.retried_unreported,
            not_run: summary.not_run,
            violated_guarantees: summary.broken.values().sum(),
            failed_seeds: summary.failed.len(),
        }
    }
}

fn planner_options() -> PlannerOptions {
    PlannerOptions {
        fleet: FleetSize {
            load_percent: LOAD_PERCENT,
            ..FleetSize::default()
        },
        ..PlannerOptions::default()
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn seeds_produce_recorded_totals() {
    let campaign = Campaign {
        first_seed: FIRST_SEED,
        seeds: SEEDS,
        threads: THREADS,
        planner: planner_options(),
        mutation: None,
    };
    let summary = run_campaign(&campaign, |_| {});
    assert_eq!(Totals::from(&summary), EXPECTED_TOTALS);
}

#[test]
fn first_seed_produces_recorded_history_to_the_byte() {
    let plan = plan_from_seed(FIRST_SEED, &planner_options());
    let outcome = run(&plan).unwrap();
    let mut written = Vec::new();
    write_history(&mut written, &outcome.history).unwrap();
    assert_eq!(outcome.history.len(), EXPECTED_OBSERVATIONS);
    assert_eq!(written.len(), EXPECTED_BYTES);
    assert_eq!(hex(&Sha256::digest(&written)), EXPECTED_SHA256);
}
