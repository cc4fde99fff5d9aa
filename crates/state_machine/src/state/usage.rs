//! Sums of the resources of open runs. The sums are wider than [`Resources`], so
//! that the resources of each added run can be subtracted exactly.

use types::Resources;

/// Sum of the resources of open runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Usage {
    slots: u64,
    cpu_milli: u64,
    memory_mib: u64,
    gpus: u64,
}

impl From<Resources> for Usage {
    fn from(resources: Resources) -> Self {
        Self {
            slots: resources.slots.into(),
            cpu_milli: resources.cpu_milli.into(),
            memory_mib: resources.memory_mib.into(),
            gpus: resources.gpus.into(),
        }
    }
}

impl Usage {
    /// Returns the sum plus the resources of one run.
    pub fn plus(self, resources: Resources) -> Self {
        let other = Self::from(resources);
        Self {
            slots: self.slots + other.slots,
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mib: self.memory_mib + other.memory_mib,
            gpus: self.gpus + other.gpus,
        }
    }

    /// Returns the sum minus the resources of one of its runs.
    pub fn minus(self, resources: Resources) -> Self {
        let other = Self::from(resources);
        Self {
            slots: self.slots.saturating_sub(other.slots),
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// Returns whether the sum is within `resource_limit` in every kind of resource.
    pub fn fits_in(self, resource_limit: Resources) -> bool {
        let resource_limit = Self::from(resource_limit);
        self.slots <= resource_limit.slots
            && self.cpu_milli <= resource_limit.cpu_milli
            && self.memory_mib <= resource_limit.memory_mib
            && self.gpus <= resource_limit.gpus
    }

    /// Returns the sum as [`Resources`], saturated at the largest value.
    pub fn to_resources(self) -> Resources {
        let narrow = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        Resources {
            slots: narrow(self.slots),
            cpu_milli: narrow(self.cpu_milli),
            memory_mib: narrow(self.memory_mib),
            gpus: narrow(self.gpus),
        }
    }
}
