//! Oracle of the property, from what callers and runners see alone.
//!
//! A job breaks the property if for [`BOUND_MS`] it has nothing running although a task's turn
//! has come, room for it exists twice over, its tenant uses under half of its resource limit,
//! and under half of its pool is in use.

use crate::world::{Job, Step, World};
use std::collections::BTreeMap;
use types::*;

/// Time after which a job must have started, in milliseconds.
pub const BOUND_MS: u64 = 3_000;

/// Time since which each job has been held back without a break.
#[derive(Debug, Default)]
pub struct Oracle {
    held_back_since: BTreeMap<u64, u64>,
}

impl Oracle {
    /// Examines the state after a step. Returns the first job that breaks the property.
    pub fn check(&mut self, world: &World) -> Option<u64> {
        let now = world.fleet.now;
        for (number, job) in &world.jobs {
            if !is_held_back(world, *number, job) {
                self.held_back_since.remove(number);
                continue;
            }
            let since = *self.held_back_since.entry(*number).or_insert(now);
            if now - since > BOUND_MS {
                return Some(*number);
            }
        }
        None
    }
}

fn is_held_back(world: &World, number: u64, job: &Job) -> bool {
    let is_running = world
        .fleet
        .runs
        .values()
        .any(|run| run.task.job.0 == number);
    if job.is_over || is_running {
        return false;
    }
    let steps = world.due_steps(number);
    steps.iter().any(|step| {
        is_under_half(&world.pool_usage(step))
            && tenant_has_room(world, step)
            && has_seats_twice(world, step)
            && has_room_twice(world, step)
    })
}

fn is_under_half((used, all): &(Resources, Resources)) -> bool {
    let is_under = |used: u32, all: u32| all == 0 || u64::from(used) * 2 < u64::from(all);
    is_under(used.cpu_milli, all.cpu_milli)
        && is_under(used.memory_mib, all.memory_mib)
        && is_under(used.gpus, all.gpus)
}

fn tenant_has_room(world: &World, step: &Step) -> bool {
    let (used, limit) = world.tenant_usage(step);
    let wanted = if step.is_gang { step.tasks } else { 1 };
    let needs = step.needs.times(wanted);
    u64::from(used.cpu_milli) * 2 < u64::from(limit.cpu_milli)
        && u64::from(used.cpu_milli) + u64::from(needs.cpu_milli) <= u64::from(limit.cpu_milli)
}

/// Seats are left to more urgent steps that could start in a while: whose tenant has room,
/// and for which the seats and the runners suffice beside the runs that go on for long.
fn has_seats_twice(world: &World, step: &Step) -> bool {
    if !step.is_licensed {
        return true;
    }
    let wanted = if step.is_gang { step.tasks } else { 1 };
    let claimed = world.seats_claimed_before(step.priority);
    world.free_seats().saturating_sub(claimed) >= 2 * wanted
}

fn has_room_twice(world: &World, step: &Step) -> bool {
    let twice = step.needs.times(2);
    let fits = |free: &Resources| {
        let mut count = 0;
        let mut left = *free;
        while twice.fits_in(&left) && count < step.max_per_runner {
            left = left.minus(&twice);
            count += 1;
        }
        count
    };
    let total: u32 = world.free_of_eligible(step).iter().map(fits).sum();
    total >= if step.is_gang { step.tasks } else { 1 }
}
