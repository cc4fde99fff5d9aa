//! The coordinator's core: takes inputs and appends effects.
//!
//! Every input first lets the consensus node check its timers, so a process
//! that wakes from a freeze loses its lease before anything it held can act.
//! The leader's messages are collected while an input is handled, and leave
//! only if the lease still holds at the end.

mod bootstrap;
mod heartbeats;
mod joining;
mod leadership;
mod readiness;
mod replication;
mod requests;
mod sessions;

use crate::effect::{Effect, Input};
use crate::identity::directory::Directory;
use crate::identity::identification::Identification;
use crate::leader::Leader;
use crate::options::{CoordinatorOptions, Mutation};
use crate::readiness::Readiness;
use crate::replica::{Replica, ReplicaError};
use crate::sender::Sender;
use consensus::Recovered;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use session::route::{self, Opened};
use storage::Identity;
use transport::{Envelope, PeerMessage};
use types::{Address, Milliseconds, Monotonic, Now};

/// Longest time between two checks of the core's own timers.
const TICK_INTERVAL: Milliseconds = Milliseconds(50);
/// Rounds of proposing and applying within one input.
const MAX_ROUNDS: usize = 8;

/// A coordinator without I/O: the composition of identity, replica and leader.
pub struct Coordinator {
    options: CoordinatorOptions,
    own: Address,
    directory: Directory,
    identification: Identification,
    replica: Option<Replica>,
    leader: Option<Leader>,
    random: ChaCha8Rng,
    /// Why its log or snapshot could not be read; it serves no more then.
    fault: Option<ReplicaError>,
    /// When a polite stop ends at the latest; none before one begins.
    handover_deadline: Option<Monotonic>,
    stopped: bool,
    reported_readiness: Option<Readiness>,
    last_input: Now,
}

impl Coordinator {
    /// Builds a coordinator from what its disk held. Without an identity it saves
    /// a new one with `options.address.node`.
    pub fn new(
        options: CoordinatorOptions,
        identity: Option<Identity>,
        recovered: Recovered,
        now: Now,
    ) -> Self {
        let mut own = options.address.clone();
        if let Some(identity) = &identity {
            own.node = identity.node;
        }
        let mut coordinator = Self {
            // Coordinators may be given one seed, but must not draw alike.
            random: ChaCha8Rng::seed_from_u64(options.seed ^ own.node.0),
            directory: Directory::new(own.clone()),
            identification: Identification::new(own.node, identity, now.monotonic),
            own,
            options,
            replica: None,
            leader: None,
            fault: None,
            handover_deadline: None,
            stopped: false,
            reported_readiness: None,
            last_input: now,
        };
        coordinator.start_replica(recovered, now.monotonic);
        coordinator
    }

    /// Handles one input and appends its effects. The caller reads the clock just
    /// before; after a freeze of the process the core sees the jump first.
    pub fn handle(&mut self, now: Now, input: Input, effects: &mut Vec<Effect>) {
        self.handle_all(now, std::iter::once(input), effects);
    }

    /// Handles inputs that arrived together. What follows from them (placement,
    /// entries of the log, messages to followers) is done once for all of them,
    /// so that a core that is behind catches up.
    pub fn handle_all(
        &mut self,
        now: Now,
        inputs: impl IntoIterator<Item = Input>,
        effects: &mut Vec<Effect>,
    ) {
        self.last_input = now;
        if self.stopped {
            return;
        }
        if let Some(replica) = self.replica.as_mut().filter(|_| self.fault.is_none()) {
            replica.tick(now.monotonic);
        }
        if self.fault.is_none() {
            self.update_leadership(now, effects);
        }
        for input in inputs {
            if self.fault.is_none() {
                self.handle_one(now, input, effects);
            } else {
                self.handle_faulted(now, &input, effects);
            }
        }
        if self.fault.is_none() {
            self.advance(now, effects);
        }
    }

    fn handle_one(&mut self, now: Now, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Tick => {}
            Input::Peer(envelope) => self.receive(now, envelope, effects),
            Input::Overdue(envelope) => self.reject_overdue(now, envelope, effects),
            Input::Persisted { number } => self.receive_persisted(now, number, effects),
            Input::IdentitySaved => self.receive_identity_saved(now, effects),
            Input::Stop => self.begin_stop(now),
        }
    }

    /// Records how long messages wait in this process, outgoing and incoming: that
    /// delay does not count as one of a link.
    pub fn record_lag(&mut self, lag: Milliseconds) {
        if let Some(replica) = &mut self.replica {
            replica.record_lag(lag);
        }
    }

    /// When it wants [`Input::Tick`] next, on the monotonic clock.
    pub fn next_wakeup(&self) -> Monotonic {
        let last = self.last_input.monotonic;
        let mut own = last + TICK_INTERVAL;
        let leader = self.leader.as_ref();
        if let Some(at) = leader.and_then(|leader| leader.next_wakeup(self.last_input)) {
            own = own.min(at.max(last));
        }
        match &self.replica {
            Some(replica) => own.min(replica.next_wakeup()),
            None => own,
        }
    }

    /// The state machine with the entries that this process has applied; none
    /// before it belongs to a cluster. For checks and for `replay`.
    pub fn state_machine(&self) -> Option<&state_machine::StateMachine> {
        self.replica.as_ref().map(Replica::state_machine)
    }

    /// Scan steps of the scheduler in this term, as a measure of its cost; 0 while
    /// this process does not lead.
    pub fn scan_cost(&self) -> u64 {
        let leader = self.leader.as_ref();
        leader.map_or(0, Leader::scan_cost)
    }

    /// The status of the consensus node; none before there is one.
    pub fn status(&self, now: Now) -> Option<consensus::Status> {
        let replica = self.replica.as_ref()?;
        Some(replica.status(now.monotonic))
    }

    /// Returns whether this process leads and its lease lets it act.
    pub fn is_serving(&self, now: Now) -> bool {
        self.may_serve(now) && self.leader.as_ref().is_some_and(Leader::is_serving)
    }

    /// Checks the lease at this moment. A leader that hands over acts no more,
    /// whatever its lease says: its successor need not wait for that.
    fn may_serve(&self, now: Now) -> bool {
        if self.handover_deadline.is_some() || self.fault.is_some() {
            return false;
        }
        let Some(replica) = &self.replica else {
            return false;
        };
        if self.options.mutation == Some(Mutation::SkipLeaseCheck) && self.leader.is_some() {
            return true;
        }
        replica.holds_lease(now.monotonic)
    }

    /// Does what follows from the inputs, once for all of them.
    fn advance(&mut self, now: Now, effects: &mut Vec<Effect>) {
        self.run_identity_round(now, effects);
        self.process_consensus(now, effects);
        self.update_leadership(now, effects);
        self.run_leader_work(now);
        for _ in 0..MAX_ROUNDS {
            if !self.propose_collected(now, effects) {
                break;
            }
            self.process_consensus(now, effects);
            self.update_leadership(now, effects);
        }
        self.send_collected(now, effects);
        self.report_readiness(now, effects);
        self.finish_stop(now, effects);
    }

    /// Takes a message of another process.
    fn receive(&mut self, now: Now, envelope: Envelope, effects: &mut Vec<Effect>) {
        let Some(envelope) = self.open_relay(envelope, effects) else {
            return;
        };
        if envelope.from.node == self.own.node {
            return;
        }
        if envelope.via.is_none() {
            self.directory.record_contact(&envelope.from, now.monotonic);
        }
        let sender = Sender::of(&envelope);
        match envelope.body {
            PeerMessage::Discover => self.answer_discover(now, &sender, effects),
            PeerMessage::Members(members) => self.receive_members(now, &sender, members),
            PeerMessage::Bootstrap(bootstrap) => {
                self.receive_bootstrap(now, &sender, bootstrap, effects);
            }
            PeerMessage::Raft {
                cluster,
                to,
                message,
            } => self.receive_consensus(now, &sender, cluster, to, message),
            PeerMessage::KeepAlive(keep_alive) => {
                self.receive_keep_alive(now, &sender, &keep_alive, effects);
            }
            PeerMessage::Lease(lease) => self.receive_lease(now, lease, effects),
            PeerMessage::NotLeader { leader } => self.identification.record_leader_hint(leader),
            PeerMessage::Request(request) => self.receive_request(now, &sender, request, effects),
            PeerMessage::AgentReport(report) => self.receive_report(now, &sender, &report),
            PeerMessage::OrderResults { results } => {
                self.receive_order_results(now, &sender, &results);
            }
            PeerMessage::Configuration { .. }
            | PeerMessage::Reply(_)
            | PeerMessage::RunnerUpdate(_)
            | PeerMessage::Orders { .. }
            | PeerMessage::Relay(_) => {}
        }
    }

    /// Opens a relayed message for this process; forwards one that comes straight
    /// from its origin.
    fn open_relay(&self, envelope: Envelope, effects: &mut Vec<Effect>) -> Option<Envelope> {
        match route::open(&self.own, envelope) {
            Opened::Own(envelope) => Some(envelope),
            Opened::Forward(to, message) => {
                effects.push(Effect::Send { to, message });
                None
            }
            Opened::Dropped => None,
        }
    }
}
