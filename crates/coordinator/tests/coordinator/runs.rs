//! Runs: at most one start per run, revocation, stalls, leader changes and freezes.

use crate::test_cluster::{TestCluster, jobs};
use coordinator::Effect;
use transport::{OrderResult, PeerMessage};
use types::{JobState, Milliseconds, OrderAnswer, Outcome, RejectionReason, RunnerOrder, Term};

pub(crate) fn with_runner() -> TestCluster {
    let mut cluster = TestCluster::ready();
    cluster.add_agent(1);
    cluster
}

#[test]
fn task_is_started_once_and_its_end_is_recorded() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(5_000);
    assert_eq!(cluster.starts().len(), 1);
    cluster.agents[0].end_all(Outcome::Done);
    cluster.run(500);
    assert_eq!(cluster.job("job").state, JobState::Done);
    assert!(
        cluster.agents[0].ended.is_empty(),
        "the leader must confirm the recorded end"
    );
    cluster.run(5_000);
    assert_eq!(cluster.starts().len(), 1);
}

#[test]
fn task_with_a_start_time_starts_on_time() {
    // Milliseconds for committing the reservation and sending the start.
    const START_LATENCY: u64 = 12;
    let mut cluster = with_runner();
    for number in 0..10_usize {
        let mut job = jobs::job(&format!("job-{number}"));
        let wait = types::Milliseconds(300 + 13 * number as u64);
        let due = cluster.clock().wall + wait;
        job.start_at = Some(due);
        cluster.request(transport::Operation::Submit(job)).unwrap();
        cluster.run(due.0 - cluster.clock().wall.0);
        assert_eq!(
            cluster.starts().len(),
            number,
            "job {number} started before its time"
        );
        cluster.run(START_LATENCY);
        assert_eq!(
            cluster.starts().len(),
            number + 1,
            "job {number} started late"
        );
        cluster.agents[0].end_all(Outcome::Done);
        cluster.run(300);
    }
}

/// The runner executes a start but its answer is lost. The leader must revoke the run
/// before it starts the task again; the runner answers that the run is active.
#[test]
fn lost_start_answer_leads_to_revocation_and_no_second_start() {
    let mut cluster = with_runner();
    cluster.agents[0].lose_answers = true;
    cluster.submit("job");
    // Without heartbeats the leader can learn of the run only by revoking it.
    cluster.run_until(100, "the start", |cluster| {
        !cluster.agents[0].started.is_empty()
    });
    cluster.agents[0].unresponsive = true;
    cluster.run(1_500);
    cluster.agents[0].unresponsive = false;
    cluster.run(4_000);
    cluster.agents[0].end_all(Outcome::Done);
    cluster.run(500);
    assert_eq!(cluster.agents[0].started.len(), 1);
    assert_eq!(cluster.starts().len(), 1);
    assert_eq!(cluster.job("job").state, JobState::Done);
}

/// A start is delayed in the network and arrives after the task got a new run. It must
/// not lead to two active runs of the task.
#[test]
fn revocation_precedes_new_run_of_undelivered_start() {
    let mut cluster = with_runner();
    cluster.agents[0].hold_starts = true;
    cluster.submit("job");
    cluster.run(1_000);
    cluster.agents[0].hold_starts = false;
    cluster.run_until(4_000, "another run", |cluster| {
        cluster.agents[0].started.len() == 1
    });
    assert_eq!(cluster.starts().len(), 2);
    assert!(cluster.each_start_is_sent_once());
    // The tombstone of the revoked run rejects the delayed first start.
    let (_, delayed) = cluster.agents[0].held_starts[0].clone();
    let now = cluster.now;
    assert_eq!(
        cluster.agents[0].execute(now, &delayed),
        OrderAnswer::Rejected(RejectionReason::KnownRun)
    );
    assert_eq!(cluster.agents[0].active.len(), 1);
}

/// A runner reports no progress of a run while it is not known whether the run has ended.
/// This is no evidence of a stall, for which the leader would stop the run.
#[test]
fn reports_without_progress_are_no_stall() {
    const STALLED_AFTER: Milliseconds = Milliseconds(2_500);
    let mut cluster = TestCluster::ready_by(|options| options.stalled_after = Some(STALLED_AFTER));
    cluster.add_agent(1);
    cluster.agents[0].progress = Some(40);
    cluster.submit("job");
    cluster.run(500);
    let run = cluster.agents[0].started[0];
    cluster.agents[0].progress = None;
    cluster.run(2 * STALLED_AFTER.0);
    assert!(cluster.agents[0].active.contains_key(&run));
    cluster.agents[0].progress = Some(41);
    cluster.run(STALLED_AFTER.0 + 1_000);
    assert!(
        !cluster.agents[0].active.contains_key(&run),
        "it stalled at last"
    );
}

/// The leader crashes after it sent a start that the runner has not received. The new
/// leader cannot determine whether the start will arrive.
#[test]
fn new_leader_revokes_runs_with_an_unconfirmed_start() {
    let mut cluster = with_runner();
    cluster.agents[0].hold_starts = true;
    cluster.submit("job");
    cluster.run_until(500, "the start", |cluster| {
        !cluster.agents[0].held_starts.is_empty()
    });
    let old = cluster.starts()[0];
    let leader = cluster.leader().unwrap();
    cluster.kill(leader);
    cluster.agents[0].hold_starts = false;
    cluster.run_until(8_000, "another run", |cluster| {
        !cluster.agents[0].started.is_empty()
    });
    assert!(cluster.agents[0].tombstones.contains(&old));
    assert!(cluster.each_start_is_sent_once());
}

/// An answer to an order of an earlier leader must not close a run, since the current
/// leader may have sent another order for it.
#[test]
fn answers_to_orders_of_another_term_are_ignored() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(500);
    let order = cluster.orders()[0].clone();
    let own_term = order.term;
    for (term, stays_open) in [
        (Term(own_term.0 - 1), true),
        (own_term.next(), true),
        (own_term, false),
    ] {
        let results = vec![OrderResult {
            order: RunnerOrder {
                name: None,
                term,
                ..order.clone()
            },
            answer: OrderAnswer::Revoked,
        }];
        // Without heartbeats only this answer can close the run.
        cluster.agents[0].unresponsive = true;
        let from = cluster.agents[0].address.clone();
        cluster.deliver_to_leader(from, PeerMessage::OrderResults { results });
        cluster.run(100);
        let open = cluster.state_machine().open_run(order.kind.run()).is_some();
        assert_eq!(open, stays_open, "{term}");
    }
}

#[test]
fn new_leader_keeps_active_runs() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(500);
    let leader = cluster.leader().unwrap();
    cluster.kill(leader);
    cluster.run(20_000);
    assert_eq!(cluster.starts().len(), 1);
    cluster.agents[0].end_all(Outcome::Done);
    cluster.run(500);
    assert_eq!(cluster.job("job").state, JobState::Done);
}

/// Returns whether only a leader with a valid lease may send a message.
fn requires_lease(effect: &Effect) -> bool {
    matches!(
        effect,
        Effect::Send {
            message: PeerMessage::Orders { .. }
                | PeerMessage::RunnerUpdate(_)
                | PeerMessage::Lease(_)
                | PeerMessage::Configuration { .. }
                | PeerMessage::Reply(transport::Reply { result: Ok(_), .. }),
            ..
        }
    )
}

/// A leader freezes, another is elected, and the first one resumes with queued inputs.
/// It must notice the loss of its lease before it handles them.
#[test]
fn leader_without_lease_sends_no_orders_after_freeze() {
    let mut cluster = with_runner();
    let frozen = cluster.leader().unwrap();
    // The leader freezes while a submit, reports and syncs are in progress.
    cluster.send_request(transport::Operation::Submit(jobs::job("job")));
    cluster.servers[frozen].frozen = true;
    cluster.run(25_000);
    assert!(cluster.leader().is_some_and(|leader| leader != frozen));
    let effects = cluster.resume(frozen);
    assert!(!effects.iter().any(requires_lease));
}

/// The entry of a reservation commits after the lease has expired. Its run must not be
/// started twice, and the task must have one active run in the end.
#[test]
fn reservation_committed_after_lease_expiry_is_not_started_twice() {
    let mut cluster = with_runner();
    let leader = cluster.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    cluster.submit("job");
    // The lease expires before the reservation is synced by a quorum.
    for follower in followers {
        cluster.servers[follower].disk_held = true;
    }
    cluster.run(3_000);
    for follower in followers {
        cluster.release_disk(follower);
    }
    cluster.run(5_000);
    assert!(cluster.each_start_is_sent_once());
    assert_eq!(cluster.agents[0].active.len(), 1);
}

#[test]
fn run_above_its_time_limit_is_stopped_and_counts_as_a_failure() {
    let mut cluster = with_runner();
    let mut job = jobs::job("job");
    job.steps[0].time_limit = types::Milliseconds(1_000);
    job.steps[0].allowed_failures = 0;
    cluster.request(transport::Operation::Submit(job)).unwrap();
    cluster.run(4_000);
    assert_eq!(cluster.job("job").state, JobState::Failed);
    assert!(cluster.agents[0].active.is_empty());
}

#[test]
fn failed_task_is_retried_on_another_runner_first() {
    let mut cluster = with_runner();
    cluster.add_agent(2);
    for number in 0..6 {
        let job = format!("job-{number}");
        cluster.submit(&job);
        cluster.run_until(1_000, "the first start", |cluster| {
            cluster.agents.iter().any(|agent| !agent.active.is_empty())
        });
        let first = usize::from(cluster.agents[0].active.is_empty());
        let failure = Outcome::Failed("exit code 1".to_owned());
        cluster.agents[first].end_all(failure);
        cluster.run_until(3_000, "the second start", |cluster| {
            cluster.agents.iter().any(|agent| !agent.active.is_empty())
        });
        assert!(
            cluster.agents[first].active.is_empty(),
            "{job} was retried on the runner that it failed on"
        );
        cluster.agents[1 - first].end_all(Outcome::Done);
        cluster.run(500);
        assert_eq!(cluster.job(&job).state, JobState::Done);
    }
}
