//! Requests: acknowledgement, rejection, configuration, reads.

use crate::test_cluster::{TestCluster, document, jobs};
use coordinator::Effect;
use state_machine::CancelSelector;
use transport::{Operation, OperationReply, PeerMessage, RejectionCode};
use types::{ConfigurationVersion, JobState, Milliseconds};

#[test]
fn a_submit_is_acknowledged_only_after_a_majority_has_synced() {
    let mut cluster = TestCluster::served();
    let leader = cluster.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    for follower in followers {
        cluster.servers[follower].disk_held = true;
    }
    let id = cluster.ask(Operation::Submit(jobs::job("job")));
    cluster.run(300);
    assert!(!cluster.replies.contains_key(&id));
    cluster.release_disk(followers[0]);
    cluster.run(50);
    assert!(matches!(
        cluster.replies.get(&id),
        Some(Ok(OperationReply::Submitted { known: false, .. }))
    ));
}

#[test]
fn a_resent_submit_is_the_same_job_and_other_content_a_conflict() {
    let mut cluster = TestCluster::served();
    let first = cluster.answer(Operation::Submit(jobs::job("job")));
    let Ok(OperationReply::Submitted { number, .. }) = first else {
        panic!("{first:?}");
    };
    let again = cluster.answer(Operation::Submit(jobs::job("job")));
    let known = true;
    assert_eq!(again, Ok(OperationReply::Submitted { number, known }));
    let mut other = jobs::job("job");
    other.steps[0].tasks = 2;
    let conflict = cluster.answer(Operation::Submit(other)).unwrap_err();
    assert_eq!(conflict.code, RejectionCode::Conflict);
}

/// A cluster whose tenant may send so many submits a second, and no burst.
fn served_with_rate(submits_per_second: u32) -> TestCluster {
    let mut cluster = TestCluster::served();
    let mut slow = document::document();
    let contract = slow.tenants.get_mut(&document::tenant()).unwrap();
    contract.submits_per_second = submits_per_second;
    contract.submit_burst = 1;
    let put = cluster.put_configuration(2, slow);
    cluster.run(100);
    assert!(cluster.replies[&put].is_ok());
    cluster
}

#[test]
fn a_tenant_over_its_rate_is_refused_at_once_with_the_time_to_come_back() {
    let mut cluster = served_with_rate(2);
    cluster.submit("first");
    let id = cluster.ask(Operation::Submit(jobs::job("second")));
    cluster.run(3);
    let rejection = cluster.replies[&id].clone().unwrap_err();
    assert_eq!(rejection.code, RejectionCode::Overloaded);
    let wait = rejection.retry_after.unwrap();
    assert!(
        wait > Milliseconds(0) && wait <= Milliseconds(500),
        "{wait}"
    );
    cluster.run(wait.0);
    cluster.submit("second");
}

/// Whether a coordinator answered a request through another.
fn is_relayed_reply(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Relay(relay) if matches!(*relay.body, PeerMessage::Reply(_)))
}

#[test]
fn a_request_sent_again_while_it_waits_is_charged_once_and_answered_where_it_came_from_last() {
    let mut cluster = served_with_rate(1);
    let leader = cluster.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    for follower in followers {
        cluster.servers[follower].disk_held = true;
    }
    let submit = Operation::Submit(jobs::job("job"));
    let id = cluster.ask(submit.clone());
    cluster.run(50);
    let entries = cluster.status(leader).unwrap().last_index;
    for _ in 0..3 {
        cluster.ask_again_through(followers[0], submit.clone());
        cluster.run(20);
    }
    assert!(!cluster.replies.contains_key(&id), "nothing was refused");
    assert_eq!(cluster.status(leader).unwrap().last_index, entries);
    assert!(!cluster.sent.iter().any(|(_, sent)| is_relayed_reply(sent)));
    for follower in followers {
        cluster.release_disk(follower);
    }
    cluster.run(50);
    assert!(matches!(
        cluster.replies.get(&id),
        Some(Ok(OperationReply::Submitted { known: false, .. }))
    ));
    let from_leader = |(port, sent): &&(u16, PeerMessage)| {
        *port == cluster.servers[leader].port && is_relayed_reply(sent)
    };
    assert_eq!(cluster.sent.iter().filter(from_leader).count(), 1);
}

#[test]
fn more_requests_than_may_wait_are_refused_at_once() {
    let mut cluster = TestCluster::new(3);
    cluster.options.max_waiting_requests = 5;
    (0..3).for_each(|server| cluster.start(server));
    cluster.run(4_000);
    cluster.put_configuration(1, document::document());
    cluster.run(100);
    for server in 0..3 {
        cluster.servers[server].disk_held = true;
    }
    let ids: Vec<u64> = (0..8)
        .map(|n| cluster.ask(Operation::Submit(jobs::job(&format!("job-{n}")))))
        .collect();
    cluster.run(3);
    let rejected = ids.iter().filter(|id| {
        matches!(cluster.replies.get(id), Some(Err(rejection))
            if rejection.code == RejectionCode::Overloaded && rejection.retry_after.is_some())
    });
    assert_eq!(rejected.count(), 3);
}

#[test]
fn of_two_configurations_under_one_version_exactly_one_wins() {
    let mut cluster = TestCluster::served();
    let mut first = document::document();
    first.timings.run_lease = Milliseconds(11_000);
    let mut second = document::document();
    second.timings.run_lease = Milliseconds(12_000);
    let ids = [
        cluster.put_configuration(2, first.clone()),
        cluster.put_configuration(2, second),
    ];
    cluster.run(100);
    assert!(cluster.replies[&ids[0]].is_ok());
    let lost = cluster.replies[&ids[1]].clone().unwrap_err();
    assert_eq!(lost.code, RejectionCode::Conflict);
    let version = ConfigurationVersion(2);
    let again = cluster.answer(Operation::PutConfiguration {
        version,
        document: first,
    });
    let known = true;
    assert_eq!(again, Ok(OperationReply::Configured { version, known }));
}

/// Configuration versions of the coordinators, as the leader lists them.
fn member_versions(cluster: &mut TestCluster) -> Vec<Option<u64>> {
    let Ok(OperationReply::Members(members)) = cluster.answer(Operation::ListMembers) else {
        panic!("no members");
    };
    let versions = members.iter().map(|member| member.configuration);
    versions.map(|version| version.map(|v| v.0)).collect()
}

#[test]
fn members_show_the_configuration_each_coordinator_has_applied() {
    let mut cluster = TestCluster::served();
    cluster.run(500);
    assert_eq!(member_versions(&mut cluster), [Some(1); 3]);
    let leader = cluster.leader().unwrap();
    let away = (leader + 1) % 3;
    cluster.cut.insert(cluster.servers[away].port);
    let put = cluster.put_configuration(2, document::document());
    cluster.run(500);
    assert!(cluster.replies[&put].is_ok());
    let mut expected = [Some(2); 3];
    expected[away] = Some(1);
    assert_eq!(member_versions(&mut cluster), expected);
    cluster.cut.clear();
    cluster.run(2_000);
    assert_eq!(member_versions(&mut cluster), [Some(2); 3]);
}

#[test]
fn a_member_that_has_not_reported_to_this_leader_shows_no_configuration() {
    let mut cluster = TestCluster::served();
    let old = cluster.leader().unwrap();
    cluster.kill(old);
    cluster.run_until(8_000, "a new leader", |cluster| cluster.leader().is_some());
    cluster.run(500);
    let mut expected = [Some(1); 3];
    expected[old] = None;
    assert_eq!(member_versions(&mut cluster), expected);
}

#[test]
fn a_leader_that_lost_its_lease_answers_waiting_requests_at_once() {
    let mut cluster = TestCluster::served();
    let leader = cluster.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    for follower in followers {
        cluster.cut.insert(8_000 + u16::try_from(follower).unwrap());
    }
    let id = cluster.ask(Operation::Submit(jobs::job("job")));
    cluster.run(1_500);
    let rejection = cluster.replies[&id].clone().unwrap_err();
    assert_eq!(rejection.code, RejectionCode::TimedOut);
    assert!(rejection.retry_after.is_some());
    assert_eq!(cluster.leader(), None);
}

#[test]
fn a_cancelled_job_is_cancelled_and_its_run_is_stopped() {
    let mut cluster = TestCluster::served();
    cluster.add_agent(1);
    cluster.submit("job");
    cluster.run(200);
    assert_eq!(cluster.agents[0].active.len(), 1);
    let selector = CancelSelector::Jobs(vec![jobs::key("job")]);
    let answer = cluster.answer(Operation::Cancel(selector));
    assert!(matches!(
        answer,
        Ok(OperationReply::Cancelled { cancelled: 1, .. })
    ));
    cluster.run(1_000);
    assert!(cluster.agents[0].active.is_empty());
    assert_eq!(cluster.job("job").state, JobState::Cancelled);
    assert!(cluster.state_machine().open_runs().is_empty());
}

#[test]
fn a_drained_runner_gets_nothing_new() {
    let mut cluster = TestCluster::served();
    cluster.add_agent(1);
    let runner = cluster.agents[0].runner.clone();
    let draining = true;
    let answer = cluster.answer(Operation::DrainRunner { runner, draining });
    assert_eq!(answer, Ok(OperationReply::Accepted));
    cluster.submit("job");
    cluster.run(2_000);
    assert!(cluster.starts().is_empty());
    cluster.add_agent(2);
    cluster.run(500);
    assert_eq!(cluster.agents[1].active.len(), 1);
}

#[test]
fn a_member_behind_a_relay_is_served_through_it() {
    let mut cluster = TestCluster::served();
    let follower = (cluster.leader().unwrap() + 1) % 3;
    let mut agent = crate::test_cluster::agent::ScriptedAgent::new(1, cluster.now);
    agent.via = Some(crate::test_cluster::socket(
        8_000 + u16::try_from(follower).unwrap(),
    ));
    cluster.agents.push(agent);
    cluster.run(1_000);
    cluster.submit("job");
    cluster.run(500);
    assert_eq!(cluster.agents[0].started.len(), 1);
    assert!(!cluster.agents[0].updates.is_empty());
}

#[test]
fn reads_show_queues_tenants_members_runners_and_decisions() {
    let mut cluster = TestCluster::served();
    cluster.add_agent(1);
    cluster.submit("job");
    cluster.run(300);
    let Ok(OperationReply::Queues(queues)) = cluster.answer(Operation::ListQueues) else {
        panic!("no queues");
    };
    assert_eq!((queues[0].unfinished_jobs, queues[0].open_runs), (1, 1));
    let Ok(OperationReply::Tenants(tenants)) = cluster.answer(Operation::ListTenants) else {
        panic!("no tenants");
    };
    assert_eq!(tenants[0].usage, document::slots(1));
    let Ok(OperationReply::Members(members)) = cluster.answer(Operation::ListMembers) else {
        panic!("no members");
    };
    assert_eq!(members.len(), 4);
    let Ok(OperationReply::Runners(runners)) = cluster.answer(Operation::ListRunners) else {
        panic!("no runners");
    };
    assert_eq!(runners.len(), 1);
    let log = Operation::Decisions {
        after: 0,
        limit: 10,
    };
    let Ok(OperationReply::Decisions(decisions)) = cluster.answer(log) else {
        panic!("no decisions");
    };
    assert!(decisions.len() >= 2);
    assert!(matches!(
        cluster.answer(Operation::Explain(jobs::key("job"))),
        Ok(OperationReply::Explained { lines }) if lines.len() == 1
    ));
}

#[test]
fn a_request_that_waited_too_long_is_refused_and_never_taken() {
    let mut cluster = TestCluster::served();
    let submit = || Operation::Submit(jobs::job("late"));
    let id = cluster.tell_overdue(submit());
    cluster.run(300);
    let rejection = cluster.replies[&id].clone().unwrap_err();
    assert_eq!(rejection.code, RejectionCode::Overloaded);
    assert!(rejection.retry_after.is_some());
    assert!(cluster.state_machine().job(&jobs::key("late")).is_none());
}

#[test]
fn a_second_sending_that_waited_too_long_leaves_the_answer_to_the_first() {
    let mut cluster = TestCluster::served();
    let leader = cluster.leader().unwrap();
    for follower in [(leader + 1) % 3, (leader + 2) % 3] {
        cluster.servers[follower].disk_held = true;
    }
    let id = cluster.ask(Operation::Submit(jobs::job("twice")));
    cluster.run(20);
    cluster.tell_overdue_again(Operation::Submit(jobs::job("twice")));
    cluster.run(50);
    assert!(!cluster.replies.contains_key(&id));
    for follower in [(leader + 1) % 3, (leader + 2) % 3] {
        cluster.release_disk(follower);
    }
    cluster.run(50);
    assert!(cluster.replies[&id].is_ok());
}

#[test]
fn requests_that_are_there_together_share_one_write_and_one_message_a_follower() {
    let mut cluster = TestCluster::served();
    let submits = (0..20).map(|number| Operation::Submit(jobs::job(&format!("job-{number}"))));
    let effects = cluster.effects_of_all(submits.collect());
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
    let leader = cluster.leader().unwrap();
    for effect in effects {
        cluster.apply(leader, effect);
    }
    cluster.run(100);
    let answered = cluster.replies.values();
    let taken = answered.filter(|reply| matches!(reply, Ok(OperationReply::Submitted { .. })));
    assert_eq!(taken.count(), 20);
}

fn followers_of(leader: usize) -> [usize; 2] {
    [(leader + 1) % 3, (leader + 2) % 3]
}

/// Asks for a job; then followers hear the leader and cannot answer, until its
/// lease lapses.
fn lapse(cluster: &mut TestCluster) -> u64 {
    for follower in followers_of(cluster.leader().unwrap()) {
        cluster.servers[follower].disk_held = true;
    }
    let id = cluster.ask(Operation::Submit(jobs::job("job")));
    cluster.run_until(2_000, "a lapse", |cluster| cluster.leader().is_none());
    id
}

#[test]
fn a_request_that_waits_is_answered_at_once_when_leadership_is_lost() {
    let mut cluster = TestCluster::served();
    let leader = cluster.leader().unwrap();
    let id = lapse(&mut cluster);
    assert!(!cluster.replies.contains_key(&id));
    // From here on it hears nobody, and steps down after an election timeout.
    for follower in followers_of(leader) {
        cluster.cut.insert(cluster.servers[follower].port);
    }
    cluster.run(1_000);
    let rejection = cluster.replies[&id].clone().unwrap_err();
    assert_eq!(
        rejection.code,
        RejectionCode::TimedOut,
        "it may be taken yet"
    );
}

#[test]
fn a_request_that_waits_is_answered_when_the_lease_holds_again() {
    let mut cluster = TestCluster::served();
    let leader = cluster.leader().unwrap();
    let id = lapse(&mut cluster);
    assert!(
        !cluster.replies.contains_key(&id),
        "{:?}",
        cluster.replies[&id]
    );
    for follower in followers_of(leader) {
        cluster.release_disk(follower);
    }
    cluster.run_until(500, "the lease", |cluster| cluster.leader().is_some());
    cluster.run(50);
    assert_eq!(cluster.leader(), Some(leader));
    assert!(cluster.replies[&id].is_ok(), "{:?}", cluster.replies[&id]);
}

#[test]
fn leases_name_gateways_and_agents_now_and_then_only() {
    let mut cluster = TestCluster::served();
    cluster.add_agent(1);
    cluster.add_agent(2);
    cluster.run(20_000);
    let named = &cluster.agents[0].named;
    let told = named.iter().filter(|others| **others > 0).count();
    assert!(told >= 1, "{named:?}");
    assert!(told * 12 <= named.len(), "{named:?}");
}
