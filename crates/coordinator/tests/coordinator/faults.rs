//! Random faults from a seed: lost and delayed messages, killed, frozen and wiped
//! coordinators, power loss of all coordinators, restarted and unresponsive
//! runners. After the faults end, every acknowledged job must complete. No job may
//! run twice at the same time, and no run may be started twice.

use crate::test_cluster::{TestCluster, jobs};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use transport::{Operation, OperationReply};
use types::{JobKey, JobState, NodeId, OrderKind, RunId};

const SECONDS_OF_FAULTS: u64 = 40;
/// Milliseconds after the last fault within which a leader must serve again.
const MAX_RECOVERY_MS: u64 = 12_000;
const SECONDS_AFTER_FAULTS: u64 = 40;

/// Returns the job of each run that a coordinator sent a start for.
fn jobs_of_runs(cluster: &TestCluster) -> BTreeMap<RunId, JobKey> {
    let orders = cluster.orders().into_iter();
    let starts = orders.filter_map(|order| match order.kind {
        OrderKind::Start { run, .. } => Some((run.run, run.job)),
        _ => None,
    });
    starts.collect()
}

/// Checks that no job, which has a single task, has two active runs.
fn assert_no_overlap(cluster: &TestCluster, seed: u64) {
    let jobs = jobs_of_runs(cluster);
    let mut running = BTreeSet::new();
    for run in cluster.agents.iter().flat_map(|agent| agent.active.keys()) {
        let job = &jobs[run];
        assert!(
            running.insert(job.clone()),
            "seed {seed} at {}: {job} has two active runs",
            cluster.now
        );
    }
}

/// Returns whether the voters are exactly the three running, reachable
/// coordinators.
fn is_healthy(cluster: &TestCluster) -> bool {
    let Some(status) = cluster.leader().and_then(|leader| cluster.status(leader)) else {
        return false;
    };
    let running = cluster.servers.iter().filter(|server| {
        server.core.is_some() && !server.frozen && !cluster.partitioned.contains(&server.port)
    });
    let identities: BTreeSet<NodeId> = running.map(|s| NodeId(s.next_identity)).collect();
    let voters: BTreeSet<NodeId> = status.membership.voters.keys().copied().collect();
    identities.len() == 3 && voters == identities
}

fn inject_fault(cluster: &mut TestCluster, random: &mut ChaCha8Rng) {
    let server = random.random_range(0..3);
    let agent = random.random_range(0..cluster.agents.len());
    let now = cluster.now;
    match random.random_range(0..9) {
        7 => (0..3).for_each(|server| cluster.kill(server)),
        8 if is_healthy(cluster) => {
            cluster.kill(server);
            cluster.wipe(server);
            cluster.start(server);
        }
        0 if cluster.servers.iter().all(|server| server.core.is_some()) => cluster.kill(server),
        1 => cluster.servers[server].frozen = true,
        2 => {
            cluster
                .partitioned
                .insert(8_000 + u16::try_from(server).unwrap());
        }
        3 => cluster.agents[agent].unresponsive = true,
        4 => cluster.agents[agent].restart(now),
        5 => cluster.agents[agent].lose_answers = true,
        _ => cluster.agents[agent].hold_starts = true,
    }
}

fn end_faults(cluster: &mut TestCluster) {
    cluster.partitioned.clear();
    for server in 0..3 {
        if cluster.servers[server].core.is_none() {
            cluster.start(server);
        }
        for effect in cluster.resume(server) {
            cluster.apply(server, effect);
        }
    }
    let now = cluster.now;
    for agent in &mut cluster.agents {
        agent.unresponsive = false;
        agent.lose_answers = false;
        agent.hold_starts = false;
        // Starts that were held back are delivered late.
        for (_, order) in std::mem::take(&mut agent.held_starts) {
            agent.execute(now, &order);
        }
    }
}

fn submit(cluster: &mut TestCluster, number: u64) -> Option<(u64, String)> {
    cluster.leader()?;
    let job = format!("job-{number}");
    let id = cluster.send_request(Operation::Submit(jobs::job(&job)));
    Some((id, job))
}

fn run_seed(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = TestCluster::ready();
    cluster.random = ChaCha8Rng::seed_from_u64(seed);
    for number in 1..=3 {
        cluster.add_agent(number);
        cluster.agents[usize::from(number) - 1].run_duration = Some(800 * u64::from(number));
    }
    cluster.loss_per_thousand = 20;
    cluster.extra_delay = 15;
    let mut submitted = Vec::new();
    for step in 0..SECONDS_OF_FAULTS * 10 {
        submitted.extend(submit(&mut cluster, step));
        if random.random_range(0..10) == 0 {
            inject_fault(&mut cluster, &mut random);
        }
        if random.random_range(0..30) == 0 {
            end_faults(&mut cluster);
        }
        cluster.run(100);
        assert_no_overlap(&cluster, seed);
    }
    end_faults(&mut cluster);
    cluster.loss_per_thousand = 0;
    cluster.run_until(MAX_RECOVERY_MS, "a leader after the faults", |cluster| {
        cluster.leader().is_some()
    });
    for number in 0..20 {
        cluster.submit(&format!("after-{number}"));
    }
    for _ in 0..SECONDS_AFTER_FAULTS * 10 {
        cluster.run(100);
        assert_no_overlap(&cluster, seed);
    }
    assert!(cluster.each_start_is_sent_once(), "seed {seed}");
    assert_all_done(&cluster, &submitted, seed);
}

/// Checks that every acknowledged job is done and no run is open.
fn assert_all_done(cluster: &TestCluster, submitted: &[(u64, String)], seed: u64) {
    let acknowledged = submitted.iter().filter(|(id, _)| {
        matches!(
            cluster.replies.get(id),
            Some(Ok(OperationReply::Submitted { .. }))
        )
    });
    let acknowledged: Vec<_> = acknowledged.collect();
    let submitted_after: Vec<String> = (0..20).map(|number| format!("after-{number}")).collect();
    for job in acknowledged
        .into_iter()
        .map(|(_, job)| job)
        .chain(&submitted_after)
    {
        assert_eq!(cluster.job(job).state, JobState::Done, "seed {seed}: {job}");
    }
    assert!(
        cluster.state_machine().open_runs().is_empty(),
        "seed {seed}"
    );
}

#[test]
fn acknowledged_jobs_complete_and_never_run_twice_at_once() {
    for seed in 1..=6 {
        run_seed(seed);
    }
}
