//! A final state never changes.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation, ReadState};
use std::collections::BTreeMap;
use types::{JobKey, JobState, Milliseconds};

#[derive(Debug, Default)]
pub(super) struct Reopened {
    /// First final state of each job, and when it was read.
    finals: BTreeMap<JobKey, (JobState, Milliseconds)>,
}

impl Rule for Reopened {
    fn observe(
        &mut self,
        observation: &Observation,
        _observed: &ObservedCluster,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        let Event::StateRead {
            job,
            asked_at,
            state: ReadState::Known(state),
        } = &observation.event
        else {
            return;
        };
        let Some((first, read_at)) = self.finals.get(job) else {
            if state.is_final() {
                self.finals.insert(job.clone(), (*state, observation.at));
            }
            return;
        };
        // An answer to an older question may lawfully arrive later.
        let is_later = asked_at >= read_at;
        if state != first && (state.is_final() || is_later) {
            let detail = format!("job {job} was {first:?} at {read_at}, and later {state:?}");
            findings.add(ViolationKind::Reopened, observation.at, detail);
        }
    }
}
