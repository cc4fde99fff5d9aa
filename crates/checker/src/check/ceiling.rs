//! No tenant holds more than its ceiling and the margin.
//!
//! Judged at each start: runs that go on after a ceiling was lowered may stay.

use super::rule::{Findings, Rule};
use super::world::World;
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use std::collections::BTreeMap;
use types::{Milliseconds, Resources, TenantId};

#[derive(Debug, Clone)]
struct Candidate {
    ceiling: Resources,
    sent_at: Milliseconds,
    is_acknowledged: bool,
    superseded_at: Option<Milliseconds>,
}

impl Candidate {
    /// True when a start seen at `at` may have been decided under it. One that
    /// was not acknowledged may be taken late, as long as service may be out.
    fn may_hold(&self, at: Milliseconds, limits: &Limits) -> bool {
        let Some(superseded) = self.superseded_at else {
            return true;
        };
        let may_be_late = !self.is_acknowledged && at <= self.sent_at + limits.service_after;
        may_be_late || at <= superseded + limits.configuration_after
    }
}

#[derive(Debug, Default)]
pub(super) struct CeilingExceeded {
    candidates: BTreeMap<TenantId, Vec<Candidate>>,
}

impl CeilingExceeded {
    fn take(
        &mut self,
        tenant: &TenantId,
        ceiling: Resources,
        at: Milliseconds,
        is_acknowledged: bool,
        limits: &Limits,
    ) {
        let candidates = self.candidates.entry(tenant.clone()).or_default();
        candidates.retain(|candidate| candidate.may_hold(at, limits));
        if is_acknowledged {
            for candidate in candidates.iter_mut() {
                candidate.superseded_at.get_or_insert(at);
            }
        }
        candidates.push(Candidate {
            ceiling,
            sent_at: at,
            is_acknowledged,
            superseded_at: None,
        });
    }

    /// The highest amount of each kind that may be in force; None when no
    /// ceiling was ever acknowledged.
    fn highest(&self, tenant: &TenantId, at: Milliseconds, limits: &Limits) -> Option<Resources> {
        let candidates = self.candidates.get(tenant)?;
        candidates
            .iter()
            .find(|candidate| candidate.is_acknowledged)?;
        let possible = candidates
            .iter()
            .filter(|candidate| candidate.may_hold(at, limits));
        possible
            .map(|candidate| candidate.ceiling)
            .reduce(|one, two| Resources {
                slots: one.slots.max(two.slots),
                cpu_milli: one.cpu_milli.max(two.cpu_milli),
                memory_mib: one.memory_mib.max(two.memory_mib),
                gpus: one.gpus.max(two.gpus),
            })
    }
}

impl Rule for CeilingExceeded {
    fn observe(
        &mut self,
        observation: &Observation,
        world: &World,
        limits: &Limits,
        findings: &mut Findings,
    ) {
        let at = observation.at;
        match &observation.event {
            Event::CeilingSent { tenant, ceiling } => {
                self.take(tenant, *ceiling, at, false, limits);
            }
            Event::CeilingInForce { tenant, ceiling } => {
                self.take(tenant, *ceiling, at, true, limits);
            }
            Event::RunStarted {
                run,
                job,
                resources,
                ..
            } => {
                let tenant = &job.tenant;
                let Some(ceiling) = self.highest(tenant, at, limits) else {
                    return;
                };
                let held = world.held(tenant).plus(resources);
                if exceeds(&held, &ceiling, resources, limits.ceiling_margin_percent) {
                    let detail = format!(
                        "with run {run}, tenant {tenant} holds {held:?} under a ceiling of {ceiling:?}"
                    );
                    findings.add(ViolationKind::CeilingExceeded, at, detail);
                }
            }
            _ => {}
        }
    }
}

// Only kinds that the new run takes some of are judged by its start.
fn exceeds(held: &Resources, ceiling: &Resources, taken: &Resources, margin: u32) -> bool {
    let part = 100 + u64::from(margin);
    let over = |held: u32, ceiling: u32, taken: u32| {
        taken > 0 && u64::from(held) * 100 > u64::from(ceiling) * part
    };
    over(held.slots, ceiling.slots, taken.slots)
        || over(held.cpu_milli, ceiling.cpu_milli, taken.cpu_milli)
        || over(held.memory_mib, ceiling.memory_mib, taken.memory_mib)
        || over(held.gpus, ceiling.gpus, taken.gpus)
}
