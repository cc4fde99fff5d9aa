//! The properties that the other tests assert are broken when a mechanism is
//! switched off: the tests would notice.

mod common;

use common::{World, document};
use coordinator::{Effect, Mutation};
use transport::{Operation, PeerMessage};

fn mutated(mutation: Mutation) -> World {
    let mut world = World::served_with(Some(mutation));
    world.add_agent(1);
    world
}

#[test]
fn a_start_sent_again_is_seen() {
    let mut world = mutated(Mutation::ResendStartInsteadOfRevoke);
    world.agents[0].hold_starts = true;
    world.submit("job");
    world.run(5_000);
    assert!(!world.each_start_is_sent_once());
}

#[test]
fn a_task_freed_without_a_void_is_seen() {
    let mut world = mutated(Mutation::CloseUnansweredStart);
    world.agents[0].hold_starts = true;
    world.submit("job");
    world.run(5_000);
    // Both starts may land: nothing put a tombstone in the first one's way.
    let kept = world.agents[0].kept_starts.clone();
    assert!(kept.len() >= 2);
    assert!(world.agents[0].tombstones.is_empty());
}

#[test]
fn an_acknowledgement_before_the_commit_is_seen() {
    let mut world = mutated(Mutation::AcknowledgeBeforeCommit);
    for server in 0..3 {
        world.servers[server].disk_held = true;
    }
    let id = world.ask(Operation::Submit(document::job("job")));
    world.run(10);
    assert!(world.replies.contains_key(&id));
}

#[test]
fn acts_of_a_woken_leader_without_its_lease_are_seen() {
    let mut world = mutated(Mutation::SkipLeaseCheck);
    let frozen = world.leader().unwrap();
    world.servers[frozen].frozen = true;
    world.run(10_000);
    let effects = world.wake(frozen);
    assert!(effects.iter().any(|effect| matches!(
        effect,
        Effect::Send {
            message: PeerMessage::RunnerUpdate(_) | PeerMessage::Lease(_),
            ..
        }
    )));
}

#[test]
fn runs_given_up_before_their_lease_are_seen() {
    let mut world = mutated(Mutation::ExpireRunsEarly);
    world.submit("job");
    world.run(500);
    world.agents[0].silent = true;
    world.run(3_000);
    assert!(world.state_machine().open_runs().is_empty());
}
