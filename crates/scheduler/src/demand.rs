//! What a tenant's work in one queue asks for at once, now and lately, and what
//! of the tenant's resource limit is kept for it.
//!
//! A resource limit counts a tenant's runs in all pools. Work of a less urgent queue
//! that fills it up makes a quick task of a more urgent one wait until something
//! ends, in whatever pool, while its own pool is empty. So less urgent work
//! leaves under the resource limit what the more urgent queues of its tenant asked for
//! lately and do not hold now.

use crate::Scheduler;
use crate::queue::{ListIndex, Tenant};
use configuration::QueueMode;
use types::{Milliseconds, Monotonic, Now, Resources};

/// What was asked for counts for one such time at least and two at most.
const WINDOW: Milliseconds = Milliseconds(10_000);
/// Less urgent work that waits this many times `reserve_after` at the kept part
/// may use it for one start.
const MAX_WAIT_FACTOR: u64 = 10;

/// Sums of amounts over tasks. Wider than [`Resources`], so that what was added
/// can be taken away exactly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Sum {
    slots: u64,
    cpu_milli: u64,
    memory_mib: u64,
    gpus: u64,
}

impl Sum {
    fn change(&mut self, by: &Resources, change: impl Fn(u64, u64) -> u64) {
        self.slots = change(self.slots, u64::from(by.slots));
        self.cpu_milli = change(self.cpu_milli, u64::from(by.cpu_milli));
        self.memory_mib = change(self.memory_mib, u64::from(by.memory_mib));
        self.gpus = change(self.gpus, u64::from(by.gpus));
    }

    fn add(&mut self, amount: &Resources) {
        self.change(amount, u64::saturating_add);
    }

    fn take_away(&mut self, amount: &Resources) {
        self.change(amount, u64::saturating_sub);
    }

    fn join(&self, other: &Self, join: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            slots: join(self.slots, other.slots),
            cpu_milli: join(self.cpu_milli, other.cpu_milli),
            memory_mib: join(self.memory_mib, other.memory_mib),
            gpus: join(self.gpus, other.gpus),
        }
    }

    fn narrowed(&self) -> Resources {
        let narrow = |amount: u64| u32::try_from(amount).unwrap_or(u32::MAX);
        Resources {
            slots: narrow(self.slots),
            cpu_milli: narrow(self.cpu_milli),
            memory_mib: narrow(self.memory_mib),
            gpus: narrow(self.gpus),
        }
    }
}

/// What the work of one tenant in one queue asks for.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Demand {
    /// Of tasks that would start if they had room.
    waiting: Sum,
    /// Of open runs.
    usage: Sum,
    /// The most of both together, kind by kind, in the window.
    peak: Sum,
    /// The same in the window before.
    previous_peak: Sum,
    /// Number of the window.
    window: u64,
}

impl Demand {
    /// A task waits.
    pub(crate) fn wait(&mut self, needs: &Resources, now: Monotonic) {
        self.waiting.add(needs);
        self.record(now);
    }

    /// A task waits no more.
    pub(crate) fn wait_no_more(&mut self, needs: &Resources) {
        self.waiting.take_away(needs);
    }

    /// A run holds this.
    pub(crate) fn acquire(&mut self, amount: &Resources, now: Monotonic) {
        self.usage.add(amount);
        self.record(now);
    }

    /// A run holds it no more.
    pub(crate) fn let_go(&mut self, amount: &Resources) {
        self.usage.take_away(amount);
    }

    fn record(&mut self, now: Monotonic) {
        let window = now.0 / WINDOW.0;
        if window != self.window {
            self.previous_peak = self.peak_of(window.saturating_sub(1));
            self.peak = Sum::default();
            self.window = window;
        }
        let asked = self.waiting.join(&self.usage, u64::saturating_add);
        self.peak = self.peak.join(&asked, u64::max);
    }

    fn peak_of(&self, window: u64) -> Sum {
        match window.checked_sub(self.window) {
            Some(0) => self.peak,
            _ => Sum::default(),
        }
    }

    /// What it asked for lately, and asks for now, beyond what its runs hold.
    fn unmet(&self, now: Monotonic) -> Resources {
        let window = now.0 / WINDOW.0;
        let lately = match window.checked_sub(self.window) {
            Some(0) => self.peak.join(&self.previous_peak, u64::max),
            Some(1) => self.peak,
            _ => Sum::default(),
        };
        let asked = self.waiting.join(&self.usage, u64::saturating_add);
        let peak = lately.join(&asked, u64::max);
        peak.join(&self.usage, u64::saturating_sub).narrowed()
    }
}

impl Tenant {
    /// Returns whether a run with these resources stays within the resource limit and leaves
    /// `headroom` of it. Of a kind of which the tenant holds less than half of its
    /// resource limit nothing need be left.
    pub(crate) fn allows_beside(&self, needs: &Resources, headroom: &Resources) -> bool {
        let allows = |usage: u32, needs: u32, headroom: u32, resource_limit: u32| {
            let (usage, resource_limit) = (u64::from(usage), u64::from(resource_limit));
            let headroom = match usage * 2 < resource_limit {
                true => 0,
                false => u64::from(headroom),
            };
            needs == 0 || usage + u64::from(needs) + headroom <= resource_limit
        };
        let (usage, resource_limit) = (&self.usage, &self.resource_limit);
        self.allows(needs)
            && allows(
                usage.slots,
                needs.slots,
                headroom.slots,
                resource_limit.slots,
            )
            && allows(
                usage.cpu_milli,
                needs.cpu_milli,
                headroom.cpu_milli,
                resource_limit.cpu_milli,
            )
            && allows(
                usage.memory_mib,
                needs.memory_mib,
                headroom.memory_mib,
                resource_limit.memory_mib,
            )
            && allows(usage.gpus, needs.gpus, headroom.gpus, resource_limit.gpus)
    }
}

/// So much of each kind, in percent, whole amounts.
fn part(amounts: &Resources, percent: u32) -> Resources {
    let part = |amount: u32| (u64::from(amount) * u64::from(percent.min(100)) / 100) as u32;
    Resources {
        slots: part(amounts.slots),
        cpu_milli: part(amounts.cpu_milli),
        memory_mib: part(amounts.memory_mib),
        gpus: part(amounts.gpus),
    }
}

impl Scheduler {
    /// Returns whether the list's tenant may hold this much more for it.
    pub(crate) fn list_allows(&self, index: ListIndex, needs: &Resources, now: Now) -> bool {
        let headroom = self.urgent_headroom_of(index, now.monotonic);
        self.tenants[self.lists[index].tenant].allows_beside(needs, &headroom)
    }

    /// What work of a list leaves under its tenant's resource limit for the tenant's
    /// more urgent queues.
    pub(crate) fn urgent_headroom_of(&self, index: ListIndex, now: Monotonic) -> Resources {
        let list = &self.lists[index];
        let max_wait = self.options.reserve_after.0.saturating_mul(MAX_WAIT_FACTOR);
        let waits_too_long =
            now.since(list.started_at).0 >= max_wait && now.since(list.waiting_since).0 >= max_wait;
        if !self.options.policy.urgent_headroom || waits_too_long {
            return Resources::ZERO;
        }
        let tenant = &self.tenants[list.tenant];
        let priority = self.queues[list.queue].priority;
        let more_urgent = tenant.lists.iter().map(|other| &self.lists[*other]);
        let headroom = more_urgent
            .filter(|other| {
                let queue = &self.queues[other.queue];
                let starts_work = matches!(queue.mode, QueueMode::Active | QueueMode::Draining);
                starts_work && queue.priority < priority
            })
            .map(|other| other.demand.unmet(now))
            .fold(Resources::ZERO, |sum, needs| sum.plus(&needs));
        headroom.component_min(&part(
            &tenant.resource_limit,
            self.options.urgent_headroom_percent,
        ))
    }
}
