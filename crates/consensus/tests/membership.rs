//! Learners, membership changes and transfers of leadership.

mod cluster;

use cluster::checker::Violation;
use cluster::{Cluster, Network, membership};
use consensus::{Membership, ProposeError, RaftRole};
use types::{LogIndex, Monotonic, NodeId};

fn change(cluster: &mut Cluster, next: Membership) -> Result<LogIndex, Violation> {
    let now = cluster.now;
    let leader = cluster.wait_for_leader()?;
    let proposed = cluster.machine(leader).propose_membership(now, next);
    let index = proposed.ok_or(Violation::Stuck)?;
    cluster.settle()?;
    cluster.run_until(5_000, |c| c.checker.last_committed() >= index)?;
    Ok(index)
}

#[test]
fn a_voter_is_replaced_under_loss() -> Result<(), Violation> {
    for seed in 0..40 {
        let mut cluster = Cluster::new(seed, 3, 4, None);
        let leader = cluster.wait_for_leader()?;
        let gone = leader.0 % 3 + 1;
        cluster.crash(NodeId(gone));
        cluster.network = Network {
            loss: 0.1,
            ..Network::GOOD
        };
        for command in 0..30 {
            cluster.propose(command);
        }
        let kept: Vec<u64> = (1..=3).filter(|id| *id != gone).collect();
        change(&mut cluster, membership(&[1, 2, 3], &[4]))?;
        let ready = cluster.run_until(5_000, |c| c.applied(NodeId(4)) >= LogIndex(30))?;
        assert!(ready, "seed {seed}: the learner never caught up");
        assert_eq!(cluster.role(NodeId(4)), Some(RaftRole::Learner));
        change(&mut cluster, membership(&[1, 2, 3, 4], &[]))?;
        change(&mut cluster, membership(&[kept[0], kept[1], 4], &[]))?;
        // The replacement carries a second loss.
        let second = cluster.wait_for_leader()?;
        cluster.crash(second);
        cluster.wait_for_leader()?;
    }
    Ok(())
}

#[test]
fn a_removed_node_does_not_disturb() -> Result<(), Violation> {
    let mut cluster = Cluster::new(7, 3, 3, None);
    let leader = cluster.wait_for_leader()?;
    let removed = NodeId(leader.0 % 3 + 1);
    let mut next = membership(&[1, 2, 3], &[]);
    next.voters.remove(&removed);
    change(&mut cluster, next)?;
    let term = cluster.machine(leader).term(0);
    cluster.run(20_000)?;
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.machine(leader).term(0), term);
    Ok(())
}

#[test]
fn a_leader_that_removed_itself_steps_down() -> Result<(), Violation> {
    let mut cluster = Cluster::new(8, 3, 3, None);
    let leader = cluster.wait_for_leader()?;
    let mut next = membership(&[1, 2, 3], &[]);
    next.voters.remove(&leader);
    change(&mut cluster, next)?;
    cluster.run(200)?;
    assert_eq!(cluster.role(leader), Some(RaftRole::Learner));
    let successor = cluster.wait_for_leader()?;
    assert_ne!(successor, leader);
    cluster.run(20_000)?;
    assert_eq!(cluster.leader(), Some(successor));
    Ok(())
}

#[test]
fn an_uncommitted_membership_ends_with_its_entry() -> Result<(), Violation> {
    let mut cluster = Cluster::new(9, 3, 4, None);
    let leader = cluster.wait_for_leader()?;
    cluster.cut_off(leader, true, true);
    let now = cluster.now;
    let next = membership(&[1, 2, 3, 4], &[]);
    let proposed = cluster.machine(leader).propose_membership(now, next);
    assert!(proposed.is_some());
    cluster.settle()?;
    let in_force = |c: &Cluster| c.machines[&leader].status(c.now).map(|s| s.membership);
    assert_eq!(in_force(&cluster), Some(membership(&[1, 2, 3, 4], &[])));
    cluster.run(5_000)?;
    cluster.heal();
    cluster.run(2_000)?;
    assert_eq!(in_force(&cluster), Some(membership(&[1, 2, 3], &[])));
    Ok(())
}

#[test]
fn invalid_changes_are_rejected() -> Result<(), Violation> {
    let mut cluster = Cluster::new(10, 3, 3, None);
    let leader = cluster.wait_for_leader()?;
    let now = Monotonic(u64::MAX / 2);
    let follower = NodeId(leader.0 % 3 + 1);
    let mut propose = |id, next| {
        let node = cluster.machine(id).node.as_mut();
        node.map(|n| n.propose_membership(Monotonic(0), next))
    };
    let two_more = membership(&[1, 2, 3, 4, 5], &[]);
    let swap = membership(&[1, 2, 4], &[]);
    let none = membership(&[], &[1, 2, 3]);
    let same = membership(&[1, 2, 3], &[4]);
    let rejected = |error| Some(Err(error));
    assert_eq!(
        propose(leader, two_more),
        rejected(ProposeError::MoreThanOneVoter)
    );
    assert_eq!(
        propose(leader, swap),
        rejected(ProposeError::MoreThanOneVoter)
    );
    assert_eq!(propose(leader, none), rejected(ProposeError::NoVoters));
    assert_eq!(
        propose(follower, same.clone()),
        rejected(ProposeError::NotLeader)
    );
    assert!(propose(leader, same.clone()).is_some_and(|r| r.is_ok()));
    assert_eq!(
        propose(leader, same),
        rejected(ProposeError::ChangeInProgress)
    );
    // A leader that slept is none any more when it is asked.
    let node = cluster.machine(leader).node.as_mut();
    let late = node.map(|n| n.propose(now, Vec::new()));
    assert_eq!(late, rejected(ProposeError::NotLeader));
    Ok(())
}

#[test]
fn leadership_is_transferred_at_once() -> Result<(), Violation> {
    let mut cluster = Cluster::new(11, 3, 3, None);
    let leader = cluster.wait_for_leader()?;
    for command in 0..50 {
        cluster.propose(command);
    }
    let now = cluster.now;
    let target = cluster.machine(leader).transfer(now);
    assert!(target.is_some());
    assert_eq!(cluster.machine(leader).propose(now, 1), None);
    cluster.settle()?;
    cluster.run_until(300, |c| c.leader().is_some_and(|id| id != leader))?;
    assert_eq!(cluster.leader(), target);
    Ok(())
}

#[test]
fn a_failed_transfer_ends() -> Result<(), Violation> {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 3, 3, None);
        let leader = cluster.wait_for_leader()?;
        let now = cluster.now;
        let Some(target) = cluster.machine(leader).transfer(now) else {
            return Err(Violation::Stuck);
        };
        assert!(!cluster.machine(leader).holds_lease(now));
        cluster.crash(target);
        let timeout = cluster.election_timeout().0;
        cluster.run_until(timeout + 300, |c| c.leader().is_some())?;
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
    }
    Ok(())
}
