//! Settings of a coordinator.

use crate::node::read_listener;
use crate::reader::Reader;
use crate::{LogLevel, NodeSettings, RoleSettings};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings of a coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoordinatorSettings {
    /// What all roles have.
    pub node: NodeSettings,
    /// Key `admin_listen`: socket for livez, readyz and metrics.
    pub admin_listen: SocketAddr,
    /// Key `data`: the one folder it keeps files in.
    pub data: PathBuf,
    /// Key `initial_coordinators`: coordinators that must meet, all empty, to
    /// start a new cluster. Odd, at least 3. Default 3.
    pub initial_coordinators: u32,
    /// Table `timings`.
    pub timings: CoordinatorTimings,
    /// Table `limits`.
    pub limits: CoordinatorLimits,
    /// Table `scheduler`.
    pub scheduler: SchedulerSettings,
    /// Table `policy`.
    pub policy: PolicySettings,
}

impl RoleSettings for CoordinatorSettings {
    fn read(reader: &mut Reader) -> Option<Self> {
        let node = NodeSettings::read(reader);
        let admin_listen = read_listener(reader, "admin_listen", node.as_ref());
        let data = reader.required("data");
        let initial_coordinators = read_initial_coordinators(reader);
        let timings = CoordinatorTimings::read(reader);
        let limits = CoordinatorLimits::read(reader);
        let scheduler = SchedulerSettings::read(reader);
        let policy = PolicySettings::read(reader);
        Some(Self {
            node: node?,
            admin_listen: admin_listen?,
            data: data?,
            initial_coordinators,
            timings,
            limits,
            scheduler,
            policy,
        })
    }

    fn node(&self) -> &NodeSettings {
        &self.node
    }

    fn with_log_level(mut self, level: LogLevel) -> Self {
        self.node.log.level = level;
        self
    }
}

fn read_initial_coordinators(reader: &mut Reader) -> u32 {
    let key = "initial_coordinators";
    let count = reader.ranged(key, 3_u32, 3..=9);
    if count.is_multiple_of(2) {
        reader.message(
            key,
            format!("{count} is even; a majority needs an odd number"),
        );
    }
    count
}

/// Table `timings` of a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorTimings {
    /// Minimum time without a leader's message before an election; drawn between this and twice it.
    /// Default 1000.
    pub election_timeout_ms: u64,
    /// Time between the leader's heartbeats. Default 150.
    pub heartbeat_interval_ms: u64,
    /// How long a leader acts after the start of the last round that a quorum
    /// answered; below `election_timeout_ms`. Default 800.
    pub leader_lease_ms: u64,
    /// Length of the sessions of gateways and agents. Default 2000.
    pub session_lease_ms: u64,
    /// A voter that has been unresponsive for this long is replaced by a learner that is ready.
    /// Default 1500.
    pub replace_voter_after_ms: u64,
    /// Longest wait of a fresh leader for the runners' lists. Default 2000.
    pub runner_wait_ms: u64,
}

impl CoordinatorTimings {
    fn read(reader: &mut Reader) -> Self {
        let timings = Self {
            election_timeout_ms: reader.ranged("timings.election_timeout_ms", 1_000, 50..=60_000),
            heartbeat_interval_ms: reader.ranged("timings.heartbeat_interval_ms", 150, 10..=10_000),
            leader_lease_ms: reader.ranged("timings.leader_lease_ms", 800, 40..=59_000),
            session_lease_ms: reader.ranged("timings.session_lease_ms", 2_000, 100..=60_000),
            replace_voter_after_ms: reader.ranged(
                "timings.replace_voter_after_ms",
                1_500,
                100..=3_600_000,
            ),
            runner_wait_ms: reader.ranged("timings.runner_wait_ms", 2_000, 0..=60_000),
        };
        timings.check(reader);
        timings
    }

    fn check(&self, reader: &mut Reader) {
        if self.leader_lease_ms >= self.election_timeout_ms {
            reader.message(
                "timings.leader_lease_ms",
                "must be less than timings.election_timeout_ms, or two leaders could act at once",
            );
        }
        if self.heartbeat_interval_ms.saturating_mul(2) > self.leader_lease_ms {
            reader.message(
                "timings.heartbeat_interval_ms",
                "must be at most half of timings.leader_lease_ms, or one lost heartbeat ends it",
            );
        }
    }
}

/// Table `limits` of a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorLimits {
    /// Log entries between two snapshots. Default 10000.
    pub snapshot_every_entries: u64,
    /// Requests that may wait for the log at once. Default 4096.
    pub max_waiting_requests: usize,
    /// Lines of the decision log kept in memory. Default 50000.
    pub decision_log_capacity: usize,
}

impl CoordinatorLimits {
    fn read(reader: &mut Reader) -> Self {
        Self {
            snapshot_every_entries: reader.ranged(
                "limits.snapshot_every_entries",
                10_000,
                16..=10_000_000,
            ),
            max_waiting_requests: reader.ranged(
                "limits.max_waiting_requests",
                4_096,
                1..=1_000_000,
            ),
            decision_log_capacity: reader.ranged("limits.decisions_kept", 50_000, 0..=10_000_000),
        }
    }
}

/// Table `policy`: which mechanisms decide. All are on by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicySettings {
    /// How a tenant is chosen: `uniform` (default) or `oldest`.
    pub draw: DrawSetting,
    /// A tenant above its share waits while one below could start.
    pub shares: bool,
    /// Work of more urgent queues goes first and keeps its part free.
    pub priorities: bool,
    /// Less urgent work leaves a part of its tenant's resource limit to more urgent work.
    pub urgent_headroom: bool,
    /// A runner is kept free for a task or a gang that starves.
    pub backfill_reservations: bool,
    /// Further copies of running tasks, where a step allows them.
    pub copies: bool,
    /// Runners on which much failed lately come last.
    pub suspects_last: bool,
    /// Runners on which many jobs failed in a row get nothing for a while.
    pub probation: bool,
    /// A task waits for the rack where it runs best.
    pub rack_locality: bool,
    /// A task waits for another runner than those it failed on.
    pub avoid_failed: bool,
    /// Runs on a slow runner are moved (needs `scheduler.stalled_after_ms`).
    pub move_slow: bool,
    /// A leader that is degraded transfers leadership to a voter that is not.
    pub transfer_when_degraded: bool,
}

/// How a tenant is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrawSetting {
    /// Uniformly at random.
    #[default]
    Uniform,
    /// The one whose first task is the oldest.
    Oldest,
}

impl PolicySettings {
    fn read(reader: &mut Reader) -> Self {
        let mut on = |key: &str| reader.defaulted(&format!("policy.{key}"), true);
        Self {
            shares: on("shares"),
            priorities: on("priorities"),
            urgent_headroom: on("ceiling_reserve"),
            backfill_reservations: on("holds"),
            copies: on("copies"),
            suspects_last: on("suspects_last"),
            probation: on("probation"),
            rack_locality: on("rack_patience"),
            avoid_failed: on("avoid_failed"),
            move_slow: on("move_slow"),
            transfer_when_degraded: on("gives_way"),
            draw: reader.defaulted("policy.draw", DrawSetting::Uniform),
        }
    }
}

/// Table `scheduler`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulerSettings {
    /// Tasks of one tenant that are examined past one that does not fit. Default 16.
    pub scan_depth: usize,
    /// A task that has waited this long without fitting gets a runner kept
    /// free. Default 5000.
    pub reserve_after_ms: u64,
    /// Failed runs of different jobs in a row that put a runner on probation.
    /// Default 8.
    pub probation_failures: u32,
    /// Length of probation. Default 10000.
    pub probation_ms: u64,
    /// A runner that has been unresponsive for this long gets no new runs. Default 1500.
    pub unresponsive_after_ms: u64,
    /// A task waits this long for its rack, or for another runner than the one
    /// it failed on. Default 300.
    pub locality_wait_ms: u64,
    /// Part of each runner, in percent, that work leaves free for more urgent
    /// queues of its pool. Default 0.
    pub urgent_reserve_percent: u32,
    /// Most of a tenant's resource limit, in percent, that its less urgent work leaves to
    /// its more urgent queues. Default 25.
    pub urgent_headroom_percent: u32,
    /// A run whose progress stands still for this long is stopped and placed
    /// again. Without the key, and by default, it is left alone.
    pub stalled_after_ms: Option<u64>,
}

impl SchedulerSettings {
    fn read(reader: &mut Reader) -> Self {
        Self {
            scan_depth: reader.ranged("dispatcher.look_ahead_tasks", 16, 0..=100_000),
            reserve_after_ms: reader.ranged("dispatcher.hold_after_ms", 5_000, 0..=3_600_000),
            probation_failures: reader.ranged("dispatcher.probation_failures", 8, 1..=100_000),
            probation_ms: reader.ranged("dispatcher.probation_ms", 10_000, 0..=86_400_000),
            unresponsive_after_ms: reader.ranged("dispatcher.silent_after_ms", 1_500, 100..=60_000),
            urgent_reserve_percent: reader.ranged("dispatcher.urgent_reserve_percent", 0, 0..=90),
            urgent_headroom_percent: reader.ranged("dispatcher.urgent_ceiling_percent", 25, 0..=50),
            locality_wait_ms: reader.ranged("dispatcher.patience_ms", 300, 0..=60_000),
            stalled_after_ms: match reader.ranged("dispatcher.stalled_after_ms", 0, 0..=3_600_000) {
                0 => None,
                length => Some(length),
            },
        }
    }
}
