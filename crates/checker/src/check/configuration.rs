//! An acknowledged configuration holds in time, everywhere, for good.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use std::collections::BTreeMap;
use types::{ConfigurationVersion, Milliseconds};

/// A ready daemon answers with the newest one that was acknowledged in time.
#[derive(Debug, Default)]
pub(super) struct ConfigurationLate {
    /// Highest version acknowledged up to each time, in order.
    acknowledged: Vec<(Milliseconds, ConfigurationVersion)>,
}

impl ConfigurationLate {
    fn newest_at(&self, time: Milliseconds) -> Option<ConfigurationVersion> {
        let count = self.acknowledged.partition_point(|(at, _)| *at <= time);
        let last = self.acknowledged.get(count.checked_sub(1)?)?;
        Some(last.1)
    }
}

impl Rule for ConfigurationLate {
    fn observe(
        &mut self,
        observation: &Observation,
        _observed: &ObservedCluster,
        limits: &Limits,
        findings: &mut Findings,
    ) {
        match &observation.event {
            Event::ConfigurationAcknowledged { version, .. } => {
                let newest = self.acknowledged.last().map(|(_, version)| *version);
                let newest = newest.unwrap_or_default().max(*version);
                self.acknowledged.push((observation.at, newest));
            }
            Event::ConfigurationRead {
                daemon,
                asked_at,
                version,
                ..
            } => {
                let Some(time) = asked_at.0.checked_sub(limits.configuration_after.0) else {
                    return;
                };
                let due = self.newest_at(Milliseconds(time));
                if let Some(due) = due.filter(|due| version < due) {
                    let detail = format!("{daemon} asked at {asked_at} had {version}, due {due}");
                    findings.add(ViolationKind::ConfigurationLate, observation.at, detail);
                }
            }
            _ => {}
        }
    }
}

/// No daemon goes back to an older one.
#[derive(Debug, Default)]
pub(super) struct ConfigurationSlidBack {
    /// Highest version of each daemon, and when it was first read.
    highest: BTreeMap<String, (ConfigurationVersion, Milliseconds)>,
}

impl Rule for ConfigurationSlidBack {
    fn observe(
        &mut self,
        observation: &Observation,
        _observed: &ObservedCluster,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        let Event::ConfigurationRead {
            daemon,
            asked_at,
            version,
            ..
        } = &observation.event
        else {
            return;
        };
        let new = (*version, observation.at);
        let highest = self.highest.entry(daemon.clone()).or_insert(new);
        if *version > highest.0 {
            *highest = new;
        }
        // An answer to an older question may lawfully arrive later.
        if *version < highest.0 && *asked_at >= highest.1 {
            let detail = format!(
                "{daemon} had {} at {}, then {version}",
                highest.0, highest.1
            );
            findings.add(ViolationKind::ConfigurationSlidBack, observation.at, detail);
        }
    }
}

/// One version is one document.
#[derive(Debug, Default)]
pub(super) struct TwoWinners {
    digests: BTreeMap<ConfigurationVersion, String>,
}

impl Rule for TwoWinners {
    fn observe(
        &mut self,
        observation: &Observation,
        _observed: &ObservedCluster,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        let (Event::ConfigurationAcknowledged { version, digest }
        | Event::ConfigurationRead {
            version, digest, ..
        }) = &observation.event
        else {
            return;
        };
        let winner = self
            .digests
            .entry(*version)
            .or_insert_with(|| digest.clone());
        if winner != digest {
            let detail = format!("version {version} was {winner} and {digest}");
            findings.add(ViolationKind::TwoWinners, observation.at, detail);
        }
    }
}
