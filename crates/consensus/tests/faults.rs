//! Safety and liveness under random faults, over fixed seeds.

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
fn faults_break_no_promise() {
    let mut broken = Vec::new();
    let (mut committed, mut elections, mut installs) = (0, 0, 0);
    for seed in seeds() {
        match run_seed(seed, None) {
            Ok(outcome) => {
                committed += outcome.committed;
                elections += outcome.elections;
                installs += outcome.installs;
            }
            Err(violation) => broken.push((seed, violation)),
        }
    }
    println!("committed {committed}, elections {elections}, snapshots installed {installs}");
    assert!(broken.is_empty(), "seeds that broke a promise: {broken:?}");
    let many = seeds().count() >= SEEDS.count();
    assert!(installs > 0 || !many, "no seed came to install a snapshot");
}
