//! Random histories against a model, with power loss and failing disks at any
//! point: what `write` acknowledged is there afterwards.
#![allow(clippy::unwrap_used)]

mod common;

use common::{SMALL_SEGMENTS, SharedDisk, apply, entry, founded, hard_state, snapshot};
use consensus::Recovered;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use storage::{Batch, StorageError, Store};

#[derive(Debug, Clone)]
enum Step {
    Vote,
    /// Entries from `back` before the end on.
    Append {
        back: u64,
        count: u64,
        vote: bool,
    },
    /// Own snapshot, `back` before the end.
    Compact {
        back: u64,
    },
    /// A snapshot ahead of the log, with `count` entries behind it.
    Install {
        ahead: u64,
        count: u64,
    },
    /// The next disk changes from this one on fail.
    FailAfter {
        changes: u64,
    },
    Crash {
        seed: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
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

/// Drives a store and the model side by side.
struct Trial {
    disk: SharedDisk,
    store: Store<SharedDisk>,
    /// What was acknowledged.
    acknowledged: Recovered,
    /// With the batch that failed, which may have become durable.
    possible: Option<Recovered>,
    term: u64,
    fails: bool,
}

impl Trial {
    fn new(disk: SharedDisk) -> Self {
        let opened = Store::open_with(disk.clone(), SMALL_SEGMENTS).unwrap();
        Self {
            disk,
            store: opened.store,
            acknowledged: Recovered::default(),
            possible: None,
            term: 0,
            fails: false,
        }
    }

    fn run(mut self, steps: &[Step]) -> Result<(), String> {
        for step in steps {
            self = self.step(step)?;
        }
        self.crash(0).map(drop)
    }

    fn step(mut self, step: &Step) -> Result<Self, String> {
        match step {
            Step::Crash { seed } => return self.crash(*seed),
            Step::FailAfter { changes } => {
                if !self.fails {
                    self.disk.fail_after(*changes);
                    self.fails = true;
                }
                return Ok(self);
            }
            _ => {}
        }
        let batch = self.batch(step);
        let mut next = self.acknowledged.clone();
        apply(&mut next, &batch);
        match self.store.write(&batch) {
            Ok(()) if self.possible.is_none() => self.acknowledged = next,
            Ok(()) => return Err("written after a failure".to_owned()),
            Err(StorageError::Failed) if self.possible.is_some() => {}
            Err(StorageError::Disk { .. }) if self.fails => self.possible = Some(next),
            Err(error) => return Err(error.to_string()),
        }
        Ok(self)
    }

    fn crash(mut self, seed: u64) -> Result<Self, String> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        self.disk.memory().crash(&mut rng);
        // The first try to open may lose power as well.
        self.disk.fail_after(seed % 10);
        drop(Store::open_with(self.disk.clone(), SMALL_SEGMENTS));
        self.disk.memory().crash(&mut rng);
        let opened =
            Store::open_with(self.disk.clone(), SMALL_SEGMENTS).map_err(|e| e.to_string())?;
        let known = opened.recovered == self.acknowledged
            || Some(&opened.recovered) == self.possible.as_ref();
        if !known {
            return Err(format!(
                "acknowledged {:?}, found {:?}",
                self.acknowledged, opened.recovered
            ));
        }
        self.acknowledged = opened.recovered;
        self.possible = None;
        self.fails = false;
        self.store = opened.store;
        Ok(self)
    }

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
        .run(&steps(), |steps| {
            let trial = Trial::new(SharedDisk::of(founded()));
            trial.run(&steps).map_err(TestCaseError::fail)
        })
        .unwrap();
}

/// Batches, rotations and a snapshot, then a crash drawn from `seed`.
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

/// Crashes, of twenty, after which the model's check fails.
fn failed_checks(skips_files: bool, skips_folder: bool) -> usize {
    let check = |seed: &u64| {
        let disk = SharedDisk {
            skips_files,
            skips_folder,
            ..SharedDisk::of(founded())
        };
        Trial::new(disk).run(&history_with_crash(*seed)).is_err()
    };
    (0..20).filter(check).count()
}

#[test]
fn the_check_notices_a_missing_sync() {
    assert_eq!(failed_checks(false, false), 0);
    assert!(failed_checks(true, false) > 0, "file syncs left out");
    assert!(failed_checks(false, true) > 0, "folder syncs left out");
}
