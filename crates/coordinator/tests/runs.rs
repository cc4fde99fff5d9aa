//! Runs: one start, revocations, lease expiry, leader changes, freezes.

mod common;

use common::{World, document};
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

fn with_runner() -> World {
    let mut world = World::served();
    world.add_agent(1);
    world
}

#[test]
fn a_task_is_started_once_and_its_end_is_recorded() {
    let mut world = with_runner();
    world.submit("job");
    world.run(5_000);
    assert_eq!(world.starts().len(), 1);
    world.agents[0].end_all(Outcome::Done);
    world.run(500);
    assert_eq!(world.job("job").state, JobState::Done);
    assert!(world.agents[0].ended.is_empty(), "the record has it");
    world.run(5_000);
    assert_eq!(world.starts().len(), 1);
}

#[test]
fn a_task_with_a_start_time_starts_on_time() {
    // A pass through the log, and the way to the agent.
    const WAY: u64 = 12;
    let mut world = with_runner();
    for number in 0..10_usize {
        let mut job = document::job(&format!("job-{number}"));
        let wait = types::Milliseconds(300 + 13 * number as u64);
        let due = world.clock().wall + wait;
        job.start_at = Some(due);
        world.answer(transport::Operation::Submit(job)).unwrap();
        world.run(due.0 - world.clock().wall.0);
        assert_eq!(world.starts().len(), number, "not before its time");
        world.run(WAY);
        assert_eq!(world.starts().len(), number + 1, "job {number} is late");
        world.agents[0].end_all(Outcome::Done);
        world.run(300);
    }
}

#[test]
fn a_lost_answer_is_followed_by_a_void_and_no_second_start() {
    let mut world = with_runner();
    world.agents[0].lose_answers = true;
    world.submit("job");
    // Heartbeats would tell; only the revocation may.
    world.run_until(100, "the start", |world| {
        !world.agents[0].started.is_empty()
    });
    world.agents[0].silent = true;
    world.run(1_500);
    world.agents[0].silent = false;
    world.run(4_000);
    world.agents[0].end_all(Outcome::Done);
    world.run(500);
    assert_eq!(world.agents[0].started.len(), 1);
    assert_eq!(world.starts().len(), 1);
    assert_eq!(world.job("job").state, JobState::Done);
}

#[test]
fn a_start_that_never_arrives_is_voided_and_the_task_gets_a_new_run() {
    let mut world = with_runner();
    world.agents[0].hold_starts = true;
    world.submit("job");
    world.run(1_000);
    world.agents[0].hold_starts = false;
    world.run_until(4_000, "another run", |world| {
        world.agents[0].started.len() == 1
    });
    assert_eq!(world.starts().len(), 2);
    assert!(world.each_start_is_sent_once());
    // The first start crosses late: its tombstone rejects it.
    let (_, late) = world.agents[0].kept_starts[0].clone();
    let now = world.now;
    assert_eq!(
        world.agents[0].carry_out(now, &late),
        OrderAnswer::Rejected(RejectionReason::KnownRun)
    );
    assert_eq!(world.agents[0].active.len(), 1);
}

#[test]
fn a_silent_runner_s_run_is_lost_after_lease_and_margin_and_stays_closed() {
    let mut world = with_runner();
    world.submit("job");
    world.run(500);
    let old = world.agents[0].started[0];
    world.agents[0].silent = true;
    world.add_agent(2);
    // The runner was silent for a second while the other one was added.
    world.run(given_up_after() - 1_500);
    assert!(
        world.agents[1].started.is_empty(),
        "lease and margin not over"
    );
    world.run_until(2_000, "the task on another runner", |world| {
        world.agents[1].started.len() == 1
    });
    // The old run ends late; it reopens and finishes nothing.
    world.agents[0].end_all(Outcome::Done);
    world.agents[0].silent = false;
    world.run(1_000);
    assert_eq!(world.job("job").state, JobState::Running);
    assert!(
        world.agents[0].ended.is_empty(),
        "confirmed, for it is closed"
    );
    assert!(world.state_machine().open_run(old).is_none());
    world.agents[1].end_all(Outcome::Done);
    world.run(500);
    assert_eq!(world.job("job").state, JobState::Done);
}

#[test]
fn a_lease_that_lapses_now_and_then_does_not_keep_a_silent_runner_s_runs() {
    let mut world = with_runner();
    world.submit("job");
    world.run(500);
    world.agents[0].silent = true;
    let leader = world.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    let term = world.status(leader).unwrap().term;
    let mut lapses = 0;
    let mut lapsed_for = 0;
    let silent_since = world.now;
    while world.now - silent_since < given_up_after() + lapsed_for + 1_000 {
        world.run(2_000);
        // Followers hear the leader and cannot answer: it stays leader.
        let heard = world.now;
        for follower in followers {
            world.servers[follower].disk_held = true;
        }
        world.ask(transport::Operation::Submit(document::job(&format!(
            "at-{heard}"
        ))));
        world.run_until(2_000, "a lapse", |world| world.leader().is_none());
        for follower in followers {
            world.release_disk(follower);
        }
        world.run_until(1_000, "the lease", |world| world.leader().is_some());
        lapses += 1;
        lapsed_for += world.now - heard;
    }
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.status(leader).unwrap().term, term);
    assert!(lapses > 4, "{lapses}");
    assert_eq!(world.job("job").steps[0].running, 0, "given up");
}

#[test]
fn a_late_done_end_settles_a_lost_run_s_task_before_it_starts_again() {
    let mut world = with_runner();
    world.submit("job");
    world.run(500);
    world.agents[0].silent = true;
    world.agents[0].end_all(Outcome::Done);
    world.run(given_up_after() + 1_000);
    assert!(world.state_machine().open_runs().is_empty(), "given up");
    assert_eq!(world.job("job").state, JobState::Running);
    world.agents[0].silent = false;
    world.run(2_000);
    assert_eq!(world.job("job").state, JobState::Done);
    assert_eq!(
        world.agents[0].started.len(),
        1,
        "done is not started again"
    );
    assert!(world.agents[0].ended.is_empty(), "confirmed once it is in");
}

#[test]
fn a_runner_without_self_stop_keeps_its_runs_until_declared_lost() {
    let mut world = with_runner();
    world.agents[0].self_stop = false;
    world.submit("job");
    world.run(500);
    world.agents[0].silent = true;
    world.run(60_000);
    assert_eq!(world.state_machine().open_runs().len(), 1);
    let runner = world.agents[0].runner.clone();
    let answer = world.answer(transport::Operation::DeclareRunnerLost { runner });
    assert!(matches!(answer, Ok(transport::OperationReply::RunsLost { runs }) if runs.len() == 1));
    assert!(world.state_machine().open_runs().is_empty());
}

#[test]
fn a_new_leader_keeps_the_runs_of_a_silent_runner_without_self_stop() {
    let mut world = with_runner();
    world.agents[0].self_stop = false;
    world.run(500);
    world.submit("job");
    world.run(500);
    assert_eq!(world.agents[0].started.len(), 1);
    world.agents[0].silent = true;
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.run(60_000);
    assert_eq!(world.state_machine().open_runs().len(), 1);
}

#[test]
fn runs_of_an_earlier_life_are_lost_with_it() {
    let mut world = with_runner();
    world.submit("job");
    world.run(500);
    let agent = &mut world.agents[0];
    agent.incarnation = 2;
    agent.active.clear();
    world.run(1_000);
    assert_eq!(world.agents[0].started.len(), 2);
    assert!(world.each_start_is_sent_once());
}

#[test]
fn another_runner_at_the_same_place_ends_the_runs_of_the_one_before() {
    let mut world = with_runner();
    world.agents[0].endpoint = EndpointName::new("10.0.0.1:80").ok();
    world.run(500);
    world.submit("job");
    world.run(500);
    assert_eq!(world.agents[0].started.len(), 1);
    let agent = &mut world.agents[0];
    agent.runner = RunnerId::new("its-successor").unwrap();
    agent.active.clear();
    world.run(1_000);
    assert_eq!(world.agents[0].started.len(), 2);
    assert!(world.each_start_is_sent_once());
}

#[test]
fn another_runner_at_another_place_ends_nothing() {
    let mut world = with_runner();
    world.agents[0].endpoint = EndpointName::new("10.0.0.1:80").ok();
    world.run(500);
    world.submit("job");
    world.run(500);
    let agent = &mut world.agents[0];
    agent.runner = RunnerId::new("another").unwrap();
    agent.endpoint = EndpointName::new("10.0.0.2:80").ok();
    agent.active.clear();
    world.run(1_000);
    assert_eq!(world.agents[0].started.len(), 1);
}

#[test]
fn a_new_leader_voids_runs_whose_start_is_not_known_to_have_landed() {
    let mut world = with_runner();
    world.agents[0].hold_starts = true;
    world.submit("job");
    world.run_until(500, "the start", |world| {
        !world.agents[0].kept_starts.is_empty()
    });
    let old = world.starts()[0];
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.agents[0].hold_starts = false;
    world.run_until(8_000, "another run", |world| {
        !world.agents[0].started.is_empty()
    });
    assert!(world.agents[0].tombstones.contains(&old));
    assert!(world.each_start_is_sent_once());
}

#[test]
fn answers_to_orders_of_another_term_are_ignored() {
    let mut world = with_runner();
    world.submit("job");
    world.run(500);
    let order = world.orders()[0].clone();
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
        world.agents[0].silent = true;
        let from = world.agents[0].address.clone();
        world.tell_leader(from, PeerMessage::OrderResults { results });
        world.run(100);
        let open = world.state_machine().open_run(order.kind.run()).is_some();
        assert_eq!(open, stays_open, "{term}");
    }
}

#[test]
fn a_new_leader_keeps_runs_that_go_on() {
    let mut world = with_runner();
    world.submit("job");
    world.run(500);
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.run(20_000);
    assert_eq!(world.starts().len(), 1);
    world.agents[0].end_all(Outcome::Done);
    world.run(500);
    assert_eq!(world.job("job").state, JobState::Done);
}

#[test]
fn a_new_leader_waits_lease_and_margin_for_a_runner_it_never_heard() {
    let mut world = with_runner();
    world.submit("job");
    world.run(500);
    world.agents[0].silent = true;
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.run_until(5_000, "a new leader", |world| world.leader().is_some());
    world.run(given_up_after() - 500);
    assert_eq!(world.state_machine().open_runs().len(), 1);
    world.run(1_000);
    assert!(world.state_machine().open_runs().is_empty());
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
    let mut world = with_runner();
    let frozen = world.leader().unwrap();
    // A submit, reports and syncs are under way when it freezes.
    world.ask(transport::Operation::Submit(document::job("job")));
    world.servers[frozen].frozen = true;
    world.run(25_000);
    assert!(world.leader().is_some_and(|leader| leader != frozen));
    let effects = world.wake(frozen);
    assert!(!effects.iter().any(is_act_of_a_leader));
}

#[test]
fn a_reservation_committed_after_a_lapse_of_the_lease_is_not_started() {
    let mut world = with_runner();
    let leader = world.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    world.submit("job");
    // The reservation waits for the disks while the lease lapses.
    for follower in followers {
        world.servers[follower].disk_held = true;
    }
    world.run(3_000);
    for follower in followers {
        world.release_disk(follower);
    }
    world.run(5_000);
    assert!(world.each_start_is_sent_once());
    assert_eq!(world.agents[0].active.len(), 1);
}

#[test]
fn a_run_past_its_time_limit_is_stopped_and_counts_as_a_failure() {
    let mut world = with_runner();
    let mut job = document::job("job");
    job.steps[0].time_limit = types::Milliseconds(1_000);
    job.steps[0].allowed_failures = 0;
    world.answer(transport::Operation::Submit(job)).unwrap();
    world.run(4_000);
    assert_eq!(world.job("job").state, JobState::Failed);
    assert!(world.agents[0].active.is_empty());
}

#[test]
fn snapshots_carry_a_member_that_was_away() {
    let mut world = World::new(3);
    world.options.snapshot_every = 20;
    world.options.consensus.retained_entries = 5;
    (0..3).for_each(|server| world.start(server));
    world.run(4_000);
    world.put_configuration(1, document::document());
    world.run(100);
    let away = (world.leader().unwrap() + 1) % 3;
    world.kill(away);
    for number in 0..60 {
        world.submit(&format!("job-{number}"));
    }
    world.start(away);
    world.run(2_000);
    let state_machine = world.core(away).state_machine().unwrap();
    assert!(state_machine.job(&document::key("job-59")).is_some());
    assert_eq!(state_machine, world.state_machine());
}

#[test]
fn members_write_their_snapshots_apart() {
    let mut world = World::new(3);
    world.options.snapshot_every = 20;
    for server in 0..3 {
        world.start(server);
    }
    world.run(4_000);
    let put = world.put_configuration(1, document::document());
    world.run(200);
    assert!(world.replies[&put].is_ok());
    for number in 0..60 {
        world.submit(&format!("job-{number}"));
    }
    world.run(200);
    let written = world.snapshots.len();
    assert!(written >= 6, "{written}");
    let apart: std::collections::BTreeSet<_> = world.snapshots.iter().collect();
    assert_eq!(apart.len(), written, "{:?}", world.snapshots);
}

#[test]
fn a_task_that_failed_once_is_tried_on_another_runner_first() {
    let mut world = with_runner();
    world.add_agent(2);
    for number in 0..6 {
        let job = format!("job-{number}");
        world.submit(&job);
        world.run_until(1_000, "the first start", |world| {
            world.agents.iter().any(|agent| !agent.active.is_empty())
        });
        let first = usize::from(world.agents[0].active.is_empty());
        let failure = Outcome::Failed("exit code 1".to_owned());
        world.agents[first].end_all(failure);
        world.run_until(3_000, "the second start", |world| {
            world.agents.iter().any(|agent| !agent.active.is_empty())
        });
        assert!(
            world.agents[first].active.is_empty(),
            "{job} went back to the runner it failed on"
        );
        world.agents[1 - first].end_all(Outcome::Done);
        world.run(500);
        assert_eq!(world.job(&job).state, JobState::Done);
    }
}
