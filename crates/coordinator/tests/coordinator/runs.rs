//! Runs: one start, revocations, lease expiry, leader changes, freezes.

use crate::test_cluster::{TestCluster, document, jobs};
use configuration::Timings;
use coordinator::Effect;
use transport::{OrderResult, PeerMessage};
use types::{
    EndpointName, JobState, OrderAnswer, Outcome, RejectionReason, RunnerId, RunnerOrder, Term,
};

/// Milliseconds of silence after which a leader gives a runner's runs up.
fn given_up_after() -> u64 {
    let timings = Timings::default();
    (timings.run_lease + timings.run_lease_margin).0
}

fn with_runner() -> TestCluster {
    let mut cluster = TestCluster::served();
    cluster.add_agent(1);
    cluster
}

#[test]
fn a_task_is_started_once_and_its_end_is_recorded() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(5_000);
    assert_eq!(cluster.starts().len(), 1);
    cluster.agents[0].end_all(Outcome::Done);
    cluster.run(500);
    assert_eq!(cluster.job("job").state, JobState::Done);
    assert!(cluster.agents[0].ended.is_empty(), "the record has it");
    cluster.run(5_000);
    assert_eq!(cluster.starts().len(), 1);
}

#[test]
fn a_task_with_a_start_time_starts_on_time() {
    // A pass through the log, and the way to the agent.
    const WAY: u64 = 12;
    let mut cluster = with_runner();
    for number in 0..10_usize {
        let mut job = jobs::job(&format!("job-{number}"));
        let wait = types::Milliseconds(300 + 13 * number as u64);
        let due = cluster.clock().wall + wait;
        job.start_at = Some(due);
        cluster.answer(transport::Operation::Submit(job)).unwrap();
        cluster.run(due.0 - cluster.clock().wall.0);
        assert_eq!(cluster.starts().len(), number, "not before its time");
        cluster.run(WAY);
        assert_eq!(cluster.starts().len(), number + 1, "job {number} is late");
        cluster.agents[0].end_all(Outcome::Done);
        cluster.run(300);
    }
}

#[test]
fn a_lost_answer_is_followed_by_a_void_and_no_second_start() {
    let mut cluster = with_runner();
    cluster.agents[0].lose_answers = true;
    cluster.submit("job");
    // Heartbeats would tell; only the revocation may.
    cluster.run_until(100, "the start", |cluster| {
        !cluster.agents[0].started.is_empty()
    });
    cluster.agents[0].silent = true;
    cluster.run(1_500);
    cluster.agents[0].silent = false;
    cluster.run(4_000);
    cluster.agents[0].end_all(Outcome::Done);
    cluster.run(500);
    assert_eq!(cluster.agents[0].started.len(), 1);
    assert_eq!(cluster.starts().len(), 1);
    assert_eq!(cluster.job("job").state, JobState::Done);
}

#[test]
fn a_start_that_never_arrives_is_voided_and_the_task_gets_a_new_run() {
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
    // The first start crosses late: its tombstone rejects it.
    let (_, late) = cluster.agents[0].kept_starts[0].clone();
    let now = cluster.now;
    assert_eq!(
        cluster.agents[0].carry_out(now, &late),
        OrderAnswer::Rejected(RejectionReason::KnownRun)
    );
    assert_eq!(cluster.agents[0].active.len(), 1);
}

#[test]
fn a_silent_runner_s_run_is_lost_after_lease_and_margin_and_stays_closed() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(500);
    let old = cluster.agents[0].started[0];
    cluster.agents[0].silent = true;
    cluster.add_agent(2);
    // The runner was silent for a second while the other one was added.
    cluster.run(given_up_after() - 1_500);
    assert!(
        cluster.agents[1].started.is_empty(),
        "lease and margin not over"
    );
    cluster.run_until(2_000, "the task on another runner", |cluster| {
        cluster.agents[1].started.len() == 1
    });
    // The old run ends late; it reopens and finishes nothing.
    cluster.agents[0].end_all(Outcome::Done);
    cluster.agents[0].silent = false;
    cluster.run(1_000);
    assert_eq!(cluster.job("job").state, JobState::Running);
    assert!(
        cluster.agents[0].ended.is_empty(),
        "confirmed, for it is closed"
    );
    assert!(cluster.state_machine().open_run(old).is_none());
    cluster.agents[1].end_all(Outcome::Done);
    cluster.run(500);
    assert_eq!(cluster.job("job").state, JobState::Done);
}

#[test]
fn a_lease_that_lapses_now_and_then_does_not_keep_a_silent_runner_s_runs() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(500);
    cluster.agents[0].silent = true;
    let leader = cluster.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    let term = cluster.status(leader).unwrap().term;
    let mut lapses = 0;
    let mut lapsed_for = 0;
    let silent_since = cluster.now;
    while cluster.now - silent_since < given_up_after() + lapsed_for + 1_000 {
        cluster.run(2_000);
        // Followers hear the leader and cannot answer: it stays leader.
        let heard = cluster.now;
        for follower in followers {
            cluster.servers[follower].disk_held = true;
        }
        cluster.ask(transport::Operation::Submit(jobs::job(&format!(
            "at-{heard}"
        ))));
        cluster.run_until(2_000, "a lapse", |cluster| cluster.leader().is_none());
        for follower in followers {
            cluster.release_disk(follower);
        }
        cluster.run_until(1_000, "the lease", |cluster| cluster.leader().is_some());
        lapses += 1;
        lapsed_for += cluster.now - heard;
    }
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.status(leader).unwrap().term, term);
    assert!(lapses > 4, "{lapses}");
    assert_eq!(cluster.job("job").steps[0].running, 0, "given up");
}

#[test]
fn a_late_done_end_settles_a_lost_run_s_task_before_it_starts_again() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(500);
    cluster.agents[0].silent = true;
    cluster.agents[0].end_all(Outcome::Done);
    cluster.run(given_up_after() + 1_000);
    assert!(cluster.state_machine().open_runs().is_empty(), "given up");
    assert_eq!(cluster.job("job").state, JobState::Running);
    cluster.agents[0].silent = false;
    cluster.run(2_000);
    assert_eq!(cluster.job("job").state, JobState::Done);
    assert_eq!(
        cluster.agents[0].started.len(),
        1,
        "done is not started again"
    );
    assert!(
        cluster.agents[0].ended.is_empty(),
        "confirmed once it is in"
    );
}

#[test]
fn a_runner_without_self_stop_keeps_its_runs_until_declared_lost() {
    let mut cluster = with_runner();
    cluster.agents[0].self_stop = false;
    cluster.submit("job");
    cluster.run(500);
    cluster.agents[0].silent = true;
    cluster.run(60_000);
    assert_eq!(cluster.state_machine().open_runs().len(), 1);
    let runner = cluster.agents[0].runner.clone();
    let answer = cluster.answer(transport::Operation::DeclareRunnerLost { runner });
    assert!(matches!(answer, Ok(transport::OperationReply::RunsLost { runs }) if runs.len() == 1));
    assert!(cluster.state_machine().open_runs().is_empty());
}

#[test]
fn a_new_leader_keeps_the_runs_of_a_silent_runner_without_self_stop() {
    let mut cluster = with_runner();
    cluster.agents[0].self_stop = false;
    cluster.run(500);
    cluster.submit("job");
    cluster.run(500);
    assert_eq!(cluster.agents[0].started.len(), 1);
    cluster.agents[0].silent = true;
    let leader = cluster.leader().unwrap();
    cluster.kill(leader);
    cluster.run(60_000);
    assert_eq!(cluster.state_machine().open_runs().len(), 1);
}

#[test]
fn runs_of_an_earlier_life_are_lost_with_it() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(500);
    let agent = &mut cluster.agents[0];
    agent.incarnation = 2;
    agent.active.clear();
    cluster.run(1_000);
    assert_eq!(cluster.agents[0].started.len(), 2);
    assert!(cluster.each_start_is_sent_once());
}

#[test]
fn another_runner_at_the_same_place_ends_the_runs_of_the_one_before() {
    let mut cluster = with_runner();
    cluster.agents[0].endpoint = EndpointName::new("10.0.0.1:80").ok();
    cluster.run(500);
    cluster.submit("job");
    cluster.run(500);
    assert_eq!(cluster.agents[0].started.len(), 1);
    let agent = &mut cluster.agents[0];
    agent.runner = RunnerId::new("its-successor").unwrap();
    agent.active.clear();
    cluster.run(1_000);
    assert_eq!(cluster.agents[0].started.len(), 2);
    assert!(cluster.each_start_is_sent_once());
}

#[test]
fn another_runner_at_another_place_ends_nothing() {
    let mut cluster = with_runner();
    cluster.agents[0].endpoint = EndpointName::new("10.0.0.1:80").ok();
    cluster.run(500);
    cluster.submit("job");
    cluster.run(500);
    let agent = &mut cluster.agents[0];
    agent.runner = RunnerId::new("another").unwrap();
    agent.endpoint = EndpointName::new("10.0.0.2:80").ok();
    agent.active.clear();
    cluster.run(1_000);
    assert_eq!(cluster.agents[0].started.len(), 1);
}

#[test]
fn a_new_leader_voids_runs_whose_start_is_not_known_to_have_landed() {
    let mut cluster = with_runner();
    cluster.agents[0].hold_starts = true;
    cluster.submit("job");
    cluster.run_until(500, "the start", |cluster| {
        !cluster.agents[0].kept_starts.is_empty()
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
        // The runner is silent, so nothing else speaks of the run.
        cluster.agents[0].silent = true;
        let from = cluster.agents[0].address.clone();
        cluster.tell_leader(from, PeerMessage::OrderResults { results });
        cluster.run(100);
        let open = cluster.state_machine().open_run(order.kind.run()).is_some();
        assert_eq!(open, stays_open, "{term}");
    }
}

#[test]
fn a_new_leader_keeps_runs_that_go_on() {
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

#[test]
fn a_new_leader_waits_lease_and_margin_for_a_runner_it_never_heard() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(500);
    cluster.agents[0].silent = true;
    let leader = cluster.leader().unwrap();
    cluster.kill(leader);
    cluster.run_until(5_000, "a new leader", |cluster| cluster.leader().is_some());
    cluster.run(given_up_after() - 500);
    assert_eq!(cluster.state_machine().open_runs().len(), 1);
    cluster.run(1_000);
    assert!(cluster.state_machine().open_runs().is_empty());
}

/// What only a leader under its lease may say.
fn is_act_of_a_leader(effect: &Effect) -> bool {
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

#[test]
fn a_leader_that_wakes_from_a_freeze_does_nothing_it_had_in_hand() {
    let mut cluster = with_runner();
    let frozen = cluster.leader().unwrap();
    // A submit, reports and syncs are under way when it freezes.
    cluster.ask(transport::Operation::Submit(jobs::job("job")));
    cluster.servers[frozen].frozen = true;
    cluster.run(25_000);
    assert!(cluster.leader().is_some_and(|leader| leader != frozen));
    let effects = cluster.wake(frozen);
    assert!(!effects.iter().any(is_act_of_a_leader));
}

#[test]
fn a_reservation_committed_after_a_lapse_of_the_lease_is_not_started() {
    let mut cluster = with_runner();
    let leader = cluster.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    cluster.submit("job");
    // The reservation waits for the disks while the lease lapses.
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
fn a_run_past_its_time_limit_is_stopped_and_counts_as_a_failure() {
    let mut cluster = with_runner();
    let mut job = jobs::job("job");
    job.steps[0].time_limit = types::Milliseconds(1_000);
    job.steps[0].allowed_failures = 0;
    cluster.answer(transport::Operation::Submit(job)).unwrap();
    cluster.run(4_000);
    assert_eq!(cluster.job("job").state, JobState::Failed);
    assert!(cluster.agents[0].active.is_empty());
}

#[test]
fn snapshots_carry_a_member_that_was_away() {
    let mut cluster = TestCluster::new(3);
    cluster.options.snapshot_every = 20;
    cluster.options.consensus.retained_entries = 5;
    (0..3).for_each(|server| cluster.start(server));
    cluster.run(4_000);
    cluster.put_configuration(1, document::document());
    cluster.run(100);
    let away = (cluster.leader().unwrap() + 1) % 3;
    cluster.kill(away);
    for number in 0..60 {
        cluster.submit(&format!("job-{number}"));
    }
    cluster.start(away);
    cluster.run(2_000);
    let state_machine = cluster.core(away).state_machine().unwrap();
    assert!(state_machine.job(&jobs::key("job-59")).is_some());
    assert_eq!(state_machine, cluster.state_machine());
}

#[test]
fn members_write_their_snapshots_apart() {
    let mut cluster = TestCluster::new(3);
    cluster.options.snapshot_every = 20;
    for server in 0..3 {
        cluster.start(server);
    }
    cluster.run(4_000);
    let put = cluster.put_configuration(1, document::document());
    cluster.run(200);
    assert!(cluster.replies[&put].is_ok());
    for number in 0..60 {
        cluster.submit(&format!("job-{number}"));
    }
    cluster.run(200);
    let written = cluster.snapshots.len();
    assert!(written >= 6, "{written}");
    let apart: std::collections::BTreeSet<_> = cluster.snapshots.iter().collect();
    assert_eq!(apart.len(), written, "{:?}", cluster.snapshots);
}

#[test]
fn a_task_that_failed_once_is_tried_on_another_runner_first() {
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
            "{job} went back to the runner it failed on"
        );
        cluster.agents[1 - first].end_all(Outcome::Done);
        cluster.run(500);
        assert_eq!(cluster.job(&job).state, JobState::Done);
    }
}
