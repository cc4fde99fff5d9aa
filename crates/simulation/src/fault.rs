//! Injection of the planned faults, and their end.

use crate::cluster::SimulatedCluster;
use crate::event::Event;
use crate::ids::{DiskState, MachineIndex, Micros, ProcessIndex};
use crate::network::{LossyLinks, NetworkConditions};
use crate::plan::{Acknowledgement, Behaviour, Fault, MAX_REPAIR_MS};
use crate::process::{Core, Input, Process};
use crate::runner::OrderFaults;
use checker::Event as HistoryEvent;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use types::{Role, RunnerId};

/// Time between the stop signal to a daemon and its kill.
const GRACE_PERIOD_MICROS: Micros = 5_000_000;
/// Time between the start of a runner's draining and its stop.
const DRAIN_PERIOD_MICROS: Micros = 8_000_000;
/// Interval at which the cluster's health is checked before a second loss.
const REPAIR_CHECK_INTERVAL_MICROS: Micros = 100_000;
/// Port on which all daemons listen for peers.
pub const PEER_PORT: u16 = 7_000;

impl SimulatedCluster {
    /// Injects a planned fault.
    pub(crate) fn apply_fault(&mut self, fault: Fault) {
        let what = format!("{fault:?}");
        self.observe("fault", HistoryEvent::Fault { what });
        match fault {
            Fault::Kill { machine, down_ms } => {
                self.kill_and_restart(&machine, down_ms, DiskState::Retained);
            }
            Fault::LoseDisk { machine, down_ms } => {
                self.kill_and_restart(&machine, down_ms, DiskState::Empty);
            }
            Fault::Stop { machine, down_ms } => self.stop_and_restart(&machine, down_ms),
            Fault::KillCoordinators { down_ms } => self.kill_coordinators(down_ms, false),
            Fault::PowerLoss { down_ms } => self.kill_coordinators(down_ms, true),
            loss @ Fault::LoseAtAcknowledgement { .. } => self.pending_losses.push(loss),
            Fault::Replace { machine, down_ms } => self.replace(&machine, down_ms),
            Fault::KillOnceRepaired {
                machine,
                after_ms,
                down_ms,
                loses_disk,
            } => {
                let fault = if loses_disk {
                    Fault::LoseDisk { machine, down_ms }
                } else {
                    Fault::Kill { machine, down_ms }
                };
                let until = self.now + MAX_REPAIR_MS * 1_000;
                self.await_repair(fault, after_ms * 1_000, until);
            }
            Fault::KillRunner { machine, down_ms } => {
                if let Some(runner) = self.runner_on(&machine) {
                    self.kill_runner(runner);
                    self.schedule_in(down_ms * 1_000, Event::StartRunner(runner));
                }
            }
            Fault::DrainRunner { machine, down_ms } => self.drain_runner(&machine, down_ms),
            Fault::Misbehave {
                machine,
                behaviour,
                for_ms,
            } => self.misbehave(&machine, behaviour, for_ms),
            other => self.apply_network_fault(other),
        }
    }

    fn apply_network_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Freeze { machine, for_ms } => self.freeze(&machine, for_ms),
            Fault::Cut { machine, for_ms } => self.partition(&[machine], for_ms),
            Fault::Split { machines, for_ms } => self.partition(&machines, for_ms),
            Fault::CutOneWay { from, to, for_ms } => {
                if let (Some(from), Some(to)) = (self.machine_named(&from), self.machine_named(&to))
                {
                    self.network.partition(from, to, self.now + for_ms * 1_000);
                }
            }
            Fault::Weather {
                loss_per_thousand,
                double_per_thousand,
                delay_ms,
                for_ms,
            } => {
                let conditions = NetworkConditions {
                    loss_per_thousand,
                    double_per_thousand,
                    delay_ms,
                };
                self.network
                    .set_conditions(conditions, self.now + for_ms * 1_000);
            }
            Fault::LossyLinks {
                machine,
                lost_per_thousand,
                wait_ms,
                for_ms,
            } => {
                if let Some(machine) = self.machine_named(&machine) {
                    let links = LossyLinks {
                        lost_per_thousand,
                        wait_ms,
                        until: self.now + for_ms * 1_000,
                    };
                    self.network.set_lossy(machine, links);
                }
            }
            Fault::LateOrders {
                machine,
                delay_ms,
                loss_per_thousand,
                for_ms,
            } => {
                if let Some(runner) = self.runner_on(&machine) {
                    self.runners[runner].order_faults = OrderFaults {
                        delay_ms,
                        loss_per_thousand,
                        until: self.now + for_ms * 1_000,
                    };
                }
            }
            Fault::ClockStep { machine, by_ms } => {
                if let Some(machine) = self.machine_named(&machine) {
                    self.machines[machine.0].wall_offset_ms += by_ms;
                }
            }
            other => self.apply_client_fault(other),
        }
    }

    fn apply_client_fault(&mut self, fault: Fault) {
        match fault {
            Fault::RaceOperators => {
                for operator in &mut self.operators {
                    operator.pending_changes += 1;
                }
            }
            Fault::ConfigurationStorm { count } => {
                if let Some(operator) = self.operators.first_mut() {
                    operator.pending_changes += count;
                }
            }
            Fault::InvalidConfiguration => {
                if let Some(operator) = self.operators.last_mut() {
                    operator.pending_invalid += 1;
                }
            }
            Fault::CancelBatch { count } => self.cancel_random_jobs(count),
            Fault::Burst {
                caller,
                times,
                for_ms,
            } => {
                if let Some(host) = self.callers.get_mut(caller) {
                    host.load_factor = times;
                    self.schedule_in(for_ms * 1_000, Event::BurstEnded(caller));
                }
            }
            _ => {}
        }
    }

    /// Returns the machine with this name; `None` if there is none.
    pub fn machine_named(&self, name: &str) -> Option<MachineIndex> {
        self.machines
            .iter()
            .position(|machine| machine.name == name)
            .map(MachineIndex)
    }

    /// Returns the daemon on the machine with this name, without replaced ones.
    fn process_on(&self, name: &str) -> Option<ProcessIndex> {
        let machine = self.machine_named(name)?;
        self.processes
            .iter()
            .position(|process| process.machine == machine && !process.retired)
            .map(ProcessIndex)
    }

    fn runner_on(&self, name: &str) -> Option<usize> {
        let machine = self.machine_named(name)?;
        self.runners
            .iter()
            .position(|runner| runner.machine == machine)
    }

    fn kill_and_restart(&mut self, machine: &str, down_ms: u64, disk: DiskState) {
        let Some(process) = self.process_on(machine) else {
            return;
        };
        self.kill_process(process, false);
        self.schedule_in(down_ms * 1_000, Event::Start(process, disk));
        if disk == DiskState::Empty {
            self.processes[process.0].disk = crate::process::DiskSlot::None;
        }
    }

    fn stop_and_restart(&mut self, machine: &str, down_ms: u64) {
        let Some(process) = self.process_on(machine) else {
            return;
        };
        let incarnation = self.processes[process.0].incarnation;
        self.input(process, Input::Stop);
        self.schedule_in(
            GRACE_PERIOD_MICROS,
            Event::GracePeriodEnded(process, incarnation),
        );
        let restart_delay = GRACE_PERIOD_MICROS + down_ms * 1_000;
        self.schedule_in(restart_delay, Event::Start(process, DiskState::Retained));
    }

    fn kill_coordinators(&mut self, down_ms: u64, power_loss: bool) {
        for position in 0..self.processes.len() {
            let process = ProcessIndex(position);
            let is_coordinator = self.processes[position].role() == Role::Coordinator;
            if is_coordinator && !self.processes[position].retired {
                self.kill_process(process, power_loss);
                let stagger = u64::try_from(position).unwrap_or(0) * 40_000;
                let restart_delay = down_ms * 1_000 + stagger;
                self.schedule_in(restart_delay, Event::Start(process, DiskState::Retained));
            }
        }
    }

    /// Injects the first planned loss that this kind of acknowledgement triggers.
    pub(crate) fn trigger_loss(&mut self, kind: Acknowledgement) {
        let is_triggered =
            |fault: &Fault| matches!(fault, Fault::LoseAtAcknowledgement { of, .. } if *of == kind);
        let Some(position) = self.pending_losses.iter().position(is_triggered) else {
            return;
        };
        if let Fault::LoseAtAcknowledgement {
            machines, down_ms, ..
        } = self.pending_losses.remove(position)
        {
            let what = format!("{kind:?} acknowledged: {machines:?} lose disks, the rest power");
            self.observe("fault", HistoryEvent::Fault { what });
            self.kill_coordinators(down_ms, true);
            for machine in machines {
                self.kill_and_restart(&machine, down_ms, DiskState::Empty);
            }
        }
    }

    /// Injects a fault `after` the cluster is healthy, provided that it is healthy before
    /// `until`.
    pub(crate) fn await_repair(&mut self, fault: Fault, after: Micros, until: Micros) {
        if self.is_healthy() {
            self.schedule_in(after, Event::Fault(fault));
        } else if self.now < until {
            let event = Event::AwaitRepair {
                fault,
                after,
                until,
            };
            self.schedule_in(REPAIR_CHECK_INTERVAL_MICROS, event);
        }
    }

    /// Returns whether a leader serves, all voters are up, and every coordinator is a voter.
    fn is_healthy(&self) -> bool {
        let expected = self.coordinators().count();
        let is_up = |node| {
            self.coordinators()
                .any(|process| process.is_up() && process.address.node == node)
        };
        self.coordinators().any(|process| {
            let Some(Core::Coordinator(core)) = &process.core else {
                return false;
            };
            let now = self.machines[process.machine.0].clock(self.now);
            let voters = core.status(now).map(|status| status.membership.voters);
            let voters = voters.unwrap_or_default();
            core.is_serving(now)
                && voters.len() == expected
                && voters.keys().all(|voter| is_up(*voter))
        })
    }

    /// Lists the coordinators, without replaced ones.
    fn coordinators(&self) -> impl Iterator<Item = &Process> {
        let all = self.processes.iter();
        all.filter(|process| process.role() == Role::Coordinator && !process.retired)
    }

    /// Replaces a coordinator by one with an empty disk and a new address, on a new machine
    /// in the same zone. The new machine takes over the name.
    fn replace(&mut self, name: &str, down_ms: u64) {
        let (Some(process), Some(machine)) = (self.process_on(name), self.machine_named(name))
        else {
            return;
        };
        self.kill_process(process, false);
        self.processes[process.0].retired = true;
        let new_machine = crate::machine::Machine {
            name: name.to_owned(),
            zone: self.machines[machine.0].zone.clone(),
            monotonic_start_ms: 5_000,
            wall_offset_ms: 0,
            frozen_until: None,
            deferred: Vec::new(),
        };
        let position = self.machines.len();
        self.machines[machine.0].name = format!("{name}-retired-{position}");
        self.machines.push(new_machine);
        let socket = socket_of(position);
        let replacement = self.processes[process.0].successor(MachineIndex(position), socket);
        let index = ProcessIndex(self.processes.len());
        self.processes.push(replacement);
        self.sockets.insert(socket, index);
        self.schedule_in(down_ms * 1_000, Event::Start(index, DiskState::Empty));
    }

    fn freeze(&mut self, name: &str, for_ms: u64) {
        if let Some(machine) = self.machine_named(name) {
            let until = self.now + for_ms * 1_000;
            self.machines[machine.0].frozen_until = Some(until);
            self.schedule(until, Event::Unfreeze(machine));
            if let Some(runner) = self.runner_on(name) {
                let id = self.runners[runner].id().clone();
                self.observe(
                    id.as_str(),
                    HistoryEvent::RunnerFrozen { runner: id.clone() },
                );
            }
        }
    }

    fn partition(&mut self, names: &[String], for_ms: u64) {
        let until = self.now + for_ms * 1_000;
        let group: Vec<MachineIndex> = names
            .iter()
            .filter_map(|name| self.machine_named(name))
            .collect();
        for position in 0..self.machines.len() {
            let other = MachineIndex(position);
            if group.contains(&other) {
                continue;
            }
            for machine in &group {
                self.network.partition(*machine, other, until);
                self.network.partition(other, *machine, until);
            }
        }
    }

    fn drain_runner(&mut self, name: &str, down_ms: u64) {
        let Some(runner) = self.runner_on(name) else {
            return;
        };
        let Some(emulated) = &mut self.runners[runner].runner else {
            return;
        };
        emulated.drain();
        let id: RunnerId = self.runners[runner].id().clone();
        self.observe(
            id.as_str(),
            HistoryEvent::RunnerDraining { runner: id.clone() },
        );
        self.schedule_in(
            DRAIN_PERIOD_MICROS,
            Event::Fault(Fault::KillRunner {
                machine: name.to_owned(),
                down_ms,
            }),
        );
    }

    fn misbehave(&mut self, name: &str, behaviour: Behaviour, for_ms: u64) {
        use emulator::runner::Behaviour as EmulatedBehaviour;
        let Some(runner) = self.runner_on(name) else {
            return;
        };
        let incarnation = self.runners[runner].incarnation;
        let behaviour = match behaviour {
            Behaviour::FailsHalf => EmulatedBehaviour::Failing { per_thousand: 500 },
            Behaviour::FailsAll => EmulatedBehaviour::Failing {
                per_thousand: 1_000,
            },
            Behaviour::Slow => EmulatedBehaviour::Slow { times: 4 },
            Behaviour::Stuck => EmulatedBehaviour::Stuck,
        };
        if let Some(emulated) = &mut self.runners[runner].runner {
            emulated.behave(behaviour);
            self.schedule_in(for_ms * 1_000, Event::RunnerHealthy(runner, incarnation));
        }
    }

    /// Ends all faults in force and restarts all daemons and runners that are down.
    pub(crate) fn heal(&mut self) {
        self.network.heal();
        for position in 0..self.machines.len() {
            if self.machines[position].frozen_until.is_some() {
                self.machines[position].frozen_until = Some(self.now);
                self.schedule_in(0, Event::Unfreeze(MachineIndex(position)));
            }
        }
        for position in 0..self.processes.len() {
            let process = ProcessIndex(position);
            if !self.processes[position].is_up() {
                self.start_process(process, DiskState::Retained);
            }
        }
        for runner in 0..self.runners.len() {
            self.runners[runner].order_faults = OrderFaults::default();
            self.start_runner(runner);
            if let Some(emulated) = &mut self.runners[runner].runner {
                emulated.behave(emulator::runner::Behaviour::Healthy);
            }
        }
        self.observe("fault", HistoryEvent::Healed);
    }
}

/// Returns the peer socket of the machine with this index.
pub fn socket_of(machine: usize) -> SocketAddr {
    let high = u8::try_from(machine / 250).unwrap_or(u8::MAX);
    let low = u8::try_from(machine % 250).unwrap_or(u8::MAX) + 1;
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), PEER_PORT)
}
