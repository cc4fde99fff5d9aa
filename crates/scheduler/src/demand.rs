//! Resources that a tenant's work in one queue asks for: now, and at its peak
//! in the last seconds.

use types::{Milliseconds, Monotonic, Resources};

/// Length of the windows in which peaks are recorded. A peak counts for one such
/// time at least and two at most.
const PEAK_WINDOW: Milliseconds = Milliseconds(10_000);

/// Sum of resources over tasks. Wider than [`Resources`], so that what was added
/// can be subtracted exactly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct ResourceSum {
    slots: u64,
    cpu_milli: u64,
    memory_mib: u64,
    gpus: u64,
}

impl ResourceSum {
    fn change(&mut self, by: &Resources, change: impl Fn(u64, u64) -> u64) {
        self.slots = change(self.slots, u64::from(by.slots));
        self.cpu_milli = change(self.cpu_milli, u64::from(by.cpu_milli));
        self.memory_mib = change(self.memory_mib, u64::from(by.memory_mib));
        self.gpus = change(self.gpus, u64::from(by.gpus));
    }

    fn add(&mut self, amount: &Resources) {
        self.change(amount, u64::saturating_add);
    }

    fn subtract(&mut self, amount: &Resources) {
        self.change(amount, u64::saturating_sub);
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

/// Resources that the work of one tenant in one queue asks for.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Demand {
    /// Resources of tasks that would start if they had capacity.
    waiting: ResourceSum,
    /// Resources of open runs.
    usage: ResourceSum,
    /// Maximum of the sum of both in the current window, by kind of resource.
    peak: ResourceSum,
    /// Maximum in the window before.
    previous_peak: ResourceSum,
    /// Number of the current window.
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

    fn peak_of(&self, window: u64) -> ResourceSum {
        if window == self.window {
            self.peak
        } else {
            ResourceSum::default()
        }
    }

    /// Returns the recent peak of the demand beyond what open runs use.
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
