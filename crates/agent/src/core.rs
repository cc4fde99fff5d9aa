//! The core of an agent: a state machine without I/O.

mod interface;
mod orders;
mod results;
mod runners;

pub use interface::{AgentMutation, AgentOptions, Effect, HeartbeatAnswer, Input, NotReady};

use orders::{OrderAdmission, OrderTable};
use results::RecentResults;
use runners::{RunnerStatus, RunnerTable};
use session::{SessionClient, SessionEvent, SessionOptions};
use std::net::SocketAddr;
use transport::{Envelope, OrderResult, PeerMessage, RunnerUpdate};
use types::{
    Milliseconds, Monotonic, NodeId, Now, OrderAnswer, OrderKind, RejectionReason, RunnerId,
    RunnerOrder, Term,
};

/// Minimum time between two reports to the leader. Heartbeats received in between are
/// combined in one report.
const REPORT_SPACING: Milliseconds = Milliseconds(20);

/// The core of an agent.
///
/// The agent delivers an order only if its session is open under the order's term, it has
/// seen no higher term, the order is for this process, and the runner's current incarnation
/// has sent a heartbeat since the session opened. It drops or rejects all other orders.
/// The leader then revokes the run, so a dropped order delays a task but never starts it
/// twice.
pub struct Agent {
    options: AgentOptions,
    mutation: Option<AgentMutation>,
    session: SessionClient,
    session_open: bool,
    highest_term: Term,
    runners: RunnerTable,
    orders: OrderTable,
    results: RecentResults,
    last_input: Monotonic,
    last_report: Option<Monotonic>,
    readiness: Option<Result<(), NotReady>>,
    stopping: bool,
    stopped: bool,
}

impl Agent {
    /// Creates an agent that has no session and is therefore not ready.
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
            results: RecentResults::default(),
            last_input: now.monotonic,
            last_report: None,
            readiness: None,
            stopping: false,
            stopped: false,
            options,
        }
    }

    /// Disables one guard, so that a test can show that a checker detects its absence.
    pub fn with_mutation(mut self, mutation: AgentMutation) -> Self {
        self.mutation = Some(mutation);
        self
    }

    /// Processes one input, and appends the actions that the shell must carry out to
    /// `effects`.
    pub fn handle(&mut self, now: Now, input: Input, effects: &mut Vec<Effect>) {
        self.detect_suspend(now, effects);
        match input {
            Input::Tick => {}
            Input::Peer(envelope) => self.receive_message(now, envelope, effects),
            Input::Heartbeat(report) => {
                self.runners
                    .heartbeat(report, now.monotonic, self.session_open && !self.stopping);
            }
            Input::Answered { order, answer } => self.receive_answer(now, order, answer, effects),
            Input::Stop => self.stopping = true,
        }
        self.tick_session(now, effects);
        self.expire(now, effects);
        self.deliver(now, effects);
        self.send_reports(now, effects);
        self.report_readiness(now, effects);
        self.stop_when_idle(now, effects);
    }

    /// Returns the answer to a runner's heartbeat.
    ///
    /// The lists of runs are returned once. If the answer is lost, the runner's next
    /// heartbeat contains the runs again, and the leader repeats the lists.
    pub fn heartbeat_answer(&mut self, runner: &RunnerId) -> HeartbeatAnswer {
        let mut answer = self.runners.answer(runner);
        answer.term = self.highest_term;
        answer
    }

    /// Returns the configuration replica, or `None` if it is missing or no longer valid.
    pub fn configuration(&self, now: Now) -> Option<&configuration::ClusterConfiguration> {
        self.session
            .configuration(now)
            .map(|(_, document)| document)
    }

    /// Returns the time at which the core needs the next [`Input::Tick`].
    pub fn next_wakeup(&self) -> Monotonic {
        // Half of the time that counts as a suspend, so that an idle agent detects none.
        let idle_tick = self.last_input + Milliseconds(self.options.freeze_after.0 / 2);
        let report = self
            .last_report
            .filter(|_| self.runners.has_unsent())
            .map(|last| last + REPORT_SPACING);
        let wakeups = [self.orders.next_deadline(), report];
        let first = self.session.next_wakeup().min(idle_tick);
        wakeups.into_iter().flatten().fold(first, Monotonic::min)
    }

    /// Closes the session and requests a new one after a suspend of the machine. Orders
    /// received before or right after the suspend may be obsolete.
    fn detect_suspend(&mut self, now: Now, effects: &mut Vec<Effect>) {
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

    /// Closes the session, and drops the orders and heartbeats received in it.
    fn close_session(&mut self) {
        self.session_open = false;
        self.runners.close_session();
        if !self.has_mutation(AgentMutation::KeepOrdersOverLostSession) {
            self.orders.drop_queued();
        }
    }

    fn tick_session(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if now.monotonic < self.session.next_wakeup() {
            return;
        }
        self.runners.remove_unresponsive(now.monotonic);
        let mut out = Vec::new();
        let events = self.session.tick(now, &self.runners.names(), &mut out);
        send_all(out, effects);
        self.handle_session_events(now, events, effects);
    }

    fn handle_session_events(
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
                    self.results.retain_term(term);
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
            if !self.has_mutation(AgentMutation::NoTermFence) {
                self.orders.drop_lower_terms(term);
            }
        }
    }

    fn receive_message(&mut self, now: Now, envelope: Envelope, effects: &mut Vec<Effect>) {
        let mut out = Vec::new();
        let (events, other) = self.session.handle(now, envelope, &mut out);
        send_all(out, effects);
        self.handle_session_events(now, events, effects);
        let Some(envelope) = other else { return };
        match &envelope.body {
            PeerMessage::Orders {
                term,
                agent,
                orders,
            } => self.receive_orders(now, &envelope, *term, *agent, orders, effects),
            PeerMessage::RunnerUpdate(update) => self.apply_update(update),
            _ => {}
        }
    }

    fn apply_update(&mut self, update: &RunnerUpdate) {
        if update.term >= self.highest_term {
            self.raise_term(update.term);
            self.runners.update(update);
        }
    }

    fn receive_orders(
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
        if term < self.highest_term && !self.has_mutation(AgentMutation::NoTermFence) {
            self.reject_stale(envelope, orders, effects);
            return;
        }
        self.raise_term(term);
        if !self.accepts_orders(now, term) {
            return;
        }
        for order in orders.iter().filter(|order| order.term == term) {
            self.receive_order(now, order, effects);
        }
    }

    /// Returns whether the session is open under exactly this term.
    fn accepts_orders(&self, now: Now, term: Term) -> bool {
        match self.mutation {
            Some(AgentMutation::NoTermFence) => self.session_open,
            Some(AgentMutation::KeepOrdersOverLostSession) => true,
            None => self.session_open && self.session.term(now) == Some(term),
        }
    }

    fn receive_order(&mut self, now: Now, order: &RunnerOrder, effects: &mut Vec<Effect>) {
        match self.runners.status(&order.runner, order.incarnation) {
            RunnerStatus::Served if self.is_start_on_draining(order) => {
                let answer = OrderAnswer::Rejected(RejectionReason::Draining);
                if self.orders.record(order) == OrderAdmission::New {
                    self.report_result(now, order.clone(), answer, effects);
                }
                return;
            }
            RunnerStatus::Served => {}
            RunnerStatus::Ended => {
                let answer = OrderAnswer::Rejected(RejectionReason::OtherIncarnation);
                if self.orders.record(order) == OrderAdmission::New {
                    self.report_result(now, order.clone(), answer, effects);
                }
                return;
            }
            RunnerStatus::Unseen if self.keeps_orders_over_lost_session() => {}
            RunnerStatus::Unseen => return,
        }
        if self.orders.accept(order, now.monotonic) == OrderAdmission::Full {
            self.report_result(now, order.clone(), OrderAnswer::Unknown, effects);
        }
    }

    /// Returns whether the order starts a run on a draining runner. The leader sends such an
    /// order if it has not yet received the heartbeat that reports the draining.
    fn is_start_on_draining(&self, order: &RunnerOrder) -> bool {
        matches!(order.kind, OrderKind::Start { .. }) && self.runners.is_draining(&order.runner)
    }

    /// Rejects orders of a former leader. The results are sent to that leader, since the
    /// leader of the session did not issue the orders.
    fn reject_stale(&self, envelope: &Envelope, orders: &[RunnerOrder], effects: &mut Vec<Effect>) {
        let rejected = |order: &RunnerOrder| OrderResult {
            order: order.clone(),
            answer: OrderAnswer::Rejected(RejectionReason::StaleTerm),
        };
        let results = orders.iter().map(rejected).collect();
        let message = PeerMessage::OrderResults { results };
        let (to, message) = session::reply_to(&self.options.address, envelope, message);
        effects.push(Effect::Send { to, message });
    }

    fn receive_answer(
        &mut self,
        now: Now,
        order: RunnerOrder,
        answer: OrderAnswer,
        effects: &mut Vec<Effect>,
    ) {
        // An answer to an expired order is ignored: the leader already revokes the run.
        if self.orders.remove_answered(&order) {
            self.report_result(now, order, answer, effects);
        }
    }

    fn report_result(
        &mut self,
        now: Now,
        order: RunnerOrder,
        answer: OrderAnswer,
        effects: &mut Vec<Effect>,
    ) {
        let result = OrderResult { order, answer };
        self.results.add(result.clone(), now.monotonic);
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
            self.report_result(now, order, OrderAnswer::Unknown, effects);
        }
        self.results.expire(now.monotonic);
    }

    fn deliver(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if !self.session_open && !self.keeps_orders_over_lost_session() {
            return;
        }
        for order in self.orders.take_deliverable(now.monotonic) {
            effects.push(Effect::Deliver { order });
        }
    }

    fn send_reports(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let is_due = self
            .last_report
            .is_none_or(|last| now.monotonic >= last + REPORT_SPACING);
        if !self.session_open || !is_due || !self.runners.has_unsent() {
            return;
        }
        self.last_report = Some(now.monotonic);
        let reports = self.runners.take_unsent();
        let report = PeerMessage::AgentReport(transport::AgentReport { reports });
        self.send_to_leader(now, report, effects);
    }

    fn send_to_leader(&self, now: Now, message: PeerMessage, effects: &mut Vec<Effect>) {
        let outgoing = self.session.to_leader(now, message);
        send_all(outgoing, effects);
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

    /// Stops as soon as all delivered orders are answered or expired, which takes at most
    /// the order timeout.
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

    fn keeps_orders_over_lost_session(&self) -> bool {
        self.has_mutation(AgentMutation::KeepOrdersOverLostSession)
    }

    fn has_mutation(&self, mutation: AgentMutation) -> bool {
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
