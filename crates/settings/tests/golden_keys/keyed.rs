//! Conversion of settings back to the keys that they were read from.

use serde::Serialize;
use settings::{
    AgentSettings, AgentTimings, CoordinatorLimits, CoordinatorSettings, CoordinatorTimings,
    DrawSetting, GatewayLimits, GatewaySettings, GatewayTimings, LogSettings, NodeSettings,
    PolicySettings, RoleSettings, SchedulerSettings, TransportSettings,
};
use std::collections::BTreeMap;
use toml::Value;

/// Key whose value is a path; settings hold the content of the file.
pub const SECRET_KEY: &str = "cluster_key_file";

/// Values by key, with dots between the names of tables.
pub type Values = BTreeMap<String, Value>;

/// Conversion of the settings of a role to values by key. The structs are destructured
/// without `..`, so that a new field must be added here.
pub trait Keyed: RoleSettings {
    const ROLE: &str;

    fn values(self) -> Values;
}

fn insert(values: &mut Values, key: &str, value: impl Serialize) {
    let value = Value::try_from(value).unwrap();
    assert!(values.insert(key.to_owned(), value).is_none(), "{key}");
}

fn insert_node(values: &mut Values, node: NodeSettings) {
    let NodeSettings {
        zone,
        listen,
        advertise,
        seeds,
        cluster_key,
        grace_ms,
        transport,
        log,
    } = node;
    insert(values, "zone", zone);
    insert(values, "listen", listen);
    insert(values, "advertise", advertise);
    insert(values, "seeds", seeds);
    let secret = std::str::from_utf8(cluster_key.bytes()).unwrap();
    insert(values, SECRET_KEY, secret);
    insert(values, "grace_ms", grace_ms);
    let TransportSettings {
        queue_length_messages,
        max_frame_bytes,
    } = transport;
    insert(
        values,
        "transport.queue_length_messages",
        queue_length_messages,
    );
    insert(values, "transport.max_frame_bytes", max_frame_bytes);
    let LogSettings { format, level } = log;
    insert(values, "log.format", format);
    insert(values, "log.level", level);
}

fn insert_coordinator_timings(values: &mut Values, timings: CoordinatorTimings) {
    let CoordinatorTimings {
        election_timeout_ms,
        heartbeat_interval_ms,
        leader_lease_ms,
        session_lease_ms,
        replace_voter_after_ms,
        runner_wait_ms,
    } = timings;
    insert(values, "timings.election_timeout_ms", election_timeout_ms);
    insert(
        values,
        "timings.heartbeat_interval_ms",
        heartbeat_interval_ms,
    );
    insert(values, "timings.leader_lease_ms", leader_lease_ms);
    insert(values, "timings.session_lease_ms", session_lease_ms);
    insert(
        values,
        "timings.replace_voter_after_ms",
        replace_voter_after_ms,
    );
    insert(values, "timings.runner_wait_ms", runner_wait_ms);
}

fn insert_coordinator_limits(values: &mut Values, limits: CoordinatorLimits) {
    let CoordinatorLimits {
        snapshot_every_entries,
        max_waiting_requests,
        decision_log_capacity,
    } = limits;
    insert(
        values,
        "limits.snapshot_every_entries",
        snapshot_every_entries,
    );
    insert(values, "limits.max_waiting_requests", max_waiting_requests);
    insert(values, "limits.decisions_kept", decision_log_capacity);
}

fn insert_dispatcher(values: &mut Values, scheduler: SchedulerSettings) {
    let SchedulerSettings {
        look_ahead_tasks,
        reserve_after_ms,
        probation_failures,
        probation_ms,
        unresponsive_after_ms,
        locality_wait_ms,
        urgent_reserve_percent,
        urgent_headroom_percent,
        stalled_after_ms,
    } = scheduler;
    let mut insert = |key: &str, value: u64| insert(values, &format!("dispatcher.{key}"), value);
    insert("look_ahead_tasks", look_ahead_tasks as u64);
    insert("hold_after_ms", reserve_after_ms);
    insert("probation_failures", probation_failures.into());
    insert("probation_ms", probation_ms);
    insert("silent_after_ms", unresponsive_after_ms);
    insert("patience_ms", locality_wait_ms);
    insert("urgent_reserve_percent", urgent_reserve_percent.into());
    insert("urgent_ceiling_percent", urgent_headroom_percent.into());
    insert("stalled_after_ms", stalled_after_ms.unwrap_or(0));
}

pub fn draw_name(draw: DrawSetting) -> &'static str {
    match draw {
        DrawSetting::Uniform => "uniform",
        DrawSetting::Oldest => "oldest",
    }
}

fn insert_policy(values: &mut Values, policy: PolicySettings) {
    let PolicySettings {
        draw,
        shares,
        priorities,
        urgent_headroom,
        backfill_reservations,
        copies,
        suspect_runners_last,
        probation,
        rack_locality,
        avoid_failed,
        move_slow,
        transfer_when_degraded,
    } = policy;
    insert(values, "policy.draw", draw_name(draw));
    let mut insert = |key: &str, on: bool| insert(values, &format!("policy.{key}"), on);
    insert("shares", shares);
    insert("priorities", priorities);
    insert("ceiling_reserve", urgent_headroom);
    insert("holds", backfill_reservations);
    insert("copies", copies);
    insert("suspects_last", suspect_runners_last);
    insert("probation", probation);
    insert("rack_patience", rack_locality);
    insert("avoid_failed", avoid_failed);
    insert("move_slow", move_slow);
    insert("gives_way", transfer_when_degraded);
}

impl Keyed for CoordinatorSettings {
    const ROLE: &str = "coordinator";

    fn values(self) -> Values {
        let Self {
            node,
            admin_listen,
            data,
            initial_coordinators,
            timings,
            limits,
            scheduler,
            policy,
        } = self;
        let mut values = Values::new();
        insert_node(&mut values, node);
        insert(&mut values, "admin_listen", admin_listen);
        insert(&mut values, "data", data);
        insert(&mut values, "initial_coordinators", initial_coordinators);
        insert_coordinator_timings(&mut values, timings);
        insert_coordinator_limits(&mut values, limits);
        insert_dispatcher(&mut values, scheduler);
        insert_policy(&mut values, policy);
        values
    }
}

impl Keyed for GatewaySettings {
    const ROLE: &str = "gateway";

    fn values(self) -> Values {
        let Self {
            node,
            http_listen,
            timings,
            limits,
        } = self;
        let GatewayTimings {
            session_interval_ms,
            replica_valid_ms,
            resend_after_ms,
        } = timings;
        let GatewayLimits {
            max_waiting_requests,
        } = limits;
        let mut values = Values::new();
        insert_node(&mut values, node);
        insert(&mut values, "http_listen", http_listen);
        insert(
            &mut values,
            "timings.session_interval_ms",
            session_interval_ms,
        );
        insert(&mut values, "timings.replica_valid_ms", replica_valid_ms);
        insert(&mut values, "timings.resend_after_ms", resend_after_ms);
        insert(
            &mut values,
            "limits.max_waiting_requests",
            max_waiting_requests,
        );
        values
    }
}

impl Keyed for AgentSettings {
    const ROLE: &str = "agent";

    fn values(self) -> Values {
        let Self {
            node,
            http_listen,
            timings,
        } = self;
        let AgentTimings {
            session_interval_ms,
            replica_valid_ms,
            order_timeout_ms,
            freeze_after_ms,
        } = timings;
        let mut values = Values::new();
        insert_node(&mut values, node);
        insert(&mut values, "http_listen", http_listen);
        insert(
            &mut values,
            "timings.session_interval_ms",
            session_interval_ms,
        );
        insert(&mut values, "timings.replica_valid_ms", replica_valid_ms);
        insert(&mut values, "timings.order_timeout_ms", order_timeout_ms);
        insert(&mut values, "timings.freeze_after_ms", freeze_after_ms);
        values
    }
}
