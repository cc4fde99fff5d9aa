//! Guarantee: a tenant's runs hold at most its resource limit plus the margin.
//!
//! Reads the sent and acknowledged resource limits and the starts of runs. Reports
//! a violation if a run starts and the tenant then holds more than the highest
//! limit that may be in force, plus [`Limits::limit_margin_percent`]. Only starts
//! are checked: runs that started before a limit was lowered may continue.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use std::collections::BTreeMap;
use types::{Milliseconds, Resources, TenantId};

/// A resource limit that may be in force.
#[derive(Debug, Clone)]
struct Candidate {
    resource_limit: Resources,
    sent_at: Milliseconds,
    is_acknowledged: bool,
    /// Time at which a later limit was acknowledged; None if none was.
    superseded_at: Option<Milliseconds>,
}

impl Candidate {
    /// Returns whether a start observed at `at` may have been decided under this
    /// limit. A limit that was not acknowledged may take effect late, within the
    /// time for which service may be unavailable.
    fn may_apply(&self, at: Milliseconds, limits: &Limits) -> bool {
        let Some(superseded_at) = self.superseded_at else {
            return true;
        };
        let may_take_effect_late =
            !self.is_acknowledged && at <= self.sent_at + limits.service_after;
        may_take_effect_late || at <= superseded_at + limits.configuration_after
    }
}

#[derive(Debug, Default)]
pub(super) struct ResourceLimitExceeded {
    candidates: BTreeMap<TenantId, Vec<Candidate>>,
}

impl ResourceLimitExceeded {
    fn add_candidate(
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

    /// Returns the highest limit of each resource that may be in force; None if no
    /// limit of the tenant was acknowledged.
    fn highest_limit(
        &self,
        tenant: &TenantId,
        at: Milliseconds,
        limits: &Limits,
    ) -> Option<Resources> {
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
                self.add_candidate(tenant, *resource_limit, at, false, limits);
            }
            Event::ResourceLimitInForce {
                tenant,
                resource_limit,
            } => {
                self.add_candidate(tenant, *resource_limit, at, true, limits);
            }
            Event::RunStarted {
                run,
                job,
                resources,
                ..
            } => {
                let tenant = &job.tenant;
                let Some(resource_limit) = self.highest_limit(tenant, at, limits) else {
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
                        "with run {run}, tenant {tenant} holds {usage:?} under a resource limit of {resource_limit:?}"
                    );
                    findings.add(ViolationKind::ResourceLimitExceeded, at, detail);
                }
            }
            _ => {}
        }
    }
}

/// Returns whether the usage of a resource that the new run holds exceeds the
/// limit plus the margin. Resources that the run doesn't hold are not checked.
fn exceeds(usage: &Resources, resource_limit: &Resources, added: &Resources, margin: u32) -> bool {
    let max_percent = 100 + u64::from(margin);
    let is_over = |usage: u32, resource_limit: u32, added: u32| {
        added > 0 && u64::from(usage) * 100 > u64::from(resource_limit) * max_percent
    };
    is_over(usage.slots, resource_limit.slots, added.slots)
        || is_over(usage.cpu_milli, resource_limit.cpu_milli, added.cpu_milli)
        || is_over(
            usage.memory_mib,
            resource_limit.memory_mib,
            added.memory_mib,
        )
        || is_over(usage.gpus, resource_limit.gpus, added.gpus)
}
