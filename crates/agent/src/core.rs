//! The agent's core.

mod interface;
mod orders;
mod results;
mod runners;

pub use interface::{AgentMutation, AgentOptions, Effect, HeartbeatAnswer, Input, NotReady};

use orders::{Accepted, OrderTable};
use results::ResultBox;
use runners::{RunnerStatus, RunnerTable};
use session::{SessionClient, SessionEvent, SessionOptions};
use std::net::SocketAddr;
use transport::{Envelope, OrderResult, PeerMessage, RunnerUpdate};
use types::{
    Milliseconds, Monotonic, NodeId, Now, OrderAnswer, OrderKind, RejectionReason, RunnerId,
    RunnerOrder, Term,
};

/// Reports of several runners that arrive within this time go out together.
const REPORT_SPACING: Milliseconds = Milliseconds(20);

/// An agent.
///
/// It delivers an order only if all of this holds: its session is open under
/// the order's term, no higher term has been seen, the order names this
/// process, and the runner's current incarnation has sent a heartbeat since the
/// session opened. Anything else is dropped or rejected; the leader then revokes
/// the run, so a dropped order costs time but never a second start.
pub struct Agent {
    options: AgentOptions,
    mutation: Option<AgentMutation>,
    session: SessionClient,
    session_open: bool,
    highest_term: Term,
    runners: RunnerTable,
    orders: OrderTable,
    results: ResultBox,
    last_input: Monotonic,
    last_report: Option<Monotonic>,
    readiness: Option<Result<(), NotReady>>,
    stopping: bool,
    stopped: bool,
}

impl Agent {
    /// A fresh agent; it knows nothing and is not ready.
    pub fn new(options: AgentOptions, now: Now) -> Self {
        let session = SessionOptions {
            address: options.address.clone(),
            seeds: options.seeds.clone(),
            interval: options.session_interval,
            replica_valid: options.replica_valid,
            seed: options.seed,
        };
        Self {
            mutation: None,
            session: SessionClient::new(session, now),
            session_open: false,
            highest_term: Term::default(),
            runners: RunnerTable::default(),
            orders: OrderTable::new(options.order_timeout),
            results: ResultBox::default(),
            last_input: now.monotonic,
            last_report: None,
            readiness: None,
            stopping: false,
            stopped: false,
            options,
        }
    }

    /// The same agent with a guard left out, for proofs.
    pub fn with_mutation(mut self, mutation: AgentMutation) -> Self {
        self.mutation = Some(mutation);
        self
    }

    /// Takes one input and appends what is to be done.
    pub fn handle(&mut self, now: Now, input: Input, effects: &mut Vec<Effect>) {
        self.notice_freeze(now, effects);
        match input {
            Input::Tick => {}
            Input::Peer(envelope) => self.take_message(now, envelope, effects),
            Input::Heartbeat(report) => {
                self.runners
                    .heartbeat(report, now.monotonic, self.session_open && !self.stopping);
            }
            Input::Answered { order, answer } => self.take_answer(now, order, answer, effects),
            Input::Stop => self.stopping = true,
        }
        self.tick_session(now, effects);
        self.expire(now, effects);
        self.deliver(now, effects);
        self.send_reports(now, effects);
        self.report_readiness(now, effects);
        self.stop_when_idle(now, effects);
    }

    /// What to tell a runner that just sent a heartbeat. Lists of recorded and
    /// closed runs are told once: if that answer is lost, the runner's next
    /// heartbeat names the runs again and the leader repeats itself.
    pub fn heartbeat_answer(&mut self, runner: &RunnerId) -> HeartbeatAnswer {
        let mut answer = self.runners.answer(runner);
        answer.term = self.highest_term;
        answer
    }

    /// The configuration replica's key check needs; none while it is too old.
    pub fn configuration(&self, now: Now) -> Option<&configuration::ClusterConfiguration> {
        self.session
            .configuration(now)
            .map(|(_, document)| document)
    }

    /// When it wants [`Input::Tick`] next.
    pub fn next_wakeup(&self) -> Monotonic {
        // Often enough that a quiet agent is not taken for a frozen one.
        let heartbeat = self.last_input + Milliseconds(self.options.freeze_after.0 / 2);
        let report = self
            .last_report
            .filter(|_| self.runners.has_unsent())
            .map(|last| last + REPORT_SPACING);
        let wakeups = [self.orders.next_deadline(), report];
        let first = self.session.next_wakeup().min(heartbeat);
        wakeups.into_iter().flatten().fold(first, Monotonic::min)
    }

    fn notice_freeze(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let gap = now.monotonic.since(self.last_input);
        self.last_input = now.monotonic;
        if gap < self.options.freeze_after {
            return;
        }
        self.close_session();
        let mut out = Vec::new();
        self.session.rejoin(now, &mut out);
        send_all(out, effects);
    }

    /// Drops what it held for the leader: nothing from before may be acted on.
    fn close_session(&mut self) {
        self.session_open = false;
        self.runners.session_closed();
        if !self.mutated(AgentMutation::KeepOrdersOverLostSession) {
            self.orders.drop_queued();
        }
    }

    fn tick_session(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if now.monotonic < self.session.next_wakeup() {
            return;
        }
        self.runners.forget_unresponsive(now.monotonic);
        let mut out = Vec::new();
        let events = self.session.tick(now, &self.runners.names(), &mut out);
        send_all(out, effects);
        self.take_session_events(now, events, effects);
    }

    fn take_session_events(
        &mut self,
        now: Now,
        events: Vec<SessionEvent>,
        effects: &mut Vec<Effect>,
    ) {
        for event in events {
            match event {
                SessionEvent::Opened { term } => {
                    self.session_open = true;
                    self.raise_term(term);
                    self.results.keep_only(term);
                    self.send_results(now, self.results.all(), effects);
                }
                SessionEvent::Lost => self.close_session(),
                SessionEvent::Configuration(_) => {}
            }
        }
    }

    fn raise_term(&mut self, term: Term) {
        if term > self.highest_term {
            self.highest_term = term;
            if !self.mutated(AgentMutation::NoTermFence) {
                self.orders.raise_term(term);
            }
        }
    }

    fn take_message(&mut self, now: Now, envelope: Envelope, effects: &mut Vec<Effect>) {
        let mut out = Vec::new();
        let (events, rest) = self.session.handle(now, envelope, &mut out);
        send_all(out, effects);
        self.take_session_events(now, events, effects);
        let Some(envelope) = rest else { return };
        match &envelope.body {
            PeerMessage::Orders {
                term,
                agent,
                orders,
            } => self.take_orders(now, &envelope, *term, *agent, orders, effects),
            PeerMessage::RunnerUpdate(update) => self.take_update(update),
            _ => {}
        }
    }

    fn take_update(&mut self, update: &RunnerUpdate) {
        if update.term >= self.highest_term {
            self.raise_term(update.term);
            self.runners.update(update);
        }
    }

    fn take_orders(
        &mut self,
        now: Now,
        envelope: &Envelope,
        term: Term,
        agent: NodeId,
        orders: &[RunnerOrder],
        effects: &mut Vec<Effect>,
    ) {
        if agent != self.options.address.node || self.stopping {
            return;
        }
        if term < self.highest_term && !self.mutated(AgentMutation::NoTermFence) {
            self.reject_stale(envelope, orders, effects);
            return;
        }
        self.raise_term(term);
        if !self.may_take(now, term) {
            return;
        }
        for order in orders.iter().filter(|order| order.term == term) {
            self.take_order(now, order, effects);
        }
    }

    /// Returns whether the session is open under this very term.
    fn may_take(&self, now: Now, term: Term) -> bool {
        match self.mutation {
            Some(AgentMutation::NoTermFence) => self.session_open,
            Some(AgentMutation::KeepOrdersOverLostSession) => true,
            None => self.session_open && self.session.term(now) == Some(term),
        }
    }

    fn take_order(&mut self, now: Now, order: &RunnerOrder, effects: &mut Vec<Effect>) {
        match self.runners.status(&order.runner, order.incarnation) {
            RunnerStatus::Served if self.is_start_on_draining(order) => {
                let answer = OrderAnswer::Rejected(RejectionReason::Draining);
                if self.orders.record(order) == Accepted::New {
                    self.give_result(now, order.clone(), answer, effects);
                }
                return;
            }
            RunnerStatus::Served => {}
            RunnerStatus::Ended => {
                let answer = OrderAnswer::Rejected(RejectionReason::OtherIncarnation);
                if self.orders.record(order) == Accepted::New {
                    self.give_result(now, order.clone(), answer, effects);
                }
                return;
            }
            RunnerStatus::Unheard if self.keeps_orders() => {}
            RunnerStatus::Unheard => return,
        }
        if self.orders.accept(order, now.monotonic) == Accepted::Full {
            self.give_result(now, order.clone(), OrderAnswer::Unknown, effects);
        }
    }

    /// The leader may not have heard yet that the runner leaves; this process
    /// has, and nothing passes it by.
    fn is_start_on_draining(&self, order: &RunnerOrder) -> bool {
        matches!(order.kind, OrderKind::Start { .. }) && self.runners.is_draining(&order.runner)
    }

    /// Told to the sender alone: it may be a leader that was voted out, and
    /// the leader of this session has no use for its orders.
    fn reject_stale(&self, envelope: &Envelope, orders: &[RunnerOrder], effects: &mut Vec<Effect>) {
        let rejected = |order: &RunnerOrder| OrderResult {
            order: order.clone(),
            answer: OrderAnswer::Rejected(RejectionReason::StaleTerm),
        };
        let results = orders.iter().map(rejected).collect();
        let message = PeerMessage::OrderResults { results };
        let (to, message) = session::answer_to(&self.options.address, envelope, message);
        effects.push(Effect::Send { to, message });
    }

    fn take_answer(
        &mut self,
        now: Now,
        order: RunnerOrder,
        answer: OrderAnswer,
        effects: &mut Vec<Effect>,
    ) {
        // Else it was given up as unknown before; the leader is voiding it.
        if self.orders.answered(&order) {
            self.give_result(now, order, answer, effects);
        }
    }

    fn give_result(
        &mut self,
        now: Now,
        order: RunnerOrder,
        answer: OrderAnswer,
        effects: &mut Vec<Effect>,
    ) {
        let result = OrderResult { order, answer };
        self.results.keep(result.clone(), now.monotonic);
        if self.session.term(now) == Some(result.order.term) {
            self.send_results(now, vec![result], effects);
        }
    }

    fn send_results(&self, now: Now, results: Vec<OrderResult>, effects: &mut Vec<Effect>) {
        if results.is_empty() {
            return;
        }
        self.send_to_leader(now, PeerMessage::OrderResults { results }, effects);
    }

    fn expire(&mut self, now: Now, effects: &mut Vec<Effect>) {
        for order in self.orders.expire(now.monotonic) {
            self.give_result(now, order, OrderAnswer::Unknown, effects);
        }
        self.results.forget_old(now.monotonic);
    }

    fn deliver(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if !self.session_open && !self.keeps_orders() {
            return;
        }
        for order in self.orders.deliverable(now.monotonic) {
            effects.push(Effect::Deliver { order });
        }
    }

    fn send_reports(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let spaced = self
            .last_report
            .is_none_or(|last| now.monotonic >= last + REPORT_SPACING);
        if !self.session_open || !spaced || !self.runners.has_unsent() {
            return;
        }
        self.last_report = Some(now.monotonic);
        let reports = self.runners.take_unsent();
        let report = PeerMessage::AgentReport(transport::AgentReport { reports });
        self.send_to_leader(now, report, effects);
    }

    fn send_to_leader(&self, now: Now, message: PeerMessage, effects: &mut Vec<Effect>) {
        let addressed = self.session.to_leader(now, message);
        send_all(addressed, effects);
    }

    fn report_readiness(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let readiness = self.readiness_at(now);
        if self.readiness != Some(readiness) {
            self.readiness = Some(readiness);
            effects.push(Effect::Ready(readiness));
        }
    }

    fn readiness_at(&self, now: Now) -> Result<(), NotReady> {
        if self.stopping {
            return Err(NotReady::Stopping);
        }
        if !self.session_open {
            return Err(NotReady::NoSession);
        }
        if self.session.configuration(now).is_none() {
            return Err(NotReady::StaleConfiguration);
        }
        Ok(())
    }

    /// A polite stop waits for the answers to orders that were delivered; each
    /// of them is bounded by the order timeout.
    fn stop_when_idle(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if !self.stopping || self.stopped {
            return;
        }
        self.orders.drop_queued();
        if self.orders.in_flight() > 0 {
            return;
        }
        self.stopped = true;
        let mut out = Vec::new();
        self.session.leave(now, &mut out);
        send_all(out, effects);
        effects.push(Effect::Stopped);
    }

    fn keeps_orders(&self) -> bool {
        self.mutated(AgentMutation::KeepOrdersOverLostSession)
    }

    fn mutated(&self, mutation: AgentMutation) -> bool {
        self.mutation == Some(mutation)
    }
}

fn send_all(
    messages: impl IntoIterator<Item = (SocketAddr, PeerMessage)>,
    effects: &mut Vec<Effect>,
) {
    let sends = messages.into_iter();
    effects.extend(sends.map(|(to, message)| Effect::Send { to, message }));
}
