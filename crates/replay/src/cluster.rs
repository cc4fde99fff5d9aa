//! Cluster of one voter around a coordinator core, with its identity, virtual
//! clock and confirmed writes.

use consensus::{Membership, Recovered};
use coordinator::{Coordinator, CoordinatorOptions, Effect, Input};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use storage::Identity;
use transport::{DecisionEntry, Envelope, PeerMessage};
use types::{
    Address, ClusterId, InvalidName, Milliseconds, Monotonic, NodeId, Now, Role, WallTime, ZoneName,
};

/// Virtual time before the first line. It covers the election and the wait for
/// runners.
const WARM_UP: Milliseconds = Milliseconds(10_000);
/// Maximum number of ticks at one virtual time. Remaining work is done a
/// millisecond later.
const MAX_TICKS_AT_ONCE: usize = 64;
const OWN_NODE: NodeId = NodeId(1);
const CLUSTER: ClusterId = ClusterId(1);
const ZONE: &str = "replay";
/// Peer port of every emulated process.
const PORT: u16 = 7_000;
const OWN_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);

/// Event of the core that the driver has to process.
#[derive(Debug)]
pub enum CoreEvent {
    /// The core sent a message.
    Sent(PeerMessage),
    /// The core published a decision.
    Decided(Box<DecisionEntry>),
}

/// Coordinator core with its virtual clocks.
pub struct Cluster {
    core: Coordinator,
    monotonic: Monotonic,
    wall: WallTime,
}

impl Cluster {
    /// Creates a core that leads and has finished the wait for runners at the wall
    /// time `wall`.
    ///
    /// # Errors
    ///
    /// Fails if a name generated for the cluster is not valid.
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

    /// Advances only the monotonic clock, so that the core leads by the wall time
    /// of the first line. Events before that line are discarded.
    fn warm_up(&mut self) {
        while self.monotonic < Monotonic(0) + WARM_UP {
            let mut events = Vec::new();
            let next = self.core.next_wakeup().0.max(self.monotonic.0 + 1);
            self.monotonic = Monotonic(next.min(WARM_UP.0));
            self.handle(Input::Tick, &mut events);
        }
    }

    /// Returns the time of both clocks.
    pub fn now(&self) -> Now {
        Now {
            monotonic: self.monotonic,
            wall: self.wall,
        }
    }

    /// Returns whether the core leads and serves requests.
    pub fn is_serving(&self) -> bool {
        self.core.is_serving(self.now())
    }

    /// Returns the wall time of the core's next wakeup, at least 1 ms from now.
    pub fn next_wakeup(&self) -> WallTime {
        let wait = self.core.next_wakeup().since(self.monotonic);
        self.wall + wait.max(Milliseconds(1))
    }

    /// Advances both clocks to the wall time `to`. Has no effect if `to` has passed.
    pub fn advance(&mut self, to: WallTime) {
        let passed = Milliseconds(to.0.saturating_sub(self.wall.0));
        self.monotonic = self.monotonic + passed;
        self.wall = self.wall + passed;
    }

    /// Ticks the core until it has no more work at the current time, at most 64 times.
    pub fn tick(&mut self, events: &mut Vec<CoreEvent>) {
        for _ in 0..MAX_TICKS_AT_ONCE {
            self.handle(Input::Tick, events);
            if self.core.next_wakeup() > self.monotonic {
                return;
            }
        }
    }

    /// Delivers a message to the core.
    pub fn deliver(&mut self, from: Address, body: PeerMessage, events: &mut Vec<CoreEvent>) {
        let via = None;
        self.handle(Input::Peer(Envelope { from, via, body }), events);
    }

    /// Passes an input to the core, and confirms its writes at once.
    fn handle(&mut self, input: Input, events: &mut Vec<CoreEvent>) {
        let now = self.now();
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let mut effects = Vec::new();
            self.core.handle(now, input, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Send { message, .. } => events.push(CoreEvent::Sent(message)),
                    Effect::Decision(entry) => events.push(CoreEvent::Decided(entry)),
                    Effect::Persist { number, .. } => inputs.push_back(Input::Persisted { number }),
                    Effect::SaveIdentity(_) => inputs.push_back(Input::IdentitySaved),
                    Effect::Ready(_) | Effect::Stopped => {}
                }
            }
        }
    }
}

/// Returns the address of an emulated process.
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

/// Returns the options that a daemon has with default settings.
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
