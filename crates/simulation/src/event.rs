//! Events of the simulation and their order in the event queue.

use crate::ids::{DiskState, Incarnation, MachineIndex, Micros, ProcessIndex};
use crate::plan::Fault;
use agent::HeartbeatAnswer;
use gateway::TicketId;
use std::cmp::Ordering;
use transport::{Envelope, Operation, OperationReply, Rejection};
use types::{Milliseconds, OrderAnswer, RunnerOrder, RunnerReport};

/// An event at a point of virtual time.
#[derive(Debug, Clone)]
pub enum Event {
    /// The timer of a daemon fires.
    Tick(ProcessIndex, Incarnation),
    /// A coordinator ends a step and takes the messages that arrived during it.
    Resume(ProcessIndex, Incarnation),
    /// A message reaches a daemon.
    Message(ProcessIndex, Envelope),
    /// A coordinator's disk has finished its oldest write.
    DiskDone(ProcessIndex, Incarnation),
    /// A daemon is started, with the disk that it had or with an empty one.
    Start(ProcessIndex, DiskState),
    /// The grace period of a stopped daemon ends; the daemon is killed if it still runs.
    GracePeriodEnded(ProcessIndex, Incarnation),
    /// The timer of a runner fires.
    RunnerTick(usize, Incarnation),
    /// A runner sends a heartbeat.
    RunnerHeartbeat(usize, Incarnation),
    /// A heartbeat reaches an agent.
    HeartbeatArrives(usize, Incarnation, RunnerReport),
    /// The answer to a heartbeat reaches a runner.
    HeartbeatAnswered(usize, Incarnation, HeartbeatAnswer),
    /// An order reaches a runner.
    OrderArrives(usize, RunnerOrder),
    /// The answer to an order reaches an agent.
    OrderAnswered(ProcessIndex, Incarnation, RunnerOrder, OrderAnswer),
    /// A runner is started.
    StartRunner(usize),
    /// The misbehaviour of a runner ends.
    RunnerHealthy(usize, Incarnation),
    /// A caller generates a new job.
    Arrival(usize),
    /// The timer of a caller fires.
    CallerTimer(usize),
    /// An HTTP request reaches a gateway.
    RequestArrives(ProcessIndex, TicketId, Milliseconds, Operation),
    /// An HTTP answer reaches its sender.
    ResponseArrives(TicketId, Box<Result<OperationReply, Rejection>>),
    /// An HTTP request times out at its sender.
    RequestTimeout(TicketId),
    /// The timer of an operator fires.
    OperatorTimer(usize),
    /// The configuration is read at every gateway.
    ReadConfigurations,
    /// The freeze of a machine ends.
    Unfreeze(MachineIndex),
    /// A fault is injected.
    Fault(Fault),
    /// Checks whether the cluster is healthy, in order to inject a fault some time after
    /// that.
    AwaitRepair {
        /// Fault to inject.
        fault: Fault,
        /// Time between the repair and the fault.
        after: Micros,
        /// Virtual time after which the fault is dropped.
        until: Micros,
    },
    /// The burst of a caller ends.
    BurstEnded(usize),
    /// All faults end.
    Heal,
}

impl Event {
    /// Returns the daemon that handles the event; `None` if no daemon does. The event is
    /// deferred while the daemon's machine is frozen.
    pub fn process(&self) -> Option<ProcessIndex> {
        match self {
            Self::Tick(process, _)
            | Self::Resume(process, _)
            | Self::Message(process, _)
            | Self::DiskDone(process, _)
            | Self::OrderAnswered(process, ..)
            | Self::RequestArrives(process, ..) => Some(*process),
            _ => None,
        }
    }

    /// Returns the runner that handles the event; `None` if no runner does. The event is
    /// deferred while the runner's machine is frozen.
    pub fn runner(&self) -> Option<usize> {
        match self {
            Self::RunnerTick(runner, _)
            | Self::RunnerHeartbeat(runner, _)
            | Self::HeartbeatArrives(runner, ..)
            | Self::HeartbeatAnswered(runner, ..)
            | Self::OrderArrives(runner, _) => Some(*runner),
            _ => None,
        }
    }
}

/// An entry of the event queue. The queue returns events in the order of time, and those
/// of the same time in the order in which they were scheduled.
#[derive(Debug)]
pub struct Scheduled {
    /// Virtual time of the event.
    pub at: Micros,
    /// Sequence number, which orders events of the same time.
    pub order: u64,
    /// Event to handle.
    pub event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Reversed, since [`BinaryHeap`](std::collections::BinaryHeap) returns the greatest entry
/// first.
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
