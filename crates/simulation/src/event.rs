//! Events of the cluster's queue.

use crate::ids::{DiskState, Incarnation, MachineIndex, Micros, ProcessIndex};
use crate::plan::Fault;
use agent::HeartbeatAnswer;
use gateway::TicketId;
use std::cmp::Ordering;
use transport::{Envelope, Operation, OperationReply, Rejection};
use types::{Milliseconds, OrderAnswer, RunnerOrder, RunnerReport};

/// Something that happens at a moment.
#[derive(Debug, Clone)]
pub enum Event {
    /// A daemon's own timer.
    Tick(ProcessIndex, Incarnation),
    /// A daemon that was at work takes what has arrived meanwhile.
    Resume(ProcessIndex, Incarnation),
    /// A message reaches a daemon.
    Message(ProcessIndex, Envelope),
    /// A coordinator's disk has finished its oldest write.
    DiskDone(ProcessIndex, Incarnation),
    /// A daemon is started, with an empty disk if asked for.
    Start(ProcessIndex, DiskState),
    /// A daemon past its polite stop is killed.
    GraceOver(ProcessIndex, Incarnation),
    /// A runner's own timer.
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
    /// A runner behaves again.
    RunnerHealthy(usize, Incarnation),
    /// A caller has a new job.
    Arrival(usize),
    /// A caller has something to send.
    CallerTimer(usize),
    /// An HTTP request reaches a gateway.
    RequestArrives(ProcessIndex, TicketId, Milliseconds, Operation),
    /// An HTTP answer reaches its sender.
    ResponseArrives(TicketId, Box<Result<OperationReply, Rejection>>),
    /// The sender of an HTTP request gives up.
    RequestTimeout(TicketId),
    /// An operator looks what to do.
    OperatorTimer(usize),
    /// Configurations are read at all gateways.
    ReadConfigurations,
    /// A frozen machine wakes.
    Wake(MachineIndex),
    /// A planned fault.
    Fault(Fault),
    /// A fault that waits for a whole cluster, until the moment given.
    AwaitRepair {
        /// What to do then.
        fault: Fault,
        /// How long after the repair.
        after: Micros,
        /// When to give up.
        until: Micros,
    },
    /// The burst of a caller is over.
    BurstOver(usize),
    /// All faults are healed.
    Heal,
}

impl Event {
    /// Daemons and runners that stand still with their machine; what they are
    /// sent waits for them.
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

    /// The runner the event happens at.
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

/// An event with its moment; the queue gives them in order of time, and
/// events of one moment in the order they were scheduled.
#[derive(Debug)]
pub struct Scheduled {
    /// When.
    pub at: Micros,
    /// Order among events of one moment.
    pub order: u64,
    /// What.
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

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
