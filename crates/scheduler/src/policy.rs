//! Switches of the placement policies, used to measure the effect of each.
//!
//! All are on by default. Guarantees have no switch and always apply: resource
//! limits, licence seats, the limit of a step's runs on a runner, gangs started
//! as a whole, and the checks of the state machine.

use serde::{Deserialize, Serialize};

/// How a tenant is chosen among those that could start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Draw {
    /// Uniformly at random, as in the Job Pump.
    #[default]
    Uniform,
    /// The tenant with the oldest first task.
    Oldest,
}

/// Policies of placement, each of which can be switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Choice of a tenant among those that could start a task.
    pub draw: Draw,
    /// Whether a tenant above its share waits while one below its share could
    /// start.
    pub shares: bool,
    /// Whether work of queues with a lower priority number starts first, and
    /// other work leaves it a part of each runner (`urgent_reserve_percent`).
    pub priorities: bool,
    /// Whether less urgent work leaves headroom below its tenant's resource
    /// limit to the tenant's more urgent queues (`urgent_headroom_percent`).
    #[serde(rename = "ceiling_reserve")]
    pub urgent_headroom: bool,
    /// Whether runners are reserved for a task or a gang that starves.
    #[serde(rename = "holds")]
    pub backfill_reservations: bool,
    /// Whether running tasks get further copies, where their step allows them.
    pub copies: bool,
    /// Whether runners on which many recent runs failed get work after the
    /// others.
    #[serde(rename = "suspects_last")]
    pub suspect_runners_last: bool,
    /// Whether runners on which many jobs failed in a row get no work for a
    /// time (`probation`).
    pub probation: bool,
    /// Whether a task waits up to `locality_wait` for its preferred rack.
    #[serde(rename = "rack_patience")]
    pub rack_locality: bool,
    /// Whether a task waits for a runner other than those on which it failed.
    pub avoid_failed: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            draw: Draw::Uniform,
            shares: true,
            priorities: true,
            urgent_headroom: true,
            backfill_reservations: true,
            copies: true,
            suspect_runners_last: true,
            probation: true,
            rack_locality: true,
            avoid_failed: true,
        }
    }
}
