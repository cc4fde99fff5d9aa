//! Learners, membership changes and leadership transfers.

mod cluster;

use cluster::checker::Violation;
use cluster::{Cluster, Network, membership};
use consensus::{Membership, ProposeError, RaftRole};
use types::{LogIndex, Monotonic, NodeId};

fn change_membership(cluster: &mut Cluster, next: Membership) -> Result<LogIndex, Violation> {
    let now = cluster.now;
    let leader = cluster.wait_for_leader()?;
    let proposed = cluster.machine(leader).propose_membership(now, next);
    let index = proposed.ok_or(Violation::NoProgress)?;
    cluster.process_output()?;
    cluster.run_until(5_000, |c| c.checker.last_committed() >= index)?;
    Ok(index)
}

#[test]
fn voter_is_replaced_despite_message_loss() -> Result<(), Violation> {
    for seed in 0..40 {
        let mut cluster = Cluster::new(seed, 3, 4, None);
        let leader = cluster.wait_for_leader()?;
        let crashed = leader.0 % 3 + 1;
        cluster.crash(NodeId(crashed));
        cluster.network = Network {
            loss: 0.1,
            ..Network::RELIABLE
        };
        for command in 0..30 {
            cluster.propose(command);
        }
        let remaining: Vec<u64> = (1..=3).filter(|id| *id != crashed).collect();
        change_membership(&mut cluster, membership(&[1, 2, 3], &[4]))?;
        let caught_up = cluster.run_until(5_000, |c| c.applied(NodeId(4)) >= LogIndex(30))?;
        assert!(caught_up, "seed {seed}: the learner did not catch up");
        assert_eq!(cluster.role(NodeId(4)), Some(RaftRole::Learner));
        change_membership(&mut cluster, membership(&[1, 2, 3, 4], &[]))?;
        change_membership(
            &mut cluster,
            membership(&[remaining[0], remaining[1], 4], &[]),
        )?;
        // With the replacement the cluster tolerates the loss of a second
        // voter.
        let second = cluster.wait_for_leader()?;
        cluster.crash(second);
        cluster.wait_for_leader()?;
    }
    Ok(())
}

/// A removed node receives no heartbeats. It must not start elections that
/// depose the leader.
#[test]
fn removed_node_causes_no_election() -> Result<(), Violation> {
    let mut cluster = Cluster::new(7, 3, 3, None);
    let leader = cluster.wait_for_leader()?;
    let removed = NodeId(leader.0 % 3 + 1);
    let mut next = membership(&[1, 2, 3], &[]);
    next.voters.remove(&removed);
    change_membership(&mut cluster, next)?;
    let term = cluster.machine(leader).term(0);
    cluster.run(20_000)?;
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.machine(leader).term(0), term);
    Ok(())
}

#[test]
fn leader_that_removed_itself_steps_down() -> Result<(), Violation> {
    let mut cluster = Cluster::new(8, 3, 3, None);
    let leader = cluster.wait_for_leader()?;
    let mut next = membership(&[1, 2, 3], &[]);
    next.voters.remove(&leader);
    change_membership(&mut cluster, next)?;
    cluster.run(200)?;
    assert_eq!(cluster.role(leader), Some(RaftRole::Learner));
    let successor = cluster.wait_for_leader()?;
    assert_ne!(successor, leader);
    cluster.run(20_000)?;
    assert_eq!(cluster.leader(), Some(successor));
    Ok(())
}

/// A membership is in force as soon as it is in the log. If a new leader
/// truncates the entry, the membership before it must be in force again.
#[test]
fn uncommitted_membership_is_reverted_when_its_entry_is_truncated() -> Result<(), Violation> {
    let mut cluster = Cluster::new(9, 3, 4, None);
    let leader = cluster.wait_for_leader()?;
    cluster.isolate(leader, true, true);
    let now = cluster.now;
    let next = membership(&[1, 2, 3, 4], &[]);
    let proposed = cluster.machine(leader).propose_membership(now, next);
    assert!(proposed.is_some());
    cluster.process_output()?;
    let in_force = |c: &Cluster| c.machines[&leader].status(c.now).map(|s| s.membership);
    assert_eq!(in_force(&cluster), Some(membership(&[1, 2, 3, 4], &[])));
    cluster.run(5_000)?;
    cluster.heal();
    cluster.run(2_000)?;
    assert_eq!(in_force(&cluster), Some(membership(&[1, 2, 3], &[])));
    Ok(())
}

#[test]
fn invalid_membership_changes_are_rejected() -> Result<(), Violation> {
    let mut cluster = Cluster::new(10, 3, 3, None);
    let leader = cluster.wait_for_leader()?;
    let late = Monotonic(u64::MAX / 2);
    let follower = NodeId(leader.0 % 3 + 1);
    let mut propose = |id, next| {
        let node = cluster.machine(id).node.as_mut();
        node.map(|n| n.propose_membership(Monotonic(0), next))
    };
    let two_added = membership(&[1, 2, 3, 4, 5], &[]);
    let one_replaced = membership(&[1, 2, 4], &[]);
    let no_voters = membership(&[], &[1, 2, 3]);
    let learner_added = membership(&[1, 2, 3], &[4]);
    let rejected = |error| Some(Err(error));
    assert_eq!(
        propose(leader, two_added),
        rejected(ProposeError::MoreThanOneVoter)
    );
    assert_eq!(
        propose(leader, one_replaced),
        rejected(ProposeError::MoreThanOneVoter)
    );
    assert_eq!(propose(leader, no_voters), rejected(ProposeError::NoVoters));
    assert_eq!(
        propose(follower, learner_added.clone()),
        rejected(ProposeError::NotLeader)
    );
    assert!(propose(leader, learner_added.clone()).is_some_and(|r| r.is_ok()));
    assert_eq!(
        propose(leader, learner_added),
        rejected(ProposeError::ChangeInProgress)
    );
    // A leader whose clock advanced by more than an election timeout steps down
    // before it accepts a proposal.
    let node = cluster.machine(leader).node.as_mut();
    let result = node.map(|n| n.propose(late, Vec::new()));
    assert_eq!(result, rejected(ProposeError::NotLeader));
    Ok(())
}

#[test]
fn requested_transfer_elects_target_within_300_ms() -> Result<(), Violation> {
    let mut cluster = Cluster::new(11, 3, 3, None);
    let leader = cluster.wait_for_leader()?;
    for command in 0..50 {
        cluster.propose(command);
    }
    let now = cluster.now;
    let target = cluster.machine(leader).transfer(now);
    assert!(target.is_some());
    assert_eq!(cluster.machine(leader).propose(now, 1), None);
    cluster.process_output()?;
    cluster.run_until(300, |c| c.leader().is_some_and(|id| id != leader))?;
    assert_eq!(cluster.leader(), target);
    Ok(())
}

/// The leader gives up its lease when it sends `TimeoutNow`. If the target is
/// not elected, the leader must win an election and hold the lease again.
#[test]
fn leader_continues_after_transfer_to_crashed_target() -> Result<(), Violation> {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 3, 3, None);
        let leader = cluster.wait_for_leader()?;
        let now = cluster.now;
        let Some(target) = cluster.machine(leader).transfer(now) else {
            return Err(Violation::NoProgress);
        };
        assert!(!cluster.machine(leader).holds_lease(now));
        cluster.crash(target);
        let timeout = cluster.election_timeout().0;
        cluster.run_until(timeout + 300, |c| c.leader().is_some())?;
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
    }
    Ok(())
}
