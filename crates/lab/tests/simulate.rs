//! `lab simulate`: the exit code tells whether a promise broke.

use cypressdrum::Exit;
use lab::simulate::{OutputFormat, SimulateArguments, run};
use simulation::Mutation;
use std::path::{Path, PathBuf};

/// Its faults break a promise only with compare-and-set off.
fn racing_operators() -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    folder.join("../simulation/tests/plans/any_configuration_version.toml")
}

fn of_plan(plan: PathBuf, mutation: Option<Mutation>) -> SimulateArguments {
    SimulateArguments {
        seeds: 1,
        first_seed: 1,
        plan: Some(plan),
        threads: None,
        mutation,
        load_percent: 10,
        history: None,
        shrink: false,
        output: OutputFormat::Json,
    }
}

#[test]
fn a_kept_plan_ends_well_and_a_broken_one_does_not() {
    assert_eq!(run(of_plan(racing_operators(), None)), Exit::Done);
    let mutation = Some(Mutation::AnyConfigurationVersion);
    assert_eq!(
        run(of_plan(racing_operators(), mutation)),
        Exit::PromiseBroken
    );
}

#[test]
fn a_plan_that_cannot_be_read_is_a_fault_of_its_user() {
    let missing = racing_operators().with_file_name("missing.toml");
    assert_eq!(run(of_plan(missing, None)), Exit::Usage);
}

#[test]
fn the_history_of_a_plan_can_be_checked_again() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("simulate-history.jsonl");
    let mut arguments = of_plan(racing_operators(), None);
    arguments.history = Some(path.clone());
    assert_eq!(run(arguments), Exit::Done);
    let file = std::fs::File::open(path).unwrap();
    let history = checker::read_history(std::io::BufReader::new(file)).unwrap();
    let report = checker::check(&history, &checker::Limits::default());
    assert!(report.violations.is_empty() && report.acknowledged_jobs > 0);
}
