//! A replay under way: lines in, lines out.

use crate::cluster::{Cluster, Seen, address};
use crate::input::{InputKind, InputLine, LineError};
use crate::output::{AnswerBody, EventLine, OutputLine, Summary};
use crate::runners::Runners;
use api::BodyError;
use api::decision::{DecisionLine, EventBody};
use api::runner::{OrderAnswerBody, OrderBody};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use transport::{
    AgentReport, KeepAlive, Operation, OperationReply, OrderResult, PeerMessage, Rejection,
    RejectionCode, Reply, Request, RequestId,
};
use types::{
    Address, ConfigurationVersion, InvalidName, Milliseconds, NodeId, Role, RunnerId, RunnerOrder,
    RunnerReport, WallTime,
};

/// Longest time between two lines: a week.
pub const MAX_GAP: Milliseconds = Milliseconds::from_seconds(7 * 24 * 60 * 60);
/// Time between keep-alives of an agent.
const KEEP_ALIVE_INTERVAL: Milliseconds = Milliseconds(400);
/// How long a request may wait for its answer.
const REQUEST_TIME: Milliseconds = Milliseconds(30_000);
const GATEWAY_NODE: NodeId = NodeId(2);
const GATEWAY_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// A replay under way.
pub struct Replay {
    seed: u64,
    /// Built at the time of the first line.
    cluster: Option<Cluster>,
    runners: Runners,
    next_keep_alive: WallTime,
    keep_alive_sequence: u64,
    /// Lines whose request has no answer yet; requests bear their numbers.
    waiting: BTreeMap<RequestId, u64>,
    /// The line whose heartbeat is being handled.
    heartbeat: Option<u64>,
    summary: Summary,
}

impl Replay {
    /// A replay with this seed.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            cluster: None,
            runners: Runners::default(),
            next_keep_alive: WallTime(0),
            keep_alive_sequence: 0,
            waiting: BTreeMap::new(),
            heartbeat: None,
            summary: Summary::default(),
        }
    }

    /// Lets time pass up to the line, and applies it. After an error nothing
    /// of the line is applied.
    ///
    /// # Errors
    ///
    /// Fails if the line does not fit those before it.
    pub fn apply(
        &mut self,
        input: InputLine,
        output: &mut Vec<OutputLine>,
    ) -> Result<(), LineError> {
        let mut cluster = match self.cluster.take() {
            Some(cluster) => cluster,
            None => Cluster::new(self.seed, input.at).map_err(wrong_name)?,
        };
        let applied = self.apply_to(&mut cluster, input, output);
        self.cluster = Some(cluster);
        applied
    }

    fn apply_to(
        &mut self,
        cluster: &mut Cluster,
        input: InputLine,
        output: &mut Vec<OutputLine>,
    ) -> Result<(), LineError> {
        check_time(cluster.now().wall, input.at)?;
        self.walk(cluster, input.at, output);
        if !cluster.is_serving() {
            return Err(LineError::NotServing);
        }
        self.summary.lines += 1;
        let line = self.summary.lines;
        let mut seen = Vec::new();
        match input.kind {
            InputKind::Request(operation) => self.request(cluster, line, *operation, &mut seen)?,
            InputKind::Heartbeat(report) => self.report(cluster, line, *report, &mut seen)?,
            InputKind::Answer { runner, answer } => {
                self.runners.give_answer(runner, answer);
                output.push(accepted(line, input.at, None));
            }
            InputKind::Advance => output.push(accepted(line, input.at, None)),
        }
        self.follow(cluster, &mut seen, output);
        self.end_heartbeat(input.at, output);
        cluster.tick(&mut seen);
        self.follow(cluster, &mut seen, output);
        Ok(())
    }

    /// The last line.
    pub fn finish(mut self) -> Summary {
        self.summary.unanswered = count(self.waiting.len());
        self.summary.unused_answers = count(self.runners.unused_answers());
        self.summary
    }

    /// Wakes the core whenever it asks for it, up to this time.
    fn walk(&mut self, cluster: &mut Cluster, to: WallTime, output: &mut Vec<OutputLine>) {
        let mut seen = Vec::new();
        while cluster.next_wakeup() < to {
            cluster.advance(cluster.next_wakeup());
            self.send_keep_alive(cluster, &mut seen);
            cluster.tick(&mut seen);
            self.follow(cluster, &mut seen, output);
        }
        cluster.advance(to);
        self.send_keep_alive(cluster, &mut seen);
        self.follow(cluster, &mut seen, output);
    }

    /// Renews the sessions of all agents when it is time.
    fn send_keep_alive(&mut self, cluster: &mut Cluster, seen: &mut Vec<Seen>) {
        let now = cluster.now().wall;
        if now < self.next_keep_alive {
            return;
        }
        self.next_keep_alive = now + KEEP_ALIVE_INTERVAL;
        self.keep_alive_sequence += 1;
        for (runner, state) in self.runners.iter() {
            let keep_alive = keep_alive(self.keep_alive_sequence, runner);
            cluster.deliver(state.agent.clone(), keep_alive, seen);
        }
    }

    fn request(
        &mut self,
        cluster: &mut Cluster,
        line: u64,
        operation: Operation,
        seen: &mut Vec<Seen>,
    ) -> Result<(), LineError> {
        let id = RequestId(line);
        self.waiting.insert(id, line);
        let request = Request {
            id,
            time_left: REQUEST_TIME,
            operation,
        };
        let gateway = gateway().map_err(wrong_name)?;
        cluster.deliver(gateway, PeerMessage::Request(request), seen);
        Ok(())
    }

    /// Carries a heartbeat to the core, after the keep-alive without which it would
    /// be passed over.
    fn report(
        &mut self,
        cluster: &mut Cluster,
        line: u64,
        report: RunnerReport,
        seen: &mut Vec<Seen>,
    ) -> Result<(), LineError> {
        let agent = self.runners.record_heartbeat(&report).map_err(wrong_name)?;
        self.keep_alive_sequence += 1;
        let keep_alive = keep_alive(self.keep_alive_sequence, &report.runner);
        cluster.deliver(agent.clone(), keep_alive, seen);
        self.heartbeat = Some(line);
        let reports = vec![report];
        cluster.deliver(
            agent,
            PeerMessage::AgentReport(AgentReport { reports }),
            seen,
        );
        Ok(())
    }

    /// A heartbeat that the core passed over is rejected.
    fn end_heartbeat(&mut self, at: WallTime, output: &mut Vec<OutputLine>) {
        let Some(line) = self.heartbeat.take() else {
            return;
        };
        self.summary.rejected += 1;
        let rejection = Rejection {
            code: RejectionCode::Conflict,
            message: "a later heartbeat of this runner is known".to_owned(),
            retry_after: None,
            problems: Vec::new(),
        };
        output.push(EventLine::rejected(line, at.0, rejection).into());
    }

    /// Writes down what the core did, and answers its orders, until it is
    /// silent.
    fn follow(
        &mut self,
        cluster: &mut Cluster,
        seen: &mut Vec<Seen>,
        output: &mut Vec<OutputLine>,
    ) {
        while !seen.is_empty() {
            for one in std::mem::take(seen) {
                match one {
                    Seen::Decided(entry) => self.decided((*entry).into(), output),
                    Seen::Sent(PeerMessage::Reply(reply)) => {
                        self.replied(cluster.now().wall, reply, output);
                    }
                    Seen::Sent(PeerMessage::RunnerUpdate(update)) => {
                        if let Some(line) = self.heartbeat.take() {
                            let answer = AnswerBody::from_update(update);
                            output.push(accepted(line, cluster.now().wall, Some(answer)));
                        }
                    }
                    Seen::Sent(PeerMessage::Orders { orders, .. }) => {
                        for order in orders {
                            self.ordered(cluster, order, seen, output);
                        }
                    }
                    Seen::Sent(_) => {}
                }
            }
        }
    }

    fn decided(&mut self, line: DecisionLine, output: &mut Vec<OutputLine>) {
        match &line.event {
            EventBody::Placed { shadow: false, .. } => self.summary.placed += 1,
            EventBody::Placed { shadow: true, .. } => self.summary.placed_in_shadow += 1,
            EventBody::JobEnded { .. } => self.summary.ended += 1,
            _ => {}
        }
        output.push(OutputLine::Decision(Box::new(line)));
    }

    fn replied(&mut self, at: WallTime, reply: Reply, output: &mut Vec<OutputLine>) {
        let Some(line) = self.waiting.remove(&reply.id) else {
            return;
        };
        match reply.result {
            Ok(reply) => {
                if matches!(reply, OperationReply::Submitted { known: false, .. }) {
                    self.summary.jobs += 1;
                }
                output.push(accepted(line, at, AnswerBody::from_reply(reply)));
            }
            Err(rejection) => {
                self.summary.rejected += 1;
                output.push(EventLine::rejected(line, at.0, rejection).into());
            }
        }
    }

    fn ordered(
        &mut self,
        cluster: &mut Cluster,
        order: RunnerOrder,
        seen: &mut Vec<Seen>,
        output: &mut Vec<OutputLine>,
    ) {
        self.summary.orders += 1;
        let carried_out = self.runners.carry_out(&order);
        let answer = carried_out
            .as_ref()
            .and_then(|(_, answer)| OrderAnswerBody::from_answer(answer));
        let line = EventLine::Order {
            at_ms: cluster.now().wall.0,
            order: OrderBody::from(&order),
            answer,
        };
        output.push(line.into());
        if let Some((agent, answer)) = carried_out {
            let results = vec![OrderResult { order, answer }];
            cluster.deliver(agent, PeerMessage::OrderResults { results }, seen);
        }
    }
}

fn check_time(last: WallTime, at: WallTime) -> Result<(), LineError> {
    let (last, at) = (last.0, at.0);
    if at < last {
        return Err(LineError::TimeGoesBack { at, last });
    }
    if at - last > MAX_GAP.0 {
        let max = MAX_GAP.0;
        return Err(LineError::Gap { at, last, max });
    }
    Ok(())
}

fn accepted(line: u64, at: WallTime, answer: Option<AnswerBody>) -> OutputLine {
    let at_ms = at.0;
    EventLine::Accepted {
        line,
        at_ms,
        answer,
    }
    .into()
}

fn keep_alive(sequence: u64, runner: &RunnerId) -> PeerMessage {
    PeerMessage::KeepAlive(KeepAlive {
        sequence,
        // The driver needs no document: none is sent to it.
        configuration: ConfigurationVersion(u64::MAX),
        runners: vec![runner.clone()],
        leaving: false,
        cluster: None,
    })
}

fn gateway() -> Result<Address, InvalidName> {
    address(GATEWAY_NODE, Role::Gateway, GATEWAY_IP)
}

fn wrong_name(error: InvalidName) -> LineError {
    BodyError::new("name", error).into()
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
