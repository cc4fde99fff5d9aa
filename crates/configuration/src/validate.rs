//! Validation of a document as a whole.

use crate::{ClusterConfiguration, KeyRole, TenantSettings};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;
use types::{Milliseconds, Resources};

/// Maximum share of a tenant, in percent of a pool.
pub const MAX_SHARE_PERCENT: u32 = 100;
/// Maximum of the allowed late and failed jobs in an error budget, per thousand jobs.
pub const MAX_PER_THOUSAND: u32 = 1_000;
/// Minimum retention. A caller that lost an answer must be able to resend its request.
pub const MIN_RETENTION: Milliseconds = Milliseconds::from_seconds(60);

/// Problem of a document, with its path.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{path}: {message}")]
pub struct ConfigurationError {
    /// Path in the document, such as `queues.hover.pool`.
    pub path: String,
    /// Description of the problem in one sentence.
    pub message: String,
}

/// Returns all problems of the document; the list is empty if the document is valid.
pub fn validate(document: &ClusterConfiguration) -> Vec<ConfigurationError> {
    let mut problems = Problems::default();
    check_pools(document, &mut problems);
    check_queues(document, &mut problems);
    check_tenants(document, &mut problems);
    check_keys(document, &mut problems);
    check_timings(document, &mut problems);
    problems.found
}

#[derive(Default)]
struct Problems {
    found: Vec<ConfigurationError>,
}

impl Problems {
    fn check(&mut self, valid: bool, path: String, message: impl Into<String>) {
        if !valid {
            self.found.push(ConfigurationError {
                path,
                message: message.into(),
            });
        }
    }

    fn check_positive(&mut self, value: u64, path: String) {
        self.check(value > 0, path, "must be at least 1");
    }

    /// Checks that the capacity has slots. Every task needs a slot, so no task could run
    /// without them.
    fn check_slots(&mut self, capacity: &Resources, path: &str) {
        self.check_positive(u64::from(capacity.slots), format!("{path}.slots"));
    }
}

fn check_pools(document: &ClusterConfiguration, problems: &mut Problems) {
    for (name, pool) in &document.pools {
        problems.check_slots(
            &pool.largest_runner,
            &format!("pools.{name}.largest_runner"),
        );
    }
}

fn check_queues(document: &ClusterConfiguration, problems: &mut Problems) {
    for (name, queue) in &document.queues {
        problems.check(
            document.pools.contains_key(&queue.pool),
            format!("queues.{name}.pool"),
            format!("there is no pool {}", queue.pool),
        );
        problems.check_positive(
            queue.max_unfinished_jobs,
            format!("queues.{name}.max_unfinished_jobs"),
        );
    }
}

// The shares of all tenants may add up to more than 100 percent: a share applies to
// each pool separately, and tenants whose queues use different pools do not compete.
fn check_tenants(document: &ClusterConfiguration, problems: &mut Problems) {
    for (name, tenant) in &document.tenants {
        check_tenant(&format!("tenants.{name}"), tenant, problems);
    }
}

fn check_tenant(path: &str, tenant: &TenantSettings, problems: &mut Problems) {
    problems.check(
        (1..=MAX_SHARE_PERCENT).contains(&tenant.share_percent),
        format!("{path}.share_percent"),
        format!("must be 1 to {MAX_SHARE_PERCENT}"),
    );
    problems.check_slots(&tenant.resource_limit, &format!("{path}.ceiling"));
    let limits = [
        ("submits_per_second", u64::from(tenant.submits_per_second)),
        ("submit_burst", u64::from(tenant.submit_burst)),
        ("max_unfinished_jobs", tenant.max_unfinished_jobs),
    ];
    for (field, value) in limits {
        problems.check_positive(value, format!("{path}.{field}"));
    }
    let budget = &tenant.error_budget;
    problems.check_positive(
        budget.late_after.0,
        format!("{path}.error_budget.late_after"),
    );
    let allowances = [
        ("late_per_thousand", budget.late_per_thousand),
        ("failed_per_thousand", budget.failed_per_thousand),
    ];
    for (field, value) in allowances {
        problems.check(
            value <= MAX_PER_THOUSAND,
            format!("{path}.error_budget.{field}"),
            format!("must be at most {MAX_PER_THOUSAND}"),
        );
    }
}

fn check_keys(document: &ClusterConfiguration, problems: &mut Problems) {
    let mut seen = BTreeSet::new();
    for (position, key) in document.keys.iter().enumerate() {
        problems.check(
            seen.insert(&key.id),
            format!("keys.{position}.id"),
            format!("the key id {} is used twice", key.id),
        );
        if let KeyRole::Caller(tenant) = &key.role {
            problems.check(
                document.tenants.contains_key(tenant),
                format!("keys.{position}.role"),
                format!("there is no tenant {tenant}"),
            );
        }
    }
    // Requests need a key only once an operator key exists. Without one, the other keys
    // would give no protection although the document seems to require them.
    problems.check(
        document.keys.is_empty() || crate::requires_keys(document),
        "keys".to_owned(),
        "keys without an operator key protect nothing",
    );
}

fn check_timings(document: &ClusterConfiguration, problems: &mut Problems) {
    let timings = &document.timings;
    let durations = [
        ("run_lease", timings.run_lease),
        ("run_lease_margin", timings.run_lease_margin),
        ("retry_backoff", timings.retry_backoff),
    ];
    for (field, duration) in durations {
        problems.check_positive(duration.0, format!("timings.{field}"));
    }
    problems.check(
        timings.retry_backoff <= timings.max_retry_backoff,
        "timings.max_retry_backoff".to_owned(),
        "must be at least retry_backoff",
    );
    problems.check(
        timings.retention >= MIN_RETENTION,
        "timings.retention".to_owned(),
        format!("must be at least {MIN_RETENTION}"),
    );
}
