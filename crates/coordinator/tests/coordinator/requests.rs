//! Requests: acknowledgement, rejection, resending, configuration and reads.

use crate::test_cluster::{TestCluster, document, jobs};
use coordinator::Effect;
use state_machine::CancelSelector;
use transport::{Operation, OperationReply, PeerMessage, RejectionCode};
use types::{ConfigurationVersion, JobState, Milliseconds};

#[test]
fn submit_is_acknowledged_only_after_a_majority_synced() {
    let mut cluster = TestCluster::ready();
    let leader = cluster.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    for follower in followers {
        cluster.servers[follower].disk_held = true;
    }
    let id = cluster.send_request(Operation::Submit(jobs::job("job")));
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
fn resent_submit_returns_the_same_job_and_changed_content_conflicts() {
    let mut cluster = TestCluster::ready();
    let first = cluster.request(Operation::Submit(jobs::job("job")));
    let Ok(OperationReply::Submitted { number, .. }) = first else {
        panic!("{first:?}");
    };
    let again = cluster.request(Operation::Submit(jobs::job("job")));
    let known = true;
    assert_eq!(again, Ok(OperationReply::Submitted { number, known }));
    let mut other = jobs::job("job");
    other.steps[0].tasks = 2;
    let conflict = cluster.request(Operation::Submit(other)).unwrap_err();
    assert_eq!(conflict.code, RejectionCode::Conflict);
}

/// Starts a cluster that limits its tenant to `submits_per_second`, with a burst
/// of one.
fn ready_with_rate(submits_per_second: u32) -> TestCluster {
    let mut cluster = TestCluster::ready();
    let mut document = document::document();
    let settings = document.tenants.get_mut(&document::tenant()).unwrap();
    settings.submits_per_second = submits_per_second;
    settings.submit_burst = 1;
    let put = cluster.put_configuration(2, document);
    cluster.run(100);
    assert!(cluster.replies[&put].is_ok());
    cluster
}

#[test]
fn submit_above_the_tenant_rate_is_rejected_with_a_retry_time() {
    let mut cluster = ready_with_rate(2);
    cluster.submit("first");
    let id = cluster.send_request(Operation::Submit(jobs::job("second")));
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

/// Returns whether a message relays a reply.
fn is_relayed_reply(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Relay(relay) if matches!(*relay.body, PeerMessage::Reply(_)))
}

/// A gateway resends a request while its entry waits for the disks of the followers.
/// The copies must not count against the tenant's rate, add log entries or be
/// rejected, and only the last route gets the reply.
#[test]
fn resent_pending_request_is_charged_once_and_answered_by_its_last_route() {
    let mut cluster = ready_with_rate(1);
    let leader = cluster.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    for follower in followers {
        cluster.servers[follower].disk_held = true;
    }
    let submit = Operation::Submit(jobs::job("job"));
    let id = cluster.send_request(submit.clone());
    cluster.run(50);
    let entries = cluster.status(leader).unwrap().last_index;
    for _ in 0..3 {
        cluster.resend_through(followers[0], submit.clone());
        cluster.run(20);
    }
    assert!(
        !cluster.replies.contains_key(&id),
        "no copy may be answered while the request is pending"
    );
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
fn requests_above_the_waiting_limit_are_rejected_immediately() {
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
        .map(|n| cluster.send_request(Operation::Submit(jobs::job(&format!("job-{n}")))))
        .collect();
    cluster.run(3);
    let rejected = ids.iter().filter(|id| {
        matches!(cluster.replies.get(id), Some(Err(rejection))
            if rejection.code == RejectionCode::Overloaded && rejection.retry_after.is_some())
    });
    assert_eq!(rejected.count(), 3);
}

#[test]
fn only_one_of_two_configurations_with_the_same_version_is_accepted() {
    let mut cluster = TestCluster::ready();
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
    let rejection = cluster.replies[&ids[1]].clone().unwrap_err();
    assert_eq!(rejection.code, RejectionCode::Conflict);
    let version = ConfigurationVersion(2);
    let again = cluster.request(Operation::PutConfiguration {
        version,
        document: first,
    });
    let known = true;
    assert_eq!(again, Ok(OperationReply::Configured { version, known }));
}

/// Returns the configuration versions of the coordinators, as listed by the leader.
fn member_versions(cluster: &mut TestCluster) -> Vec<Option<u64>> {
    let Ok(OperationReply::Members(members)) = cluster.request(Operation::ListMembers) else {
        panic!("the leader did not list members");
    };
    let versions = members.iter().map(|member| member.configuration);
    versions.map(|version| version.map(|v| v.0)).collect()
}

#[test]
fn member_list_shows_the_configuration_applied_by_each_coordinator() {
    let mut cluster = TestCluster::ready();
    cluster.run(500);
    assert_eq!(member_versions(&mut cluster), [Some(1); 3]);
    let leader = cluster.leader().unwrap();
    let partitioned = (leader + 1) % 3;
    cluster
        .partitioned
        .insert(cluster.servers[partitioned].port);
    let put = cluster.put_configuration(2, document::document());
    cluster.run(500);
    assert!(cluster.replies[&put].is_ok());
    let mut expected = [Some(2); 3];
    expected[partitioned] = Some(1);
    assert_eq!(member_versions(&mut cluster), expected);
    cluster.partitioned.clear();
    cluster.run(2_000);
    assert_eq!(member_versions(&mut cluster), [Some(2); 3]);
}

#[test]
fn member_without_a_report_to_the_new_leader_shows_no_configuration() {
    let mut cluster = TestCluster::ready();
    let old = cluster.leader().unwrap();
    cluster.kill(old);
    cluster.run_until(8_000, "a new leader", |cluster| cluster.leader().is_some());
    cluster.run(500);
    let mut expected = [Some(1); 3];
    expected[old] = None;
    assert_eq!(member_versions(&mut cluster), expected);
}

/// A leader without its followers steps down and cannot know whether a proposed entry
/// will be committed. Its callers must get an answer and not wait for their timeout.
#[test]
fn partitioned_leader_rejects_pending_requests_as_timed_out() {
    let mut cluster = TestCluster::ready();
    let leader = cluster.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    for follower in followers {
        cluster
            .partitioned
            .insert(8_000 + u16::try_from(follower).unwrap());
    }
    let id = cluster.send_request(Operation::Submit(jobs::job("job")));
    cluster.run(1_500);
    let rejection = cluster.replies[&id].clone().unwrap_err();
    assert_eq!(rejection.code, RejectionCode::TimedOut);
    assert!(rejection.retry_after.is_some());
    assert_eq!(cluster.leader(), None);
}

#[test]
fn cancelled_job_ends_and_its_run_is_stopped() {
    let mut cluster = TestCluster::ready();
    cluster.add_agent(1);
    cluster.submit("job");
    cluster.run(200);
    assert_eq!(cluster.agents[0].active.len(), 1);
    let selector = CancelSelector::Jobs(vec![jobs::key("job")]);
    let answer = cluster.request(Operation::Cancel(selector));
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
fn draining_runner_gets_no_new_runs() {
    let mut cluster = TestCluster::ready();
    cluster.add_agent(1);
    let runner = cluster.agents[0].runner.clone();
    let draining = true;
    let answer = cluster.request(Operation::DrainRunner { runner, draining });
    assert_eq!(answer, Ok(OperationReply::Accepted));
    cluster.submit("job");
    cluster.run(2_000);
    assert!(cluster.starts().is_empty());
    cluster.add_agent(2);
    cluster.run(500);
    assert_eq!(cluster.agents[1].active.len(), 1);
}

#[test]
fn agent_behind_a_relay_gets_its_messages_through_the_relay() {
    let mut cluster = TestCluster::ready();
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
    let mut cluster = TestCluster::ready();
    cluster.add_agent(1);
    cluster.submit("job");
    cluster.run(300);
    let Ok(OperationReply::Queues(queues)) = cluster.request(Operation::ListQueues) else {
        panic!("the leader did not list queues");
    };
    assert_eq!((queues[0].unfinished_jobs, queues[0].open_runs), (1, 1));
    let Ok(OperationReply::Tenants(tenants)) = cluster.request(Operation::ListTenants) else {
        panic!("the leader did not list tenants");
    };
    assert_eq!(tenants[0].usage, document::slots(1));
    let Ok(OperationReply::Members(members)) = cluster.request(Operation::ListMembers) else {
        panic!("the leader did not list members");
    };
    assert_eq!(members.len(), 4);
    let Ok(OperationReply::Runners(runners)) = cluster.request(Operation::ListRunners) else {
        panic!("the leader did not list runners");
    };
    assert_eq!(runners.len(), 1);
    let log = Operation::Decisions {
        after: 0,
        limit: 10,
    };
    let Ok(OperationReply::Decisions(decisions)) = cluster.request(log) else {
        panic!("the leader did not list decisions");
    };
    assert!(decisions.len() >= 2);
    assert!(matches!(
        cluster.request(Operation::Explain(jobs::key("job"))),
        Ok(OperationReply::Explained { lines }) if lines.len() == 1
    ));
}

#[test]
fn overdue_request_is_rejected_and_not_executed() {
    let mut cluster = TestCluster::ready();
    let submit = || Operation::Submit(jobs::job("late"));
    let id = cluster.send_overdue(submit());
    cluster.run(300);
    let rejection = cluster.replies[&id].clone().unwrap_err();
    assert_eq!(rejection.code, RejectionCode::Overloaded);
    assert!(rejection.retry_after.is_some());
    assert!(cluster.state_machine().job(&jobs::key("late")).is_none());
}

/// A rejected copy would answer a request whose first copy may still succeed.
#[test]
fn overdue_copy_of_a_pending_request_is_not_rejected() {
    let mut cluster = TestCluster::ready();
    let leader = cluster.leader().unwrap();
    for follower in [(leader + 1) % 3, (leader + 2) % 3] {
        cluster.servers[follower].disk_held = true;
    }
    let id = cluster.send_request(Operation::Submit(jobs::job("twice")));
    cluster.run(20);
    cluster.resend_overdue(Operation::Submit(jobs::job("twice")));
    cluster.run(50);
    assert!(!cluster.replies.contains_key(&id));
    for follower in [(leader + 1) % 3, (leader + 2) % 3] {
        cluster.release_disk(follower);
    }
    cluster.run(50);
    assert!(cluster.replies[&id].is_ok());
}

#[test]
fn requests_handled_together_share_one_write_and_one_message_per_follower() {
    let mut cluster = TestCluster::ready();
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
    let accepted = answered.filter(|reply| matches!(reply, Ok(OperationReply::Submitted { .. })));
    assert_eq!(accepted.count(), 20);
}

fn followers_of(leader: usize) -> [usize; 2] {
    [(leader + 1) % 3, (leader + 2) % 3]
}

/// Submits a job and holds the disks of the followers until the lease expires: they
/// receive the leader's messages but cannot answer before a sync. Returns the
/// number of the request.
fn let_lease_expire(cluster: &mut TestCluster) -> u64 {
    for follower in followers_of(cluster.leader().unwrap()) {
        cluster.servers[follower].disk_held = true;
    }
    let id = cluster.send_request(Operation::Submit(jobs::job("job")));
    cluster.run_until(2_000, "the expiry of the lease", |cluster| {
        cluster.leader().is_none()
    });
    id
}

/// The expiry of the lease alone must not answer a pending request, since the lease may be
/// renewed. The loss of leadership must.
#[test]
fn pending_request_is_rejected_when_leadership_is_lost() {
    let mut cluster = TestCluster::ready();
    let leader = cluster.leader().unwrap();
    let id = let_lease_expire(&mut cluster);
    assert!(!cluster.replies.contains_key(&id));
    // Without messages from its followers the leader steps down after an election
    // timeout.
    for follower in followers_of(leader) {
        cluster.partitioned.insert(cluster.servers[follower].port);
    }
    cluster.run(1_000);
    let rejection = cluster.replies[&id].clone().unwrap_err();
    assert_eq!(
        rejection.code,
        RejectionCode::TimedOut,
        "the entry may still be committed"
    );
}

#[test]
fn pending_request_is_answered_after_the_lease_is_renewed() {
    let mut cluster = TestCluster::ready();
    let leader = cluster.leader().unwrap();
    let id = let_lease_expire(&mut cluster);
    assert!(
        !cluster.replies.contains_key(&id),
        "{:?}",
        cluster.replies[&id]
    );
    for follower in followers_of(leader) {
        cluster.release_disk(follower);
    }
    cluster.run_until(500, "a renewed lease", |cluster| cluster.leader().is_some());
    cluster.run(50);
    assert_eq!(cluster.leader(), Some(leader));
    assert!(cluster.replies[&id].is_ok(), "{:?}", cluster.replies[&id]);
}

#[test]
fn at_most_one_lease_in_twelve_lists_gateways_and_agents() {
    let mut cluster = TestCluster::ready();
    cluster.add_agent(1);
    cluster.add_agent(2);
    cluster.run(20_000);
    let counts = &cluster.agents[0].listed_counts;
    let with_list = counts.iter().filter(|others| **others > 0).count();
    assert!(with_list >= 1, "{counts:?}");
    assert!(with_list * 12 <= counts.len(), "{counts:?}");
}
