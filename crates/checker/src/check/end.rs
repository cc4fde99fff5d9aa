//! Guarantee: a job reaches a final state only for a cause that was observed before.
//!
//! Reads the replies with a job's state. Reports a violation if the first final
//! state is
//!
//! * failed, but no task can have failed more often than allowed;
//! * cancelled, but no cancel was sent;
//! * done, but not every task ended done.

use super::facts::JobFacts;
use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation, ReadState};
use types::{JobState, Milliseconds};

#[derive(Debug)]
pub(super) struct FalseEnd;

impl Rule for FalseEnd {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        let Event::StateRead {
            job,
            state: ReadState::Known(state),
            ..
        } = &observation.event
        else {
            return;
        };
        let Some(facts) = observed.job(job) else {
            return;
        };
        if facts.final_state.is_some() {
            return;
        }
        if let Some(reason) = missing_cause(*state, facts, observed, observation.at) {
            let detail = format!("job {job} was read as {state:?}, but {reason}");
            findings.add(ViolationKind::FalseEnd, observation.at, detail);
        }
    }
}

/// Returns why a job cannot be in a state; None if it may be.
fn missing_cause(
    state: JobState,
    facts: &JobFacts,
    observed: &ObservedCluster,
    at: Milliseconds,
) -> Option<&'static str> {
    match state {
        JobState::Failed if !facts.may_have_failed(|run| observed.run(run), at) => {
            Some("no task had failed more often than allowed")
        }
        JobState::Cancelled if !facts.cancel_sent => Some("no cancel had been sent"),
        JobState::Done if facts.is_done() == Some(false) => Some("not all of its tasks were done"),
        _ => None,
    }
}
