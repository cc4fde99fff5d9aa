//! `lab simulate`: exit codes and the written history.

use cypressdrum::Exit;
use lab::simulate::{OutputFormat, SimulateArguments, run};
use simulation::Mutation;
use std::path::{Path, PathBuf};

/// Returns the path of a plan in which operators race to put a configuration. It
/// leads to a violation only if the version check is disabled.
fn racing_operators_plan() -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    folder.join("../simulation/tests/plans/any_configuration_version.toml")
}

fn plan_arguments(plan: PathBuf, mutation: Option<Mutation>) -> SimulateArguments {
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
fn plan_succeeds_without_mutation_and_fails_with_it() {
    assert_eq!(
        run(plan_arguments(racing_operators_plan(), None)),
        Exit::Done
    );
    let mutation = Some(Mutation::AnyConfigurationVersion);
    assert_eq!(
        run(plan_arguments(racing_operators_plan(), mutation)),
        Exit::PromiseBroken
    );
}

#[test]
fn unreadable_plan_is_usage_error() {
    let missing = racing_operators_plan().with_file_name("missing.toml");
    assert_eq!(run(plan_arguments(missing, None)), Exit::Usage);
}

#[test]
fn written_history_of_plan_passes_checker() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("simulate-history.jsonl");
    let mut arguments = plan_arguments(racing_operators_plan(), None);
    arguments.history = Some(path.clone());
    assert_eq!(run(arguments), Exit::Done);
    let file = std::fs::File::open(path).unwrap();
    let history = checker::read_history(std::io::BufReader::new(file)).unwrap();
    let report = checker::check(&history, &checker::Limits::default());
    assert!(report.violations.is_empty() && report.acknowledged_jobs > 0);
}
