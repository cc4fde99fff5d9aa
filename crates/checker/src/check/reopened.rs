//! Guarantee: a job never leaves a final state.
//!
//! Reads the replies with a job's state. Reports a violation if, after a final
//! state, another final state is read, or an unfinished one by a request that was
//! sent after the final state was read.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation, ReadState};
use std::collections::BTreeMap;
use types::{JobKey, JobState, Milliseconds};

#[derive(Debug, Default)]
pub(super) struct Reopened {
    /// First final state of each job, and the time at which it was read.
    final_states: BTreeMap<JobKey, (JobState, Milliseconds)>,
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
        let Some((first, read_at)) = self.final_states.get(job) else {
            if state.is_final() {
                self.final_states
                    .insert(job.clone(), (*state, observation.at));
            }
            return;
        };
        // The reply to an earlier request may arrive later.
        let is_later = asked_at >= read_at;
        if state != first && (state.is_final() || is_later) {
            let detail = format!("job {job} was {first:?} at {read_at}, and later {state:?}");
            findings.add(ViolationKind::Reopened, observation.at, detail);
        }
    }
}
