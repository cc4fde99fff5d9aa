//! The task that owns the core, passes inputs to it and executes its effects.

use crate::shell::requests::{Answer, CoreRequest, Inbox};
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

/// Maximum sleep between two ticks. Unlike the clock of the core, the clock of tokio
/// does not advance while the machine is suspended, so a longer sleep would end late.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// A valid configuration replica.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Version of the configuration.
    pub version: ConfigurationVersion,
    /// Configuration document, shared by all routes.
    pub document: Arc<ClusterConfiguration>,
}

/// Configuration replica that the routes use. `None` while it is not valid.
pub type ValidReplica = Option<Replica>;

/// The core, with the resources for executing its effects.
pub struct Driver {
    gateway: Gateway,
    transport: Transport,
    readiness: Readiness,
    answers: BTreeMap<TicketId, oneshot::Sender<Answer>>,
    replica: watch::Sender<ValidReplica>,
    stopped: bool,
}

impl Driver {
    /// Creates a driver that publishes readiness and configuration of `gateway`.
    pub fn new(
        gateway: Gateway,
        transport: Transport,
        readiness: Readiness,
        replica: watch::Sender<ValidReplica>,
    ) -> Self {
        Self {
            replica,
            gateway,
            transport,
            readiness,
            answers: BTreeMap::new(),
            stopped: false,
        }
    }

    /// Runs until the core has stopped, or until `grace` has passed after `stop` became
    /// true. Dropping the driver then rejects the requests that are still pending.
    pub async fn run(
        mut self,
        mut inbox: Inbox,
        mut incoming: transport::Inbox,
        mut stop: watch::Receiver<bool>,
        grace: Duration,
    ) {
        let mut grace_end: Option<Instant> = None;
        self.handle_input(Input::Tick);
        while !self.stopped && grace_end.is_none_or(|end| Instant::now() < end) {
            tokio::select! {
                () = tokio::time::sleep(self.sleep_length(grace_end)) => {
                    self.handle_input(Input::Tick);
                }
                Some(envelope) = incoming.recv() => self.handle_input(Input::Peer(envelope)),
                Some(request) = inbox.requests.recv() => self.receive_request(request),
                Some(ticket) = inbox.abandoned.recv() => self.abandon(ticket),
                _ = stop.wait_for(|stop| *stop), if grace_end.is_none() => {
                    tracing::info!("stopping");
                    grace_end = Some(Instant::now() + grace);
                    self.handle_input(Input::Stop);
                }
            }
        }
        if !self.stopped {
            let waiting = self.answers.len();
            tracing::warn!(waiting, "grace period expired, rejecting waiting requests");
        }
    }

    fn sleep_length(&self, grace_end: Option<Instant>) -> Duration {
        let now = transport::clock::now().monotonic;
        let until_wakeup = Duration::from_millis(self.gateway.next_wakeup().since(now).0);
        let sleep = until_wakeup.min(MAX_SLEEP);
        match grace_end {
            Some(end) => sleep.min(end.saturating_duration_since(Instant::now())),
            None => sleep,
        }
    }

    fn receive_request(&mut self, request: CoreRequest) {
        if request.answer.is_closed() {
            return;
        }
        self.answers.insert(request.ticket, request.answer);
        let now = transport::clock::now().monotonic;
        self.handle_input(Input::Request {
            ticket: request.ticket,
            caller: request.caller,
            time_left: request.deadline.since(now),
            operation: request.operation,
        });
    }

    fn abandon(&mut self, ticket: TicketId) {
        if self.answers.remove(&ticket).is_some() {
            self.handle_input(Input::Abandoned { ticket });
        }
    }

    fn handle_input(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.gateway
            .handle(transport::clock::now(), input, &mut effects);
        for effect in effects {
            self.execute(effect);
        }
        self.publish_replica();
        metrics::gauge!("cypressdrum_gateway_waiting_requests").set(self.answers.len() as f64);
    }

    /// Publishes the configuration replica to the routes if its version has changed.
    fn publish_replica(&self) {
        let now = transport::clock::now();
        let version = self.gateway.configuration_version(now);
        let published = self
            .replica
            .borrow()
            .as_ref()
            .map(|replica| replica.version);
        if published != version {
            let document = self.gateway.configuration(now).cloned().map(Arc::new);
            let replica = version.zip(document);
            self.replica
                .send_replace(replica.map(|(version, document)| Replica { version, document }));
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.transport.send(to, message),
            Effect::Respond { ticket, result } => {
                if let Some(answer) = self.answers.remove(&ticket) {
                    // An error means that the caller has closed its connection.
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
