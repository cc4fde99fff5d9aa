//! Runners of the input, each with its own emulated agent.

use crate::cluster::address;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use types::{
    Address, InvalidName, NodeId, OrderAnswer, OrderKind, Role, RunId, RunnerId, RunnerOrder,
    RunnerReport,
};

/// Node identity of the first agent; others count up from it.
const FIRST_NODE: u64 = 1_000;
/// IP address of the first agent, 127.1.0.0; others count up from it.
const FIRST_IP: u32 = 0x7F01_0000;

/// State of a runner, with the address of its agent.
#[derive(Debug)]
pub struct Runner {
    /// Address of the runner's agent.
    pub agent: Address,
    /// Active runs: those of the last heartbeat, and those started since.
    active: BTreeSet<RunId>,
    /// Ended runs that the last heartbeat reported.
    ended: BTreeSet<RunId>,
}

/// All runners that have sent a heartbeat, and the answers that the input gives.
#[derive(Debug, Default)]
pub struct Runners {
    runners: BTreeMap<RunnerId, Runner>,
    /// Answers given in the input that await the next orders of their runner.
    answers: BTreeMap<RunnerId, VecDeque<OrderAnswer>>,
}

impl Runners {
    /// Records a heartbeat. Returns the address of the runner's agent, which is
    /// assigned at the first heartbeat.
    ///
    /// # Errors
    ///
    /// Fails if a name generated for the agent's address is not valid.
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

    /// Returns the runners in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&RunnerId, &Runner)> {
        self.runners.iter()
    }

    /// Queues an answer for the runner's next order.
    pub fn queue_answer(&mut self, runner: RunnerId, answer: OrderAnswer) {
        self.answers.entry(runner).or_default().push_back(answer);
    }

    /// Returns the number of answers that no order has used.
    pub fn unused_answers(&self) -> usize {
        self.answers.values().map(VecDeque::len).sum()
    }

    /// Answers an order with the next queued answer of the input, or else as a runner
    /// that accepts every start. Returns the address of the runner's agent with the
    /// answer, or `None` if the runner has sent no heartbeat.
    pub fn answer_order(&mut self, order: &RunnerOrder) -> Option<(Address, OrderAnswer)> {
        let queued = self
            .answers
            .get_mut(&order.runner)
            .and_then(VecDeque::pop_front);
        let runner = self.runners.get_mut(&order.runner)?;
        let answer = queued.unwrap_or_else(|| runner.default_answer(&order.kind));
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
