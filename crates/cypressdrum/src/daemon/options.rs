//! Conversion of settings to the options of each role's shell.

use settings::{
    AgentSettings, CoordinatorSettings, DrawSetting, GatewaySettings, NodeSettings, PolicySettings,
};
use types::{Address, Milliseconds, NodeId, Role};

/// Random values of a process incarnation, generated once at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RandomValues {
    /// Node identity of a gateway or an agent. A coordinator takes its identity
    /// from its data folder, or generates one if the folder holds none.
    pub node: NodeId,
    /// Seed for election timeouts, wait times and identifiers.
    pub seed: u64,
}

impl RandomValues {
    /// Generates values from the random source of the operating system.
    pub fn generate() -> Self {
        Self {
            node: NodeId(rand::random()),
            seed: rand::random(),
        }
    }
}

fn policy(settings: &PolicySettings) -> scheduler::Policy {
    scheduler::Policy {
        draw: match settings.draw {
            DrawSetting::Uniform => scheduler::Draw::Uniform,
            DrawSetting::Oldest => scheduler::Draw::Oldest,
        },
        shares: settings.shares,
        priorities: settings.priorities,
        urgent_headroom: settings.urgent_headroom,
        backfill_reservations: settings.backfill_reservations,
        copies: settings.copies,
        suspect_runners_last: settings.suspect_runners_last,
        probation: settings.probation,
        rack_locality: settings.rack_locality,
        avoid_failed: settings.avoid_failed,
    }
}

/// Returns the options of a coordinator's shell.
pub fn coordinator(
    settings: &CoordinatorSettings,
    random_values: RandomValues,
) -> coordinator::ShellOptions {
    let CoordinatorSettings {
        node,
        timings,
        limits,
        scheduler,
        ..
    } = settings;
    let core = coordinator::CoordinatorOptions {
        address: address(node, Role::Coordinator, random_values),
        seeds: node.seeds.clone(),
        initial_coordinators: settings.initial_coordinators,
        bootstrap_rule: coordinator::BootstrapRule::Exact,
        stalled_after: scheduler.stalled_after_ms.map(Milliseconds),
        move_slow: settings.policy.move_slow,
        consensus: consensus::Options {
            election_timeout: Milliseconds(timings.election_timeout_ms),
            election_spread: Milliseconds(timings.election_timeout_ms),
            heartbeat_interval: Milliseconds(timings.heartbeat_interval_ms),
            leader_lease: Milliseconds(timings.leader_lease_ms),
            transfer_when_degraded: settings.policy.transfer_when_degraded,
            ..consensus::Options::default()
        },
        scheduler: scheduler::SchedulerOptions {
            reserve_after: Milliseconds(scheduler.reserve_after_ms),
            probation_failures: scheduler.probation_failures,
            probation: Milliseconds(scheduler.probation_ms),
            unresponsive_after: Milliseconds(scheduler.unresponsive_after_ms),
            locality_wait: Milliseconds(scheduler.locality_wait_ms),
            urgent_reserve_percent: scheduler.urgent_reserve_percent,
            urgent_headroom_percent: scheduler.urgent_headroom_percent,
            policy: policy(&settings.policy),
        },
        session_lease: Milliseconds(timings.session_lease_ms),
        replace_voter_after: Milliseconds(timings.replace_voter_after_ms),
        runner_wait: Milliseconds(timings.runner_wait_ms),
        snapshot_every: limits.snapshot_every_entries,
        max_waiting_requests: limits.max_waiting_requests,
        decision_log_capacity: limits.decision_log_capacity,
        seed: random_values.seed,
        mutation: None,
    };
    coordinator::ShellOptions {
        core,
        transport: transport(node),
        cluster_key: cluster_key(node),
        admin_listen: settings.admin_listen,
        data: settings.data.clone(),
        grace: Milliseconds(node.grace_ms),
    }
}

/// Returns the options of a gateway's shell.
pub fn gateway(settings: &GatewaySettings, random_values: RandomValues) -> gateway::ShellOptions {
    let GatewaySettings { node, timings, .. } = settings;
    let core = gateway::GatewayOptions {
        address: address(node, Role::Gateway, random_values),
        seeds: node.seeds.clone(),
        session_interval: Milliseconds(timings.session_interval_ms),
        replica_valid: Milliseconds(timings.replica_valid_ms),
        max_waiting_requests: settings.limits.max_waiting_requests,
        resend_after: Milliseconds(timings.resend_after_ms),
        seed: random_values.seed,
    };
    gateway::ShellOptions {
        core,
        transport: transport(node),
        cluster_key: cluster_key(node),
        http_listen: settings.http_listen,
        grace: Milliseconds(node.grace_ms),
    }
}

/// Returns the options of an agent's shell.
pub fn agent(settings: &AgentSettings, random_values: RandomValues) -> agent::ShellOptions {
    let AgentSettings { node, timings, .. } = settings;
    let core = agent::AgentOptions {
        address: address(node, Role::Agent, random_values),
        seeds: node.seeds.clone(),
        session_interval: Milliseconds(timings.session_interval_ms),
        order_timeout: Milliseconds(timings.order_timeout_ms),
        freeze_after: Milliseconds(timings.freeze_after_ms),
        replica_valid: Milliseconds(timings.replica_valid_ms),
        seed: random_values.seed,
    };
    agent::ShellOptions {
        core,
        transport: transport(node),
        cluster_key: cluster_key(node),
        http_listen: settings.http_listen,
        grace: Milliseconds(node.grace_ms),
    }
}

fn address(node: &NodeSettings, role: Role, random_values: RandomValues) -> Address {
    Address {
        node: random_values.node,
        role,
        zone: node.zone.clone(),
        socket: node.advertise,
    }
}

fn transport(node: &NodeSettings) -> transport::TransportOptions {
    transport::TransportOptions {
        listen: node.listen,
        queue_length: node.transport.queue_length_messages,
        max_frame_bytes: node.transport.max_frame_bytes,
    }
}

fn cluster_key(node: &NodeSettings) -> transport::ClusterKey {
    transport::ClusterKey::new(node.cluster_key.bytes())
}
