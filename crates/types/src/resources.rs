//! Amounts of resources, and labels of runners.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Labels of a runner, or labels that a step requires.
pub type Labels = BTreeMap<String, String>;

/// Amounts of resources: the capacity of a runner, the needs of a task, or the
/// resource limit of a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Number of slots. A runner offers them and each run takes some.
    pub slots: u32,
    /// Processor time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Number of whole accelerators.
    pub gpus: u32,
}

impl Resources {
    /// No amount of any resource.
    pub const ZERO: Self = Self {
        slots: 0,
        cpu_milli: 0,
        memory_mib: 0,
        gpus: 0,
    };

    /// More of each resource than any machine has; resource limit of an unlimited tenant.
    pub const UNLIMITED: Self = Self {
        slots: u32::MAX,
        cpu_milli: u32::MAX,
        memory_mib: u32::MAX,
        gpus: u32::MAX,
    };

    /// Returns whether `available` covers this amount in each kind of resource.
    pub fn fits_in(&self, available: &Self) -> bool {
        self.slots <= available.slots
            && self.cpu_milli <= available.cpu_milli
            && self.memory_mib <= available.memory_mib
            && self.gpus <= available.gpus
    }

    /// Adds the amounts of each kind, saturating at the maximum.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            slots: self.slots.saturating_add(other.slots),
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Subtracts the amounts of each kind, saturating at zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            slots: self.slots.saturating_sub(other.slots),
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// Multiplies the amount of each kind by `count`, saturating at the maximum.
    pub fn times(&self, count: u32) -> Self {
        Self {
            slots: self.slots.saturating_mul(count),
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// Returns `percent` (at most 100) percent of the processor time and the memory.
    /// Slots and accelerators are indivisible and are zero in the result.
    pub fn part(&self, percent: u32) -> Self {
        let part = |amount: u32| {
            let scaled = u64::from(amount) * u64::from(percent.min(100)) / 100;
            u32::try_from(scaled).unwrap_or(u32::MAX)
        };
        Self {
            slots: 0,
            cpu_milli: part(self.cpu_milli),
            memory_mib: part(self.memory_mib),
            gpus: 0,
        }
    }

    /// Returns how many times this amount fits into `available`; `u32::MAX` if the
    /// amount is zero.
    pub fn count_in(&self, available: &Self) -> usize {
        let quotient =
            |needed: u32, available: u32| available.checked_div(needed).unwrap_or(u32::MAX);
        let count = quotient(self.slots, available.slots)
            .min(quotient(self.cpu_milli, available.cpu_milli))
            .min(quotient(self.memory_mib, available.memory_mib))
            .min(quotient(self.gpus, available.gpus));
        count as usize
    }

    /// Returns the larger amount of each kind.
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            slots: self.slots.max(other.slots),
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// Returns the smaller amount of each kind.
    pub fn component_min(&self, other: &Self) -> Self {
        Self {
            slots: self.slots.min(other.slots),
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mib: self.memory_mib.min(other.memory_mib),
            gpus: self.gpus.min(other.gpus),
        }
    }
}
