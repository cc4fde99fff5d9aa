//! The core as a cluster of one voter: its identity, its clock, its writes.

use consensus::{Membership, Recovered};
use coordinator::{Coordinator, CoordinatorOptions, Effect, Input};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use storage::Identity;
use transport::{DecisionEntry, Envelope, PeerMessage};
use types::{
    Address, ClusterId, InvalidName, Milliseconds, Monotonic, NodeId, Now, Role, WallTime, ZoneName,
};

/// Virtual time before the first line: election, and the wait for runners.
const WARM_UP: Milliseconds = Milliseconds(10_000);
/// Ticks at one moment at most; what is left comes a millisecond later.
const MAX_TICKS_AT_ONCE: usize = 64;
const OWN_NODE: NodeId = NodeId(1);
const CLUSTER: ClusterId = ClusterId(1);
const ZONE: &str = "replay";
/// Peer port of every process that is played.
const PORT: u16 = 7_000;
const OWN_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);

/// What the core did that the driver must see.
#[derive(Debug)]
pub enum Seen {
    /// It sent a message.
    Sent(PeerMessage),
    /// It let out a decision.
    Decided(Box<DecisionEntry>),
}

/// One core with its clock.
pub struct Cluster {
    core: Coordinator,
    monotonic: Monotonic,
    wall: WallTime,
}

impl Cluster {
    /// A core that leads and has waited for runners, at this wall time.
    ///
    /// # Errors
    ///
    /// Fails if a name made for the cluster is not valid.
    pub fn new(seed: u64, wall: WallTime) -> Result<Self, InvalidName> {
        let address = address(OWN_NODE, Role::Coordinator, OWN_IP)?;
        let voters = BTreeMap::from([(address.node, address.socket)]);
        let identity = Identity {
            node: address.node,
            cluster: Some(CLUSTER),
            initial: Membership {
                voters,
                learners: BTreeMap::new(),
            },
        };
        let monotonic = Monotonic(0);
        let now = Now { monotonic, wall };
        let options = options(address, seed);
        let core = Coordinator::new(options, Some(identity), Recovered::default(), now);
        let mut cluster = Self {
            core,
            monotonic,
            wall,
        };
        cluster.warm_up();
        Ok(cluster)
    }

    /// Lets the monotonic clock alone run, so that the first line finds a
    /// leader at its own wall time. There is nothing to see before it.
    fn warm_up(&mut self) {
        while self.monotonic < Monotonic(0) + WARM_UP {
            let mut seen = Vec::new();
            let next = self.core.next_wakeup().0.max(self.monotonic.0 + 1);
            self.monotonic = Monotonic(next.min(WARM_UP.0));
            self.handle(Input::Tick, &mut seen);
        }
    }

    /// Both clocks.
    pub fn now(&self) -> Now {
        Now {
            monotonic: self.monotonic,
            wall: self.wall,
        }
    }

    /// Returns whether it leads and may act.
    pub fn is_serving(&self) -> bool {
        self.core.is_serving(self.now())
    }

    /// When it is to be woken next, on the wall clock; always in the future.
    pub fn next_wakeup(&self) -> WallTime {
        let wait = self.core.next_wakeup().since(self.monotonic);
        self.wall + wait.max(Milliseconds(1))
    }

    /// Moves both clocks on.
    pub fn advance(&mut self, to: WallTime) {
        let passed = Milliseconds(to.0.saturating_sub(self.wall.0));
        self.monotonic = self.monotonic + passed;
        self.wall = self.wall + passed;
    }

    /// Wakes the core, and again while it has more to do at this moment.
    pub fn tick(&mut self, seen: &mut Vec<Seen>) {
        for _ in 0..MAX_TICKS_AT_ONCE {
            self.handle(Input::Tick, seen);
            if self.core.next_wakeup() > self.monotonic {
                return;
            }
        }
    }

    /// Gives the core a message.
    pub fn deliver(&mut self, from: Address, body: PeerMessage, seen: &mut Vec<Seen>) {
        let via = None;
        self.handle(Input::Peer(Envelope { from, via, body }), seen);
    }

    /// Gives an input; writes are synced at once.
    fn handle(&mut self, input: Input, seen: &mut Vec<Seen>) {
        let now = self.now();
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let mut effects = Vec::new();
            self.core.handle(now, input, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Send { message, .. } => seen.push(Seen::Sent(message)),
                    Effect::Decision(entry) => seen.push(Seen::Decided(entry)),
                    Effect::Persist { number, .. } => inputs.push_back(Input::Persisted { number }),
                    Effect::SaveIdentity(_) => inputs.push_back(Input::IdentitySaved),
                    Effect::Ready(_) | Effect::Stopped => {}
                }
            }
        }
    }
}

/// Address of a played process.
///
/// # Errors
///
/// Fails if the zone's name is not valid.
pub fn address(node: NodeId, role: Role, ip: Ipv4Addr) -> Result<Address, InvalidName> {
    Ok(Address {
        node,
        role,
        zone: ZoneName::new(ZONE)?,
        socket: SocketAddr::from((ip, PORT)),
    })
}

/// What a daemon has without settings of its own.
fn options(address: Address, seed: u64) -> CoordinatorOptions {
    CoordinatorOptions {
        address,
        seeds: Vec::new(),
        bootstrap_rule: coordinator::BootstrapRule::Exact,
        stalled_after: None,
        move_slow: true,
        initial_coordinators: 1,
        consensus: consensus::Options::default(),
        scheduler: scheduler::SchedulerOptions::default(),
        session_lease: Milliseconds(2_000),
        replace_voter_after: Milliseconds(1_500),
        runner_wait: Milliseconds(2_000),
        snapshot_every: 10_000,
        max_waiting_requests: 4_096,
        decision_log_capacity: 50_000,
        seed,
        mutation: None,
    }
}
