//! Construction of the cluster that a plan describes.

use crate::Mutation;
use crate::caller::CallerHost;
use crate::cluster::SimulatedCluster;
use crate::event::Event;
use crate::fault::socket_of;
use crate::ids::{DiskState, Incarnation, MachineIndex, ProcessIndex};
use crate::machine::Machine;
use crate::operator::OperatorHost;
use crate::plan::{FleetSize, Plan};
use crate::process::{DiskSlot, Process, Settings};
use crate::runner::{OrderFaults, RunnerHost};
use agent::AgentOptions;
use coordinator::CoordinatorOptions;
use emulator::caller::Caller;
use emulator::runner::{Behaviour, RunnerOptions};
use emulator::workload::{Mix, RunnerTemplate, Workload, example_configuration, pool_runners};
use gateway::GatewayOptions;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::net::SocketAddr;
use types::{
    Address, ConfigurationVersion, InvalidName, Milliseconds, NodeId, Role, RunnerId,
    RunnerIncarnation, ZoneName,
};

/// Number of zones, as in the required deployment. Machines are assigned to them in turn.
pub const ZONES: usize = 3;
/// Interval of the keep-alives of gateways and agents.
const SESSION_INTERVAL: Milliseconds = Milliseconds(300);
/// Time without a keep-alive after which a session expires.
const SESSION_LEASE: Milliseconds = Milliseconds(1_500);
/// Time for which a gateway's or agent's replica of the configuration stays valid after
/// the leader last confirmed it, counted from the sending of the keep-alive that the
/// leader answered.
const REPLICA_VALID: Milliseconds = Milliseconds(1_800);

/// Builds the cluster of a plan. Daemons start at random times within the first second.
///
/// # Errors
///
/// Fails if a name of the plan is not valid.
pub fn build(plan: &Plan) -> Result<SimulatedCluster, InvalidName> {
    let mut cluster = SimulatedCluster::new(ChaCha8Rng::seed_from_u64(plan.seed));
    cluster.mutation = plan.mutation;
    cluster.processing = plan.processing;
    add_machines(&mut cluster, &plan.fleet)?;
    let seeds = seed_sockets(&plan.fleet);
    for position in 0..cluster.machines.len() {
        let settings = settings_for(&cluster, position, plan, &seeds);
        add_process(&mut cluster, position, settings);
    }
    add_runners(&mut cluster, plan)?;
    add_callers(&mut cluster, plan);
    add_operators(&mut cluster);
    cluster.schedule(500_000, Event::ReadConfigurations);
    Ok(cluster)
}

fn add_machines(cluster: &mut SimulatedCluster, fleet: &FleetSize) -> Result<(), InvalidName> {
    for (position, name) in fleet.machine_names().into_iter().enumerate() {
        let zone = ZoneName::new(format!("zone-{}", position % ZONES))?;
        let monotonic_start_ms = cluster.random.random_range(1_000..1_000_000);
        cluster.machines.push(Machine {
            name,
            zone,
            monotonic_start_ms,
            wall_offset_ms: 0,
            frozen_until: None,
            deferred: Vec::new(),
        });
    }
    Ok(())
}

/// Returns the sockets of three seed peers, one of each role.
fn seed_sockets(fleet: &FleetSize) -> Vec<SocketAddr> {
    let first_gateway = fleet.coordinators;
    let first_side = fleet.coordinators + fleet.gateways;
    vec![
        socket_of(0),
        socket_of(first_gateway),
        socket_of(first_side),
    ]
}

fn role_of(position: usize, fleet: &FleetSize) -> Role {
    if position < fleet.coordinators {
        Role::Coordinator
    } else if position < fleet.coordinators + fleet.gateways {
        Role::Gateway
    } else {
        Role::Agent
    }
}

fn settings_for(
    cluster: &SimulatedCluster,
    position: usize,
    plan: &Plan,
    seeds: &[SocketAddr],
) -> Settings {
    let fleet = &plan.fleet;
    let address = Address {
        node: NodeId(0),
        role: role_of(position, fleet),
        zone: cluster.machines[position].zone.clone(),
        socket: socket_of(position),
    };
    match address.role {
        Role::Coordinator => Settings::Coordinator(CoordinatorOptions {
            address,
            seeds: seeds.to_vec(),
            bootstrap_rule: coordinator::BootstrapRule::Exact,
            stalled_after: None,
            move_slow: true,
            initial_coordinators: u32::try_from(fleet.coordinators).unwrap_or(u32::MAX),
            consensus: consensus::Options {
                transfer_when_degraded: plan.transfer_when_degraded,
                mutation: plan.mutation.and_then(Mutation::of_consensus),
                ..consensus::Options::default()
            },
            scheduler: scheduler::SchedulerOptions {
                policy: plan.policy,
                ..scheduler::SchedulerOptions::default()
            },
            session_lease: SESSION_LEASE,
            replace_voter_after: Milliseconds(2_000),
            runner_wait: Milliseconds(1_000),
            snapshot_every: 1_000,
            max_waiting_requests: 10_000,
            decision_log_capacity: 1_000,
            seed: 0,
            mutation: plan.mutation.and_then(Mutation::of_coordinator),
        }),
        Role::Gateway => Settings::Gateway(GatewayOptions {
            address,
            seeds: seeds.to_vec(),
            session_interval: SESSION_INTERVAL,
            replica_valid: REPLICA_VALID,
            max_waiting_requests: 2_000,
            resend_after: Milliseconds(500),
            seed: 0,
        }),
        Role::Agent => Settings::Agent(AgentOptions {
            address,
            seeds: seeds.to_vec(),
            session_interval: SESSION_INTERVAL,
            order_timeout: Milliseconds(500),
            freeze_after: Milliseconds(1_000),
            replica_valid: REPLICA_VALID,
            seed: 0,
        }),
    }
}

fn add_process(cluster: &mut SimulatedCluster, position: usize, settings: Settings) {
    let address = match &settings {
        Settings::Coordinator(options) => options.address.clone(),
        Settings::Gateway(options) => options.address.clone(),
        Settings::Agent(options) => options.address.clone(),
    };
    let index = ProcessIndex(cluster.processes.len());
    cluster.sockets.insert(address.socket, index);
    if address.role == Role::Gateway {
        cluster.gateways.push(index);
    }
    cluster.processes.push(Process {
        machine: MachineIndex(position),
        address,
        settings,
        incarnation: Incarnation::default(),
        core: None,
        disk: DiskSlot::None,
        writes: VecDeque::new(),
        busy: Default::default(),
        timer: None,
        retired: false,
        last_identity: None,
        mutation: cluster.mutation,
    });
    let start_at = cluster.random.random_range(0..1_000_000);
    cluster.schedule(start_at, Event::Start(index, DiskState::Empty));
}

fn add_runners(cluster: &mut SimulatedCluster, plan: &Plan) -> Result<(), InvalidName> {
    let fleet = &plan.fleet;
    let first_side = fleet.coordinators + fleet.gateways;
    let media = pool_runners(Mix::Media)
        .into_iter()
        .cycle()
        .take(fleet.media_runners);
    let documents = pool_runners(Mix::Documents)
        .into_iter()
        .cycle()
        .take(fleet.documents_runners);
    let templates: Vec<RunnerTemplate> = media.chain(documents).collect();
    for (number, template) in templates.into_iter().enumerate() {
        let position = first_side + number;
        cluster.runners.push(RunnerHost {
            machine: MachineIndex(position),
            agent: ProcessIndex(position),
            options: RunnerOptions {
                runner: RunnerId::new(format!("runner-{number}"))?,
                incarnation: RunnerIncarnation(0),
                pool: template.pool,
                rack: template.rack,
                labels: template.labels,
                capacity: template.capacity,
                behaviour: Behaviour::Healthy,
                mutation: plan.mutation.and_then(Mutation::of_runner),
                seed: 0,
            },
            incarnation: Incarnation::default(),
            runner: None,
            timer: None,
            order_faults: OrderFaults::default(),
        });
        cluster.schedule_in(1_000_000, Event::StartRunner(number));
    }
    Ok(())
}

fn add_callers(cluster: &mut SimulatedCluster, plan: &Plan) {
    for (number, mix) in [Mix::Media, Mix::Documents].into_iter().enumerate() {
        let seed = cluster.random.random();
        cluster.callers.push(CallerHost {
            name: format!("caller-{number}"),
            caller: Caller::new(seed),
            workload: Workload::new(mix, &format!("c{number}"), seed),
            jobs: std::collections::BTreeMap::new(),
            gateway: number,
            load_percent: plan.fleet.load_percent,
            load_factor: 1,
            timer: None,
        });
    }
}

fn add_operators(cluster: &mut SimulatedCluster) {
    for number in 0..2_u32 {
        cluster.operators.push(OperatorHost {
            name: format!("operator-{number}"),
            known_version: ConfigurationVersion(0),
            document: example_configuration(),
            open_change: None,
            request_open: false,
            pending_changes: u32::from(number == 0),
            pending_invalid: 0,
            sends_invalid: false,
            marker: number,
            gateway: number as usize,
        });
        let at = 1_000_000;
        cluster.schedule(at, Event::OperatorTimer(number as usize));
    }
}
