//! Plans: encoding as text, errors of parsing, and shrinking.

use checker::ViolationKind;
use simulation::{
    Fault, Mutation, Plan, PlanError, PlannedFault, PlannerOptions, plan_from_seed, run_plan,
    shrink,
};

#[test]
fn plan_survives_round_trip_through_text() {
    for seed in 0..200 {
        let mut plan = plan_from_seed(seed, &PlannerOptions::default());
        plan.mutation = Mutation::ALL.get(usize::try_from(seed).unwrap()).copied();
        let text = plan.to_text().unwrap();
        assert_eq!(Plan::parse(&text).unwrap(), plan, "{text}");
    }
}

#[test]
fn mutation_parses_from_its_displayed_name() {
    for mutation in Mutation::ALL {
        assert_eq!(mutation.to_string().parse(), Ok(mutation));
    }
    assert!("no_such_mechanism".parse::<Mutation>().is_err());
}

#[test]
fn unknown_machine_is_named_in_error() {
    let text =
        "seed = 1\n[[faults]]\nat_ms = 5\nfault = \"freeze\"\nmachine = \"side-99\"\nfor_ms = 1\n";
    let error = Plan::parse(text).unwrap_err();
    assert!(matches!(
        error,
        PlanError::UnknownMachine { position: 1, .. }
    ));
    assert_eq!(
        error.to_string(),
        "fault 1: the fleet has no machine side-99"
    );
}

#[test]
fn invalid_plan_is_rejected_with_offending_name() {
    for (text, expected) in [
        ("seed = 1\nload = 3\n", "load"),
        (
            "seed = 1\n[[faults]]\nat_ms = 5\nfault = \"melt\"\n",
            "melt",
        ),
        ("seed = 1\nmutation = \"none_such\"\n", "none_such"),
        ("load_ms = 3\n", "seed"),
    ] {
        let error = Plan::parse(text).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
}

fn irrelevant_fault(at_ms: u64) -> PlannedFault {
    let fault = Fault::CancelBatch { count: 1 };
    PlannedFault { at_ms, fault }
}

#[test]
fn shrink_keeps_only_fault_that_causes_violation() {
    let text = include_str!("plans/any_configuration_version.toml");
    let mut plan = Plan::parse(text).unwrap();
    plan.mutation = Some(Mutation::AnyConfigurationVersion);
    for at_ms in [500, 700, 2_500, 3_500] {
        plan.faults.push(irrelevant_fault(at_ms));
    }
    plan.faults.sort_by_key(|planned| planned.at_ms);
    let fails = |plan: &Plan| run_plan(plan).breaks(ViolationKind::TwoWinners);
    let smallest = shrink(&plan, 60, fails);
    assert_eq!(smallest.faults.len(), 1, "{smallest:?}");
    assert_eq!(smallest.faults[0].fault, Fault::RaceOperators);
}
