//! Demand of a tenant in one queue: the resources of its waiting tasks and open
//! runs, now and at the peak of the last 10 to 20 seconds.

use types::{Milliseconds, Monotonic, Resources};

/// Length of the windows in which peaks are recorded. A peak counts for the
/// rest of its window and the whole next one.
const PEAK_WINDOW: Milliseconds = Milliseconds(10_000);

/// Sum of resources over tasks. Wider than [`Resources`], so that additions do
/// not saturate and can be subtracted exactly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct ResourceSum {
    slots: u64,
    cpu_milli: u64,
    memory_mib: u64,
    gpus: u64,
}

impl ResourceSum {
    fn update(&mut self, amount: &Resources, operation: impl Fn(u64, u64) -> u64) {
        self.slots = operation(self.slots, u64::from(amount.slots));
        self.cpu_milli = operation(self.cpu_milli, u64::from(amount.cpu_milli));
        self.memory_mib = operation(self.memory_mib, u64::from(amount.memory_mib));
        self.gpus = operation(self.gpus, u64::from(amount.gpus));
    }

    fn add(&mut self, amount: &Resources) {
        self.update(amount, u64::saturating_add);
    }

    fn subtract(&mut self, amount: &Resources) {
        self.update(amount, u64::saturating_sub);
    }

    fn combine(&self, other: &Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            slots: combine(self.slots, other.slots),
            cpu_milli: combine(self.cpu_milli, other.cpu_milli),
            memory_mib: combine(self.memory_mib, other.memory_mib),
            gpus: combine(self.gpus, other.gpus),
        }
    }

    fn to_resources(self) -> Resources {
        let narrow = |amount: u64| u32::try_from(amount).unwrap_or(u32::MAX);
        Resources {
            slots: narrow(self.slots),
            cpu_milli: narrow(self.cpu_milli),
            memory_mib: narrow(self.memory_mib),
            gpus: narrow(self.gpus),
        }
    }
}

/// Demand of one tenant in one queue.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Demand {
    /// Resources of the tasks that would start if they had capacity.
    waiting: ResourceSum,
    /// Resources of open runs.
    usage: ResourceSum,
    /// Maximum of `waiting` plus `usage` in the current window, by kind of
    /// resource.
    peak: ResourceSum,
    /// Maximum of the previous window, by kind of resource.
    previous_peak: ResourceSum,
    /// Number of the current window: the time divided by `PEAK_WINDOW`.
    window: u64,
}

impl Demand {
    /// Adds a waiting task.
    pub(crate) fn add_waiting(&mut self, needs: &Resources, now: Monotonic) {
        self.waiting.add(needs);
        self.record_peak(now);
    }

    /// Removes a waiting task.
    pub(crate) fn remove_waiting(&mut self, needs: &Resources) {
        self.waiting.subtract(needs);
    }

    /// Adds an open run.
    pub(crate) fn add_run(&mut self, amount: &Resources, now: Monotonic) {
        self.usage.add(amount);
        self.record_peak(now);
    }

    /// Removes a closed run.
    pub(crate) fn remove_run(&mut self, amount: &Resources) {
        self.usage.subtract(amount);
    }

    /// Includes the current demand in the peak of the window that `now` is in.
    fn record_peak(&mut self, now: Monotonic) {
        let window = now.0 / PEAK_WINDOW.0;
        if window != self.window {
            self.previous_peak = self.peak_of(window.saturating_sub(1));
            self.peak = ResourceSum::default();
            self.window = window;
        }
        let total = self.waiting.combine(&self.usage, u64::saturating_add);
        self.peak = self.peak.combine(&total, u64::max);
    }

    /// Returns the peak of a window; zero for a window without a record.
    fn peak_of(&self, window: u64) -> ResourceSum {
        if window == self.window {
            self.peak
        } else {
            ResourceSum::default()
        }
    }

    /// Returns the part of the recent peak of the demand that open runs do not
    /// use.
    pub(crate) fn unmet(&self, now: Monotonic) -> Resources {
        let window = now.0 / PEAK_WINDOW.0;
        let recent = match window.checked_sub(self.window) {
            Some(0) => self.peak.combine(&self.previous_peak, u64::max),
            Some(1) => self.peak,
            _ => ResourceSum::default(),
        };
        let total = self.waiting.combine(&self.usage, u64::saturating_add);
        let peak = recent.combine(&total, u64::max);
        peak.combine(&self.usage, u64::saturating_sub)
            .to_resources()
    }
}
