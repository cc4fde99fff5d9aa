//! Settings of the coordinator role.

use crate::node::read_listener;
use crate::reader::Reader;
use crate::{LogLevel, NodeSettings, RoleSettings};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings of a coordinator, read from its file and flags.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoordinatorSettings {
    /// Settings that all roles share.
    pub node: NodeSettings,
    /// Key `admin_listen`: listener for livez, readyz and metrics.
    pub admin_listen: SocketAddr,
    /// Key `data`: folder for all files of the coordinator.
    pub data: PathBuf,
    /// Key `initial_coordinators`: number of coordinators with empty disks that must
    /// find each other to create a new cluster. Odd, 3 to 9. Default 3.
    pub initial_coordinators: u32,
    /// Table `timings`.
    pub timings: CoordinatorTimings,
    /// Table `limits`.
    pub limits: CoordinatorLimits,
    /// Table `dispatcher`.
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
        reader.add_problem(
            key,
            format!("{count} is even; a majority needs an odd number"),
        );
    }
    count
}

/// Table `timings` of a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorTimings {
    /// Minimum election timeout, in milliseconds. The actual timeout without a message
    /// of the leader is drawn between this and twice this. Default 1000.
    pub election_timeout_ms: u64,
    /// Interval between heartbeats of the leader, in milliseconds. Default 150.
    pub heartbeat_interval_ms: u64,
    /// Length of the leader lease, in milliseconds, from the start of the last heartbeat
    /// round that a quorum answered. Less than `election_timeout_ms`. Default 800.
    pub leader_lease_ms: u64,
    /// Lease of the sessions of gateways and agents, in milliseconds. Default 2000.
    pub session_lease_ms: u64,
    /// Time for which a voter must be unresponsive before a ready learner replaces it,
    /// in milliseconds. Default 1500.
    pub replace_voter_after_ms: u64,
    /// Maximum time, in milliseconds, for which a new leader waits for heartbeats of the
    /// runners with open runs before it places tasks. Default 2000.
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
            reader.add_problem(
                "timings.leader_lease_ms",
                "must be less than timings.election_timeout_ms, or two leaders could act at once",
            );
        }
        if self.heartbeat_interval_ms.saturating_mul(2) > self.leader_lease_ms {
            reader.add_problem(
                "timings.heartbeat_interval_ms",
                "must be at most half of timings.leader_lease_ms, or one lost heartbeat ends it",
            );
        }
    }
}

/// Table `limits` of a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatorLimits {
    /// Number of log entries between two snapshots. Default 10000.
    pub snapshot_every_entries: u64,
    /// Maximum number of requests that wait for the log. Default 4096.
    pub max_waiting_requests: usize,
    /// Key `decisions_kept`: maximum number of entries of the decision log in memory.
    /// Default 50000.
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

/// Table `policy`: switches of the placement policies. All are on by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicySettings {
    /// Selection of the next tenant: `uniform` (default) or `oldest`.
    pub draw: DrawSetting,
    /// A tenant above its share waits while one below its share could start a task.
    pub shares: bool,
    /// Work of queues with a lower priority number starts first, and other work leaves
    /// it `urgent_reserve_percent` of each runner.
    pub priorities: bool,
    /// Key `ceiling_reserve`: less urgent work leaves headroom below its tenant's resource
    /// limit to the tenant's more urgent queues.
    pub urgent_headroom: bool,
    /// Key `holds`: a runner is reserved for a task or a gang that starves.
    pub backfill_reservations: bool,
    /// Running tasks get further copies, where their step allows them.
    pub copies: bool,
    /// Key `suspects_last`: runners on which many recent runs failed get work after the
    /// others.
    pub suspect_runners_last: bool,
    /// Runners on which many jobs failed in a row get no work for `probation_ms`.
    pub probation: bool,
    /// Key `rack_patience`: a task waits for its preferred rack.
    pub rack_locality: bool,
    /// A task waits for a runner on which it has not failed.
    pub avoid_failed: bool,
    /// Runs on a slow runner are moved to another (needs `dispatcher.stalled_after_ms`).
    pub move_slow: bool,
    /// Key `gives_way`: a degraded leader transfers leadership to a healthy voter.
    pub transfer_when_degraded: bool,
}

/// Selection of the tenant that starts the next task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrawSetting {
    /// Uniformly at random.
    #[default]
    Uniform,
    /// The tenant whose first task is the oldest.
    Oldest,
}

impl PolicySettings {
    fn read(reader: &mut Reader) -> Self {
        let mut switch = |key: &str| reader.defaulted(&format!("policy.{key}"), true);
        Self {
            shares: switch("shares"),
            priorities: switch("priorities"),
            urgent_headroom: switch("ceiling_reserve"),
            backfill_reservations: switch("holds"),
            copies: switch("copies"),
            suspect_runners_last: switch("suspects_last"),
            probation: switch("probation"),
            rack_locality: switch("rack_patience"),
            avoid_failed: switch("avoid_failed"),
            move_slow: switch("move_slow"),
            transfer_when_degraded: switch("gives_way"),
            draw: reader.defaulted("policy.draw", DrawSetting::Uniform),
        }
    }
}

/// Table `dispatcher`: options of the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulerSettings {
    /// Key `look_ahead_tasks`: without effect. It limited how many tasks of a tenant
    /// were looked at past one that does not fit; all are now. The key is accepted and
    /// checked so that existing files stay valid. Default 16.
    pub look_ahead_tasks: usize,
    /// Key `hold_after_ms`: waiting time, in milliseconds, after which a runner is
    /// reserved for a task that does not fit. Default 5000.
    pub reserve_after_ms: u64,
    /// Number of different jobs with a failed run on a runner, without a success in
    /// between, that puts the runner on probation. Default 8.
    pub probation_failures: u32,
    /// Length of a probation, in milliseconds. Default 10000.
    pub probation_ms: u64,
    /// Key `silent_after_ms`: time without a heartbeat after which a runner gets no new
    /// runs, in milliseconds. Default 1500.
    pub unresponsive_after_ms: u64,
    /// Key `patience_ms`: time, in milliseconds, for which a task waits for its preferred
    /// rack, and three times as long for a runner on which it has not failed.
    /// Default 300.
    pub locality_wait_ms: u64,
    /// Percentage of each runner that work leaves free for more urgent queues of its
    /// pool, 0 to 90. Default 0.
    pub urgent_reserve_percent: u32,
    /// Key `urgent_ceiling_percent`: maximum headroom that less urgent work leaves to its
    /// tenant's more urgent queues, in percent of the resource limit, 0 to 50.
    /// Default 25.
    pub urgent_headroom_percent: u32,
    /// Maximum time without progress, in milliseconds, after which a run is stopped and
    /// placed again. `None` (key absent or 0, the default): runs are not stopped for
    /// lack of progress.
    pub stalled_after_ms: Option<u64>,
}

impl SchedulerSettings {
    fn read(reader: &mut Reader) -> Self {
        Self {
            look_ahead_tasks: reader.ranged("dispatcher.look_ahead_tasks", 16, 0..=100_000),
            reserve_after_ms: reader.ranged("dispatcher.hold_after_ms", 5_000, 0..=3_600_000),
            probation_failures: reader.ranged("dispatcher.probation_failures", 8, 1..=100_000),
            probation_ms: reader.ranged("dispatcher.probation_ms", 10_000, 0..=86_400_000),
            unresponsive_after_ms: reader.ranged("dispatcher.silent_after_ms", 1_500, 100..=60_000),
            urgent_reserve_percent: reader.ranged("dispatcher.urgent_reserve_percent", 0, 0..=90),
            urgent_headroom_percent: reader.ranged("dispatcher.urgent_ceiling_percent", 25, 0..=50),
            locality_wait_ms: reader.ranged("dispatcher.patience_ms", 300, 0..=60_000),
            stalled_after_ms: match reader.ranged("dispatcher.stalled_after_ms", 0, 0..=3_600_000) {
                0 => None,
                timeout => Some(timeout),
            },
        }
    }
}
