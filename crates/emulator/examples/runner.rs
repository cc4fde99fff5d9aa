//! Starts one emulated runner for a running agent, to try a cluster by hand:
//!
//! ```text
//! cargo run --release -p emulator --example runner -- stills-1 stills http://127.0.0.1:7480
//! ```
//!
//! The arguments are the runner's name, its pool, the URL of its agent and, if the
//! configuration has keys, a file with the bearer token of a runner. The runner
//! accepts orders on a loopback port that the system assigns, and prints its
//! events.

use emulator::runner::{Behaviour, RunnerEvent, RunnerOptions};
use emulator::shell::RunnerServer;
use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{SystemTime, UNIX_EPOCH};
use types::{Labels, PoolName, RackName, Resources, RunnerId, RunnerIncarnation};

/// Capacity of the runner.
const CAPACITY: Resources = Resources {
    slots: 8,
    cpu_milli: 16_000,
    memory_mib: 65_536,
    gpus: 0,
};
const USAGE: &str = "usage: runner NAME POOL AGENT_URL [KEY_FILE]";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().ok_or(USAGE)?;
    let pool = arguments.next().ok_or(USAGE)?;
    let agent_url = arguments.next().ok_or(USAGE)?;
    let key = match arguments.next() {
        Some(file) => Some(std::fs::read_to_string(file)?.trim().to_owned()),
        None => None,
    };

    let options = options(&name, &pool)?;
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let (handle, mut events) = RunnerServer::start(options, &agent_url, key, listen).await?;
    println!("{name} accepts orders on {}", handle.socket());
    while let Some(event) = events.recv().await {
        print_event(&event);
    }
    Ok(())
}

/// Returns the options of the runner. The number of the incarnation is the time of
/// the start, so that each start is a new incarnation.
fn options(name: &str, pool: &str) -> Result<RunnerOptions, Box<dyn Error>> {
    let started = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let incarnation = u64::try_from(started.as_millis())?;
    Ok(RunnerOptions {
        runner: RunnerId::new(name)?,
        incarnation: RunnerIncarnation(incarnation),
        pool: PoolName::new(pool)?,
        rack: RackName::new("rack-1")?,
        labels: Labels::default(),
        capacity: CAPACITY,
        behaviour: Behaviour::Healthy,
        mutation: None,
        seed: incarnation,
    })
}

fn print_event(event: &RunnerEvent) {
    match event {
        RunnerEvent::Started(run) => println!("started {} of job {}", run.run, run.job.job),
        RunnerEvent::Ended { run, outcome } => println!("ended {run}: {outcome:?}"),
        RunnerEvent::EndRecorded { run } => println!("end of {run} is recorded"),
        RunnerEvent::AcceptedStale(order) => println!("accepted stale order, term {}", order.term),
    }
}
