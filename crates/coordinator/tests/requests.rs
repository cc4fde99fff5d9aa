//! Requests: acknowledgement, rejection, configuration, reads.

mod common;

use common::{World, document};
use coordinator::Effect;
use state_machine::CancelSelector;
use transport::{Operation, OperationReply, PeerMessage, RejectionCode};
use types::{ConfigurationVersion, JobState, Milliseconds};

#[test]
fn a_submit_is_acknowledged_only_after_a_majority_has_synced() {
    let mut world = World::served();
    let leader = world.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    for follower in followers {
        world.servers[follower].disk_held = true;
    }
    let id = world.ask(Operation::Submit(document::job("job")));
    world.run(300);
    assert!(!world.replies.contains_key(&id));
    world.release_disk(followers[0]);
    world.run(50);
    assert!(matches!(
        world.replies.get(&id),
        Some(Ok(OperationReply::Submitted { known: false, .. }))
    ));
}

#[test]
fn a_resent_submit_is_the_same_job_and_other_content_a_conflict() {
    let mut world = World::served();
    let first = world.answer(Operation::Submit(document::job("job")));
    let Ok(OperationReply::Submitted { number, .. }) = first else {
        panic!("{first:?}");
    };
    let again = world.answer(Operation::Submit(document::job("job")));
    let known = true;
    assert_eq!(again, Ok(OperationReply::Submitted { number, known }));
    let mut other = document::job("job");
    other.steps[0].tasks = 2;
    let conflict = world.answer(Operation::Submit(other)).unwrap_err();
    assert_eq!(conflict.code, RejectionCode::Conflict);
}

/// A world whose tenant may send so many submits a second, and no burst.
fn served_with_rate(submits_per_second: u32) -> World {
    let mut world = World::served();
    let mut slow = document::document();
    let contract = slow.tenants.get_mut(&document::tenant()).unwrap();
    contract.submits_per_second = submits_per_second;
    contract.submit_burst = 1;
    let put = world.put_configuration(2, slow);
    world.run(100);
    assert!(world.replies[&put].is_ok());
    world
}

#[test]
fn a_tenant_over_its_rate_is_refused_at_once_with_the_time_to_come_back() {
    let mut world = served_with_rate(2);
    world.submit("first");
    let id = world.ask(Operation::Submit(document::job("second")));
    world.run(3);
    let rejection = world.replies[&id].clone().unwrap_err();
    assert_eq!(rejection.code, RejectionCode::Overloaded);
    let wait = rejection.retry_after.unwrap();
    assert!(
        wait > Milliseconds(0) && wait <= Milliseconds(500),
        "{wait}"
    );
    world.run(wait.0);
    world.submit("second");
}

/// Whether a coordinator answered a request through another.
fn is_relayed_reply(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Relay(relay) if matches!(*relay.body, PeerMessage::Reply(_)))
}

#[test]
fn a_request_sent_again_while_it_waits_is_charged_once_and_answered_where_it_came_from_last() {
    let mut world = served_with_rate(1);
    let leader = world.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    for follower in followers {
        world.servers[follower].disk_held = true;
    }
    let submit = Operation::Submit(document::job("job"));
    let id = world.ask(submit.clone());
    world.run(50);
    let entries = world.status(leader).unwrap().last_index;
    for _ in 0..3 {
        world.ask_again_through(followers[0], submit.clone());
        world.run(20);
    }
    assert!(!world.replies.contains_key(&id), "nothing was refused");
    assert_eq!(world.status(leader).unwrap().last_index, entries);
    assert!(!world.sent.iter().any(|(_, sent)| is_relayed_reply(sent)));
    for follower in followers {
        world.release_disk(follower);
    }
    world.run(50);
    assert!(matches!(
        world.replies.get(&id),
        Some(Ok(OperationReply::Submitted { known: false, .. }))
    ));
    let from_leader = |(port, sent): &&(u16, PeerMessage)| {
        *port == world.servers[leader].port && is_relayed_reply(sent)
    };
    assert_eq!(world.sent.iter().filter(from_leader).count(), 1);
}

#[test]
fn more_requests_than_may_wait_are_refused_at_once() {
    let mut world = World::new(3);
    world.options.max_waiting_requests = 5;
    (0..3).for_each(|server| world.start(server));
    world.run(4_000);
    world.put_configuration(1, document::document());
    world.run(100);
    for server in 0..3 {
        world.servers[server].disk_held = true;
    }
    let ids: Vec<u64> = (0..8)
        .map(|n| world.ask(Operation::Submit(document::job(&format!("job-{n}")))))
        .collect();
    world.run(3);
    let rejected = ids.iter().filter(|id| {
        matches!(world.replies.get(id), Some(Err(rejection))
            if rejection.code == RejectionCode::Overloaded && rejection.retry_after.is_some())
    });
    assert_eq!(rejected.count(), 3);
}

#[test]
fn of_two_configurations_under_one_version_exactly_one_wins() {
    let mut world = World::served();
    let mut first = document::document();
    first.timings.run_lease = Milliseconds(11_000);
    let mut second = document::document();
    second.timings.run_lease = Milliseconds(12_000);
    let ids = [
        world.put_configuration(2, first.clone()),
        world.put_configuration(2, second),
    ];
    world.run(100);
    assert!(world.replies[&ids[0]].is_ok());
    let lost = world.replies[&ids[1]].clone().unwrap_err();
    assert_eq!(lost.code, RejectionCode::Conflict);
    let version = ConfigurationVersion(2);
    let again = world.answer(Operation::PutConfiguration {
        version,
        document: first,
    });
    let known = true;
    assert_eq!(again, Ok(OperationReply::Configured { version, known }));
}

/// Configuration versions of the coordinators, as the leader lists them.
fn member_versions(world: &mut World) -> Vec<Option<u64>> {
    let Ok(OperationReply::Members(members)) = world.answer(Operation::ListMembers) else {
        panic!("no members");
    };
    let versions = members.iter().map(|member| member.configuration);
    versions.map(|version| version.map(|v| v.0)).collect()
}

#[test]
fn members_show_the_configuration_each_coordinator_has_applied() {
    let mut world = World::served();
    world.run(500);
    assert_eq!(member_versions(&mut world), [Some(1); 3]);
    let leader = world.leader().unwrap();
    let away = (leader + 1) % 3;
    world.cut.insert(world.servers[away].port);
    let put = world.put_configuration(2, document::document());
    world.run(500);
    assert!(world.replies[&put].is_ok());
    let mut expected = [Some(2); 3];
    expected[away] = Some(1);
    assert_eq!(member_versions(&mut world), expected);
    world.cut.clear();
    world.run(2_000);
    assert_eq!(member_versions(&mut world), [Some(2); 3]);
}

#[test]
fn a_member_that_has_not_reported_to_this_leader_shows_no_configuration() {
    let mut world = World::served();
    let old = world.leader().unwrap();
    world.kill(old);
    world.run_until(8_000, "a new leader", |world| world.leader().is_some());
    world.run(500);
    let mut expected = [Some(1); 3];
    expected[old] = None;
    assert_eq!(member_versions(&mut world), expected);
}

#[test]
fn a_leader_that_lost_its_lease_answers_waiting_requests_at_once() {
    let mut world = World::served();
    let leader = world.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    for follower in followers {
        world.cut.insert(8_000 + follower as u16);
    }
    let id = world.ask(Operation::Submit(document::job("job")));
    world.run(1_500);
    let rejection = world.replies[&id].clone().unwrap_err();
    assert_eq!(rejection.code, RejectionCode::TimedOut);
    assert!(rejection.retry_after.is_some());
    assert_eq!(world.leader(), None);
}

#[test]
fn a_cancelled_job_is_cancelled_and_its_run_is_stopped() {
    let mut world = World::served();
    world.add_agent(1);
    world.submit("job");
    world.run(200);
    assert_eq!(world.agents[0].active.len(), 1);
    let selector = CancelSelector::Jobs(vec![document::key("job")]);
    let answer = world.answer(Operation::Cancel(selector));
    assert!(matches!(
        answer,
        Ok(OperationReply::Cancelled { cancelled: 1, .. })
    ));
    world.run(1_000);
    assert!(world.agents[0].active.is_empty());
    assert_eq!(world.job("job").state, JobState::Cancelled);
    assert!(world.state_machine().open_runs().is_empty());
}

#[test]
fn a_drained_runner_gets_nothing_new() {
    let mut world = World::served();
    world.add_agent(1);
    let runner = world.agents[0].runner.clone();
    let draining = true;
    let answer = world.answer(Operation::DrainRunner { runner, draining });
    assert_eq!(answer, Ok(OperationReply::Accepted));
    world.submit("job");
    world.run(2_000);
    assert!(world.starts().is_empty());
    world.add_agent(2);
    world.run(500);
    assert_eq!(world.agents[1].active.len(), 1);
}

#[test]
fn a_member_behind_a_relay_is_served_through_it() {
    let mut world = World::served();
    let follower = (world.leader().unwrap() + 1) % 3;
    let mut agent = common::agent::ScriptedAgent::new(1, world.now);
    agent.via = Some(common::socket(8_000 + follower as u16));
    world.agents.push(agent);
    world.run(1_000);
    world.submit("job");
    world.run(500);
    assert_eq!(world.agents[0].started.len(), 1);
    assert!(!world.agents[0].updates.is_empty());
}

#[test]
fn reads_show_queues_tenants_members_runners_and_decisions() {
    let mut world = World::served();
    world.add_agent(1);
    world.submit("job");
    world.run(300);
    let Ok(OperationReply::Queues(queues)) = world.answer(Operation::ListQueues) else {
        panic!("no queues");
    };
    assert_eq!((queues[0].unfinished_jobs, queues[0].open_runs), (1, 1));
    let Ok(OperationReply::Tenants(tenants)) = world.answer(Operation::ListTenants) else {
        panic!("no tenants");
    };
    assert_eq!(tenants[0].usage, document::slots(1));
    let Ok(OperationReply::Members(members)) = world.answer(Operation::ListMembers) else {
        panic!("no members");
    };
    assert_eq!(members.len(), 4);
    let Ok(OperationReply::Runners(runners)) = world.answer(Operation::ListRunners) else {
        panic!("no runners");
    };
    assert_eq!(runners.len(), 1);
    let log = Operation::Decisions {
        after: 0,
        limit: 10,
    };
    let Ok(OperationReply::Decisions(decisions)) = world.answer(log) else {
        panic!("no decisions");
    };
    assert!(decisions.len() >= 2);
    assert!(matches!(
        world.answer(Operation::Explain(document::key("job"))),
        Ok(OperationReply::Explained { lines }) if lines.len() == 1
    ));
}

#[test]
fn a_request_that_waited_too_long_is_refused_and_never_taken() {
    let mut world = World::served();
    let submit = || Operation::Submit(document::job("late"));
    let id = world.tell_overdue(submit());
    world.run(300);
    let rejection = world.replies[&id].clone().unwrap_err();
    assert_eq!(rejection.code, RejectionCode::Overloaded);
    assert!(rejection.retry_after.is_some());
    assert!(world.state_machine().job(&document::key("late")).is_none());
}

#[test]
fn a_second_sending_that_waited_too_long_leaves_the_answer_to_the_first() {
    let mut world = World::served();
    let leader = world.leader().unwrap();
    for follower in [(leader + 1) % 3, (leader + 2) % 3] {
        world.servers[follower].disk_held = true;
    }
    let id = world.ask(Operation::Submit(document::job("twice")));
    world.run(20);
    world.tell_overdue_again(Operation::Submit(document::job("twice")));
    world.run(50);
    assert!(!world.replies.contains_key(&id));
    for follower in [(leader + 1) % 3, (leader + 2) % 3] {
        world.release_disk(follower);
    }
    world.run(50);
    assert!(world.replies[&id].is_ok());
}

#[test]
fn requests_that_are_there_together_share_one_write_and_one_message_a_follower() {
    let mut world = World::served();
    let submits = (0..20).map(|number| Operation::Submit(document::job(&format!("job-{number}"))));
    let effects = world.effects_of_all(submits.collect());
    let is_write = |effect: &&Effect| matches!(effect, Effect::Persist { .. });
    let is_raft = |effect: &&Effect| {
        matches!(
            effect,
            Effect::Send {
                message: PeerMessage::Raft { .. },
                ..
            }
        )
    };
    assert_eq!(effects.iter().filter(is_write).count(), 1);
    assert_eq!(effects.iter().filter(is_raft).count(), 2);
    let leader = world.leader().unwrap();
    for effect in effects {
        world.apply(leader, effect);
    }
    world.run(100);
    let answered = world.replies.values();
    let taken = answered.filter(|reply| matches!(reply, Ok(OperationReply::Submitted { .. })));
    assert_eq!(taken.count(), 20);
}

fn followers_of(leader: usize) -> [usize; 2] {
    [(leader + 1) % 3, (leader + 2) % 3]
}

/// Asks for a job; then followers hear the leader and cannot answer, until its
/// lease lapses.
fn lapse(world: &mut World) -> u64 {
    for follower in followers_of(world.leader().unwrap()) {
        world.servers[follower].disk_held = true;
    }
    let id = world.ask(Operation::Submit(document::job("job")));
    world.run_until(2_000, "a lapse", |world| world.leader().is_none());
    id
}

#[test]
fn a_request_that_waits_is_answered_at_once_when_leadership_is_lost() {
    let mut world = World::served();
    let leader = world.leader().unwrap();
    let id = lapse(&mut world);
    assert!(!world.replies.contains_key(&id));
    // From here on it hears nobody, and steps down after an election timeout.
    for follower in followers_of(leader) {
        world.cut.insert(world.servers[follower].port);
    }
    world.run(1_000);
    let rejection = world.replies[&id].clone().unwrap_err();
    assert_eq!(
        rejection.code,
        RejectionCode::TimedOut,
        "it may be taken yet"
    );
}

#[test]
fn a_request_that_waits_is_answered_when_the_lease_holds_again() {
    let mut world = World::served();
    let leader = world.leader().unwrap();
    let id = lapse(&mut world);
    assert!(!world.replies.contains_key(&id), "{:?}", world.replies[&id]);
    for follower in followers_of(leader) {
        world.release_disk(follower);
    }
    world.run_until(500, "the lease", |world| world.leader().is_some());
    world.run(50);
    assert_eq!(world.leader(), Some(leader));
    assert!(world.replies[&id].is_ok(), "{:?}", world.replies[&id]);
}

#[test]
fn leases_name_gateways_and_agents_now_and_then_only() {
    let mut world = World::served();
    world.add_agent(1);
    world.add_agent(2);
    world.run(20_000);
    let named = &world.agents[0].named;
    let told = named.iter().filter(|others| **others > 0).count();
    assert!(told >= 1, "{named:?}");
    assert!(told * 12 <= named.len(), "{named:?}");
}
