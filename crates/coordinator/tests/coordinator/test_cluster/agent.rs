//! Scripted agent with one runner. It keeps tombstones and ended runs as a real
//! runner does, and loses or holds back messages as the test requires.

use super::{address, document};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use transport::{AgentReport, Envelope, KeepAlive, OrderResult, PeerMessage, RunnerUpdate};
use types::{
    ActiveRun, Address, ConfigurationVersion, EndedRun, EndpointName, HeartbeatSequence,
    Milliseconds, OrderAnswer, OrderKind, Outcome, PoolName, RackName, RejectionReason, Role,
    RunId, RunnerId, RunnerIncarnation, RunnerOrder, RunnerReport, Term,
};

/// Milliseconds between two heartbeats.
const HEARTBEAT_INTERVAL: u64 = 100;

pub struct ScriptedAgent {
    pub address: Address,
    pub runner: RunnerId,
    pub incarnation: u64,
    /// Active runs, with the time of their start.
    pub active: BTreeMap<RunId, u64>,
    pub ended: Vec<EndedRun>,
    pub tombstones: BTreeSet<RunId>,
    pub started: Vec<RunId>,
    /// Number of gateways and agents listed in each lease received.
    pub listed_counts: Vec<usize>,
    pub updates: Vec<RunnerUpdate>,
    /// Whether the agent sends no messages and ignores those it receives.
    pub unresponsive: bool,
    pub draining: bool,
    /// Endpoint in the heartbeats.
    pub endpoint: Option<EndpointName>,
    pub self_stop: bool,
    /// Whether start orders are held back instead of executed.
    pub hold_starts: bool,
    pub held_starts: Vec<(SocketAddr, RunnerOrder)>,
    /// Whether answers to start orders are lost.
    pub lose_answers: bool,
    /// Member that relays all messages of the agent.
    pub via: Option<SocketAddr>,
    /// Progress that the heartbeats report for each active run, in percent; `None` if
    /// they report none.
    pub progress: Option<u8>,
    /// Milliseconds after which a run ends as done; `None` if only the test ends
    /// runs.
    pub run_duration: Option<u64>,
    sequence: u64,
    next_heartbeat: u64,
    /// Time at which each heartbeat was sent, by sequence number.
    sent: BTreeMap<u64, u64>,
    /// Time at which the newest confirmed heartbeat was sent.
    confirmed_sent: u64,
    highest_term: Term,
    lease: u64,
}

impl ScriptedAgent {
    pub fn new(number: u16, now: u64) -> Self {
        Self {
            address: address(500 + u64::from(number), Role::Agent, 7_000 + number),
            runner: RunnerId::new(format!("runner-{number}")).unwrap(),
            incarnation: 1,
            active: BTreeMap::new(),
            ended: Vec::new(),
            tombstones: BTreeSet::new(),
            started: Vec::new(),
            listed_counts: Vec::new(),
            updates: Vec::new(),
            unresponsive: false,
            draining: false,
            endpoint: None,
            self_stop: true,
            hold_starts: false,
            held_starts: Vec::new(),
            lose_answers: false,
            via: None,
            progress: None,
            run_duration: None,
            sequence: 0,
            next_heartbeat: now,
            sent: BTreeMap::new(),
            confirmed_sent: now,
            highest_term: Term(0),
            lease: configuration::Timings::default().run_lease.0,
        }
    }

    /// Ends due runs. Returns a keep-alive and a heartbeat to every coordinator, if
    /// due; only the leader processes them.
    pub fn tick(&mut self, now: u64, to: &[SocketAddr]) -> Vec<(SocketAddr, PeerMessage)> {
        self.end_due_runs(now);
        if self.unresponsive || now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        self.sequence += 1;
        self.sent.insert(self.sequence, now);
        let keep_alive = PeerMessage::KeepAlive(KeepAlive {
            sequence: self.sequence,
            configuration: ConfigurationVersion(1),
            runners: vec![self.runner.clone()],
            leaving: false,
            cluster: None,
        });
        let report = PeerMessage::AgentReport(AgentReport {
            reports: vec![self.report(now)],
        });
        let messages = to
            .iter()
            .flat_map(|to| [(*to, keep_alive.clone()), (*to, report.clone())]);
        messages
            .map(|(to, message)| self.route(to, message))
            .collect()
    }

    fn route(&self, to: SocketAddr, message: PeerMessage) -> (SocketAddr, PeerMessage) {
        match self.via {
            None => (to, message),
            Some(via) => {
                let relay = transport::Relay {
                    origin: self.address.clone(),
                    destination: to,
                    body: Box::new(message),
                };
                (via, PeerMessage::Relay(relay))
            }
        }
    }

    fn report(&self, now: u64) -> RunnerReport {
        let active = self.active.iter().map(|(run, since)| ActiveRun {
            progress: self.progress,
            checkpoint: None,
            run: *run,
            age: Milliseconds(now - since),
        });
        RunnerReport {
            endpoint: self.endpoint.clone(),
            unnamed: Vec::new(),
            runner: self.runner.clone(),
            incarnation: RunnerIncarnation(self.incarnation),
            sequence: HeartbeatSequence(self.sequence),
            pool: PoolName::new("pool").unwrap(),
            rack: RackName::new("rack").unwrap(),
            labels: BTreeMap::new(),
            capacity: document::slots(8),
            free: document::slots(8_u32.saturating_sub(u32::try_from(self.active.len()).unwrap())),
            draining: self.draining,
            self_stop: self.self_stop,
            active: active.collect(),
            ended: self.ended.clone(),
        }
    }

    pub fn receive(&mut self, now: u64, envelope: Envelope) -> Vec<(SocketAddr, PeerMessage)> {
        if self.unresponsive {
            return Vec::new();
        }
        let (from, body) = match envelope.body {
            PeerMessage::Relay(relay) => (relay.origin.socket, *relay.body),
            body => (envelope.from.socket, body),
        };
        match body {
            PeerMessage::Orders { orders, .. } => orders
                .into_iter()
                .filter_map(|order| self.receive_order(now, from, order))
                .collect(),
            PeerMessage::Lease(lease) => {
                self.listed_counts.push(lease.others.len());
                Vec::new()
            }
            PeerMessage::RunnerUpdate(update) => {
                if update.incarnation.0 != self.incarnation || update.term < self.highest_term {
                    return Vec::new();
                }
                self.highest_term = update.term;
                let sent = self.sent.get(&update.confirmed.0).copied();
                self.confirmed_sent = self.confirmed_sent.max(sent.unwrap_or(0));
                self.lease = update.lease.0;
                self.ended
                    .retain(|ended| !update.recorded.contains(&ended.run));
                for run in &update.stop {
                    self.active.remove(run);
                }
                self.updates.push(update);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Ends runs that reached their duration. Stops all runs when the run lease
    /// has expired.
    fn end_due_runs(&mut self, now: u64) {
        if self.self_stop && now.saturating_sub(self.confirmed_sent) >= self.lease {
            self.end_all(Outcome::Stopped);
        }
        let Some(duration) = self.run_duration else {
            return;
        };
        let is_done = |since: &u64| now - since >= duration;
        let done: Vec<RunId> = self
            .active
            .iter()
            .filter(|(_, since)| is_done(since))
            .map(|(run, _)| *run)
            .collect();
        for run in done {
            self.end(run, Outcome::Done);
        }
    }

    /// Restarts the agent process without its state: a new incarnation with no runs
    /// and no tombstones.
    pub fn restart(&mut self, now: u64) {
        self.incarnation += 1;
        self.address.node = types::NodeId(self.address.node.0 + 1_000);
        self.active.clear();
        self.ended.clear();
        self.tombstones.clear();
        self.sent.clear();
        self.confirmed_sent = now;
    }

    fn receive_order(
        &mut self,
        now: u64,
        from: SocketAddr,
        order: RunnerOrder,
    ) -> Option<(SocketAddr, PeerMessage)> {
        let is_start = matches!(order.kind, OrderKind::Start { .. });
        if is_start && self.hold_starts {
            self.held_starts.push((from, order));
            return None;
        }
        let answer = self.execute(now, &order);
        if is_start && self.lose_answers {
            return None;
        }
        let results = vec![OrderResult { order, answer }];
        Some(self.route(from, PeerMessage::OrderResults { results }))
    }

    /// Executes an order as a runner does, and returns the answer.
    pub fn execute(&mut self, now: u64, order: &RunnerOrder) -> OrderAnswer {
        let run = order.kind.run();
        if order.incarnation.0 != self.incarnation {
            return OrderAnswer::Rejected(RejectionReason::OtherIncarnation);
        }
        if order.term < self.highest_term {
            return OrderAnswer::Rejected(RejectionReason::StaleTerm);
        }
        self.highest_term = order.term;
        if let OrderKind::Start {
            based_on, lease, ..
        } = &order.kind
        {
            let sent = self.sent.get(&based_on.0).copied();
            if sent.is_none_or(|sent| now - sent >= lease.0) {
                return OrderAnswer::Rejected(RejectionReason::StaleHeartbeat);
            }
        }
        let is_active = self.active.contains_key(&run);
        let has_ended = self.ended.iter().any(|ended| ended.run == run);
        match order.kind {
            OrderKind::Start { .. } if is_active || has_ended || self.tombstones.contains(&run) => {
                OrderAnswer::Rejected(RejectionReason::KnownRun)
            }
            OrderKind::Start { .. } => {
                self.active.insert(run, now);
                self.started.push(run);
                OrderAnswer::Started
            }
            OrderKind::Stop { .. } if is_active => {
                self.end(run, Outcome::Stopped);
                OrderAnswer::Stopping
            }
            OrderKind::Revoke { .. } if is_active => OrderAnswer::Active,
            _ if has_ended => OrderAnswer::Ended,
            _ => {
                self.tombstones.insert(run);
                OrderAnswer::Revoked
            }
        }
    }

    /// Ends an active run and keeps its outcome for the heartbeats.
    pub fn end(&mut self, run: RunId, outcome: Outcome) {
        self.active.remove(&run);
        self.ended.push(EndedRun {
            checkpoint: None,
            run,
            outcome,
        });
    }

    /// Ends all active runs with the same outcome.
    pub fn end_all(&mut self, outcome: Outcome) {
        for run in self.active.keys().copied().collect::<Vec<_>>() {
            self.end(run, outcome.clone());
        }
    }
}
