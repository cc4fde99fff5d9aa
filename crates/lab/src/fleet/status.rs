//! Leader and voters of the fleet, as read from its gateways.

use super::{Fleet, MemberId, POLL_INTERVAL, timed_out};
use crate::LabError;
use api::operator::{MemberViewBody, MembersBody};
use api::route;
use cypressdrum::client::ClientError;
use std::time::{Duration, Instant};

/// Status of the leader in the member list.
const LEADER: &str = "leader";
/// Status of a voter that is not the leader in the member list.
const VOTER: &str = "voter";
/// Number of voters of a complete consensus group.
const VOTER_COUNT: usize = 3;

impl Fleet {
    /// Returns the current leader according to the gateways, or `None` if they
    /// report none.
    ///
    /// # Errors
    ///
    /// Fails if the gateway's answer cannot be read.
    pub async fn leader(&self) -> Result<Option<MemberId>, LabError> {
        let members = self.member_views().await?;
        let leader = members.iter().find(|member| member.status == LEADER);
        Ok(leader.and_then(|leader| self.id_of(leader)))
    }

    /// Waits until there is a leader, and returns it.
    ///
    /// # Errors
    ///
    /// Fails if there is no leader in time.
    pub async fn wait_leader(&self, timeout: Duration) -> Result<MemberId, LabError> {
        let started = Instant::now();
        loop {
            match self.leader().await {
                Ok(Some(leader)) => return Ok(leader),
                Ok(None) | Err(LabError::Client(ClientError::Unavailable(_))) => {}
                Err(error) => return Err(error),
            }
            check_timeout(started, timeout, "a leader")?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until there is a voter that is not the leader, and returns it.
    ///
    /// # Errors
    ///
    /// Fails if there is no follower in time.
    pub async fn wait_follower(&self, timeout: Duration) -> Result<MemberId, LabError> {
        let started = Instant::now();
        loop {
            let members = self.member_views_or_none().await?;
            let voters = members.iter().filter(|member| member.status == VOTER);
            let mut running = voters.filter_map(|voter| self.id_of(voter));
            if let Some(follower) = running.next() {
                return Ok(follower);
            }
            check_timeout(started, timeout, "a follower")?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the node id under which this coordinator votes, or `None` if it is
    /// no voter. A coordinator that loses its disk gets a new node id.
    ///
    /// # Errors
    ///
    /// Fails if the gateway's answer cannot be read.
    pub async fn voting_identity(&self, id: MemberId) -> Result<Option<String>, LabError> {
        let members = self.member_views_or_none().await?;
        let mut voters = members.iter().filter(|member| may_vote(member));
        let voter = voters.find(|voter| self.id_of(voter) == Some(id));
        Ok(voter.map(|voter| voter.node.clone()))
    }

    /// Waits until the consensus group is complete, includes this coordinator and
    /// excludes the old node id.
    ///
    /// # Errors
    ///
    /// Fails if the voter is not replaced in time.
    pub async fn wait_voter_replaced(
        &self,
        old_identity: &str,
        replacement: MemberId,
        timeout: Duration,
    ) -> Result<(), LabError> {
        let started = Instant::now();
        loop {
            let members = self.member_views_or_none().await?;
            let voters: Vec<_> = members.iter().filter(|member| may_vote(member)).collect();
            let is_removed = voters.iter().all(|voter| voter.node != old_identity);
            let votes = voters
                .iter()
                .any(|voter| self.id_of(voter) == Some(replacement));
            if is_removed && votes && voters.len() == VOTER_COUNT {
                return Ok(());
            }
            check_timeout(started, timeout, &format!("{replacement} to vote"))?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the leader has received a message from this daemon after
    /// `since`. Messages of the daemon's previous process do not count.
    ///
    /// # Errors
    ///
    /// Fails if the leader does not receive a message in time.
    pub async fn wait_leader_contact(
        &self,
        id: MemberId,
        since: Instant,
        timeout: Duration,
    ) -> Result<(), LabError> {
        let started = Instant::now();
        loop {
            // Read before the leader computes the age of the last contact, so that
            // the request's latency cannot make an older message count.
            let elapsed_ms = since.elapsed().as_millis();
            let members = self.member_views_or_none().await?;
            let mut views = members.iter().filter(|view| self.id_of(view) == Some(id));
            if views.any(|view| u128::from(view.since_last_contact_ms) < elapsed_ms) {
                return Ok(());
            }
            check_timeout(started, timeout, &format!("the leader to see {id}"))?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn member_views(&self) -> Result<Vec<MemberViewBody>, LabError> {
        let client = self.client()?;
        let answer: MembersBody = client.get(route::MEMBERS, Vec::new()).await?;
        Ok(answer.members)
    }

    /// Returns the member list, or an empty one while the gateways have no leader
    /// to read it from.
    async fn member_views_or_none(&self) -> Result<Vec<MemberViewBody>, LabError> {
        match self.member_views().await {
            Err(LabError::Client(ClientError::Unavailable(_))) => Ok(Vec::new()),
            other => other,
        }
    }

    fn id_of(&self, view: &MemberViewBody) -> Option<MemberId> {
        let mut members = self.members.iter();
        let member = members.find(|member| member.peer.to_string() == view.socket);
        member.map(|member| member.id)
    }
}

fn may_vote(member: &MemberViewBody) -> bool {
    member.status == VOTER || member.status == LEADER
}

fn check_timeout(started: Instant, timeout: Duration, what: &str) -> Result<(), LabError> {
    if started.elapsed() > timeout {
        Err(timed_out(what, timeout))
    } else {
        Ok(())
    }
}
