//! Random commands, with a check of all invariants after each one.

mod check;
mod harness;
mod operation;
#[path = "../support/mod.rs"]
mod support;

use harness::Harness;
use operation::{Operation, operations};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[test]
fn random_commands_keep_all_invariants() {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let check = |operations: Vec<Operation>| {
        let mut harness = Harness::new();
        for operation in &operations {
            harness.execute(operation);
            harness.check();
        }
        Ok(())
    };
    TestRunner::new_with_rng(config, rng)
        .run(&operations(), check)
        .unwrap();
}
