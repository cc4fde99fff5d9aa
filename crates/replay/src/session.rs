//! State of a replay in progress, which turns lines of input into lines of output.

use crate::cluster::{Cluster, CoreEvent, address};
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

/// Maximum time between two lines: one week.
pub const MAX_GAP: Milliseconds = Milliseconds::from_seconds(7 * 24 * 60 * 60);
/// Interval between keep-alives of an agent.
const KEEP_ALIVE_INTERVAL: Milliseconds = Milliseconds(400);
/// Time that the coordinator has to answer a request.
const REQUEST_TIMEOUT: Milliseconds = Milliseconds(30_000);
const GATEWAY_NODE: NodeId = NodeId(2);
const GATEWAY_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Replay in progress.
pub struct Replay {
    seed: u64,
    /// `None` until the first line, whose time the cluster starts at.
    cluster: Option<Cluster>,
    runners: Runners,
    next_keep_alive: WallTime,
    keep_alive_sequence: u64,
    /// Line numbers of the requests without an answer. A request's identifier is its
    /// line number.
    pending_requests: BTreeMap<RequestId, u64>,
    /// Line number of the heartbeat that is being processed and has no answer yet.
    pending_heartbeat: Option<u64>,
    summary: Summary,
}

impl Replay {
    /// Creates a replay. `seed` determines all draws of the core.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            cluster: None,
            runners: Runners::default(),
            next_keep_alive: WallTime(0),
            keep_alive_sequence: 0,
            pending_requests: BTreeMap::new(),
            pending_heartbeat: None,
            summary: Summary::default(),
        }
    }

    /// Advances the clock to the time of the line, and applies the line. After an error
    /// nothing of the line is applied.
    ///
    /// # Errors
    ///
    /// Fails if the line is earlier than the previous one or more than [`MAX_GAP`]
    /// later, or if the core does not lead.
    pub fn apply(
        &mut self,
        input: InputLine,
        output: &mut Vec<OutputLine>,
    ) -> Result<(), LineError> {
        let mut cluster = match self.cluster.take() {
            Some(cluster) => cluster,
            None => Cluster::new(self.seed, input.at).map_err(name_error)?,
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
        self.advance_to(cluster, input.at, output);
        if !cluster.is_serving() {
            return Err(LineError::NotServing);
        }
        self.summary.lines += 1;
        let line = self.summary.lines;
        let mut events = Vec::new();
        match input.kind {
            InputKind::Request(request) => self.request(cluster, line, *request, &mut events)?,
            InputKind::Heartbeat(report) => self.heartbeat(cluster, line, *report, &mut events)?,
            InputKind::Answer { runner, answer } => {
                self.runners.queue_answer(runner, answer);
                output.push(accepted(line, input.at, None));
            }
            InputKind::Advance => output.push(accepted(line, input.at, None)),
        }
        self.process_events(cluster, &mut events, output);
        self.reject_ignored_heartbeat(input.at, output);
        cluster.tick(&mut events);
        self.process_events(cluster, &mut events, output);
        Ok(())
    }

    /// Ends the replay, and returns its counts for the last line of output.
    pub fn finish(mut self) -> Summary {
        self.summary.unanswered = count(self.pending_requests.len());
        self.summary.unused_answers = count(self.runners.unused_answers());
        self.summary
    }

    /// Advances the clock to `to`, and ticks the core at each of its wakeups on the way.
    fn advance_to(&mut self, cluster: &mut Cluster, to: WallTime, output: &mut Vec<OutputLine>) {
        let mut events = Vec::new();
        while cluster.next_wakeup() < to {
            cluster.advance(cluster.next_wakeup());
            self.send_keep_alive(cluster, &mut events);
            cluster.tick(&mut events);
            self.process_events(cluster, &mut events, output);
        }
        cluster.advance(to);
        self.send_keep_alive(cluster, &mut events);
        self.process_events(cluster, &mut events, output);
    }

    /// Sends a keep-alive from each agent if [`KEEP_ALIVE_INTERVAL`] has passed since
    /// the last.
    fn send_keep_alive(&mut self, cluster: &mut Cluster, events: &mut Vec<CoreEvent>) {
        let now = cluster.now().wall;
        if now < self.next_keep_alive {
            return;
        }
        self.next_keep_alive = now + KEEP_ALIVE_INTERVAL;
        self.keep_alive_sequence += 1;
        for (runner, state) in self.runners.iter() {
            let keep_alive = keep_alive(self.keep_alive_sequence, runner);
            cluster.deliver(state.agent.clone(), keep_alive, events);
        }
    }

    fn request(
        &mut self,
        cluster: &mut Cluster,
        line: u64,
        operation: Operation,
        events: &mut Vec<CoreEvent>,
    ) -> Result<(), LineError> {
        let id = RequestId(line);
        self.pending_requests.insert(id, line);
        let request = Request {
            id,
            time_left: REQUEST_TIMEOUT,
            operation,
        };
        let gateway = gateway().map_err(name_error)?;
        cluster.deliver(gateway, PeerMessage::Request(request), events);
        Ok(())
    }

    /// Delivers a heartbeat to the core, after a keep-alive of its agent. Without a
    /// session of the agent, the core would ignore the heartbeat.
    fn heartbeat(
        &mut self,
        cluster: &mut Cluster,
        line: u64,
        report: RunnerReport,
        events: &mut Vec<CoreEvent>,
    ) -> Result<(), LineError> {
        let agent = self.runners.record_heartbeat(&report).map_err(name_error)?;
        self.keep_alive_sequence += 1;
        let keep_alive = keep_alive(self.keep_alive_sequence, &report.runner);
        cluster.deliver(agent.clone(), keep_alive, events);
        self.pending_heartbeat = Some(line);
        let reports = vec![report];
        cluster.deliver(
            agent,
            PeerMessage::AgentReport(AgentReport { reports }),
            events,
        );
        Ok(())
    }

    /// Writes a rejection if the core has ignored the heartbeat of the current line.
    fn reject_ignored_heartbeat(&mut self, at: WallTime, output: &mut Vec<OutputLine>) {
        let Some(line) = self.pending_heartbeat.take() else {
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

    /// Writes the events of the core to the output and answers its orders, until no
    /// events are left.
    fn process_events(
        &mut self,
        cluster: &mut Cluster,
        events: &mut Vec<CoreEvent>,
        output: &mut Vec<OutputLine>,
    ) {
        while !events.is_empty() {
            for event in std::mem::take(events) {
                match event {
                    CoreEvent::Decided(entry) => self.write_decision((*entry).into(), output),
                    CoreEvent::Sent(PeerMessage::Reply(reply)) => {
                        self.write_reply(cluster.now().wall, reply, output);
                    }
                    CoreEvent::Sent(PeerMessage::RunnerUpdate(update)) => {
                        if let Some(line) = self.pending_heartbeat.take() {
                            let answer = AnswerBody::from_update(update);
                            output.push(accepted(line, cluster.now().wall, Some(answer)));
                        }
                    }
                    CoreEvent::Sent(PeerMessage::Orders { orders, .. }) => {
                        for order in orders {
                            self.process_order(cluster, order, events, output);
                        }
                    }
                    CoreEvent::Sent(_) => {}
                }
            }
        }
    }

    fn write_decision(&mut self, line: DecisionLine, output: &mut Vec<OutputLine>) {
        match &line.event {
            EventBody::Placed { shadow: false, .. } => self.summary.placed += 1,
            EventBody::Placed { shadow: true, .. } => self.summary.placed_in_shadow += 1,
            EventBody::JobEnded { .. } => self.summary.ended += 1,
            _ => {}
        }
        output.push(OutputLine::Decision(Box::new(line)));
    }

    fn write_reply(&mut self, at: WallTime, reply: Reply, output: &mut Vec<OutputLine>) {
        let Some(line) = self.pending_requests.remove(&reply.id) else {
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

    fn process_order(
        &mut self,
        cluster: &mut Cluster,
        order: RunnerOrder,
        events: &mut Vec<CoreEvent>,
        output: &mut Vec<OutputLine>,
    ) {
        self.summary.orders += 1;
        let answered = self.runners.answer_order(&order);
        let answer = answered
            .as_ref()
            .and_then(|(_, answer)| OrderAnswerBody::from_answer(answer));
        let line = EventLine::Order {
            at_ms: cluster.now().wall.0,
            order: OrderBody::from(&order),
            answer,
        };
        output.push(line.into());
        if let Some((agent, answer)) = answered {
            let results = vec![OrderResult { order, answer }];
            cluster.deliver(agent, PeerMessage::OrderResults { results }, events);
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
        // The highest version, so that the core sends no configuration document.
        configuration: ConfigurationVersion(u64::MAX),
        runners: vec![runner.clone()],
        leaving: false,
        cluster: None,
    })
}

fn gateway() -> Result<Address, InvalidName> {
    address(GATEWAY_NODE, Role::Gateway, GATEWAY_IP)
}

fn name_error(error: InvalidName) -> LineError {
    BodyError::new("name", error).into()
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
