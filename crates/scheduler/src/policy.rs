//! Which mechanisms decide: each can be left out, to see what it is worth.
//!
//! The defaults are what ships. What guards a promise is no policy and has no
//! switch: resource limits, seats, spreading, gangs whole, and the record's own checks
//! hold under every policy.

use serde::{Deserialize, Serialize};

/// How a tenant is chosen among those that could start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Draw {
    /// Uniformly at random, as in the source.
    #[default]
    Uniform,
    /// The one whose first task is the oldest.
    Oldest,
}

/// The mechanisms of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How a tenant is chosen.
    pub draw: Draw,
    /// A tenant above its share waits while one below could start.
    pub shares: bool,
    /// Work of a queue with a lower priority number goes first, and keeps its
    /// part of each runner free (`urgent_reserve_percent`).
    pub priorities: bool,
    /// Less urgent work leaves a part of its tenant's resource limit to the tenant's more
    /// urgent queues (`urgent_headroom_percent`).
    #[serde(rename = "ceiling_reserve")]
    pub urgent_headroom: bool,
    /// A runner is kept free for a task or a gang that starves.
    #[serde(rename = "holds")]
    pub backfill_reservations: bool,
    /// Further copies of running tasks, where a step allows them.
    pub copies: bool,
    /// Runners on which much failed lately come last.
    pub suspects_last: bool,
    /// Runners on which many jobs failed in a row get nothing for a while.
    pub probation: bool,
    /// A task waits `locality_wait` for the rack where it runs best.
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
            suspects_last: true,
            probation: true,
            rack_locality: true,
            avoid_failed: true,
        }
    }
}
