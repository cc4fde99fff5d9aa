//! The gateway's core.
//!
//! The core forwards a request to the leader. After a timeout or a change of leader,
//! it sends the request again under the same number, until an answer arrives, the
//! deadline passes or no leader can be reached any more. A retry is safe because
//! every operation is idempotent: a submit by the key of the job, a configuration by
//! its version, and cancels, drains and declarations of lost runners by their
//! effect. All other operations only read.
//!
//! A request that the leader can no longer answer is rejected in the call of
//! [`Gateway::handle`] that detects this.

mod access;
mod interface;
mod pending;
mod rejection;

pub use interface::{Caller, Effect, GatewayOptions, Input, NotReady, TicketId};

use configuration::ClusterConfiguration;
use pending::{AdmissionError, ClientRequest, PendingRequests};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use session::{SessionClient, SessionEvent, SessionOptions};
use std::net::SocketAddr;
use transport::{
    Envelope, Operation, OperationReply, PeerMessage, Rejection, Reply, Request, RequestId,
};
use types::{ConfigurationVersion, Milliseconds, Monotonic, Now};

/// Maximum random addition to the retry time of an overloaded gateway, in milliseconds.
const OVERLOADED_JITTER_MS: u64 = 500;
const NO_LEADER: &str = "no leader can be reached";

/// The core of a gateway: a state machine without I/O.
pub struct Gateway {
    options: GatewayOptions,
    session: SessionClient,
    pending: PendingRequests,
    next_request: RequestId,
    rng: ChaCha8Rng,
    readiness: Option<Result<(), NotReady>>,
    stopping: bool,
    stopped: bool,
}

impl Gateway {
    /// Creates a gateway without a session. It is not ready.
    pub fn new(options: GatewayOptions, now: Now) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed ^ options.address.node.0);
        let session = SessionOptions {
            address: options.address.clone(),
            seeds: options.seeds.clone(),
            interval: options.session_interval,
            replica_valid: options.replica_valid,
            seed: options.seed,
        };
        // The random start keeps a reply to an earlier process at the same socket from
        // matching a request of this process.
        let first_request = u64::from(rng.random::<u32>()) << 32;
        Self {
            session: SessionClient::new(session, now),
            pending: PendingRequests::new(options.max_waiting_requests, options.resend_after),
            next_request: RequestId(first_request),
            rng,
            readiness: None,
            stopping: false,
            stopped: false,
            options,
        }
    }

    /// Processes one input and appends the effects to carry out.
    ///
    /// Timeouts are processed first, so that after a suspend of the machine the expired
    /// requests are rejected before the input is processed.
    pub fn handle(&mut self, now: Now, input: Input, effects: &mut Vec<Effect>) {
        if self.stopped {
            Self::reject_after_stop(&input, effects);
            return;
        }
        self.tick_session(now, effects);
        self.process_due(now, effects);
        match input {
            Input::Tick => {}
            Input::Peer(envelope) => self.receive_message(now, envelope, effects),
            Input::Request {
                ticket,
                caller,
                time_left,
                operation,
            } => {
                let request = ClientRequest {
                    ticket,
                    caller,
                    operation,
                };
                self.receive_request(now, request, time_left, effects);
            }
            Input::Abandoned { ticket } => {
                self.pending.remove_ticket(ticket);
            }
            Input::Stop => self.stopping = true,
        }
        self.process_due(now, effects);
        self.report_readiness(now, effects);
        self.stop_when_empty(now, effects);
    }

    /// Returns the time by which the core needs the next [`Input::Tick`].
    pub fn next_wakeup(&self) -> Monotonic {
        let session = self.session.next_wakeup();
        let due = self.pending.next_due();
        due.map_or(session, |due| due.min(session))
    }

    /// Returns the version of the configuration replica, or `None` if it is not valid.
    pub fn configuration_version(&self, now: Now) -> Option<ConfigurationVersion> {
        self.session.configuration(now).map(|(version, _)| version)
    }

    /// Returns the configuration replica, or `None` if it is not valid.
    pub fn configuration(&self, now: Now) -> Option<&ClusterConfiguration> {
        self.session
            .configuration(now)
            .map(|(_, document)| document)
    }

    fn receive_request(
        &mut self,
        now: Now,
        request: ClientRequest,
        time_left: Milliseconds,
        effects: &mut Vec<Effect>,
    ) {
        let ticket = request.ticket;
        match self.admit(now, request) {
            Ok(Admitted::Answered(reply)) => effects.push(respond(ticket, Ok(reply))),
            Ok(Admitted::Forward(request)) => {
                let id = self.next_request;
                self.next_request = RequestId(id.0.wrapping_add(1));
                let owner = access::quota_owner(&request.operation);
                let deadline = now.monotonic + time_left;
                self.pending
                    .insert(id, owner, request, now.monotonic, deadline);
            }
            Err(rejection) => effects.push(respond(ticket, Err(rejection))),
        }
    }

    /// Checks key, role and capacity for a request. Answers a request that needs only
    /// the configuration replica.
    fn admit(&mut self, now: Now, mut request: ClientRequest) -> Result<Admitted, Rejection> {
        if self.stopping {
            return Err(rejection::unavailable("this gateway is stopping"));
        }
        let replica = self.session.configuration(now);
        let Some((version, document)) = replica.filter(|_| self.may_reach_leader(now)) else {
            return Err(rejection::unavailable(NO_LEADER));
        };
        let token = request.caller.token.as_deref();
        request.operation = access::authorize(document, token, request.operation)?;
        if request.operation == Operation::GetConfiguration {
            return Ok(Admitted::Answered(OperationReply::Configuration {
                version,
                document: document.clone(),
            }));
        }
        self.check_capacity(&request.operation)?;
        Ok(Admitted::Forward(request))
    }

    fn check_capacity(&mut self, operation: &Operation) -> Result<(), Rejection> {
        let message = match self.pending.check_capacity(&access::quota_owner(operation)) {
            Ok(()) => return Ok(()),
            Err(AdmissionError::QuotaExceeded) => "too many of this tenant's requests wait here",
            Err(AdmissionError::Full) => "too many requests wait here",
        };
        let jitter = Milliseconds(self.rng.random_range(0..=OVERLOADED_JITTER_MS));
        let retry_after = rejection::OVERLOADED_RETRY + jitter;
        Err(rejection::overloaded(message, retry_after))
    }

    /// Returns whether a request may reach a leader: a session is open, or a leader is
    /// known.
    fn may_reach_leader(&self, now: Now) -> bool {
        let has_session = self.session.term(now).is_some();
        has_session || self.session.to_leader(now, PeerMessage::Discover).is_some()
    }

    fn receive_message(&mut self, now: Now, envelope: Envelope, effects: &mut Vec<Effect>) {
        let not_leader = matches!(envelope.body, PeerMessage::NotLeader { .. })
            .then_some(envelope.via.unwrap_or(envelope.from.socket));
        let mut out = Vec::new();
        let (events, unhandled) = self.session.handle(now, envelope, &mut out);
        send_all(out, effects);
        self.handle_session_events(now, &events);
        if let Some(follower) = not_leader {
            self.retry_elsewhere(now, follower);
        }
        if let Some(PeerMessage::Reply(Reply { id, result })) =
            unhandled.map(|message| message.body)
            && let Some(pending) = self.pending.remove(id)
        {
            let result = match pending.attempts {
                0 | 1 => result,
                _ => result.map_err(rejection::after_resend),
            };
            effects.push(respond(pending.request.ticket, result));
        }
    }

    fn tick_session(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let mut out = Vec::new();
        let events = self.session.tick(now, &[], &mut out);
        send_all(out, effects);
        self.handle_session_events(now, &events);
    }

    fn handle_session_events(&mut self, now: Now, events: &[SessionEvent]) {
        let is_opened = |event: &SessionEvent| matches!(event, SessionEvent::Opened { .. });
        if events.iter().any(is_opened) {
            for id in self.pending.ids() {
                self.pending.retry_now(id, now.monotonic);
            }
        }
    }

    /// Makes the requests due at once that were sent to `follower`, a coordinator which
    /// is not the leader, if another leader is known.
    fn retry_elsewhere(&mut self, now: Now, follower: SocketAddr) {
        let leader = self.session.to_leader(now, PeerMessage::Discover);
        if leader.is_none_or(|(socket, _)| socket == follower) {
            return;
        }
        for id in self.pending.ids_sent_to(follower) {
            self.pending.retry_now(id, now.monotonic);
        }
    }

    /// Rejects the requests that can no longer be answered, and sends the due ones.
    fn process_due(&mut self, now: Now, effects: &mut Vec<Effect>) {
        self.reject_timed_out(now, effects);
        if self.session.configuration(now).is_none() || !self.may_reach_leader(now) {
            self.reject_all(effects);
            return;
        }
        while let Some(id) = self.pending.pop_due(now.monotonic) {
            self.send_or_reject(now, id, effects);
        }
    }

    fn reject_timed_out(&mut self, now: Now, effects: &mut Vec<Effect>) {
        for id in self.pending.timed_out(now.monotonic) {
            if let Some(pending) = self.pending.remove(id) {
                effects.push(respond(pending.request.ticket, Err(rejection::timed_out())));
            }
        }
    }

    fn reject_all(&mut self, effects: &mut Vec<Effect>) {
        for id in self.pending.ids() {
            if let Some(pending) = self.pending.remove(id) {
                let rejection = match pending.attempts {
                    0 => rejection::unavailable(NO_LEADER),
                    _ => rejection::leader_lost(),
                };
                effects.push(respond(pending.request.ticket, Err(rejection)));
            }
        }
    }

    /// Sends a request, unless its key has been revoked since the last attempt.
    fn send_or_reject(&mut self, now: Now, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(id) else {
            return;
        };
        let token = pending.request.caller.token.as_deref();
        let replica = self.session.configuration(now);
        if !replica.is_some_and(|(_, document)| access::is_authenticated(document, token)) {
            effects.push(respond(pending.request.ticket, Err(rejection::revoked())));
            self.pending.remove(id);
            return;
        }
        let request = PeerMessage::Request(Request {
            id,
            time_left: pending.deadline.since(now.monotonic),
            operation: pending.request.operation.clone(),
        });
        let outgoing = self.session.to_leader(now, request);
        let to = outgoing.as_ref().map(|(to, _)| *to);
        send_all(outgoing.into_iter().collect(), effects);
        self.pending.record_attempt(id, to, now.monotonic);
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
        if self.session.configuration(now).is_none() {
            return Err(NotReady::NoConfiguration);
        }
        if self.session.term(now).is_none() {
            return Err(NotReady::NoSession);
        }
        Ok(())
    }

    fn stop_when_empty(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if !self.stopping || !self.pending.is_empty() {
            return;
        }
        let mut out = Vec::new();
        self.session.leave(now, &mut out);
        send_all(out, effects);
        effects.push(Effect::Stopped);
        self.stopped = true;
    }

    fn reject_after_stop(input: &Input, effects: &mut Vec<Effect>) {
        if let Input::Request { ticket, .. } = input {
            let rejection = rejection::unavailable("this gateway is stopping");
            effects.push(respond(*ticket, Err(rejection)));
        }
    }
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Gateway")
            .field("address", &self.options.address)
            .field("pending", &self.pending)
            .field("readiness", &self.readiness)
            .finish_non_exhaustive()
    }
}

/// Outcome of the admission of a valid request.
enum Admitted {
    /// Request that the gateway answers from its configuration replica.
    Answered(OperationReply),
    /// Request that is forwarded to the leader.
    Forward(ClientRequest),
}

fn respond(ticket: TicketId, result: Result<OperationReply, Rejection>) -> Effect {
    Effect::Respond { ticket, result }
}

fn send_all(out: Vec<(SocketAddr, PeerMessage)>, effects: &mut Vec<Effect>) {
    let sends = out.into_iter();
    effects.extend(sends.map(|(to, message)| Effect::Send { to, message }));
}
