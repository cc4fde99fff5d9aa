//! Reserve: the draw among runnable tenants and the choice of a task.

use crate::policy::Draw;
use crate::queue::{ListIndex, RunnableSet};
use crate::run::Run;
use crate::runner::RunnerIndex;
use crate::scan::Starving;
use crate::task::TaskStatus;
use crate::{Decision, DecisionKind, Scheduler};
use configuration::QueueMode;
use rand::Rng;
use std::collections::BTreeSet;
use std::sync::Arc;
use types::{
    EndpointName, Labels, Milliseconds, Now, RackName, Reservation, Resources, RunId,
    RunnerIncarnation, TaskRef,
};

/// How long pulls do without a search for a runner that could be kept free,
/// after one found none.
const SEARCH_AGAIN_AFTER: Milliseconds = Milliseconds(100);

/// What one runner offers for one pull.
#[derive(Debug, Clone)]
pub(crate) struct Offer {
    pub(crate) runner: RunnerIndex,
    pub(crate) incarnation: RunnerIncarnation,
    pub(crate) self_stop: bool,
    pub(crate) pool: usize,
    pub(crate) free: Resources,
    pub(crate) capacity: Resources,
    pub(crate) labels: Arc<Labels>,
    pub(crate) rack: RackName,
    pub(crate) endpoint: Option<EndpointName>,
}

/// A task that the pull may take.
#[derive(Debug, Clone, Copy)]
struct Choice {
    task: TaskRef,
    runnable_tenants: u32,
}

/// What a walk over the tenants drawn found.
#[derive(Debug, Clone, Default)]
struct Walk {
    below_share: Option<TaskRef>,
    bursting: Option<TaskRef>,
    starving: Option<TaskRef>,
    /// Lists above their resource limit, and whether some task of each only leaves room.
    above_limit: Vec<(ListIndex, bool)>,
}

/// Which of a queue's sets is drawn from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Ordinary,
    Copies,
}

impl Scheduler {
    /// One pull for a runner whose due tasks have been admitted.
    pub(crate) fn pull(
        &mut self,
        runner: RunnerIndex,
        starving: Starving,
        now: Now,
    ) -> Option<Decision> {
        if self.pull_rejection(runner, now).is_some() {
            return None;
        }
        let offer = self.offer(runner)?;
        if offer.free == Resources::ZERO {
            return None;
        }
        let choice = match self.reserved_task(runner, now) {
            Some(task) if self.gangs.has(task) => return None,
            Some(task) => self.choose_reserved(task, &offer)?,
            None => self
                .choose(Kind::Ordinary, &offer, starving, now)
                .or_else(|| self.choose_copy(&offer, starving, now))?,
        };
        self.take(choice, &offer, now)
    }

    fn offer(&self, runner: RunnerIndex) -> Option<Offer> {
        let state = &self.runners[runner];
        let last = state.reported.as_ref()?;
        Some(Offer {
            runner,
            incarnation: last.incarnation,
            self_stop: last.self_stop,
            pool: last.pool,
            free: state.free(),
            capacity: last.capacity,
            labels: Arc::clone(&last.labels),
            rack: last.rack.clone(),
            endpoint: last.endpoint.clone(),
        })
    }

    fn choose_reserved(&self, task: TaskRef, offer: &Offer) -> Option<Choice> {
        let entry = self.tasks.get(&task)?;
        let needs = self.shapes.get(entry.shape)?;
        let has_seat = self.has_seats(needs, self.lists[entry.list].queue, 1);
        let may_start = has_seat && self.is_below_step_limit(needs, offer.runner);
        (may_start && needs.resources.fits_in(&offer.free)).then_some(Choice {
            task,
            runnable_tenants: self.runnable_count(offer.pool, Kind::Ordinary),
        })
    }

    /// Work of a more urgent queue goes first; within one level the draw
    /// decides.
    fn choose(
        &mut self,
        kind: Kind,
        offer: &Offer,
        starving: Starving,
        now: Now,
    ) -> Option<Choice> {
        let queues = self.pools[offer.pool].queues.iter();
        let levels: BTreeSet<u8> = queues.map(|queue| self.queues[*queue].priority).collect();
        levels
            .into_iter()
            .find_map(|level| self.choose_at(level, kind, offer, starving, now))
    }

    fn choose_copy(&mut self, offer: &Offer, starving: Starving, now: Now) -> Option<Choice> {
        if !self.options.policy.copies {
            return None;
        }
        self.choose(Kind::Copies, offer, starving, now)
    }

    fn choose_at(
        &mut self,
        level: u8,
        kind: Kind,
        offer: &Offer,
        starving: Starving,
        now: Now,
    ) -> Option<Choice> {
        let runnable_tenants = self.runnable_count(offer.pool, kind);
        let walk = self.walk_tenants(level, kind, offer, starving, now);
        for (index, limited_by_headroom) in walk.above_limit {
            self.lists[index].above_limit = true;
            self.lists[index].limited_by_headroom = limited_by_headroom;
            self.refresh_list(index);
        }
        if let Some(task) = walk.starving
            && now.monotonic >= self.search_backfills_after
            && !self.reserve_runner_for(task, offer.pool, now)
        {
            self.search_backfills_after = now.monotonic + SEARCH_AGAIN_AFTER;
        }
        let task = walk.below_share.or(walk.bursting);
        let task = self.unless_just_reserved(task, offer.runner)?;
        Some(Choice {
            task,
            runnable_tenants,
        })
    }

    /// Draws tenants, never one twice, until one below its share has a task
    /// that fits; notes the first above its share that has one.
    fn walk_tenants(
        &mut self,
        level: u8,
        kind: Kind,
        offer: &Offer,
        starving: Starving,
        now: Now,
    ) -> Walk {
        let mut drawn = vec![0; self.pools[offer.pool].queues.len()];
        let mut walk = Walk::default();
        while let Some(index) = self.draw_tenant_list(level, kind, offer.pool, &mut drawn) {
            let finding = match kind {
                Kind::Ordinary => self.scan_for_task(index, offer, starving, now),
                Kind::Copies => self.scan_for_copy(index, offer),
            };
            if finding.above_limit {
                walk.above_limit.push((index, finding.limited_by_headroom));
            }
            if self.is_above_share(index, offer.pool) {
                walk.bursting = walk.bursting.or(finding.startable);
                continue;
            }
            walk.starving = walk.starving.or(finding.starving);
            if finding.startable.is_some() {
                walk.below_share = finding.startable;
                break;
            }
        }
        walk
    }

    // The very runner of this pull may have been the one to keep free.
    fn unless_just_reserved(&self, task: Option<TaskRef>, runner: RunnerIndex) -> Option<TaskRef> {
        task.filter(|task| {
            let backfill = self.runners[runner].backfill;
            backfill.is_none_or(|backfill| backfill.task == *task)
        })
    }

    fn draw_tenant_list(
        &mut self,
        level: u8,
        kind: Kind,
        pool: usize,
        drawn: &mut [usize],
    ) -> Option<ListIndex> {
        let queues = &self.pools[pool].queues;
        let mut left = 0;
        for (position, queue) in queues.iter().enumerate() {
            if self.queues[*queue].priority == level {
                left += self.drawable_count(*queue, kind) - drawn[position];
            }
        }
        if left == 0 {
            return None;
        }
        if self.options.policy.draw == Draw::Oldest {
            return self.oldest_list(level, kind, pool, drawn);
        }
        let mut place = self.random.random_range(0..left);
        for (position, &queue) in queues.iter().enumerate() {
            if self.queues[queue].priority != level {
                continue;
            }
            let here = self.drawable_count(queue, kind) - drawn[position];
            if place >= here {
                place -= here;
                continue;
            }
            let set = match kind {
                Kind::Ordinary => &mut self.queues[queue].runnable,
                Kind::Copies => &mut self.queues[queue].copying,
            };
            let list = set.draw(drawn[position], &mut self.random);
            drawn[position] += 1;
            return list;
        }
        None
    }

    /// The list whose first task is the oldest, among those not drawn yet.
    fn oldest_list(
        &mut self,
        level: u8,
        kind: Kind,
        pool: usize,
        drawn: &mut [usize],
    ) -> Option<ListIndex> {
        let queues = self.pools[pool].queues.iter().enumerate();
        let at_level = queues.filter(|(_, queue)| self.queues[**queue].priority == level);
        let (_, position, queue, list) = at_level
            .filter(|(_, queue)| self.drawable_count(**queue, kind) > 0)
            .flat_map(|(position, queue)| {
                let lists = self.set_of(*queue, kind).left(drawn[position]);
                lists.map(move |list| (list, position, *queue))
            })
            .filter_map(|(list, position, queue)| {
                let waiting = match kind {
                    Kind::Ordinary => &self.lists[list].pending,
                    Kind::Copies => &self.lists[list].copies,
                };
                Some((waiting.first()?, position, queue, list))
            })
            .min()?;
        let left = drawn[position];
        drawn[position] += 1;
        let set = match kind {
            Kind::Ordinary => &mut self.queues[queue].runnable,
            Kind::Copies => &mut self.queues[queue].copying,
        };
        set.take(list, left);
        Some(list)
    }

    fn set_of(&self, queue: usize, kind: Kind) -> &RunnableSet {
        match kind {
            Kind::Ordinary => &self.queues[queue].runnable,
            Kind::Copies => &self.queues[queue].copying,
        }
    }

    fn runnable_count(&self, pool: usize, kind: Kind) -> u32 {
        let queues = self.pools[pool].queues.iter();
        let count: usize = queues.map(|queue| self.drawable_count(*queue, kind)).sum();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn drawable_count(&self, queue: usize, kind: Kind) -> usize {
        let queue = &self.queues[queue];
        match (queue.mode, kind) {
            (QueueMode::Paused, _) | (QueueMode::Shadow, Kind::Copies) => 0,
            (_, Kind::Ordinary) => queue.runnable.len(),
            (_, Kind::Copies) => queue.copying.len(),
        }
    }

    fn is_above_share(&self, list: ListIndex, pool: usize) -> bool {
        if !self.options.policy.shares {
            return false;
        }
        let tenant = &self.tenants[self.lists[list].tenant];
        tenant.is_above_share(pool, &self.pools[pool].capacity)
    }

    /// Binds the chosen task, or in a shadow queue only says so.
    fn take(&mut self, choice: Choice, offer: &Offer, now: Now) -> Option<Decision> {
        let entry = self.tasks.get(&choice.task)?;
        let index = entry.list;
        let list = &self.lists[index];
        let (queue, tenant) = (list.queue, list.tenant);
        let shape = self.shapes.get(entry.shape)?;
        let (resources, licence) = (shape.resources, shape.licence.clone());
        let reservation = Reservation {
            run: self.next_run(),
            task: choice.task,
            runner: self.runners.name(offer.runner)?.clone(),
            incarnation: offer.incarnation,
            endpoint: offer.endpoint.clone(),
            self_stop: offer.self_stop,
        };
        let id = reservation.run;
        let shadow = self.queues[queue].mode == QueueMode::Shadow;
        if shadow {
            self.stand(choice.task, TaskStatus::Shadowed);
        } else {
            self.lists[index].started_at = now.monotonic;
            let run = Run {
                task: choice.task,
                tenant,
                list: index,
                pool: Some(offer.pool),
                runner: offer.runner,
                incarnation: offer.incarnation,
                resources,
                licence,
            };
            self.bind(id, run, offer.pool);
        }
        Some(Decision {
            at: now.wall,
            queue: self.queues.name(queue)?.clone(),
            tenant: self.tenants.name(tenant)?.clone(),
            kind: DecisionKind::Placed {
                reservation,
                runnable_tenants: choice.runnable_tenants,
                shadow,
            },
        })
    }

    /// Binds one member of a gang to a runner.
    pub(crate) fn take_member(
        &mut self,
        task: TaskRef,
        runner: RunnerIndex,
        now: Now,
    ) -> Option<Decision> {
        let offer = self.offer(runner)?;
        let runnable_tenants = self.runnable_count(offer.pool, Kind::Ordinary);
        let choice = Choice {
            task,
            runnable_tenants,
        };
        self.take(choice, &offer, now)
    }

    fn bind(&mut self, id: RunId, run: Run, pool: usize) {
        let task = run.task;
        self.open_run(id, run);
        if let Some(holder) = self.holder_of(task, pool) {
            self.release_backfill(holder);
        }
    }
}
