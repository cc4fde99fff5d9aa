//! Core of the coordinator: handles inputs and appends effects.
//!
//! Before it handles inputs, the core lets the consensus node check its timers.
//! A process that resumes after a freeze therefore loses its lease before it
//! acts on state from before the freeze. The leader's messages are collected
//! while inputs are handled, and are sent only if the lease still holds at the
//! end.

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
use session::route::{self, RelayDecision};
use storage::Identity;
use transport::{Envelope, PeerMessage};
use types::{Address, Milliseconds, Monotonic, Now};

/// Longest time without an input before the next tick.
const TICK_INTERVAL: Milliseconds = Milliseconds(50);
/// Limit of rounds of proposing and applying in one call of `handle_all`.
const MAX_ROUNDS: usize = 8;

/// A coordinator without I/O: composes identity, replica and leader.
pub struct Coordinator {
    options: CoordinatorOptions,
    own: Address,
    directory: Directory,
    identification: Identification,
    replica: Option<Replica>,
    leader: Option<Leader>,
    random: ChaCha8Rng,
    /// Error that made the log or snapshot unreadable. The coordinator has
    /// stopped serving if it is set.
    fault: Option<ReplicaError>,
    /// Deadline of a graceful shutdown. `None` until one begins.
    shutdown_deadline: Option<Monotonic>,
    stopped: bool,
    reported_readiness: Option<Readiness>,
    last_input: Now,
}

impl Coordinator {
    /// Builds a coordinator from the identity and log read from its disk.
    /// Without an identity, a new one with `options.address.node` is saved.
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
            // Coordinators configured with the same seed must not draw the same
            // numbers.
            random: ChaCha8Rng::seed_from_u64(options.seed ^ own.node.0),
            directory: Directory::new(own.clone()),
            identification: Identification::new(own.node, identity, now.monotonic),
            own,
            options,
            replica: None,
            leader: None,
            fault: None,
            shutdown_deadline: None,
            stopped: false,
            reported_readiness: None,
            last_input: now,
        };
        coordinator.start_replica(recovered, now.monotonic);
        coordinator
    }

    /// Handles one input and appends its effects. `now` must be read just before
    /// the call, so that the core notices a freeze of the process before it
    /// handles the input.
    pub fn handle(&mut self, now: Now, input: Input, effects: &mut Vec<Effect>) {
        self.handle_all(now, std::iter::once(input), effects);
    }

    /// Handles inputs that arrived together. Placement, proposals and messages to
    /// followers are done once for all of them, so that an overloaded core
    /// catches up.
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

    /// Records how long incoming and outgoing messages wait in this process. The
    /// consensus node does not count this delay as latency of a link.
    pub fn record_lag(&mut self, lag: Milliseconds) {
        if let Some(replica) = &mut self.replica {
            replica.record_lag(lag);
        }
    }

    /// Returns the time by which the next [`Input::Tick`] is due.
    pub fn next_wakeup(&self) -> Monotonic {
        let last = self.last_input.monotonic;
        let mut wakeup = last + TICK_INTERVAL;
        let leader = self.leader.as_ref();
        if let Some(at) = leader.and_then(|leader| leader.next_wakeup(self.last_input)) {
            wakeup = wakeup.min(at.max(last));
        }
        match &self.replica {
            Some(replica) => wakeup.min(replica.next_wakeup()),
            None => wakeup,
        }
    }

    /// Returns the state machine with the entries applied so far; `None` before
    /// this process belongs to a cluster. Used by checks and by `replay`.
    pub fn state_machine(&self) -> Option<&state_machine::StateMachine> {
        self.replica.as_ref().map(Replica::state_machine)
    }

    /// Returns the number of tasks and runners that the scheduler has scanned in
    /// this term, as a measure of its cost; 0 on a process that is not the leader.
    pub fn scan_cost(&self) -> u64 {
        let leader = self.leader.as_ref();
        leader.map_or(0, Leader::scan_cost)
    }

    /// Returns the status of the consensus node; `None` before this process
    /// belongs to a cluster.
    pub fn status(&self, now: Now) -> Option<consensus::Status> {
        let replica = self.replica.as_ref()?;
        Some(replica.status(now.monotonic))
    }

    /// Returns whether this process is the leader and holds a valid lease.
    pub fn is_serving(&self, now: Now) -> bool {
        self.may_serve(now) && self.leader.as_ref().is_some_and(Leader::is_serving)
    }

    /// Returns whether the lease is valid at `now`. A leader that transfers
    /// leadership must not act even under a valid lease, since its successor
    /// does not wait for that lease to expire.
    fn may_serve(&self, now: Now) -> bool {
        if self.shutdown_deadline.is_some() || self.fault.is_some() {
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

    /// Runs the work that results from the inputs, once for all of them.
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

    /// Handles a message of another process.
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

    /// Returns the message that this process must handle, unwrapped if it was
    /// relayed. Forwards a relay to another process, and drops an invalid one.
    fn open_relay(&self, envelope: Envelope, effects: &mut Vec<Effect>) -> Option<Envelope> {
        match route::unwrap_relay(&self.own, envelope) {
            RelayDecision::Own(envelope) => Some(envelope),
            RelayDecision::Forward(to, message) => {
                effects.push(Effect::Send { to, message });
                None
            }
            RelayDecision::Dropped => None,
        }
    }
}
