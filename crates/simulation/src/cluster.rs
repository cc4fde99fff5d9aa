//! The simulated cluster: machines, processes, network and event queue.

use crate::Mutation;
use crate::caller::{CallerHost, OpenRequest};
use crate::event::{Event, Scheduled};
use crate::ids::{DiskState, Incarnation, MachineIndex, Micros, ProcessIndex};
use crate::machine::Machine;
use crate::network::Network;
use crate::operator::OperatorHost;
use crate::plan::{Fault, Processing};
use crate::process::{Effect, Input, Process, Write};
use crate::runner::RunnerHost;
use checker::Observation;
use gateway::TicketId;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use transport::{DecisionEntry, Envelope, PeerMessage};
use types::{Milliseconds, NodeId, Now};

/// Minimum time until a timer of a daemon fires.
const MIN_TIMER_MICROS: Micros = 1_000;
/// Range of the duration of a sync of a coordinator's disk.
const SYNC_DURATION_MICROS: (Micros, Micros) = (300, 1_500);
/// Time after which an event for a busy daemon is retried.
const BUSY_RETRY_MICROS: Micros = 500;
/// Delay of a write that the disk has reported as synced already, with
/// [`Mutation::AcknowledgeBeforeSync`].
const UNSYNCED_DELAY_MICROS: Micros = 2_000_000;

/// State of a simulation.
pub struct SimulatedCluster {
    /// Current virtual time.
    pub now: Micros,
    /// Generator of all random numbers of the simulation.
    pub random: ChaCha8Rng,
    /// Virtual network with the network faults in force.
    pub network: Network,
    /// Machines, also those of replaced coordinators.
    pub machines: Vec<Machine>,
    /// Daemons, also those that were replaced.
    pub processes: Vec<Process>,
    /// Daemon that listens on each socket.
    pub sockets: BTreeMap<SocketAddr, ProcessIndex>,
    /// Gateways in the order of their names.
    pub gateways: Vec<ProcessIndex>,
    /// Runners, one on each side machine.
    pub runners: Vec<RunnerHost>,
    /// Emulated callers, one for each workload mix.
    pub callers: Vec<CallerHost>,
    /// Emulated operators. The first one sends the initial configuration.
    pub operators: Vec<OperatorHost>,
    /// Open HTTP requests of callers and operators.
    pub open_requests: BTreeMap<TicketId, OpenRequest>,
    /// Observations for the checker, in the order of time.
    pub history: Vec<Observation>,
    /// Decision logs of all leaders.
    pub decisions: Vec<TimedDecision>,
    /// Disabled mechanism; `None` disables nothing.
    pub mutation: Option<Mutation>,
    /// Virtual time at which callers stop sending new jobs.
    pub load_until: Micros,
    /// Newest configuration version acknowledged to an operator.
    pub newest_acknowledged: types::ConfigurationVersion,
    /// Processor time that coordinators use.
    pub processing: Processing,
    /// Longest wait of a liveness message for a busy coordinator.
    pub(crate) max_liveness_wait: Micros,
    /// Planned losses that an acknowledgement triggers.
    pub pending_losses: Vec<Fault>,
    /// Failures outside the history, such as a daemon that cannot start.
    pub failures: Vec<String>,
    /// Number of events handled.
    pub handled_events: u64,
    queue: BinaryHeap<Scheduled>,
    order: u64,
    next_ticket: u64,
}

/// An entry of a leader's decision log with its virtual time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedDecision {
    /// Virtual time since the start of the simulation.
    pub at: Milliseconds,
    /// Entry as the leader wrote it.
    pub entry: DecisionEntry,
}

impl SimulatedCluster {
    /// Returns a cluster without machines.
    pub fn new(random: ChaCha8Rng) -> Self {
        Self {
            now: 0,
            random,
            network: Network::default(),
            machines: Vec::new(),
            processes: Vec::new(),
            sockets: BTreeMap::new(),
            gateways: Vec::new(),
            runners: Vec::new(),
            callers: Vec::new(),
            operators: Vec::new(),
            open_requests: BTreeMap::new(),
            history: Vec::new(),
            decisions: Vec::new(),
            mutation: None,
            load_until: 0,
            newest_acknowledged: types::ConfigurationVersion(0),
            pending_losses: Vec::new(),
            processing: Processing::default(),
            max_liveness_wait: 0,
            failures: Vec::new(),
            handled_events: 0,
            queue: BinaryHeap::new(),
            order: 0,
            next_ticket: 0,
        }
    }

    /// Puts an event into the queue at the virtual time `at`, or now if that has passed.
    pub fn schedule(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.queue.push(Scheduled {
            at: at.max(self.now),
            order: self.order,
            event,
        });
    }

    /// Puts an event into the queue after `delay`.
    pub fn schedule_in(&mut self, delay: Micros, event: Event) {
        self.schedule(self.now + delay, event);
    }

    /// Appends an observation to the history.
    pub fn observe(&mut self, observer: impl Into<String>, event: checker::Event) {
        self.history.push(Observation {
            at: Milliseconds(self.now / 1_000),
            observer: observer.into(),
            event,
        });
    }

    /// Handles the next event. Returns false, and advances the time to `until`, if there is
    /// none up to `until`.
    pub fn step(&mut self, until: Micros) -> bool {
        match self.queue.peek() {
            Some(next) if next.at <= until => {}
            _ => {
                self.now = self.now.max(until);
                return false;
            }
        }
        let Some(next) = self.queue.pop() else {
            return false;
        };
        self.now = next.at;
        self.handled_events += 1;
        self.handle(next.event);
        true
    }

    fn handle(&mut self, event: Event) {
        if let Some(machine) = self.frozen_machine(&event) {
            self.machines[machine.0].deferred.push(event);
            return;
        }
        match event {
            Event::Tick(process, incarnation) => self.tick(process, incarnation),
            Event::Message(process, envelope) => self.message_arrives(process, envelope),
            Event::Resume(process, incarnation) => self.resume(process, incarnation),
            Event::DiskDone(process, incarnation) => self.disk_done(process, incarnation),
            Event::Start(process, disk) => self.start_process(process, disk),
            Event::GracePeriodEnded(process, incarnation) => {
                self.grace_period_ended(process, incarnation);
            }
            Event::Unfreeze(machine) => self.unfreeze(machine),
            Event::Fault(fault) => self.apply_fault(fault),
            Event::AwaitRepair {
                fault,
                after,
                until,
            } => self.await_repair(fault, after, until),
            Event::Heal => self.heal(),
            Event::BurstEnded(caller) => self.callers[caller].load_factor = 1,
            other => self.handle_host_event(other),
        }
    }

    /// Handles an event of runners, callers, operators or HTTP requests.
    fn handle_host_event(&mut self, event: Event) {
        match event {
            Event::RunnerTick(..)
            | Event::RunnerHeartbeat(..)
            | Event::HeartbeatArrives(..)
            | Event::HeartbeatAnswered(..)
            | Event::OrderArrives(..)
            | Event::OrderAnswered(..)
            | Event::StartRunner(_)
            | Event::RunnerHealthy(..) => self.handle_runner_event(event),
            other => self.handle_http_event(other),
        }
    }

    fn frozen_machine(&self, event: &Event) -> Option<MachineIndex> {
        let machine = match (event.process(), event.runner()) {
            (Some(process), _) => self.processes[process.0].machine,
            (None, Some(runner)) => self.runners[runner].machine,
            (None, None) => return None,
        };
        self.machines[machine.0]
            .is_frozen(self.now)
            .then_some(machine)
    }

    /// Ends the freeze of a machine, unless a later freeze is in force, and reschedules the
    /// deferred events for now, in their order.
    fn unfreeze(&mut self, machine: MachineIndex) {
        if self.machines[machine.0].is_frozen(self.now) {
            return;
        }
        self.machines[machine.0].frozen_until = None;
        self.observe_unfreeze(machine);
        for event in std::mem::take(&mut self.machines[machine.0].deferred) {
            self.schedule_in(0, event);
        }
    }

    fn observe_unfreeze(&mut self, machine: MachineIndex) {
        let host = self.runners.iter().find(|host| host.machine == machine);
        if let Some(id) = host.map(|host| host.id().clone()) {
            let observed = checker::Event::RunnerWoke { runner: id.clone() };
            self.observe(id.as_str(), observed);
        }
    }

    /// Returns the readings of both clocks of a process's machine.
    pub fn clock_of(&self, process: ProcessIndex) -> Now {
        let machine = self.processes[process.0].machine;
        self.machines[machine.0].clock(self.now)
    }

    fn tick(&mut self, process: ProcessIndex, incarnation: Incarnation) {
        let stale = self.processes[process.0].incarnation != incarnation;
        if stale || !self.is_due(self.processes[process.0].timer) {
            return;
        }
        if self.is_busy(process) {
            return self.schedule_in(BUSY_RETRY_MICROS, Event::Tick(process, incarnation));
        }
        self.processes[process.0].timer = None;
        self.input(process, Input::Tick);
    }

    /// Returns whether a timer is due. The event of a timer that was set again for a later
    /// time is dropped.
    pub(crate) fn is_due(&self, timer: Option<Micros>) -> bool {
        timer.is_some_and(|at| at <= self.now)
    }

    /// Passes an input to a daemon and applies the effects.
    pub fn input(&mut self, process: ProcessIndex, input: Input) {
        let now = self.clock_of(process);
        let effects = self.processes[process.0].handle(now, input);
        self.after_step(process, 1, effects);
    }

    /// Passes several inputs to a coordinator in one step and applies the effects.
    pub(crate) fn inputs(&mut self, process: ProcessIndex, inputs: Vec<Input>) {
        let now = self.clock_of(process);
        let count = inputs.len();
        let effects = self.processes[process.0].handle_all(now, inputs);
        self.after_step(process, count, effects);
    }

    fn after_step(&mut self, process: ProcessIndex, inputs: usize, effects: Vec<Effect>) {
        self.charge(process, inputs);
        for effect in effects {
            self.apply_effect(process, effect);
        }
        self.set_timer(process);
    }

    fn apply_effect(&mut self, process: ProcessIndex, effect: Effect) {
        match effect {
            Effect::Send(to, message) => self.send(process, to, message),
            Effect::Write(write) => self.begin_write(process, write),
            Effect::Deliver(order) => self.deliver_order(process, order),
            Effect::Respond(ticket, result) => self.respond(process, ticket, result),
            Effect::Decision(entry) => {
                let at = Milliseconds(self.now / 1_000);
                self.decisions.push(TimedDecision { at, entry: *entry });
            }
            Effect::Stopped => self.processes[process.0].kill(&mut self.random, false),
        }
    }

    fn begin_write(&mut self, process: ProcessIndex, write: Write) {
        let incarnation = self.processes[process.0].incarnation;
        let idle = self.processes[process.0].writes.is_empty();
        let confirmation = match &write {
            Write::Batch { number, .. } => Input::Persisted(*number),
            Write::Identity(_) => Input::IdentitySaved,
        };
        self.processes[process.0].writes.push_back(write);
        if self.mutation == Some(Mutation::AcknowledgeBeforeSync) {
            self.schedule_in(UNSYNCED_DELAY_MICROS, Event::DiskDone(process, incarnation));
            self.input(process, confirmation);
        } else if idle {
            self.schedule_sync(process, incarnation);
        }
    }

    fn schedule_sync(&mut self, process: ProcessIndex, incarnation: Incarnation) {
        let delay = self
            .random
            .random_range(SYNC_DURATION_MICROS.0..=SYNC_DURATION_MICROS.1);
        self.schedule_in(delay, Event::DiskDone(process, incarnation));
    }

    fn disk_done(&mut self, process: ProcessIndex, incarnation: Incarnation) {
        if self.processes[process.0].incarnation != incarnation {
            return;
        }
        if self.is_busy(process) {
            return self.schedule_in(BUSY_RETRY_MICROS, Event::DiskDone(process, incarnation));
        }
        match self.processes[process.0].finish_write() {
            None => {}
            Some(Ok(_)) if self.mutation == Some(Mutation::AcknowledgeBeforeSync) => {}
            Some(Ok(input)) => {
                if !self.processes[process.0].writes.is_empty() {
                    self.schedule_sync(process, incarnation);
                }
                self.input(process, input);
            }
            Some(Err(error)) => self.record_failure(process, &error.to_string()),
        }
    }

    fn record_failure(&mut self, process: ProcessIndex, problem: &str) {
        let machine = self.processes[process.0].machine;
        let name = self.machines[machine.0].name.clone();
        self.failures.push(format!("{name}: {problem}"));
        self.processes[process.0].kill(&mut self.random, false);
    }

    /// Sends a message over the network; one to an unknown socket is dropped.
    fn send(&mut self, from: ProcessIndex, to: SocketAddr, body: PeerMessage) {
        let Some(receiver) = self.sockets.get(&to).copied() else {
            return;
        };
        let source = self.processes[from.0].machine;
        let target = self.processes[receiver.0].machine;
        let same_zone = self.machines[source.0].zone == self.machines[target.0].zone;
        let delays = self
            .network
            .deliveries(&mut self.random, self.now, source, target, same_zone);
        let address = self.processes[from.0].address.clone();
        for delay in delays {
            let envelope = Envelope {
                from: address.clone(),
                via: None,
                body: body.clone(),
            };
            self.schedule_in(delay, Event::Message(receiver, envelope));
        }
    }

    fn set_timer(&mut self, process: ProcessIndex) {
        let Some(wakeup) = self.processes[process.0].next_wakeup() else {
            return;
        };
        let machine = self.processes[process.0].machine;
        let wakeup = self.machines[machine.0].virtual_time_of(wakeup);
        let at = wakeup.max(self.now + MIN_TIMER_MICROS);
        let earlier = self.processes[process.0]
            .timer
            .is_none_or(|timer| at < timer);
        if earlier {
            self.processes[process.0].timer = Some(at);
            let incarnation = self.processes[process.0].incarnation;
            self.schedule(at, Event::Tick(process, incarnation));
        }
    }

    /// Starts a daemon, unless it is up or was replaced.
    pub fn start_process(&mut self, process: ProcessIndex, disk: DiskState) {
        if self.processes[process.0].is_up() || self.processes[process.0].retired {
            return;
        }
        let now = self.clock_of(process);
        let node = NodeId(self.random.random_range(1..u64::MAX));
        let seed = self.random.random();
        if let Err(error) = self.processes[process.0].start(now, node, seed, disk) {
            self.record_failure(process, &error.to_string());
            return;
        }
        self.input(process, Input::Tick);
    }

    /// Kills a daemon. With `power_loss` its disk loses the unsynced writes.
    pub fn kill_process(&mut self, process: ProcessIndex, power_loss: bool) {
        self.processes[process.0].kill(&mut self.random, power_loss);
    }

    fn grace_period_ended(&mut self, process: ProcessIndex, incarnation: Incarnation) {
        if self.processes[process.0].incarnation == incarnation {
            self.kill_process(process, false);
        }
    }

    /// Registers an open HTTP request and returns its ticket.
    pub fn new_ticket(&mut self, request: OpenRequest) -> TicketId {
        self.next_ticket += 1;
        let ticket = TicketId(self.next_ticket);
        self.open_requests.insert(ticket, request);
        ticket
    }
}
