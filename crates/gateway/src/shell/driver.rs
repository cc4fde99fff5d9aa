//! The task that owns the core: it reads the clock, hands in what happens and
//! carries out what comes back.

use crate::shell::requests::{Answer, Inbox, Question};
use crate::{Effect, Gateway, Input, TicketId};
use admin::Readiness;
use configuration::ClusterConfiguration;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;
use transport::Transport;
use types::ConfigurationVersion;

/// Longest sleep: tokio's clock may stand still where the core's counts on.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// A valid configuration replica.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Its version.
    pub version: ConfigurationVersion,
    /// The document.
    pub document: Arc<ClusterConfiguration>,
}

/// What routes see of the replica: none while it is not valid.
pub type ShownReplica = Option<Replica>;

/// The core with all that its effects need.
pub struct Driver {
    gateway: Gateway,
    transport: Transport,
    readiness: Readiness,
    answers: BTreeMap<TicketId, oneshot::Sender<Answer>>,
    shown: watch::Sender<ShownReplica>,
    stopped: bool,
}

impl Driver {
    /// A driver that has not begun.
    pub fn new(
        gateway: Gateway,
        transport: Transport,
        readiness: Readiness,
        shown: watch::Sender<ShownReplica>,
    ) -> Self {
        Self {
            shown,
            gateway,
            transport,
            readiness,
            answers: BTreeMap::new(),
            stopped: false,
        }
    }

    /// Runs until the core has stopped after `stop` turned true, or `grace`
    /// after that. What waits then is dropped, which rejects it.
    pub async fn run(
        mut self,
        mut inbox: Inbox,
        mut arriving: transport::Inbox,
        mut stop: watch::Receiver<bool>,
        grace: Duration,
    ) {
        let mut ends_at: Option<Instant> = None;
        self.input(Input::Tick);
        while !self.stopped && ends_at.is_none_or(|end| Instant::now() < end) {
            tokio::select! {
                () = tokio::time::sleep(self.sleep_length(ends_at)) => self.input(Input::Tick),
                Some(envelope) = arriving.recv() => self.input(Input::Peer(envelope)),
                Some(question) = inbox.questions.recv() => self.take_question(question),
                Some(ticket) = inbox.abandoned.recv() => self.abandon(ticket),
                _ = stop.wait_for(|stop| *stop), if ends_at.is_none() => {
                    tracing::info!("stopping");
                    ends_at = Some(Instant::now() + grace);
                    self.input(Input::Stop);
                }
            }
        }
        if !self.stopped {
            let waiting = self.answers.len();
            tracing::warn!(waiting, "grace period expired, rejecting waiting requests");
        }
    }

    fn sleep_length(&self, ends_at: Option<Instant>) -> Duration {
        let now = transport::clock::now().monotonic;
        let until_wakeup = Duration::from_millis(self.gateway.next_wakeup().since(now).0);
        let sleep = until_wakeup.min(MAX_SLEEP);
        match ends_at {
            Some(end) => sleep.min(end.saturating_duration_since(Instant::now())),
            None => sleep,
        }
    }

    fn take_question(&mut self, question: Question) {
        if question.answer.is_closed() {
            return;
        }
        self.answers.insert(question.ticket, question.answer);
        let now = transport::clock::now().monotonic;
        self.input(Input::Request {
            ticket: question.ticket,
            caller: question.caller,
            time_left: question.deadline.since(now),
            operation: question.operation,
        });
    }

    fn abandon(&mut self, ticket: TicketId) {
        if self.answers.remove(&ticket).is_some() {
            self.input(Input::Abandoned { ticket });
        }
    }

    fn input(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.gateway
            .handle(transport::clock::now(), input, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
        self.show_replica();
        metrics::gauge!("cypressdrum_gateway_waiting_requests").set(self.answers.len() as f64);
    }

    /// Shows the routes which configuration counts, if that changed.
    fn show_replica(&self) {
        let now = transport::clock::now();
        let version = self.gateway.configuration_version(now);
        let changed = |shown: &ShownReplica| shown.as_ref().map(|shown| shown.version) != version;
        if changed(&self.shown.borrow()) {
            let document = self.gateway.configuration(now).cloned().map(Arc::new);
            let replica = version.zip(document);
            self.shown
                .send_replace(replica.map(|(version, document)| Replica { version, document }));
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.transport.send(to, message),
            Effect::Respond { ticket, result } => {
                if let Some(answer) = self.answers.remove(&ticket) {
                    // An error means that the caller went away meanwhile.
                    let _ = answer.send(result);
                }
            }
            Effect::Ready(Ok(())) => {
                tracing::info!("ready");
                self.readiness.set_ready();
            }
            Effect::Ready(Err(reason)) => {
                let reason = reason.to_string();
                tracing::info!(reason, "not ready");
                self.readiness.set_not_ready(&reason);
            }
            Effect::Stopped => self.stopped = true,
        }
    }
}
