//! The cluster: machines, processes, network, and the queue of events.

use crate::Mutation;
use crate::caller::{CallerHost, Waiting};
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

/// Least time between two timers of one daemon.
const LEAST_TIMER_MICROS: Micros = 1_000;
/// Time one sync of a coordinator's disk takes.
const SYNC_MICROS: (Micros, Micros) = (300, 1_500);
/// Time after which a daemon at work is looked at again.
const BUSY_MICROS: Micros = 500;
/// Time an unsynced write waits when disks lie about their syncs.
const UNSYNCED_MICROS: Micros = 2_000_000;

/// All state of one run.
pub struct SimulatedCluster {
    /// Virtual time.
    pub now: Micros,
    /// Every draw of the run.
    pub random: ChaCha8Rng,
    /// Cuts and weather.
    pub network: Network,
    /// Machines.
    pub machines: Vec<Machine>,
    /// Daemons.
    pub processes: Vec<Process>,
    /// Who listens where.
    pub sockets: BTreeMap<SocketAddr, ProcessIndex>,
    /// Gateways, in order of their names.
    pub gateways: Vec<ProcessIndex>,
    /// Runners, one a side machine.
    pub runners: Vec<RunnerHost>,
    /// Callers.
    pub callers: Vec<CallerHost>,
    /// Operators.
    pub operators: Vec<OperatorHost>,
    /// Who waits for which HTTP answer.
    pub waiting: BTreeMap<TicketId, Waiting>,
    /// What was seen.
    pub history: Vec<Observation>,
    /// The decision log of all leaders.
    pub decisions: Vec<TimedDecision>,
    /// The mechanism turned off in this run.
    pub mutation: Option<Mutation>,
    /// When callers stop sending new jobs.
    pub load_until: Micros,
    /// Newest configuration acknowledged to any operator.
    pub newest_acknowledged: types::ConfigurationVersion,
    /// What the work of coordinators costs.
    pub processing: Processing,
    /// Longest wait of a liveness message for a coordinator at work.
    pub(crate) max_liveness_wait: Micros,
    /// Losses that wait for an acknowledgement.
    pub armed: Vec<Fault>,
    /// A daemon that could not go on, and why.
    pub broken: Vec<String>,
    /// Events handled.
    pub handled: u64,
    queue: BinaryHeap<Scheduled>,
    order: u64,
    next_ticket: u64,
}

/// A line of a leader's decision log, by the observer's clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedDecision {
    /// Observer's clock since the start of the run.
    pub at: Milliseconds,
    /// The line.
    pub entry: DecisionEntry,
}

impl SimulatedCluster {
    /// An empty cluster.
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
            waiting: BTreeMap::new(),
            history: Vec::new(),
            decisions: Vec::new(),
            mutation: None,
            load_until: 0,
            newest_acknowledged: types::ConfigurationVersion(0),
            armed: Vec::new(),
            processing: Processing::default(),
            max_liveness_wait: 0,
            broken: Vec::new(),
            handled: 0,
            queue: BinaryHeap::new(),
            order: 0,
            next_ticket: 0,
        }
    }

    /// Puts an event into the queue.
    pub fn schedule(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.queue.push(Scheduled {
            at: at.max(self.now),
            order: self.order,
            event,
        });
    }

    /// Puts an event into the queue, `delay` from now.
    pub fn schedule_in(&mut self, delay: Micros, event: Event) {
        self.schedule(self.now + delay, event);
    }

    /// Writes down what was seen.
    pub fn observe(&mut self, observer: impl Into<String>, event: checker::Event) {
        self.history.push(Observation {
            at: Milliseconds(self.now / 1_000),
            observer: observer.into(),
            event,
        });
    }

    /// Handles one event; false when there is none before `until`.
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
        self.handled += 1;
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
            Event::GraceOver(process, incarnation) => self.grace_over(process, incarnation),
            Event::Wake(machine) => self.wake(machine),
            Event::Fault(fault) => self.apply_fault(fault),
            Event::AwaitRepair {
                fault,
                after,
                until,
            } => self.await_repair(fault, after, until),
            Event::Heal => self.heal(),
            Event::BurstOver(caller) => self.callers[caller].times = 1,
            other => self.handle_outside(other),
        }
    }

    fn handle_outside(&mut self, event: Event) {
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

    /// What was held while a machine was frozen happens in order, at once.
    fn wake(&mut self, machine: MachineIndex) {
        if self.machines[machine.0].is_frozen(self.now) {
            return;
        }
        self.machines[machine.0].frozen_until = None;
        self.observe_wake(machine);
        for event in std::mem::take(&mut self.machines[machine.0].deferred) {
            self.schedule_in(0, event);
        }
    }

    fn observe_wake(&mut self, machine: MachineIndex) {
        let host = self.runners.iter().find(|host| host.machine == machine);
        if let Some(id) = host.map(|host| host.id().clone()) {
            let seen = checker::Event::RunnerWoke { runner: id.clone() };
            self.observe(id.as_str(), seen);
        }
    }

    /// Both clocks of the machine a process stands on.
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
            return self.schedule_in(BUSY_MICROS, Event::Tick(process, incarnation));
        }
        self.processes[process.0].timer = None;
        self.input(process, Input::Tick);
    }

    /// Returns whether a timer's moment has come. An event of a timer that was set
    /// anew for another moment is dropped.
    pub(crate) fn is_due(&self, timer: Option<Micros>) -> bool {
        timer.is_some_and(|at| at <= self.now)
    }

    /// Gives an input to a daemon and carries out what it wants done.
    pub fn input(&mut self, process: ProcessIndex, input: Input) {
        let now = self.clock_of(process);
        let effects = self.processes[process.0].handle(now, input);
        self.after_step(process, 1, effects);
    }

    /// The same with inputs that are there together.
    pub(crate) fn inputs(&mut self, process: ProcessIndex, inputs: Vec<Input>) {
        let now = self.clock_of(process);
        let count = inputs.len();
        let effects = self.processes[process.0].handle_all(now, inputs);
        self.after_step(process, count, effects);
    }

    fn after_step(&mut self, process: ProcessIndex, inputs: usize, effects: Vec<Effect>) {
        self.charge(process, inputs);
        for effect in effects {
            self.carry_out(process, effect);
        }
        self.set_timer(process);
    }

    fn carry_out(&mut self, process: ProcessIndex, effect: Effect) {
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
        let early = match &write {
            Write::Batch { number, .. } => Input::Persisted(*number),
            Write::Identity(_) => Input::IdentitySaved,
        };
        self.processes[process.0].writes.push_back(write);
        if self.mutation == Some(Mutation::AcknowledgeBeforeSync) {
            self.schedule_in(UNSYNCED_MICROS, Event::DiskDone(process, incarnation));
            self.input(process, early);
        } else if idle {
            self.schedule_sync(process, incarnation);
        }
    }

    fn schedule_sync(&mut self, process: ProcessIndex, incarnation: Incarnation) {
        let delay = self.random.random_range(SYNC_MICROS.0..=SYNC_MICROS.1);
        self.schedule_in(delay, Event::DiskDone(process, incarnation));
    }

    fn disk_done(&mut self, process: ProcessIndex, incarnation: Incarnation) {
        if self.processes[process.0].incarnation != incarnation {
            return;
        }
        if self.is_busy(process) {
            return self.schedule_in(BUSY_MICROS, Event::DiskDone(process, incarnation));
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
            Some(Err(error)) => self.report_broken(process, &error.to_string()),
        }
    }

    fn report_broken(&mut self, process: ProcessIndex, problem: &str) {
        let machine = self.processes[process.0].machine;
        let name = self.machines[machine.0].name.clone();
        self.broken.push(format!("{name}: {problem}"));
        self.processes[process.0].kill(&mut self.random, false);
    }

    /// Sends a message over the network.
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
        let wanted = self.machines[machine.0].when(wakeup);
        let at = wanted.max(self.now + LEAST_TIMER_MICROS);
        let earlier = self.processes[process.0]
            .timer
            .is_none_or(|timer| at < timer);
        if earlier {
            self.processes[process.0].timer = Some(at);
            let incarnation = self.processes[process.0].incarnation;
            self.schedule(at, Event::Tick(process, incarnation));
        }
    }

    /// Starts a daemon that is down.
    pub fn start_process(&mut self, process: ProcessIndex, disk: DiskState) {
        if self.processes[process.0].is_up() || self.processes[process.0].retired {
            return;
        }
        let now = self.clock_of(process);
        let node = NodeId(self.random.random_range(1..u64::MAX));
        let seed = self.random.random();
        if let Err(error) = self.processes[process.0].start(now, node, seed, disk) {
            self.report_broken(process, &error.to_string());
            return;
        }
        self.input(process, Input::Tick);
    }

    /// Kills a daemon.
    pub fn kill_process(&mut self, process: ProcessIndex, power_loss: bool) {
        self.processes[process.0].kill(&mut self.random, power_loss);
    }

    fn grace_over(&mut self, process: ProcessIndex, incarnation: Incarnation) {
        if self.processes[process.0].incarnation == incarnation {
            self.kill_process(process, false);
        }
    }

    /// A new number for an HTTP request.
    pub fn new_ticket(&mut self, waiting: Waiting) -> TicketId {
        self.next_ticket += 1;
        let ticket = TicketId(self.next_ticket);
        self.waiting.insert(ticket, waiting);
        ticket
    }
}
