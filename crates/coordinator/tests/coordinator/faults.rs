//! Seeded mixtures of faults: lost and late messages, killed, frozen and
//! wiped coordinators, power losses of all, restarted and silent runners. Afterwards all is calm, and
//! every acknowledged job must end done, started as often as it may.

use crate::test_cluster::{TestCluster, jobs};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use transport::{Operation, OperationReply};
use types::{JobKey, JobState, NodeId, OrderKind, RunId};

const SECONDS_OF_FAULTS: u64 = 40;
/// Milliseconds after the last fault within which service must be back.
const SERVICE_BACK: u64 = 12_000;
const SECONDS_OF_CALM: u64 = 40;

/// Jobs of the runs that left in starts.
fn jobs_of_runs(cluster: &TestCluster) -> BTreeMap<RunId, JobKey> {
    let orders = cluster.orders().into_iter();
    let starts = orders.filter_map(|order| match order.kind {
        OrderKind::Start { run, .. } => Some((run.run, run.job)),
        _ => None,
    });
    starts.collect()
}

/// No job of one task runs twice at once.
fn assert_no_overlap(cluster: &TestCluster, seed: u64) {
    let jobs = jobs_of_runs(cluster);
    let mut running = BTreeSet::new();
    for run in cluster.agents.iter().flat_map(|agent| agent.active.keys()) {
        let job = &jobs[run];
        assert!(
            running.insert(job.clone()),
            "seed {seed} at {}: {job} runs twice",
            cluster.now
        );
    }
}

/// Three voters, all of them the coordinators that run.
fn is_healthy(cluster: &TestCluster) -> bool {
    let Some(status) = cluster.leader().and_then(|leader| cluster.status(leader)) else {
        return false;
    };
    let running = cluster.servers.iter().filter(|server| {
        server.core.is_some() && !server.frozen && !cluster.cut.contains(&server.port)
    });
    let identities: BTreeSet<NodeId> = running.map(|s| NodeId(s.next_identity)).collect();
    let voters: BTreeSet<NodeId> = status.membership.voters.keys().copied().collect();
    identities.len() == 3 && voters == identities
}

fn one_fault(cluster: &mut TestCluster, random: &mut ChaCha8Rng) {
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
            cluster.cut.insert(8_000 + u16::try_from(server).unwrap());
        }
        3 => cluster.agents[agent].silent = true,
        4 => cluster.agents[agent].restart(now),
        5 => cluster.agents[agent].lose_answers = true,
        _ => cluster.agents[agent].hold_starts = true,
    }
}

fn heal(cluster: &mut TestCluster) {
    cluster.cut.clear();
    for server in 0..3 {
        if cluster.servers[server].core.is_none() {
            cluster.start(server);
        }
        for effect in cluster.wake(server) {
            cluster.apply(server, effect);
        }
    }
    let now = cluster.now;
    for agent in &mut cluster.agents {
        agent.silent = false;
        agent.lose_answers = false;
        agent.hold_starts = false;
        // Starts that were held back arrive now, late.
        for (_, order) in std::mem::take(&mut agent.kept_starts) {
            agent.carry_out(now, &order);
        }
    }
}

fn submit(cluster: &mut TestCluster, number: u64) -> Option<(u64, String)> {
    cluster.leader()?;
    let job = format!("job-{number}");
    let id = cluster.ask(Operation::Submit(jobs::job(&job)));
    Some((id, job))
}

fn run_seed(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = TestCluster::served();
    cluster.random = ChaCha8Rng::seed_from_u64(seed);
    for number in 1..=3 {
        cluster.add_agent(number);
        cluster.agents[usize::from(number) - 1].work = Some(800 * u64::from(number));
    }
    cluster.loss_per_thousand = 20;
    cluster.extra_delay = 15;
    let mut asked = Vec::new();
    for step in 0..SECONDS_OF_FAULTS * 10 {
        asked.extend(submit(&mut cluster, step));
        if random.random_range(0..10) == 0 {
            one_fault(&mut cluster, &mut random);
        }
        if random.random_range(0..30) == 0 {
            heal(&mut cluster);
        }
        cluster.run(100);
        assert_no_overlap(&cluster, seed);
    }
    heal(&mut cluster);
    cluster.loss_per_thousand = 0;
    cluster.run_until(SERVICE_BACK, "service after the faults", |cluster| {
        cluster.leader().is_some()
    });
    for number in 0..20 {
        cluster.submit(&format!("after-{number}"));
    }
    for _ in 0..SECONDS_OF_CALM * 10 {
        cluster.run(100);
        assert_no_overlap(&cluster, seed);
    }
    assert!(cluster.each_start_is_sent_once(), "seed {seed}");
    assert_all_done(&cluster, &asked, seed);
}

/// Every acknowledged job is done, and nothing runs any more.
fn assert_all_done(cluster: &TestCluster, asked: &[(u64, String)], seed: u64) {
    let acknowledged = asked.iter().filter(|(id, _)| {
        matches!(
            cluster.replies.get(id),
            Some(Ok(OperationReply::Submitted { .. }))
        )
    });
    let acknowledged: Vec<_> = acknowledged.collect();
    let after: Vec<String> = (0..20).map(|number| format!("after-{number}")).collect();
    for job in acknowledged.into_iter().map(|(_, job)| job).chain(&after) {
        assert_eq!(cluster.job(job).state, JobState::Done, "seed {seed}: {job}");
    }
    assert!(
        cluster.state_machine().open_runs().is_empty(),
        "seed {seed}"
    );
}

#[test]
fn every_acknowledged_job_ends_done_and_never_runs_twice_at_once() {
    for seed in 1..=6 {
        run_seed(seed);
    }
}
