//! Raft invariants and progress under random faults, over fixed seeds.

mod cluster;

use cluster::script::run_seed;

/// Seeds of the ordinary run; `CONSENSUS_SEEDS=from..to` runs others.
const SEEDS: std::ops::Range<u64> = 0..300;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("CONSENSUS_SEEDS") else {
        return SEEDS;
    };
    let (from, to) = text.split_once("..").expect("from..to");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

#[test]
fn random_faults_violate_no_invariant() {
    let mut failed_seeds = Vec::new();
    let (mut committed, mut elections, mut installs) = (0, 0, 0);
    for seed in seeds() {
        match run_seed(seed, None) {
            Ok(outcome) => {
                committed += outcome.committed;
                elections += outcome.elections;
                installs += outcome.installs;
            }
            Err(violation) => failed_seeds.push((seed, violation)),
        }
    }
    println!("committed {committed}, elections {elections}, snapshots installed {installs}");
    assert!(
        failed_seeds.is_empty(),
        "seeds that violated an invariant: {failed_seeds:?}"
    );
    let is_full_run = seeds().count() >= SEEDS.count();
    assert!(installs > 0 || !is_full_run, "no seed installed a snapshot");
}
