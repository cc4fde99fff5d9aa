//! Daemon processes: the roles' cores behind one shape, and the disk of a
//! coordinator.

use crate::Mutation;
use crate::busy::Busy;
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

/// A role's core.
pub enum Core {
    /// A coordinator.
    Coordinator(Box<Coordinator>),
    /// A gateway.
    Gateway(Box<Gateway>),
    /// An agent.
    Agent(Box<Agent>),
}

/// What happens to a daemon.
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Message(Envelope),
    /// A request that waited too long for a coordinator at work.
    Overdue(Envelope),
    /// A batch is synced.
    Persisted(u64),
    /// The identity is synced.
    IdentitySaved,
    /// The process was asked to stop.
    Stop,
    /// An HTTP request arrived at a gateway.
    Request {
        /// Number of the request.
        ticket: TicketId,
        /// How long its sender waits.
        time_left: Milliseconds,
        /// What is asked.
        operation: Operation,
    },
    /// A runner's heartbeat arrived at an agent.
    Heartbeat(RunnerReport),
    /// A runner answered an order.
    Answered(RunnerOrder, OrderAnswer),
}

/// What a daemon wants done.
pub enum Effect {
    /// Send a message.
    Send(SocketAddr, PeerMessage),
    /// Write to the disk.
    Write(Write),
    /// Give an order to a runner.
    Deliver(RunnerOrder),
    /// Answer an HTTP request.
    Respond(TicketId, Result<OperationReply, Rejection>),
    /// A line of the decision log.
    Decision(Box<DecisionEntry>),
    /// The process ends.
    Stopped,
}

/// One write to a coordinator's disk.
pub enum Write {
    /// A batch of the log.
    Batch {
        /// Its number.
        number: u64,
        /// Its content.
        batch: Batch,
    },
    /// The identity.
    Identity(Identity),
}

/// Settings a process is started with.
#[derive(Clone)]
pub enum Settings {
    /// A coordinator's.
    Coordinator(CoordinatorOptions),
    /// A gateway's.
    Gateway(GatewayOptions),
    /// An agent's.
    Agent(AgentOptions),
}

/// The disk of a coordinator, open or not.
pub enum DiskSlot {
    /// Never had one, or wiped.
    None,
    /// The process is down.
    Closed(MemoryDisk),
    /// The process is up.
    Open(Box<Store<MemoryDisk>>),
}

/// A daemon process on a machine.
pub struct Process {
    /// Where it stands.
    pub machine: MachineIndex,
    /// Who it is in its current or last incarnation.
    pub address: Address,
    /// Settings for its next incarnation, identity and seed replaced each time.
    pub settings: Settings,
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// The core, while it is up.
    pub core: Option<Core>,
    /// Its disk, if it is a coordinator.
    pub disk: DiskSlot,
    /// Writes asked for and not done.
    pub writes: VecDeque<Write>,
    /// What waits while it is at work.
    pub busy: Busy,
    /// Moment of the timer in the queue.
    pub timer: Option<Micros>,
    /// Whether it is gone for good.
    pub retired: bool,
    /// The identity that its disk had last.
    pub last_identity: Option<Identity>,
    /// The mechanism turned off in it.
    pub mutation: Option<Mutation>,
}

impl Process {
    /// The role it was set up for.
    pub fn role(&self) -> Role {
        self.address.role
    }

    /// Returns whether it runs.
    pub fn is_up(&self) -> bool {
        self.core.is_some()
    }

    /// Starts it; an unreadable disk is told in the error.
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
        self.busy = Busy::default();
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

    /// Ends it at once. With `power_loss` the disk forgets what was not synced.
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

    /// The process that takes its place on another machine, not started yet.
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
            busy: Busy::default(),
            timer: None,
            retired: false,
            last_identity: None,
            mutation: self.mutation,
        }
    }

    /// Gives an input to the core; nothing happens while it is down.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Effect> {
        match &mut self.core {
            None => Vec::new(),
            Some(Core::Coordinator(core)) => handle_coordinator(core, now, vec![input]),
            Some(Core::Gateway(core)) => handle_gateway(core, now, input),
            Some(Core::Agent(core)) => handle_agent(core, now, input),
        }
    }

    /// Gives inputs that are there together to a coordinator, in one step.
    pub fn handle_all(&mut self, now: Now, inputs: Vec<Input>) -> Vec<Effect> {
        match &mut self.core {
            Some(Core::Coordinator(core)) => handle_coordinator(core, now, inputs),
            _ => Vec::new(),
        }
    }

    /// When its core wants a tick.
    pub fn next_wakeup(&self) -> Option<Monotonic> {
        self.core.as_ref().map(|core| match core {
            Core::Coordinator(core) => core.next_wakeup(),
            Core::Gateway(core) => core.next_wakeup(),
            Core::Agent(core) => core.next_wakeup(),
        })
    }

    /// The agent's core, if this is an agent that is up.
    pub fn agent(&mut self) -> Option<&mut Agent> {
        match &mut self.core {
            Some(Core::Agent(agent)) => Some(agent),
            _ => None,
        }
    }

    /// Does the oldest write asked for; gives what to tell the core.
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
