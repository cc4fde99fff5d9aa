//! Processor time of coordinators: messages to a busy coordinator are queued.
//!
//! By default a step takes no time. A plan may set the costs of a scan of the scheduler,
//! an input and a step. A leader can then be overloaded, and the simulation shows whether
//! it recovers or loses its sessions.

use crate::cluster::SimulatedCluster;
use crate::event::Event;
use crate::ids::{Incarnation, Micros, ProcessIndex};
use crate::plan::Processing;
use crate::process::{Core, Input};
use transport::{Envelope, Lane};
use types::{Milliseconds, Role};

/// Maximum number of inputs in one step, as in the daemon's shell.
const MAX_STEP_INPUTS: usize = 64;
/// Wait after which a request is rejected, as in the daemon's shell.
const MAX_REQUEST_WAIT_MICROS: Micros = 300_000;

impl SimulatedCluster {
    /// Returns whether the process is in a step.
    pub(crate) fn is_busy(&self, process: ProcessIndex) -> bool {
        self.processes[process.0].busy.until > self.now
    }

    /// Passes a message to a process, or queues it while the process is busy.
    pub(crate) fn message_arrives(&mut self, process: ProcessIndex, envelope: Envelope) {
        if !self.is_busy(process) {
            return self.input(process, Input::Message(envelope));
        }
        let now = self.now;
        let busy = &mut self.processes[process.0].busy;
        busy.queued.push((now, envelope));
        if busy.queued.len() == 1 {
            self.schedule_resume(process);
        }
    }

    fn schedule_resume(&mut self, process: ProcessIndex) {
        let state = &self.processes[process.0];
        let (until, incarnation) = (state.busy.until, state.incarnation);
        self.schedule(until, Event::Resume(process, incarnation));
    }

    /// Passes the queued messages to a process whose step has ended. Messages for an
    /// earlier incarnation are dropped.
    pub(crate) fn resume(&mut self, process: ProcessIndex, incarnation: Incarnation) {
        let state = &mut self.processes[process.0];
        if state.incarnation != incarnation {
            state.busy.queued.clear();
            return;
        }
        if state.busy.until > self.now {
            return self.schedule_resume(process);
        }
        let inputs = self.take_queued(process);
        self.inputs(process, inputs);
        if !self.processes[process.0].busy.queued.is_empty() {
            self.schedule_resume(process);
        }
    }

    fn take_queued(&mut self, process: ProcessIndex) -> Vec<Input> {
        let now = self.now;
        let single = self.processing.single_queue;
        let queued = &mut self.processes[process.0].busy.queued;
        if !single {
            queued.sort_by_key(|(_, envelope)| Lane::of(&envelope.body));
        }
        let max = if single { 1 } else { MAX_STEP_INPUTS };
        let batch = queued.drain(..max.min(queued.len()));
        let mut max_wait = self.max_liveness_wait;
        let inputs = batch
            .map(|(arrival, envelope)| {
                let waited = now - arrival;
                let lane = Lane::of(&envelope.body);
                if lane == Lane::Liveness {
                    max_wait = max_wait.max(waited);
                }
                let overdue = lane == Lane::Requests && waited > MAX_REQUEST_WAIT_MICROS;
                if overdue && !single {
                    Input::Overdue(envelope)
                } else {
                    Input::Message(envelope)
                }
            })
            .collect();
        self.max_liveness_wait = max_wait;
        inputs
    }

    /// Marks a coordinator as busy for the duration of a step with this many inputs.
    pub(crate) fn charge(&mut self, process: ProcessIndex, inputs: usize) {
        if self.processing == Processing::default() {
            return;
        }
        let state = &mut self.processes[process.0];
        if state.role() != Role::Coordinator {
            return;
        }
        let scan_cost = match &state.core {
            Some(Core::Coordinator(core)) => core.scan_cost(),
            _ => 0,
        };
        // The scan cost of a new leader counts from 0.
        let step_scan_cost = scan_cost
            .checked_sub(state.busy.scan_cost)
            .unwrap_or(scan_cost);
        state.busy.scan_cost = scan_cost;
        let inputs = u64::try_from(inputs).unwrap_or(u64::MAX);
        let cost = self.processing.cost_micros(step_scan_cost, inputs);
        state.busy.until = self.now + cost;
    }

    /// Returns the longest wait of a liveness message for a busy coordinator.
    pub fn max_liveness_wait(&self) -> Milliseconds {
        Milliseconds(self.max_liveness_wait / 1_000)
    }
}
