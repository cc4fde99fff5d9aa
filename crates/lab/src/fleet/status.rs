//! Which coordinator leads and which vote, as the fleet itself tells.

use super::{Fleet, MemberId, POLL_INTERVAL, timed_out};
use crate::LabError;
use api::operator::{MemberViewBody, MembersBody};
use api::route;
use cypressdrum::client::ClientError;
use std::time::{Duration, Instant};

/// Standing of the coordinator that leads.
const LEADER: &str = "leader";
/// Standing of a coordinator that votes and does not lead.
const VOTER: &str = "voter";
/// Voters of a full group.
const VOTERS: usize = 3;

impl Fleet {
    /// The coordinator that leads now, as the gateways are told.
    ///
    /// # Errors
    ///
    /// Fails if the gateway's answer cannot be read.
    pub async fn leader(&self) -> Result<Option<MemberId>, LabError> {
        let members = self.standings().await?;
        let leader = members.iter().find(|member| member.status == LEADER);
        Ok(leader.and_then(|leader| self.id_of(leader)))
    }

    /// Waits until a coordinator leads.
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
            give_up_after(started, timeout, "a leader")?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a running coordinator votes without leading.
    ///
    /// # Errors
    ///
    /// Fails if there is no follower in time.
    pub async fn wait_follower(&self, timeout: Duration) -> Result<MemberId, LabError> {
        let started = Instant::now();
        loop {
            let members = self.standings_or_none().await?;
            let voters = members.iter().filter(|member| member.status == VOTER);
            let mut running = voters.filter_map(|voter| self.id_of(voter));
            if let Some(follower) = running.next() {
                return Ok(follower);
            }
            give_up_after(started, timeout, "a follower")?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Identity under which this coordinator votes; a lost disk ends it.
    ///
    /// # Errors
    ///
    /// Fails if the gateway's answer cannot be read.
    pub async fn voting_identity(&self, id: MemberId) -> Result<Option<String>, LabError> {
        let members = self.standings_or_none().await?;
        let mut voters = members.iter().filter(|member| may_vote(member));
        let voter = voters.find(|voter| self.id_of(voter) == Some(id));
        Ok(voter.map(|voter| voter.node.clone()))
    }

    /// Waits until a full group of voters has this coordinator and no longer
    /// the identity that is gone.
    ///
    /// # Errors
    ///
    /// Fails if the voter is not replaced in time.
    pub async fn wait_replaced(
        &self,
        departed: &str,
        by: MemberId,
        timeout: Duration,
    ) -> Result<(), LabError> {
        let started = Instant::now();
        loop {
            let members = self.standings_or_none().await?;
            let voters: Vec<_> = members.iter().filter(|member| may_vote(member)).collect();
            let has_departed = voters.iter().all(|voter| voter.node != departed);
            let votes = voters.iter().any(|voter| self.id_of(voter) == Some(by));
            if has_departed && votes && voters.len() == VOTERS {
                return Ok(());
            }
            give_up_after(started, timeout, &format!("{by} to vote"))?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the leader has received something from this daemon later than
    /// `since`: what it received from the process before does not count.
    ///
    /// # Errors
    ///
    /// Fails if the leader has not received anything of the member in time.
    pub async fn wait_seen(
        &self,
        id: MemberId,
        since: Instant,
        max_wait: Duration,
    ) -> Result<(), LabError> {
        let started = Instant::now();
        loop {
            // Measured before the leader measures its part, so that the time of the
            // request cannot make an older message count.
            let elapsed_ms = since.elapsed().as_millis();
            let members = self.standings_or_none().await?;
            let mut views = members.iter().filter(|view| self.id_of(view) == Some(id));
            if views.any(|view| u128::from(view.since_last_contact_ms) < elapsed_ms) {
                return Ok(());
            }
            give_up_after(started, max_wait, &format!("the leader to see {id}"))?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn standings(&self) -> Result<Vec<MemberViewBody>, LabError> {
        let client = self.client()?;
        let answer: MembersBody = client.get(route::MEMBERS, Vec::new()).await?;
        Ok(answer.members)
    }

    /// Nothing while no leader can tell.
    async fn standings_or_none(&self) -> Result<Vec<MemberViewBody>, LabError> {
        match self.standings().await {
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

fn give_up_after(started: Instant, timeout: Duration, what: &str) -> Result<(), LabError> {
    if started.elapsed() > timeout {
        Err(timed_out(what, timeout))
    } else {
        Ok(())
    }
}
