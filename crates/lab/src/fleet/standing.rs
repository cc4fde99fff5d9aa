//! Which coordinator leads and which vote, as the fleet itself tells.

use super::{Fleet, LOOK_INTERVAL, MemberId, timed_out};
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
/// A voter that runs is heard this often by far.
const HEARD_WITHIN_MS: u64 = 1_000;

impl Fleet {
    /// The coordinator that leads now, as the gateways are told.
    pub async fn leader(&self) -> Result<Option<MemberId>, LabError> {
        let members = self.standings().await?;
        let leader = members.iter().find(|member| member.standing == LEADER);
        Ok(leader.and_then(|leader| self.id_of(leader)))
    }

    /// Waits until a coordinator leads.
    pub async fn wait_leader(&self, longest: Duration) -> Result<MemberId, LabError> {
        let started = Instant::now();
        loop {
            match self.leader().await {
                Ok(Some(leader)) => return Ok(leader),
                Ok(None) | Err(LabError::Client(ClientError::Unavailable(_))) => {}
                Err(error) => return Err(error),
            }
            give_up_after(started, longest, "a leader")?;
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Waits until a running coordinator votes without leading.
    pub async fn wait_follower(&self, longest: Duration) -> Result<MemberId, LabError> {
        let started = Instant::now();
        loop {
            let members = self.standings_or_none().await?;
            let voters = members.iter().filter(|member| member.standing == VOTER);
            let mut running = voters.filter_map(|voter| self.id_of(voter));
            if let Some(follower) = running.next() {
                return Ok(follower);
            }
            give_up_after(started, longest, "a follower")?;
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Waits until the process that runs as this coordinator now may vote, in a
    /// full group whose every voter is heard: one that is gone, or that lost
    /// its disk and has a new identity, falls silent under its old one.
    pub async fn wait_voter(&self, id: MemberId, longest: Duration) -> Result<(), LabError> {
        let started = Instant::now();
        loop {
            let members = self.standings_or_none().await?;
            let voters: Vec<_> = members.iter().filter(|member| may_vote(member)).collect();
            let votes = voters.iter().any(|voter| self.id_of(voter) == Some(id));
            let all_heard = voters
                .iter()
                .all(|voter| voter.silence_ms < HEARD_WITHIN_MS);
            if votes && all_heard && voters.len() == VOTERS {
                return Ok(());
            }
            give_up_after(started, longest, &format!("{id} to vote"))?;
            tokio::time::sleep(LOOK_INTERVAL).await;
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
    member.standing == VOTER || member.standing == LEADER
}

fn give_up_after(started: Instant, longest: Duration, what: &str) -> Result<(), LabError> {
    match started.elapsed() > longest {
        true => Err(timed_out(what, longest)),
        false => Ok(()),
    }
}
