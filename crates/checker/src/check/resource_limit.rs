//! No tenant holds more than its resource limit and the margin.
//!
//! Judged at each start: runs that go on after a resource limit was lowered may stay.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use std::collections::BTreeMap;
use types::{Milliseconds, Resources, TenantId};

#[derive(Debug, Clone)]
struct Candidate {
    resource_limit: Resources,
    sent_at: Milliseconds,
    is_acknowledged: bool,
    superseded_at: Option<Milliseconds>,
}

impl Candidate {
    /// Returns whether a start seen at `at` may have been decided under it. One that
    /// was not acknowledged may be taken late, as long as service may be out.
    fn may_apply(&self, at: Milliseconds, limits: &Limits) -> bool {
        let Some(superseded) = self.superseded_at else {
            return true;
        };
        let may_be_late = !self.is_acknowledged && at <= self.sent_at + limits.service_after;
        may_be_late || at <= superseded + limits.configuration_after
    }
}

#[derive(Debug, Default)]
pub(super) struct ResourceLimitExceeded {
    candidates: BTreeMap<TenantId, Vec<Candidate>>,
}

impl ResourceLimitExceeded {
    fn take(
        &mut self,
        tenant: &TenantId,
        resource_limit: Resources,
        at: Milliseconds,
        is_acknowledged: bool,
        limits: &Limits,
    ) {
        let candidates = self.candidates.entry(tenant.clone()).or_default();
        candidates.retain(|candidate| candidate.may_apply(at, limits));
        if is_acknowledged {
            for candidate in candidates.iter_mut() {
                candidate.superseded_at.get_or_insert(at);
            }
        }
        candidates.push(Candidate {
            resource_limit,
            sent_at: at,
            is_acknowledged,
            superseded_at: None,
        });
    }

    /// The highest amount of each kind that may be in force; None when no
    /// resource limit was ever acknowledged.
    fn highest(&self, tenant: &TenantId, at: Milliseconds, limits: &Limits) -> Option<Resources> {
        let candidates = self.candidates.get(tenant)?;
        candidates
            .iter()
            .find(|candidate| candidate.is_acknowledged)?;
        let possible = candidates
            .iter()
            .filter(|candidate| candidate.may_apply(at, limits));
        possible
            .map(|candidate| candidate.resource_limit)
            .reduce(|one, two| Resources {
                slots: one.slots.max(two.slots),
                cpu_milli: one.cpu_milli.max(two.cpu_milli),
                memory_mib: one.memory_mib.max(two.memory_mib),
                gpus: one.gpus.max(two.gpus),
            })
    }
}

impl Rule for ResourceLimitExceeded {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        limits: &Limits,
        findings: &mut Findings,
    ) {
        let at = observation.at;
        match &observation.event {
            Event::ResourceLimitSent {
                tenant,
                resource_limit,
            } => {
                self.take(tenant, *resource_limit, at, false, limits);
            }
            Event::ResourceLimitInForce {
                tenant,
                resource_limit,
            } => {
                self.take(tenant, *resource_limit, at, true, limits);
            }
            Event::RunStarted {
                run,
                job,
                resources,
                ..
            } => {
                let tenant = &job.tenant;
                let Some(resource_limit) = self.highest(tenant, at, limits) else {
                    return;
                };
                let usage = observed.usage(tenant).plus(resources);
                if exceeds(
                    &usage,
                    &resource_limit,
                    resources,
                    limits.limit_margin_percent,
                ) {
                    let detail = format!(
                        "with run {run}, tenant {tenant} holds {usage:?} under a ceiling of {resource_limit:?}"
                    );
                    findings.add(ViolationKind::ResourceLimitExceeded, at, detail);
                }
            }
            _ => {}
        }
    }
}

// Only kinds that the new run takes some of are judged by its start.
fn exceeds(usage: &Resources, resource_limit: &Resources, taken: &Resources, margin: u32) -> bool {
    let part = 100 + u64::from(margin);
    let over = |usage: u32, resource_limit: u32, taken: u32| {
        taken > 0 && u64::from(usage) * 100 > u64::from(resource_limit) * part
    };
    over(usage.slots, resource_limit.slots, taken.slots)
        || over(usage.cpu_milli, resource_limit.cpu_milli, taken.cpu_milli)
        || over(
            usage.memory_mib,
            resource_limit.memory_mib,
            taken.memory_mib,
        )
        || over(usage.gpus, resource_limit.gpus, taken.gpus)
}
