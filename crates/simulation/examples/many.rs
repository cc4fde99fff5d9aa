//! Runs many seeds and prints what broke.
use simulation::*;
fn main() {
    let args: Vec<String> = std::env::args().collect();
    let first: u64 = args[1].parse().unwrap();
    let seeds: u64 = args[2].parse().unwrap();
    let mutation = args
        .get(3)
        .and_then(|m| serde_json::from_str(&format!("\"{m}\"")).ok());
    let start = std::time::Instant::now();
    let summary = run_campaign(
        &Campaign {
            first_seed: first,
            seeds,
            threads: 8,
            planner: PlannerOptions::default(),
            mutation,
        },
        |_| {},
    );
    println!(
        "{:?} mutation {mutation:?} seeds {} events {} jobs {} runs {} broken {:?}",
        start.elapsed(),
        summary.seeds,
        summary.events,
        summary.jobs,
        summary.runs,
        summary.broken
    );
    for f in summary.failed.iter().take(60) {
        let v: Vec<String> = f
            .report
            .violations
            .iter()
            .filter(|v| v.kind != checker::ViolationKind::RepeatedTask)
            .take(3)
            .map(|v| format!("{:?} {} {}", v.kind, v.at, v.detail))
            .collect();
        if !v.is_empty() {
            println!("seed {} {:#?} {:?}", f.plan.seed, v, f.error);
        }
    }
}
