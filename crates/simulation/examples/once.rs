//! Runs one seed and prints what it found.
fn main() {
    let args: Vec<String> = std::env::args().collect();
    let seed: u64 = args[1].parse().unwrap();
    let calm = args.get(2).is_some_and(|a| a == "calm");
    let mut plan = if calm {
        simulation::Plan::calm(seed)
    } else {
        simulation::plan_from_seed(seed, &simulation::PlannerOptions::default())
    };
    if calm {
        plan.fleet.load_percent = 40;
    }
    println!("{}", plan.to_text().unwrap());
    let start = std::time::Instant::now();
    let outcome = simulation::run(&plan).unwrap();
    println!(
        "{:?} events {} virtual {} history {} digest {}",
        start.elapsed(),
        outcome.events,
        outcome.virtual_time,
        outcome.history.len(),
        outcome.digest
    );
    let r = &outcome.report;
    println!(
        "ack {} done {} failed {} cancelled {} runs {}",
        r.acknowledged_jobs, r.done_jobs, r.failed_jobs, r.cancelled_jobs, r.started_runs
    );
    for v in r.violations.iter().take(30) {
        println!("{:?} {} {}", v.kind, v.at, v.detail);
    }
    if let Some(path) = args.get(3) {
        let mut f = std::io::BufWriter::new(std::fs::File::create(path).unwrap());
        use std::io::Write;
        for o in &outcome.history {
            writeln!(f, "{}", serde_json::to_string(o).unwrap()).unwrap();
        }
    }
}
