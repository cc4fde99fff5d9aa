//! Daemon processes: the cores of all roles behind a common interface, and the virtual
//! disks of coordinators.

use crate::Mutation;
use crate::busy::BusyState;
use crate::ids::{DiskState, Incarnation, MachineIndex, Micros};
use agent::{Agent, AgentOptions};
use coordinator::{Coordinator, CoordinatorOptions};
use gateway::{Caller, Gateway, GatewayOptions, TicketId};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::net::SocketAddr;
use storage::memory::MemoryDisk;
use storage::{Batch, Identity, Store};
use transport::{DecisionEntry, Envelope, Operation, OperationReply, PeerMessage, Rejection};
use types::{Address, Milliseconds, Monotonic, Now, OrderAnswer, Role, RunnerOrder, RunnerReport};

/// Core of a daemon, by role.
pub enum Core {
    /// Core of a coordinator.
    Coordinator(Box<Coordinator>),
    /// Core of a gateway.
    Gateway(Box<Gateway>),
    /// Core of an agent.
    Agent(Box<Agent>),
}

/// An input to the core of a daemon.
pub enum Input {
    /// The wakeup time has come.
    Tick,
    /// A message arrived.
    Message(Envelope),
    /// A request waited too long for a busy coordinator, which rejects it.
    Overdue(Envelope),
    /// The batch with this number is synced.
    Persisted(u64),
    /// The identity is synced.
    IdentitySaved,
    /// The process was asked to stop.
    Stop,
    /// An HTTP request arrived at a gateway.
    Request {
        /// Identifier of the request at the gateway.
        ticket: TicketId,
        /// Time until the sender's timeout.
        time_left: Milliseconds,
        /// Requested operation.
        operation: Operation,
    },
    /// A runner's heartbeat arrived at an agent.
    Heartbeat(RunnerReport),
    /// A runner answered an order.
    Answered(RunnerOrder, OrderAnswer),
}

/// An action that the core of a daemon requests.
pub enum Effect {
    /// Send a message to a peer socket.
    Send(SocketAddr, PeerMessage),
    /// Write to the coordinator's disk.
    Write(Write),
    /// Deliver an order to a runner.
    Deliver(RunnerOrder),
    /// Answer an HTTP request.
    Respond(TicketId, Result<OperationReply, Rejection>),
    /// Append an entry to the decision log.
    Decision(Box<DecisionEntry>),
    /// End the process.
    Stopped,
}

/// A write to a coordinator's disk.
pub enum Write {
    /// A batch of the log.
    Batch {
        /// Number under which the core awaits the sync.
        number: u64,
        /// Entries, hard state and snapshot to write.
        batch: Batch,
    },
    /// Identity of the node.
    Identity(Identity),
}

/// Options that a process is started with, by role.
#[derive(Clone)]
pub enum Settings {
    /// Options of a coordinator.
    Coordinator(CoordinatorOptions),
    /// Options of a gateway.
    Gateway(GatewayOptions),
    /// Options of an agent.
    Agent(AgentOptions),
}

/// Disk of a process.
pub enum DiskSlot {
    /// No disk yet, or the disk was lost. Gateways and agents have none.
    None,
    /// Disk of a coordinator that is down.
    Closed(MemoryDisk),
    /// Disk of a coordinator that is up.
    Open(Box<Store<MemoryDisk>>),
}

/// A daemon process on a machine.
pub struct Process {
    /// Machine that the process is on.
    pub machine: MachineIndex,
    /// Address in the current or last incarnation.
    pub address: Address,
    /// Options for the next incarnation; address and seed are replaced at each start.
    pub settings: Settings,
    /// Incarnation, counted up at each start and kill.
    pub incarnation: Incarnation,
    /// Core; `None` while the process is down.
    pub core: Option<Core>,
    /// Disk, used by coordinators only.
    pub disk: DiskSlot,
    /// Writes that the core has requested and the disk has not completed, oldest first.
    pub writes: VecDeque<Write>,
    /// Processing state; only coordinators become busy.
    pub busy: BusyState,
    /// Virtual time of the timer in the event queue; `None` if none is set.
    pub timer: Option<Micros>,
    /// Whether the process was replaced and is never started again.
    pub retired: bool,
    /// Last identity written to the disk, also after the disk was lost; `None` before the
    /// first one.
    pub last_identity: Option<Identity>,
    /// Disabled mechanism; `None` disables nothing.
    pub mutation: Option<Mutation>,
}

impl Process {
    /// Returns the role of the daemon.
    pub fn role(&self) -> Role {
        self.address.role
    }

    /// Returns whether the process is running.
    pub fn is_up(&self) -> bool {
        self.core.is_some()
    }

    /// Starts the process with a new incarnation. `node` is replaced by the identity on the
    /// disk, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the data on the simulated disk cannot be opened.
    pub fn start(
        &mut self,
        now: Now,
        node: types::NodeId,
        seed: u64,
        disk: DiskState,
    ) -> Result<(), storage::StorageError> {
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.timer = None;
        self.writes.clear();
        self.busy = BusyState::default();
        self.address.node = node;
        let core = match self.settings.clone() {
            Settings::Gateway(mut options) => {
                options.address = self.address.clone();
                options.seed = seed;
                Core::Gateway(Box::new(Gateway::new(options, now)))
            }
            Settings::Agent(mut options) => {
                options.address = self.address.clone();
                options.seed = seed;
                let agent = Agent::new(options, now);
                let mutation = self.mutation.and_then(Mutation::of_agent);
                Core::Agent(Box::new(match mutation {
                    Some(mutation) => agent.with_mutation(mutation),
                    None => agent,
                }))
            }
            Settings::Coordinator(options) => self.open_coordinator(options, now, seed, disk)?,
        };
        self.core = Some(core);
        Ok(())
    }

    fn open_coordinator(
        &mut self,
        mut options: CoordinatorOptions,
        now: Now,
        seed: u64,
        state: DiskState,
    ) -> Result<Core, storage::StorageError> {
        let disk = match (std::mem::replace(&mut self.disk, DiskSlot::None), state) {
            (DiskSlot::Closed(disk), DiskState::Retained) => disk,
            _ => MemoryDisk::default(),
        };
        let mut opened = Store::open(disk)?;
        if self.mutation == Some(Mutation::KeepIdentityOnEmptyDisk) && opened.identity.is_none() {
            opened.identity = self.last_identity.clone();
            if let Some(identity) = &opened.identity {
                opened.store.save_identity(identity)?;
            }
        }
        self.disk = DiskSlot::Open(Box::new(opened.store));
        if let Some(identity) = &opened.identity {
            self.address.node = identity.node;
        }
        options.address = self.address.clone();
        options.seed = seed;
        let core = Coordinator::new(options, opened.identity, opened.recovered, now);
        Ok(Core::Coordinator(Box::new(core)))
    }

    /// Kills the process. With `power_loss` the disk loses its unsynced writes.
    pub fn kill(&mut self, random: &mut ChaCha8Rng, power_loss: bool) {
        self.core = None;
        self.writes.clear();
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        let disk = match std::mem::replace(&mut self.disk, DiskSlot::None) {
            DiskSlot::None => return,
            DiskSlot::Closed(disk) => disk,
            DiskSlot::Open(store) => store.into_disk(),
        };
        self.disk = DiskSlot::Closed(disk);
        if power_loss && let DiskSlot::Closed(disk) = &mut self.disk {
            disk.crash(random);
        }
    }

    /// Returns the process that replaces this one on another machine. It is not started
    /// yet.
    pub fn successor(&self, machine: MachineIndex, socket: SocketAddr) -> Self {
        let mut address = self.address.clone();
        address.socket = socket;
        Self {
            machine,
            address,
            settings: self.settings.clone(),
            incarnation: Incarnation::default(),
            core: None,
            disk: DiskSlot::None,
            writes: VecDeque::new(),
            busy: BusyState::default(),
            timer: None,
            retired: false,
            last_identity: None,
            mutation: self.mutation,
        }
    }

    /// Passes an input to the core and returns its effects; none while the process is down.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Effect> {
        match &mut self.core {
            None => Vec::new(),
            Some(Core::Coordinator(core)) => handle_coordinator(core, now, vec![input]),
            Some(Core::Gateway(core)) => handle_gateway(core, now, input),
            Some(Core::Agent(core)) => handle_agent(core, now, input),
        }
    }

    /// Passes several inputs to a coordinator in one step and returns the effects.
    pub fn handle_all(&mut self, now: Now, inputs: Vec<Input>) -> Vec<Effect> {
        match &mut self.core {
            Some(Core::Coordinator(core)) => handle_coordinator(core, now, inputs),
            _ => Vec::new(),
        }
    }

    /// Returns the time of the next tick, by the machine's monotonic clock; `None` while
    /// the process is down.
    pub fn next_wakeup(&self) -> Option<Monotonic> {
        self.core.as_ref().map(|core| match core {
            Core::Coordinator(core) => core.next_wakeup(),
            Core::Gateway(core) => core.next_wakeup(),
            Core::Agent(core) => core.next_wakeup(),
        })
    }

    /// Returns the core of an agent; `None` for other roles or while the process is down.
    pub fn agent(&mut self) -> Option<&mut Agent> {
        match &mut self.core {
            Some(Core::Agent(agent)) => Some(agent),
            _ => None,
        }
    }

    /// Executes the oldest requested write and returns the input that confirms it; `None`
    /// if there is no write or the disk is not open.
    pub fn finish_write(&mut self) -> Option<Result<Input, storage::StorageError>> {
        let write = self.writes.pop_front()?;
        let DiskSlot::Open(store) = &mut self.disk else {
            return None;
        };
        Some(match write {
            Write::Batch { number, batch } => {
                store.write(&batch).map(|()| Input::Persisted(number))
            }
            Write::Identity(identity) => {
                let saved = store.save_identity(&identity);
                self.last_identity = Some(identity);
                saved.map(|()| Input::IdentitySaved)
            }
        })
    }
}

fn coordinator_input(input: Input) -> Option<coordinator::Input> {
    Some(match input {
        Input::Tick => coordinator::Input::Tick,
        Input::Message(envelope) => coordinator::Input::Peer(envelope),
        Input::Overdue(envelope) => coordinator::Input::Overdue(envelope),
        Input::Persisted(number) => coordinator::Input::Persisted { number },
        Input::IdentitySaved => coordinator::Input::IdentitySaved,
        Input::Stop => coordinator::Input::Stop,
        Input::Request { .. } | Input::Heartbeat(_) | Input::Answered(..) => return None,
    })
}

fn handle_coordinator(core: &mut Coordinator, now: Now, inputs: Vec<Input>) -> Vec<Effect> {
    let inputs: Vec<coordinator::Input> =
        inputs.into_iter().filter_map(coordinator_input).collect();
    if inputs.is_empty() {
        return Vec::new();
    }
    let mut effects = Vec::new();
    core.handle_all(now, inputs, &mut effects);
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            coordinator::Effect::Send { to, message } => Some(Effect::Send(to, message)),
            coordinator::Effect::Persist { number, batch } => {
                Some(Effect::Write(Write::Batch { number, batch }))
            }
            coordinator::Effect::SaveIdentity(identity) => {
                Some(Effect::Write(Write::Identity(identity)))
            }
            coordinator::Effect::Decision(entry) => Some(Effect::Decision(entry)),
            coordinator::Effect::Ready(_) => None,
            coordinator::Effect::Stopped => Some(Effect::Stopped),
        })
        .collect()
}

fn handle_gateway(core: &mut Gateway, now: Now, input: Input) -> Vec<Effect> {
    let input = match input {
        Input::Tick => gateway::Input::Tick,
        Input::Message(envelope) => gateway::Input::Peer(envelope),
        Input::Stop => gateway::Input::Stop,
        Input::Request {
            ticket,
            time_left,
            operation,
        } => gateway::Input::Request {
            ticket,
            caller: Caller { token: None },
            time_left,
            operation,
        },
        _ => return Vec::new(),
    };
    let mut effects = Vec::new();
    core.handle(now, input, &mut effects);
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            gateway::Effect::Send { to, message } => Some(Effect::Send(to, message)),
            gateway::Effect::Respond { ticket, result } => Some(Effect::Respond(ticket, result)),
            gateway::Effect::Ready(_) => None,
            gateway::Effect::Stopped => Some(Effect::Stopped),
        })
        .collect()
}

fn handle_agent(core: &mut Agent, now: Now, input: Input) -> Vec<Effect> {
    let input = match input {
        Input::Tick => agent::Input::Tick,
        Input::Message(envelope) => agent::Input::Peer(envelope),
        Input::Stop => agent::Input::Stop,
        Input::Heartbeat(report) => agent::Input::Heartbeat(report),
        Input::Answered(order, answer) => agent::Input::Answered { order, answer },
        _ => return Vec::new(),
    };
    let mut effects = Vec::new();
    core.handle(now, input, &mut effects);
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            agent::Effect::Send { to, message } => Some(Effect::Send(to, message)),
            agent::Effect::Deliver { order } => Some(Effect::Deliver(order)),
            agent::Effect::Ready(_) => None,
            agent::Effect::Stopped => Some(Effect::Stopped),
        })
        .collect()
}
