//! The gateway's core.
//!
//! A request is forwarded to the leader and sent again, under the same number,
//! after silence or a change of leader, until an answer comes, its time is out
//! or the leader is given up. Sending again is safe since every operation is
//! idempotent: a submit by its key, a configuration by its version, cancels
//! and words on runners by their effect, the rest only reads.
//!
//! Whatever is given up is answered in the same call, never later.

mod access;
mod interface;
mod rejection;
mod waiting;

pub use interface::{Caller, Effect, GatewayOptions, Input, NotReady, TicketId};

use configuration::ClusterConfiguration;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use session::{SessionClient, SessionEvent, SessionOptions};
use std::net::SocketAddr;
use transport::{
    Envelope, Operation, OperationReply, PeerMessage, Rejection, Reply, Request, RequestId,
};
use types::{ConfigurationVersion, Milliseconds, Monotonic, Now};
use waiting::{AdmissionError, Asked, WaitingTable};

/// Most that a draw adds to the time to come back of an overloaded gateway.
const OVERLOADED_JITTER_MS: u64 = 500;
const NO_LEADER: &str = "no leader can be reached";

/// A gateway.
pub struct Gateway {
    options: GatewayOptions,
    session: SessionClient,
    waiting: WaitingTable,
    next_request: RequestId,
    random: ChaCha8Rng,
    readiness: Option<Result<(), NotReady>>,
    stopping: bool,
    stopped: bool,
}

impl Gateway {
    /// A fresh gateway; it knows nothing and is not ready.
    pub fn new(options: GatewayOptions, now: Now) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(options.seed ^ options.address.node.0);
        let session = SessionOptions {
            address: options.address.clone(),
            seeds: options.seeds.clone(),
            interval: options.session_interval,
            replica_valid: options.replica_valid,
            seed: options.seed,
        };
        // Drawn, so that answers to an earlier process at the same socket
        // find no request here.
        let first_request = u64::from(random.random::<u32>()) << 32;
        Self {
            session: SessionClient::new(session, now),
            waiting: WaitingTable::new(options.max_waiting_requests, options.resend_after),
            next_request: RequestId(first_request),
            random,
            readiness: None,
            stopping: false,
            stopped: false,
            options,
        }
    }

    /// Takes one input and appends what is to be done. The clock is looked at
    /// first: after a freeze, what ran out meanwhile is answered before the
    /// input counts for anything.
    pub fn handle(&mut self, now: Now, input: Input, effects: &mut Vec<Effect>) {
        if self.stopped {
            self.reject_after_stop(input, effects);
            return;
        }
        self.tick_session(now, effects);
        self.work_off_due(now, effects);
        match input {
            Input::Tick => {}
            Input::Peer(envelope) => self.take_message(now, envelope, effects),
            Input::Request {
                ticket,
                caller,
                time_left,
                operation,
            } => {
                let asked = Asked {
                    ticket,
                    caller,
                    operation,
                };
                self.take_request(now, asked, time_left, effects);
            }
            Input::Abandoned { ticket } => {
                self.waiting.remove_ticket(ticket);
            }
            Input::Stop => self.stopping = true,
        }
        self.work_off_due(now, effects);
        self.report_readiness(now, effects);
        self.stop_when_empty(now, effects);
    }

    /// When it wants [`Input::Tick`] next.
    pub fn next_wakeup(&self) -> Monotonic {
        let session = self.session.next_wakeup();
        let due = self.waiting.next_due();
        due.map_or(session, |due| due.min(session))
    }

    /// Version of the configuration replica, while it is valid.
    pub fn configuration_version(&self, now: Now) -> Option<ConfigurationVersion> {
        self.session.configuration(now).map(|(version, _)| version)
    }

    /// The configuration replica, while it is valid.
    pub fn configuration(&self, now: Now) -> Option<&ClusterConfiguration> {
        self.session
            .configuration(now)
            .map(|(_, document)| document)
    }

    fn take_request(
        &mut self,
        now: Now,
        asked: Asked,
        time_left: Milliseconds,
        effects: &mut Vec<Effect>,
    ) {
        let ticket = asked.ticket;
        match self.admit(now, asked) {
            Ok(Admitted::Answered(reply)) => effects.push(respond(ticket, Ok(reply))),
            Ok(Admitted::Forward(asked)) => {
                let id = self.next_request;
                self.next_request = RequestId(id.0.wrapping_add(1));
                let owner = access::owner(&asked.operation);
                let deadline = now.monotonic + time_left;
                self.waiting
                    .insert(id, owner, asked, now.monotonic, deadline);
            }
            Err(rejection) => effects.push(respond(ticket, Err(rejection))),
        }
    }

    /// Everything that can be said without the leader.
    fn admit(&mut self, now: Now, mut asked: Asked) -> Result<Admitted, Rejection> {
        if self.stopping {
            return Err(rejection::unavailable("this gateway is stopping"));
        }
        let replica = self.session.configuration(now);
        let Some((version, document)) = replica.filter(|_| self.may_reach_leader(now)) else {
            return Err(rejection::unavailable(NO_LEADER));
        };
        let token = asked.caller.token.as_deref();
        asked.operation = access::authorize(document, token, asked.operation)?;
        if asked.operation == Operation::GetConfiguration {
            return Ok(Admitted::Answered(OperationReply::Configuration {
                version,
                document: document.clone(),
            }));
        }
        self.check_capacity(&asked.operation)?;
        Ok(Admitted::Forward(asked))
    }

    fn check_capacity(&mut self, operation: &Operation) -> Result<(), Rejection> {
        let message = match self.waiting.check_capacity(&access::owner(operation)) {
            Ok(()) => return Ok(()),
            Err(AdmissionError::OwnerFull) => "too many of this tenant's requests wait here",
            Err(AdmissionError::AllFull) => "too many requests wait here",
        };
        let jitter = Milliseconds(self.random.random_range(0..=OVERLOADED_JITTER_MS));
        let retry_after = rejection::OVERLOADED_RETRY + jitter;
        Err(rejection::overloaded(message, retry_after))
    }

    /// Returns whether a sending to a leader can still be hoped for: the session
    /// holds, or a leader is known that may answer.
    fn may_reach_leader(&self, now: Now) -> bool {
        let holds = self.session.term(now).is_some();
        holds || self.session.to_leader(now, PeerMessage::Discover).is_some()
    }

    fn take_message(&mut self, now: Now, envelope: Envelope, effects: &mut Vec<Effect>) {
        let not_leader = matches!(envelope.body, PeerMessage::NotLeader { .. })
            .then_some(envelope.via.unwrap_or(envelope.from.socket));
        let mut out = Vec::new();
        let (events, rest) = self.session.handle(now, envelope, &mut out);
        send_all(out, effects);
        self.take_events(now, events);
        if let Some(refuser) = not_leader {
            self.turn_away_from(now, refuser);
        }
        if let Some(PeerMessage::Reply(Reply { id, result })) = rest.map(|message| message.body)
            && let Some(waiting) = self.waiting.remove(id)
        {
            let result = match waiting.attempts {
                0 | 1 => result,
                _ => result.map_err(rejection::after_resend),
            };
            effects.push(respond(waiting.asked.ticket, result));
        }
    }

    fn tick_session(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let mut out = Vec::new();
        let events = self.session.tick(now, &[], &mut out);
        send_all(out, effects);
        self.take_events(now, events);
    }

    fn take_events(&mut self, now: Now, events: Vec<SessionEvent>) {
        let opened = |event: &SessionEvent| matches!(event, SessionEvent::Opened { .. });
        if events.iter().any(opened) {
            for id in self.waiting.ids() {
                self.waiting.hurry(id, now.monotonic);
            }
        }
    }

    /// Sends again at once what went to a coordinator that does not lead, if
    /// another one is known by now.
    fn turn_away_from(&mut self, now: Now, refuser: SocketAddr) {
        let leader = self.session.to_leader(now, PeerMessage::Discover);
        if leader.is_none_or(|(socket, _)| socket == refuser) {
            return;
        }
        for id in self.waiting.sent_to(refuser) {
            self.waiting.hurry(id, now.monotonic);
        }
    }

    /// Gives final answers to what is over, and sends what is due.
    fn work_off_due(&mut self, now: Now, effects: &mut Vec<Effect>) {
        self.answer_timed_out(now, effects);
        if self.session.configuration(now).is_none() || !self.may_reach_leader(now) {
            self.give_up_all(effects);
            return;
        }
        while let Some(id) = self.waiting.pop_due(now.monotonic) {
            self.send_or_reject(now, id, effects);
        }
    }

    fn answer_timed_out(&mut self, now: Now, effects: &mut Vec<Effect>) {
        for id in self.waiting.timed_out(now.monotonic) {
            if let Some(waiting) = self.waiting.remove(id) {
                effects.push(respond(waiting.asked.ticket, Err(rejection::timed_out())));
            }
        }
    }

    fn give_up_all(&mut self, effects: &mut Vec<Effect>) {
        for id in self.waiting.ids() {
            if let Some(waiting) = self.waiting.remove(id) {
                let rejection = match waiting.attempts {
                    0 => rejection::unavailable(NO_LEADER),
                    _ => rejection::leader_lost(),
                };
                effects.push(respond(waiting.asked.ticket, Err(rejection)));
            }
        }
    }

    /// A key may have been revoked since the last sending; nothing is sent on
    /// its word then.
    fn send_or_reject(&mut self, now: Now, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(waiting) = self.waiting.get(id) else {
            return;
        };
        let token = waiting.asked.caller.token.as_deref();
        let replica = self.session.configuration(now);
        if !replica.is_some_and(|(_, document)| access::is_known(document, token)) {
            effects.push(respond(waiting.asked.ticket, Err(rejection::revoked())));
            self.waiting.remove(id);
            return;
        }
        let request = PeerMessage::Request(Request {
            id,
            time_left: waiting.deadline.since(now.monotonic),
            operation: waiting.asked.operation.clone(),
        });
        let sending = self.session.to_leader(now, request);
        let to = sending.as_ref().map(|(to, _)| *to);
        send_all(sending.into_iter().collect(), effects);
        self.waiting.sent(id, to, now.monotonic);
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
        if !self.stopping || !self.waiting.is_empty() {
            return;
        }
        let mut out = Vec::new();
        self.session.leave(now, &mut out);
        send_all(out, effects);
        effects.push(Effect::Stopped);
        self.stopped = true;
    }

    fn reject_after_stop(&self, input: Input, effects: &mut Vec<Effect>) {
        if let Input::Request { ticket, .. } = input {
            let rejection = rejection::unavailable("this gateway is stopping");
            effects.push(respond(ticket, Err(rejection)));
        }
    }
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Gateway")
            .field("address", &self.options.address)
            .field("waiting", &self.waiting)
            .field("readiness", &self.readiness)
            .finish_non_exhaustive()
    }
}

/// A request that is not rejected.
enum Admitted {
    /// The replica had the answer.
    Answered(OperationReply),
    /// It goes to the leader in this form.
    Forward(Asked),
}

fn respond(ticket: TicketId, result: Result<OperationReply, Rejection>) -> Effect {
    Effect::Respond { ticket, result }
}

fn send_all(out: Vec<(SocketAddr, PeerMessage)>, effects: &mut Vec<Effect>) {
    let sends = out.into_iter();
    effects.extend(sends.map(|(to, message)| Effect::Send { to, message }));
}
