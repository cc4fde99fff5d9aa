//! Service is back in time after the last fault healed.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use types::{JobKey, Milliseconds};

/// The time between a heal and its limit.
#[derive(Debug)]
struct Watch {
    healed_at: Milliseconds,
    has_attempt: bool,
    has_answer: bool,
    has_progress: bool,
}

#[derive(Debug, Default)]
pub(super) struct ServiceNotBack {
    watch: Option<Watch>,
}

impl Rule for ServiceNotBack {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        limits: &Limits,
        findings: &mut Findings,
    ) {
        let at = observation.at;
        if let Some(watch) = &self.watch
            && at > watch.healed_at + limits.service_after
        {
            judge(watch, observed, limits, findings);
            self.watch = None;
        }
        match &observation.event {
            Event::Healed => {
                self.watch = Some(Watch {
                    healed_at: at,
                    has_attempt: false,
                    has_answer: false,
                    has_progress: false,
                });
            }
            // A new fault before the limit makes it void.
            Event::Fault { .. } => self.watch = None,
            event => {
                if let Some(watch) = &mut self.watch {
                    watch.take(event);
                }
            }
        }
    }
}

impl Watch {
    fn take(&mut self, event: &Event) {
        match event {
            Event::SubmitSent { .. } | Event::CancelSent { .. } | Event::RequestTimedOut { .. } => {
                self.has_attempt = true;
            }
            Event::SubmitAcknowledged { .. } => self.has_answer = true,
            // An answer to a question from before the heal shows nothing.
            Event::StateRead { asked_at, .. } if *asked_at >= self.healed_at => {
                self.has_answer = true;
            }
            Event::RunStarted { .. } | Event::RunEnded { .. } => self.has_progress = true,
            _ => {}
        }
    }
}

fn judge(watch: &Watch, observed: &ObservedCluster, limits: &Limits, findings: &mut Findings) {
    let limit = watch.healed_at + limits.service_after;
    let healed = watch.healed_at;
    if watch.has_attempt && !watch.has_answer {
        let detail = format!("no submit or state read succeeded since the heal at {healed}");
        findings.add(ViolationKind::ServiceNotBack, limit, detail);
    }
    if watch.has_progress || observed.has_open_runs() {
        return;
    }
    let waiting = observed.unfinished.iter();
    if let Some(job) = waiting
        .into_iter()
        .find(|job| was_startable(job, healed, observed))
    {
        let detail = format!("nothing ran since the heal at {healed}, though {job} waits");
        findings.add(ViolationKind::ServiceNotBack, limit, detail);
    }
}

fn was_startable(job: &JobKey, at: Milliseconds, observed: &ObservedCluster) -> bool {
    observed.job(job).is_some_and(|facts| {
        let is_acknowledged = facts.acknowledged_at.is_some_and(|time| time <= at);
        let is_due = facts.not_before.is_none_or(|time| time <= at);
        is_acknowledged && is_due && !facts.cancel_sent
    })
}
