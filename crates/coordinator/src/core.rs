//! The coordinator's core: one input in, effects out.
//!
//! Every input first lets the consensus node look at the clock, so a process
//! that wakes from a freeze loses its lease before anything it held can act.
//! The leader's messages are collected while an input is handled, and leave
//! only if the lease still holds at the end.

use crate::directory::Directory;
use crate::identification::Identification;
use crate::leader::Leader;
use crate::replica::Replica;
use consensus::Recovered;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use session::route::{self, Opened};
use std::net::SocketAddr;
use storage::{Batch, Identity};
use transport::{Envelope, PeerMessage};
use types::{Address, Milliseconds, Monotonic, Now};

/// Longest time between two looks at the core's own timers.
const TICK_INTERVAL: Milliseconds = Milliseconds(50);
/// Rounds of proposing and applying within one input.
const MAX_ROUNDS: usize = 8;

/// Settings of the core.
#[derive(Debug, Clone)]
pub struct CoordinatorOptions {
    /// Who and where this process is.
    pub address: Address,
    /// Peer sockets of other processes of any role; may be dead, or its own.
    pub seeds: Vec<SocketAddr>,
    /// Initial coordinators of a new cluster, and voters wanted ever after.
    pub initial_coordinators: u32,
    /// Who may found a cluster.
    pub bootstrap_rule: BootstrapRule,
    /// A run whose progress stands still for this long is stopped and placed
    /// again; none where it is left alone.
    pub stalled_after: Option<Milliseconds>,
    /// Runs on a slow runner are moved as well; only where the former is set.
    pub move_slow: bool,
    /// Timings of consensus.
    pub consensus: consensus::Options,
    /// Limits of the scheduler.
    pub scheduler: scheduler::SchedulerOptions,
    /// Length of the sessions of gateways and agents.
    pub session_lease: Milliseconds,
    /// A voter silent for this long is replaced by a learner that is ready.
    pub replace_voter_after: Milliseconds,
    /// A fresh leader waits at most this long for runners' lists.
    pub runner_wait: Milliseconds,
    /// Entries between two snapshots.
    pub snapshot_every: u64,
    /// Requests that may wait for the log at once.
    pub max_waiting_requests: usize,
    /// Lines of the decision log kept.
    pub decision_log_capacity: usize,
    /// Seed of elections, draws and identifiers.
    pub seed: u64,
    /// A fault built in on purpose, for the simulation alone: it proves that
    /// the checker finds what it should. None in every daemon.
    pub mutation: Option<Mutation>,
}

/// Who may found a cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BootstrapRule {
    /// The lowest identity, when exactly the initial coordinators are there.
    #[default]
    Exact,
    /// The process at this socket alone, when at least the initial
    /// coordinators are there; the others join. For fleets that know one
    /// socket in common and not their own number.
    At(SocketAddr),
    /// Nobody: a cluster is there or will come back.
    Never,
}

/// Faults that the simulation may build in, to prove that they are found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mutation {
    /// An unanswered start is sent again, where a revocation belongs.
    ResendStartInsteadOfRevoke,
    /// An unanswered start is closed as rejected, without a revocation.
    CloseUnansweredStart,
    /// The leader acts without looking at its lease.
    SkipLeaseCheck,
    /// A submit is acknowledged as soon as it is proposed.
    AcknowledgeBeforeCommit,
    /// Runs of a silent runner are closed at a tenth of their lease.
    ExpireRunsEarly,
    /// The scheduler pulls for every runner and looks into every list.
    ScanAll,
    /// A guard of the record left out.
    StateMachine(state_machine::mutation::Mutation),
}

/// What happens to the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Peer(Envelope),
    /// A request arrived so long ago that it is rejected rather than answered
    /// late: this process is behind, and would be further behind for it.
    Overdue(Envelope),
    /// [`Effect::Persist`] of this number is synced.
    Persisted {
        /// Its number.
        number: u64,
    },
    /// [`Effect::SaveIdentity`] is synced.
    IdentitySaved,
    /// The process was asked to stop: hand over, then end.
    Stop,
}

/// What the shell must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Write and sync, in order of the numbers, then give
    /// [`Input::Persisted`].
    Persist {
        /// Its number.
        number: u64,
        /// What to write.
        batch: Batch,
    },
    /// Write and sync the identity, then give [`Input::IdentitySaved`].
    SaveIdentity(Identity),
    /// Whether this process should count as ready, and why not.
    Ready(Result<(), String>),
    /// A line of the decision log.
    Decision(Box<transport::DecisionEntry>),
    /// All is handed over; the process may end.
    Stopped,
}

/// A coordinator.
pub struct Coordinator {
    pub(crate) options: CoordinatorOptions,
    pub(crate) own: Address,
    pub(crate) directory: Directory,
    pub(crate) identification: Identification,
    pub(crate) replica: Option<Replica>,
    pub(crate) leader: Option<Leader>,
    pub(crate) random: ChaCha8Rng,
    /// Why it serves no more, when its log or snapshot could not be read.
    pub(crate) fault: Option<String>,
    pub(crate) handover: Option<Monotonic>,
    pub(crate) stopped: bool,
    pub(crate) readiness: Option<Result<(), String>>,
    last_input: Now,
}

impl Coordinator {
    /// A coordinator from what its disk held. With no identity it makes a new
    /// one from `options.address.node`.
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
            handover: None,
            stopped: false,
            readiness: None,
            last_input: now,
        };
        coordinator.start_replica(recovered, now.monotonic);
        coordinator
    }

    /// Takes one input and appends what is to be done. The caller reads the
    /// clock just before; after a freeze the core sees the jump first.
    pub fn handle(&mut self, now: Now, input: Input, effects: &mut Vec<Effect>) {
        self.handle_all(now, std::iter::once(input), effects);
    }

    /// Takes inputs that are there together. What they lead to (placement,
    /// entries of the log, messages to followers) is done once for all of them,
    /// so a core that is behind catches up.
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
            replica.node.tick(now.monotonic);
        }
        if self.fault.is_none() {
            self.follow_leadership(now, effects);
        }
        for input in inputs {
            match self.fault {
                None => self.take(now, input, effects),
                Some(_) => self.handle_faulted(&input, effects),
            }
        }
        if self.fault.is_none() {
            self.advance(now, effects);
        }
    }

    fn take(&mut self, now: Now, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Tick => {}
            Input::Peer(envelope) => self.receive(now, envelope, effects),
            Input::Overdue(envelope) => self.reject_overdue(now, envelope, effects),
            Input::Persisted { number } => self.persisted(now, number, effects),
            Input::IdentitySaved => self.identity_saved(now, effects),
            Input::Stop => self.begin_stop(now),
        }
    }

    /// Says how long messages wait for this process, to leave and to be taken: what
    /// is late for that does not speak against a link.
    pub fn record_lag(&mut self, lag: Milliseconds) {
        if let Some(replica) = &mut self.replica {
            replica.node.record_lag(lag);
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
            Some(replica) => own.min(replica.node.next_wakeup()),
            None => own,
        }
    }

    /// The record as this process has applied it; none before it belongs to a
    /// cluster. For checks and for `replay`.
    pub fn state_machine(&self) -> Option<&state_machine::StateMachine> {
        self.replica.as_ref().map(|replica| &replica.state_machine)
    }

    /// Looks of the scheduler so far, in this term; 0 while it does not lead.
    pub fn scan_cost(&self) -> u64 {
        let leader = self.leader.as_ref();
        leader.map_or(0, |leader| leader.scheduler.scan_cost())
    }

    /// What its consensus node says of itself; none before it has one.
    pub fn status(&self, now: Now) -> Option<consensus::Status> {
        let replica = self.replica.as_ref()?;
        Some(replica.node.status(now.monotonic))
    }

    /// Returns whether it leads and may act.
    pub fn is_serving(&self, now: Now) -> bool {
        self.may_serve(now) && self.leader.as_ref().is_some_and(|leader| leader.serving)
    }

    /// The lease, checked at this moment. A leader that hands over acts no
    /// more, whatever its lease says: its successor need not wait for that.
    pub(crate) fn may_serve(&self, now: Now) -> bool {
        if self.handover.is_some() || self.fault.is_some() {
            return false;
        }
        let Some(replica) = &self.replica else {
            return false;
        };
        if self.options.mutation == Some(Mutation::SkipLeaseCheck) && self.leader.is_some() {
            return true;
        }
        replica.node.holds_lease(now.monotonic)
    }

    fn advance(&mut self, now: Now, effects: &mut Vec<Effect>) {
        self.identify(now, effects);
        self.pump(now, effects);
        self.follow_leadership(now, effects);
        self.lead(now);
        for _ in 0..MAX_ROUNDS {
            if !self.propose_collected(now, effects) {
                break;
            }
            self.pump(now, effects);
            self.follow_leadership(now, effects);
        }
        self.send_collected(now, effects);
        self.report_readiness(now, effects);
        self.finish_stop(now, effects);
    }

    pub(crate) fn receive(&mut self, now: Now, envelope: Envelope, effects: &mut Vec<Effect>) {
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
            PeerMessage::Members(members) => self.members_received(now, &sender, members),
            PeerMessage::Bootstrap(bootstrap) => {
                self.bootstrap_received(now, &sender, bootstrap, effects)
            }
            PeerMessage::Raft {
                cluster,
                to,
                message,
            } => self.raft_received(now, &sender, cluster, to, message),
            PeerMessage::KeepAlive(keep_alive) => {
                self.keep_alive_received(now, &sender, keep_alive, effects)
            }
            PeerMessage::Lease(lease) => self.lease_received(now, lease, effects),
            PeerMessage::NotLeader { leader } => self.identification.hint_leader(leader),
            PeerMessage::Request(request) => self.request_received(now, &sender, request, effects),
            PeerMessage::AgentReport(report) => self.report_received(now, &sender, report),
            PeerMessage::OrderResults { results } => self.results_received(now, &sender, results),
            PeerMessage::Configuration { .. }
            | PeerMessage::Reply(_)
            | PeerMessage::RunnerUpdate(_)
            | PeerMessage::Orders { .. }
            | PeerMessage::Relay(_) => {}
        }
    }

    /// Opens a relay meant for this process; passes one on that comes from its
    /// origin.
    pub(crate) fn open_relay(
        &self,
        envelope: Envelope,
        effects: &mut Vec<Effect>,
    ) -> Option<Envelope> {
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

/// Whom a message came from, and by which member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Sender {
    /// The sender.
    pub(crate) address: Address,
    /// The member that relayed it.
    pub(crate) via: Option<SocketAddr>,
}

impl Sender {
    /// The sender of an opened message.
    pub(crate) fn of(envelope: &Envelope) -> Self {
        Self {
            address: envelope.from.clone(),
            via: envelope.via,
        }
    }

    /// Addresses an answer, by the same member the message came by.
    pub(crate) fn answer(&self, own: &Address, message: PeerMessage) -> (SocketAddr, PeerMessage) {
        match self.via {
            None => (self.address.socket, message),
            Some(via) => route::through(own, via, self.address.socket, message),
        }
    }
}
