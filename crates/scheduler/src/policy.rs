//! Switches of the placement policies, to measure what each contributes.
//!
//! All are on by default. Guarantees are no policies and have no switch: resource
//! limits, seats, the limit of a step's runs on a runner, gangs started as a
//! whole, and the checks of the state machine apply always.

use serde::{Deserialize, Serialize};

/// How a tenant is chosen among those that could start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Draw {
    /// Uniformly at random, as in the source.
    #[default]
    Uniform,
    /// The tenant whose first task is the oldest.
    Oldest,
}

/// The policies of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How a tenant is chosen among those that could start a task.
    pub draw: Draw,
    /// A tenant above its share waits while one below could start.
    pub shares: bool,
    /// Work of a queue with a lower priority number goes first, and other work
    /// leaves it a part of each runner (`urgent_reserve_percent`).
    pub priorities: bool,
    /// Less urgent work leaves headroom below its tenant's resource limit to the
    /// tenant's more urgent queues (`urgent_headroom_percent`).
    #[serde(rename = "ceiling_reserve")]
    pub urgent_headroom: bool,
    /// A runner is reserved for a task or a gang that starves.
    #[serde(rename = "holds")]
    pub backfill_reservations: bool,
    /// Running tasks get further copies, where their step allows them.
    pub copies: bool,
    /// Runners on which many recent runs failed get work after the others.
    #[serde(rename = "suspects_last")]
    pub suspect_runners_last: bool,
    /// Runners on which many jobs failed in a row get no work for a time.
    pub probation: bool,
    /// A task waits `locality_wait` for its preferred rack.
    #[serde(rename = "rack_patience")]
    pub rack_locality: bool,
    /// A task waits for another runner than those it failed on.
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
