//! The runners of the input, each with an agent of its own.

use crate::cluster::address;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use types::{
    Address, InvalidName, NodeId, OrderAnswer, OrderKind, Role, RunId, RunnerId, RunnerOrder,
    RunnerReport,
};

/// Identities of agents count up from here.
const FIRST_NODE: u64 = 1_000;
/// IPs of agents count up from here: 127.1.0.0.
const FIRST_IP: u32 = 0x7F01_0000;

/// One runner and its agent.
#[derive(Debug)]
pub struct Runner {
    /// The agent.
    pub agent: Address,
    /// Runs it holds: those of its last heartbeat, and those started since.
    active: BTreeSet<RunId>,
    /// Ended runs its last heartbeat named.
    ended: BTreeSet<RunId>,
}

/// All runners that have sent a heartbeat, by name.
#[derive(Debug, Default)]
pub struct Runners {
    runners: BTreeMap<RunnerId, Runner>,
    /// Answers given in the input, for the next orders.
    answers: BTreeMap<RunnerId, VecDeque<OrderAnswer>>,
}

impl Runners {
    /// Takes a heartbeat; gives the agent it goes by, new or known.
    ///
    /// # Errors
    ///
    /// Fails if the name made for the runner's agent is not valid.
    pub fn record_heartbeat(&mut self, report: &RunnerReport) -> Result<Address, InvalidName> {
        let active = report.active.iter().map(|run| run.run).collect();
        let ended = report.ended.iter().map(|run| run.run).collect();
        let agent = match self.runners.get(&report.runner) {
            Some(known) => known.agent.clone(),
            None => agent_address(self.runners.len())?,
        };
        let runner = Runner {
            agent: agent.clone(),
            active,
            ended,
        };
        self.runners.insert(report.runner.clone(), runner);
        Ok(agent)
    }

    /// Runners with their agents, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&RunnerId, &Runner)> {
        self.runners.iter()
    }

    /// Keeps an answer for the runner's next order.
    pub fn give_answer(&mut self, runner: RunnerId, answer: OrderAnswer) {
        self.answers.entry(runner).or_default().push_back(answer);
    }

    /// Answers that no order came for.
    pub fn unused_answers(&self) -> usize {
        self.answers.values().map(VecDeque::len).sum()
    }

    /// Carries out an order: the answer of the input, or that of a runner
    /// where every start lands. Gives the agent it came by as well.
    pub fn carry_out(&mut self, order: &RunnerOrder) -> Option<(Address, OrderAnswer)> {
        let given = self
            .answers
            .get_mut(&order.runner)
            .and_then(VecDeque::pop_front);
        let runner = self.runners.get_mut(&order.runner)?;
        let answer = given.unwrap_or_else(|| runner.default_answer(&order.kind));
        let run = order.kind.run();
        if matches!(answer, OrderAnswer::Started | OrderAnswer::Active) {
            runner.active.insert(run);
        }
        Some((runner.agent.clone(), answer))
    }
}

impl Runner {
    fn default_answer(&self, kind: &OrderKind) -> OrderAnswer {
        let run = kind.run();
        match kind {
            OrderKind::Start { .. } => OrderAnswer::Started,
            _ if self.ended.contains(&run) => OrderAnswer::Ended,
            OrderKind::Stop { .. } if self.active.contains(&run) => OrderAnswer::Stopping,
            OrderKind::Revoke { .. } if self.active.contains(&run) => OrderAnswer::Active,
            OrderKind::Stop { .. } | OrderKind::Revoke { .. } => OrderAnswer::Revoked,
        }
    }
}

fn agent_address(index: usize) -> Result<Address, InvalidName> {
    let number = u32::try_from(index).unwrap_or(u32::MAX);
    let node = NodeId(FIRST_NODE + u64::from(number));
    let ip = Ipv4Addr::from(FIRST_IP.saturating_add(number));
    address(node, Role::Agent, ip)
}
