//! Job specifications used by the tests.

use super::document::{slots, tenant};
use std::collections::BTreeMap;
use types::{JobId, JobKey, JobSpec, Milliseconds, QueueName, StepName, StepSpec, Urgency};

pub fn key(job: &str) -> JobKey {
    JobKey {
        tenant: tenant(),
        job: JobId::new(job).unwrap(),
    }
}

/// Returns a job with one step of one task, which needs one slot.
pub fn job(job: &str) -> JobSpec {
    JobSpec {
        payload: String::new(),
        tenant: tenant(),
        job: JobId::new(job).unwrap(),
        queue: QueueName::new("queue").unwrap(),
        urgency: Urgency::Normal,
        start_at: None,
        steps: vec![StepSpec {
            rules: Default::default(),
            name: StepName::new("step").unwrap(),
            after: Vec::new(),
            tasks: 1,
            resources: slots(1),
            labels: BTreeMap::new(),
            max_copies: 1,
            allowed_failures: 1,
            time_limit: Milliseconds(60_000),
            payload: String::new(),
        }],
    }
}
