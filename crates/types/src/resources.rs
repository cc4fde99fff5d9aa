//! Resource amounts and labels.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Labels of a runner, or the labels a step asks for.
pub type Labels = BTreeMap<String, String>;

/// Amounts of what a runner has, a task needs, or a tenant may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Places for tasks on a runner.
    pub slots: u32,
    /// Processor time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub gpus: u32,
}

impl Resources {
    /// Nothing of anything.
    pub const ZERO: Self = Self {
        slots: 0,
        cpu_milli: 0,
        memory_mib: 0,
        gpus: 0,
    };

    /// More of everything than any machine has; a tenant without a resource limit.
    pub const UNLIMITED: Self = Self {
        slots: u32::MAX,
        cpu_milli: u32::MAX,
        memory_mib: u32::MAX,
        gpus: u32::MAX,
    };

    /// Returns whether this amount is at most `room` in every kind of resource.
    pub fn fits_in(&self, room: &Self) -> bool {
        self.slots <= room.slots
            && self.cpu_milli <= room.cpu_milli
            && self.memory_mib <= room.memory_mib
            && self.gpus <= room.gpus
    }

    /// Sum by kind, held at the largest value.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            slots: self.slots.saturating_add(other.slots),
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Difference by kind, held at zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            slots: self.slots.saturating_sub(other.slots),
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// So many times as much of each kind, held at the largest value.
    pub fn times(&self, count: u32) -> Self {
        Self {
            slots: self.slots.saturating_mul(count),
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// This part of it, in percent; slots and accelerators are not divided.
    pub fn part(&self, percent: u32) -> Self {
        let part = |amount: u32| {
            let share = u64::from(amount) * u64::from(percent.min(100)) / 100;
            u32::try_from(share).unwrap_or(u32::MAX)
        };
        Self {
            slots: 0,
            cpu_milli: part(self.cpu_milli),
            memory_mib: part(self.memory_mib),
            gpus: 0,
        }
    }

    /// How often this amount fits into `room`.
    pub fn count_in(&self, room: &Self) -> usize {
        let fits = |need: u32, room: u32| room.checked_div(need).unwrap_or(u32::MAX);
        let least = fits(self.slots, room.slots)
            .min(fits(self.cpu_milli, room.cpu_milli))
            .min(fits(self.memory_mib, room.memory_mib))
            .min(fits(self.gpus, room.gpus));
        least as usize
    }

    /// The larger amount of each kind.
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            slots: self.slots.max(other.slots),
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// The smaller amount of each kind.
    pub fn component_min(&self, other: &Self) -> Self {
        Self {
            slots: self.slots.min(other.slots),
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mib: self.memory_mib.min(other.memory_mib),
            gpus: self.gpus.min(other.gpus),
        }
    }
}
