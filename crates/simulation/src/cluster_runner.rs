//! Runners of the cluster: heartbeats, orders and answers between a runner and its
//! agent.

use crate::cluster::SimulatedCluster;
use crate::event::Event;
use crate::ids::{Incarnation, Micros, ProcessIndex};
use crate::network::per_thousand;
use crate::process::Input;
use checker::Event as HistoryEvent;
use emulator::runner::{Behaviour, Runner, RunnerEvent, RunnerInstruction};
use rand::Rng;
use types::{Milliseconds, OrderKind, Outcome, RunnerOrder};

/// Interval of a runner's heartbeats.
pub const HEARTBEAT_INTERVAL_MICROS: Micros = 200_000;
/// Range of the delay between a runner and its agent, which are on the same machine.
const LOCAL_DELAY_MICROS: (Micros, Micros) = (50, 300);

impl SimulatedCluster {
    /// Handles an event at a runner or between a runner and its agent.
    pub(crate) fn handle_runner_event(&mut self, event: Event) {
        match event {
            Event::RunnerTick(runner, incarnation) => self.runner_timer(runner, incarnation),
            Event::RunnerHeartbeat(runner, incarnation) => {
                self.heartbeat_timer(runner, incarnation);
            }
            Event::HeartbeatArrives(runner, incarnation, report) => {
                self.heartbeat_arrives(runner, incarnation, report);
            }
            Event::HeartbeatAnswered(runner, incarnation, answer) => {
                self.heartbeat_answered(runner, incarnation, &answer);
            }
            Event::OrderArrives(runner, order) => self.order_arrives(runner, &order),
            Event::OrderAnswered(agent, incarnation, order, answer) => {
                self.order_answered(agent, incarnation, order, answer);
            }
            Event::StartRunner(runner) => self.start_runner(runner),
            Event::RunnerHealthy(runner, incarnation) => self.runner_healthy(runner, incarnation),
            _ => {}
        }
    }

    fn runner_timer(&mut self, runner: usize, incarnation: Incarnation) {
        let due = self.is_due(self.runners[runner].timer);
        if self.runners[runner].incarnation == incarnation && due {
            self.runners[runner].timer = None;
            self.tick_runner(runner);
        }
    }

    fn heartbeat_timer(&mut self, runner: usize, incarnation: Incarnation) {
        if self.runners[runner].incarnation == incarnation {
            self.send_heartbeat(runner);
            self.schedule_in(
                HEARTBEAT_INTERVAL_MICROS,
                Event::RunnerHeartbeat(runner, incarnation),
            );
        }
    }

    fn order_answered(
        &mut self,
        agent: ProcessIndex,
        incarnation: Incarnation,
        order: RunnerOrder,
        answer: types::OrderAnswer,
    ) {
        if self.processes[agent.0].incarnation == incarnation {
            self.input(agent, Input::Answered(order, answer));
        }
    }

    fn runner_healthy(&mut self, runner: usize, incarnation: Incarnation) {
        let host = &mut self.runners[runner];
        if host.incarnation == incarnation
            && let Some(emulated) = &mut host.runner
        {
            emulated.behave(Behaviour::Healthy);
        }
    }

    /// Starts a runner, unless it is up.
    pub fn start_runner(&mut self, runner: usize) {
        if self.runners[runner].runner.is_some() {
            return;
        }
        let seed = self.random.random();
        let machine = self.runners[runner].machine;
        let now = self.machines[machine.0].clock(self.now).monotonic;
        self.runners[runner].start(now, seed);
        let incarnation = self.runners[runner].incarnation;
        let first_delay = self.random.random_range(0..HEARTBEAT_INTERVAL_MICROS);
        self.schedule_in(first_delay, Event::RunnerHeartbeat(runner, incarnation));
    }

    /// Kills a runner, which ends its runs.
    pub fn kill_runner(&mut self, runner: usize) {
        if self.runners[runner].runner.is_none() {
            return;
        }
        let id = self.runners[runner].id().clone();
        for run in self.runners[runner].kill() {
            let observed = HistoryEvent::RunEnded {
                runner: id.clone(),
                run,
                outcome: Outcome::Stopped,
                lease_until: None,
            };
            self.observe(id.as_str(), observed);
        }
        self.observe(
            id.as_str(),
            HistoryEvent::RunnerStopped { runner: id.clone() },
        );
    }

    /// Returns the virtual time at which a runner's lease expires; `None` if the runner is
    /// down or has no lease.
    fn lease_until(&self, runner: usize) -> Option<Milliseconds> {
        let host = &self.runners[runner];
        let until = host.runner.as_ref()?.lease_until()?;
        let at = self.machines[host.machine.0].virtual_time_of(until);
        Some(Milliseconds(at / 1_000))
    }

    fn tick_runner(&mut self, runner: usize) {
        let machine = self.runners[runner].machine;
        let now = self.machines[machine.0].clock(self.now).monotonic;
        let Some(emulated) = &mut self.runners[runner].runner else {
            return;
        };
        let events = emulated.tick(now);
        let ended = events
            .iter()
            .any(|event| matches!(event, RunnerEvent::Ended { .. }));
        self.record_runner_events(runner, events);
        if ended {
            self.send_heartbeat(runner);
        }
        self.set_runner_timer(runner);
    }

    fn set_runner_timer(&mut self, runner: usize) {
        let host = &self.runners[runner];
        let Some(wakeup) = host.runner.as_ref().and_then(Runner::next_wakeup) else {
            return;
        };
        let machine = host.machine;
        let at = self.machines[machine.0]
            .virtual_time_of(wakeup)
            .max(self.now + 1_000);
        if host.timer.is_none_or(|timer| at < timer) {
            let incarnation = host.incarnation;
            self.runners[runner].timer = Some(at);
            self.schedule(at, Event::RunnerTick(runner, incarnation));
        }
    }

    fn local_delay(&mut self) -> Micros {
        self.random
            .random_range(LOCAL_DELAY_MICROS.0..=LOCAL_DELAY_MICROS.1)
    }

    fn send_heartbeat(&mut self, runner: usize) {
        let machine = self.runners[runner].machine;
        let now = self.machines[machine.0].clock(self.now).monotonic;
        let incarnation = self.runners[runner].incarnation;
        let Some(emulated) = &mut self.runners[runner].runner else {
            return;
        };
        let report = emulated.heartbeat(now);
        let delay = self.local_delay();
        self.schedule_in(delay, Event::HeartbeatArrives(runner, incarnation, report));
    }

    fn heartbeat_arrives(
        &mut self,
        runner: usize,
        incarnation: Incarnation,
        report: types::RunnerReport,
    ) {
        let agent = self.runners[runner].agent;
        if !self.processes[agent.0].is_up() {
            return;
        }
        let id = report.runner.clone();
        self.input(agent, Input::Heartbeat(report));
        let Some(core) = self.processes[agent.0].agent() else {
            return;
        };
        let answer = core.heartbeat_answer(&id);
        let delay = self.local_delay();
        self.schedule_in(delay, Event::HeartbeatAnswered(runner, incarnation, answer));
    }

    fn heartbeat_answered(
        &mut self,
        runner: usize,
        incarnation: Incarnation,
        answer: &agent::HeartbeatAnswer,
    ) {
        if self.runners[runner].incarnation != incarnation {
            return;
        }
        let machine = self.runners[runner].machine;
        let now = self.machines[machine.0].clock(self.now).monotonic;
        let instruction = RunnerInstruction {
            term: answer.term,
            confirmed: answer.confirmed,
            incarnation: answer.incarnation,
            lease: answer.lease,
            recorded: answer.recorded.clone(),
            stop: answer.stop.clone(),
        };
        let Some(emulated) = &mut self.runners[runner].runner else {
            return;
        };
        let events = emulated.heartbeat_answered(now, &instruction);
        self.record_runner_events(runner, events);
        self.set_runner_timer(runner);
    }

    /// Delivers an order of an agent to its runner. With order faults in force it is
    /// delayed or lost.
    pub(crate) fn deliver_order(&mut self, agent: ProcessIndex, order: RunnerOrder) {
        let position = self
            .runners
            .iter()
            .position(|host| host.agent == agent && *host.id() == order.runner);
        let Some(runner) = position else {
            return;
        };
        if let Some(delay) = self.order_delay(runner) {
            self.schedule_in(delay, Event::OrderArrives(runner, order));
        }
    }

    fn order_delay(&mut self, runner: usize) -> Option<Micros> {
        let local = self.local_delay();
        let order_faults = self.runners[runner].order_faults;
        if self.now >= order_faults.until {
            return Some(local);
        }
        if per_thousand(&mut self.random, order_faults.loss_per_thousand) {
            return None;
        }
        let extra = self.random.random_range(0..=order_faults.delay_ms * 1_000);
        Some(local + extra)
    }

    fn order_arrives(&mut self, runner: usize, order: &RunnerOrder) {
        let machine = self.runners[runner].machine;
        let now = self.machines[machine.0].clock(self.now).monotonic;
        let id = self.runners[runner].id().clone();
        if self.runners[runner].runner.is_none() {
            return;
        }
        if let OrderKind::Start { run, .. } = &order.kind {
            let observed = HistoryEvent::StartDelivered {
                runner: id.clone(),
                run: run.run,
            };
            self.observe(id.as_str(), observed);
        }
        let Some(emulated) = &mut self.runners[runner].runner else {
            return;
        };
        let (answer, events) = emulated.order(now, order);
        let rejected = matches!(answer, types::OrderAnswer::Rejected(_));
        let stale = events
            .iter()
            .any(|event| matches!(event, RunnerEvent::AcceptedStale(_)));
        if !rejected {
            let observed = HistoryEvent::OrderAccepted {
                runner: id.clone(),
                term: order.term,
                stale,
            };
            self.observe(id.as_str(), observed);
        }
        self.record_runner_events(runner, events);
        self.set_runner_timer(runner);
        if let Some(delay) = self.order_delay(runner) {
            let agent = self.runners[runner].agent;
            let incarnation = self.processes[agent.0].incarnation;
            let event = Event::OrderAnswered(agent, incarnation, order.clone(), answer);
            self.schedule_in(delay, event);
        }
    }

    fn record_runner_events(&mut self, runner: usize, events: Vec<RunnerEvent>) {
        let id = self.runners[runner].id().clone();
        let incarnation = self.runners[runner].options.incarnation;
        for event in events {
            let observed = match event {
                RunnerEvent::Started(spec) => HistoryEvent::RunStarted {
                    runner: id.clone(),
                    incarnation,
                    run: spec.run,
                    job: spec.job,
                    step: spec.step,
                    task: spec.task,
                    resources: spec.resources,
                },
                RunnerEvent::Ended { run, outcome } => HistoryEvent::RunEnded {
                    runner: id.clone(),
                    run,
                    outcome,
                    lease_until: self.lease_until(runner),
                },
                RunnerEvent::EndRecorded { run } => HistoryEvent::EndRecorded {
                    runner: id.clone(),
                    run,
                },
                RunnerEvent::AcceptedStale(_) => continue,
            };
            self.observe(id.as_str(), observed);
        }
    }
}
