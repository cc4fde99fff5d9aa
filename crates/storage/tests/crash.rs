//! Random batches against a model, with power losses and disk failures at any
//! point. Guards against the loss of a batch that [`Store::write`] acknowledged.
#![allow(clippy::unwrap_used)]

mod common;

use common::{SMALL_SEGMENTS, SharedDisk, apply, disk_with_identity, entry, hard_state, snapshot};
use consensus::Recovered;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use storage::{Batch, StorageError, Store};

#[derive(Debug, Clone)]
enum Step {
    /// Batch with a hard state.
    Vote,
    /// Batch with `count` entries, of which `back` overwrite the end of the log;
    /// with a hard state if `vote` is set.
    Append { back: u64, count: u64, vote: bool },
    /// Batch with an own snapshot that leaves the last `back` entries in the log.
    Compact { back: u64 },
    /// Batch with a received snapshot that is ahead of the log, and `count`
    /// entries after it.
    Install { ahead: u64, count: u64 },
    /// Makes all disk changes fail after `changes` more have succeeded.
    FailAfter { changes: u64 },
    /// Power loss with random outcome, and reopen.
    Crash { seed: u64 },
}

fn any_steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        2 => Just(Step::Vote),
        6 => (0..4u64, 1..4u64, any::<bool>())
            .prop_map(|(back, count, vote)| Step::Append { back, count, vote }),
        2 => (0..5u64).prop_map(|back| Step::Compact { back }),
        1 => (0..5u64, 0..3u64).prop_map(|(ahead, count)| Step::Install { ahead, count }),
        2 => (0..12u64).prop_map(|changes| Step::FailAfter { changes }),
        2 => any::<u64>().prop_map(|seed| Step::Crash { seed }),
    ];
    prop::collection::vec(step, 1..40)
}

fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Applies steps to a store and to the model, and compares them after crashes.
struct ModelCheck {
    disk: SharedDisk,
    store: Store<SharedDisk>,
    /// State after the acknowledged batches.
    acknowledged: Recovered,
    /// State that includes the batch whose write failed, which may have become
    /// durable. `None` if no write failed since the last open.
    after_failed_write: Option<Recovered>,
    term: u64,
    /// Whether disk changes fail, now or after some more of them.
    has_injected_failure: bool,
}

impl ModelCheck {
    fn new(disk: SharedDisk) -> Self {
        let opened = Store::open_with(disk.clone(), SMALL_SEGMENTS).unwrap();
        Self {
            disk,
            store: opened.store,
            acknowledged: Recovered::default(),
            after_failed_write: None,
            term: 0,
            has_injected_failure: false,
        }
    }

    fn run(mut self, steps: &[Step]) -> Result<(), String> {
        for step in steps {
            self = self.step(step)?;
        }
        self.crash(0).map(drop)
    }

    /// Applies a step. Returns an error if store and model differ.
    fn step(mut self, step: &Step) -> Result<Self, String> {
        match step {
            Step::Crash { seed } => return self.crash(*seed),
            Step::FailAfter { changes } => {
                if !self.has_injected_failure {
                    self.disk.fail_after(*changes);
                    self.has_injected_failure = true;
                }
                return Ok(self);
            }
            _ => {}
        }
        let batch = self.batch(step);
        let mut next = self.acknowledged.clone();
        apply(&mut next, &batch);
        match self.store.write(&batch) {
            Ok(()) if self.after_failed_write.is_none() => self.acknowledged = next,
            Ok(()) => return Err("write succeeded after a failed one".to_owned()),
            Err(StorageError::Failed) if self.after_failed_write.is_some() => {}
            Err(StorageError::Disk { .. }) if self.has_injected_failure => {
                self.after_failed_write = Some(next);
            }
            Err(error) => return Err(error.to_string()),
        }
        Ok(self)
    }

    /// Simulates a power loss, reopens the store and compares it with the model.
    fn crash(mut self, seed: u64) -> Result<Self, String> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        self.disk.memory().crash(&mut rng);
        // The first open may fail and lose power as well.
        self.disk.fail_after(seed % 10);
        drop(Store::open_with(self.disk.clone(), SMALL_SEGMENTS));
        self.disk.memory().crash(&mut rng);
        let opened =
            Store::open_with(self.disk.clone(), SMALL_SEGMENTS).map_err(|e| e.to_string())?;
        let is_expected = opened.recovered == self.acknowledged
            || Some(&opened.recovered) == self.after_failed_write.as_ref();
        if !is_expected {
            return Err(format!(
                "acknowledged {:?}, recovered {:?}",
                self.acknowledged, opened.recovered
            ));
        }
        self.acknowledged = opened.recovered;
        self.after_failed_write = None;
        self.has_injected_failure = false;
        self.store = opened.store;
        Ok(self)
    }

    /// Builds the batch of a step.
    fn batch(&mut self, step: &Step) -> Batch {
        self.term += 1;
        let term = self.term;
        let meta = self.acknowledged.snapshot.as_ref().map(|s| s.meta.clone());
        let base = meta.as_ref().map_or(0, |meta| meta.index.0);
        let last = base + self.acknowledged.entries.len() as u64;
        let entries_from = |first: u64, count: u64| {
            let indexes = first..first + count;
            indexes.map(|index| entry(index, term)).collect()
        };
        match step {
            Step::Append { back, count, vote } => Batch {
                hard_state: vote.then(|| hard_state(term)),
                entries: entries_from((last + 1 - back.min(&last)).max(base + 1), *count),
                ..Batch::default()
            },
            Step::Compact { back } if last > base => {
                let position = usize::try_from((last - base - 1).saturating_sub(*back)).unwrap();
                let covered = &self.acknowledged.entries[position];
                Batch {
                    snapshot: Some(snapshot(covered.index.0, covered.term.0)),
                    ..Batch::default()
                }
            }
            Step::Install { ahead, count } => Batch {
                hard_state: Some(hard_state(term)),
                snapshot: Some(snapshot(last + ahead + 1, term)),
                entries: entries_from(last + ahead + 2, *count),
            },
            _ => Batch {
                hard_state: Some(hard_state(term)),
                ..Batch::default()
            },
        }
    }
}

#[test]
fn acknowledged_batches_survive_crashes_and_failing_disks() {
    let mut runner = TestRunner::new(config(400));
    runner
        .run(&any_steps(), |steps| {
            let check = ModelCheck::new(SharedDisk::new(disk_with_identity()));
            check.run(&steps).map_err(TestCaseError::fail)
        })
        .unwrap();
}

/// Returns steps with batches, rotations and a snapshot, and then a crash with
/// random outcome.
fn history_with_crash(seed: u64) -> Vec<Step> {
    let append = Step::Append {
        back: 0,
        count: 2,
        vote: true,
    };
    let mut steps = vec![append.clone(); 6];
    steps.push(Step::Compact { back: 1 });
    steps.extend(vec![append; 2]);
    steps.push(Step::Crash { seed });
    steps
}

/// Returns for how many of twenty crash seeds the model check fails.
fn failed_checks(skips_file_syncs: bool, skips_folder_syncs: bool) -> usize {
    let check = |seed: &u64| {
        let disk = SharedDisk {
            skips_file_syncs,
            skips_folder_syncs,
            ..SharedDisk::new(disk_with_identity())
        };
        ModelCheck::new(disk)
            .run(&history_with_crash(*seed))
            .is_err()
    };
    (0..20).filter(check).count()
}

/// Guards against a check that cannot fail: a store that leaves out syncs must
/// lose acknowledged batches in some crashes, and the check must detect it.
#[test]
fn model_check_detects_skipped_syncs() {
    assert_eq!(failed_checks(false, false), 0);
    assert!(failed_checks(true, false) > 0, "file syncs skipped");
    assert!(failed_checks(false, true) > 0, "folder syncs skipped");
}
