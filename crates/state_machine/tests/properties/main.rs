//! Random commands against what must always hold.

mod check;
mod step;
#[path = "../support/mod.rs"]
mod support;
mod world;

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use step::{Step, steps};
use world::World;

#[test]
fn random_commands_keep_every_promise() {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let check = |steps: Vec<Step>| {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
            world.check();
        }
        Ok(())
    };
    TestRunner::new_with_rng(config, rng)
        .run(&steps(), check)
        .unwrap();
}
