//! Coordinators that take time: while one is at work, what is sent to it waits.
//!
//! The simulation charges no processor time by default. A plan may say what a scan
//! of the scheduler, an input and a step cost; then a leader can fall behind, and
//! it shows whether it catches up or loses its sessions.

use crate::cluster::SimulatedCluster;
use crate::event::Event;
use crate::ids::{Incarnation, Micros, ProcessIndex};
use crate::plan::Processing;
use crate::process::{Core, Input};
use transport::{Envelope, Lane};
use types::{Milliseconds, Role};

/// Inputs that share a step, and the wait after which a request is rejected: as
/// in the daemon's shell.
const STEP_INPUTS: usize = 64;
const MAX_REQUEST_WAIT: Micros = 300_000;

impl SimulatedCluster {
    /// Returns whether the process is at work.
    pub(crate) fn is_busy(&self, process: ProcessIndex) -> bool {
        self.processes[process.0].busy.until > self.now
    }

    /// A message for a process that may be at work.
    pub(crate) fn message_arrives(&mut self, process: ProcessIndex, envelope: Envelope) {
        if !self.is_busy(process) {
            return self.input(process, Input::Message(envelope));
        }
        let now = self.now;
        let busy = &mut self.processes[process.0].busy;
        busy.waiting.push((now, envelope));
        if busy.waiting.len() == 1 {
            self.schedule_resume(process);
        }
    }

    fn schedule_resume(&mut self, process: ProcessIndex) {
        let state = &self.processes[process.0];
        let (until, incarnation) = (state.busy.until, state.incarnation);
        self.schedule(until, Event::Resume(process, incarnation));
    }

    /// The process has done its step: it takes what has arrived meanwhile.
    pub(crate) fn resume(&mut self, process: ProcessIndex, incarnation: Incarnation) {
        let state = &mut self.processes[process.0];
        if state.incarnation != incarnation {
            state.busy.waiting.clear();
            return;
        }
        if state.busy.until > self.now {
            return self.schedule_resume(process);
        }
        let inputs = self.take_waiting(process);
        self.inputs(process, inputs);
        if !self.processes[process.0].busy.waiting.is_empty() {
            self.schedule_resume(process);
        }
    }

    fn take_waiting(&mut self, process: ProcessIndex) -> Vec<Input> {
        let now = self.now;
        let single = self.processing.single_queue;
        let waiting = &mut self.processes[process.0].busy.waiting;
        if !single {
            waiting.sort_by_key(|(_, envelope)| Lane::of(&envelope.body));
        }
        let max = if single { 1 } else { STEP_INPUTS };
        let batch = waiting.drain(..max.min(waiting.len()));
        let mut max_wait = self.max_liveness_wait;
        let inputs = batch
            .map(|(since, envelope)| {
                let waited = now - since;
                let lane = Lane::of(&envelope.body);
                if lane == Lane::Liveness {
                    max_wait = max_wait.max(waited);
                }
                let overdue = lane == Lane::Requests && waited > MAX_REQUEST_WAIT;
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

    /// Records what a step of so many inputs cost.
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
        // A new leader begins anew.
        let since = scan_cost
            .checked_sub(state.busy.scan_cost)
            .unwrap_or(scan_cost);
        state.busy.scan_cost = scan_cost;
        let inputs = u64::try_from(inputs).unwrap_or(u64::MAX);
        let cost = self.processing.cost_micros(since, inputs);
        state.busy.until = self.now + cost;
    }

    /// How long a liveness message waited at most for a coordinator at work.
    pub fn max_liveness_wait(&self) -> Milliseconds {
        Milliseconds(self.max_liveness_wait / 1_000)
    }
}
