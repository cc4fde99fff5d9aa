//! What a tenant's work in one queue asks for at once, now and lately, and what
//! of the tenant's ceiling is kept for it.
//!
//! A ceiling counts a tenant's runs in all pools. Work of a less urgent queue
//! that fills it up makes a quick task of a more urgent one wait until something
//! ends, in whatever pool, while its own pool is empty. So less urgent work
//! leaves under the ceiling what the more urgent queues of its tenant asked for
//! lately and do not hold now.

use crate::Dispatcher;
use crate::queue::{ListIndex, Tenant};
use configuration::QueueMode;
use types::{Milliseconds, Monotonic, Now, Resources};

/// What was asked for counts for one such time at least and two at most.
const WINDOW: Milliseconds = Milliseconds(10_000);
/// Less urgent work that waits this many times `hold_after` at the kept part
/// may use it for one start.
const LONGEST_WAIT_FACTOR: u64 = 10;

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
    held: Sum,
    /// The most of both together, kind by kind, in the window.
    most: Sum,
    /// The same in the window before.
    most_before: Sum,
    /// Number of the window.
    window: u64,
}

impl Demand {
    /// A task waits.
    pub(crate) fn wait(&mut self, needs: &Resources, now: Monotonic) {
        self.waiting.add(needs);
        self.note(now);
    }

    /// A task waits no more.
    pub(crate) fn wait_no_more(&mut self, needs: &Resources) {
        self.waiting.take_away(needs);
    }

    /// A run holds this.
    pub(crate) fn hold(&mut self, amount: &Resources, now: Monotonic) {
        self.held.add(amount);
        self.note(now);
    }

    /// A run holds it no more.
    pub(crate) fn let_go(&mut self, amount: &Resources) {
        self.held.take_away(amount);
    }

    fn note(&mut self, now: Monotonic) {
        let window = now.0 / WINDOW.0;
        if window != self.window {
            self.most_before = self.most_of(window.saturating_sub(1));
            self.most = Sum::default();
            self.window = window;
        }
        let asked = self.waiting.join(&self.held, u64::saturating_add);
        self.most = self.most.join(&asked, u64::max);
    }

    fn most_of(&self, window: u64) -> Sum {
        match window.checked_sub(self.window) {
            Some(0) => self.most,
            _ => Sum::default(),
        }
    }

    /// What it asked for lately, and asks for now, beyond what its runs hold.
    fn not_held(&self, now: Monotonic) -> Resources {
        let window = now.0 / WINDOW.0;
        let lately = match window.checked_sub(self.window) {
            Some(0) => self.most.join(&self.most_before, u64::max),
            Some(1) => self.most,
            _ => Sum::default(),
        };
        let asked = self.waiting.join(&self.held, u64::saturating_add);
        let most = lately.join(&asked, u64::max);
        most.join(&self.held, u64::saturating_sub).narrowed()
    }
}

impl Tenant {
    /// True when a run with these resources stays within the ceiling and leaves
    /// `kept` of it. Of a kind of which the tenant holds less than half of its
    /// ceiling nothing need be left.
    pub(crate) fn allows_beside(&self, needs: &Resources, kept: &Resources) -> bool {
        let allows = |held: u32, needs: u32, kept: u32, ceiling: u32| {
            let (held, ceiling) = (u64::from(held), u64::from(ceiling));
            let kept = match held * 2 < ceiling {
                true => 0,
                false => u64::from(kept),
            };
            needs == 0 || held + u64::from(needs) + kept <= ceiling
        };
        let (held, ceiling) = (&self.held, &self.ceiling);
        self.allows(needs)
            && allows(held.slots, needs.slots, kept.slots, ceiling.slots)
            && allows(
                held.cpu_milli,
                needs.cpu_milli,
                kept.cpu_milli,
                ceiling.cpu_milli,
            )
            && allows(
                held.memory_mib,
                needs.memory_mib,
                kept.memory_mib,
                ceiling.memory_mib,
            )
            && allows(held.gpus, needs.gpus, kept.gpus, ceiling.gpus)
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

impl Dispatcher {
    /// True when the list's tenant may hold this much more for it.
    pub(crate) fn list_allows(&self, index: ListIndex, needs: &Resources, now: Now) -> bool {
        let kept = self.kept_for_urgent(index, now.monotonic);
        self.tenants[self.lists[index].tenant].allows_beside(needs, &kept)
    }

    /// What work of a list leaves under its tenant's ceiling for the tenant's
    /// more urgent queues.
    pub(crate) fn kept_for_urgent(&self, index: ListIndex, now: Monotonic) -> Resources {
        let list = &self.lists[index];
        let longest = self
            .options
            .hold_after
            .0
            .saturating_mul(LONGEST_WAIT_FACTOR);
        let waits_too_long =
            now.since(list.started_at).0 >= longest && now.since(list.waiting_since).0 >= longest;
        if !self.options.policy.ceiling_reserve || waits_too_long {
            return Resources::ZERO;
        }
        let tenant = &self.tenants[list.tenant];
        let priority = self.queues[list.queue].priority;
        let more_urgent = tenant.lists.iter().map(|other| &self.lists[*other]);
        let kept = more_urgent
            .filter(|other| {
                let queue = &self.queues[other.queue];
                let starts_work = matches!(queue.mode, QueueMode::Active | QueueMode::Draining);
                starts_work && queue.priority < priority
            })
            .map(|other| other.demand.not_held(now))
            .fold(Resources::ZERO, |sum, needs| sum.plus(&needs));
        kept.least(&part(&tenant.ceiling, self.options.urgent_ceiling_percent))
    }
}
