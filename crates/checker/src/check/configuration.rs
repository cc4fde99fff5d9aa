//! Guarantees on configurations.
//!
//! Reads the acknowledgements of configurations and the configurations that ready
//! daemons reply with. Reports a violation if a daemon uses an acknowledged
//! configuration too late, returns to an older one, or if two documents have the
//! same version.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use std::collections::BTreeMap;
use types::{ConfigurationVersion, Milliseconds};

/// Guarantee: an acknowledged configuration is in force on every daemon in time.
///
/// Reports a violation if a daemon's reply has an older version than the newest
/// one that was acknowledged [`Limits::configuration_after`] or longer before the
/// request was sent.
#[derive(Debug, Default)]
pub(super) struct ConfigurationLate {
    /// Highest version acknowledged so far, at the time of each acknowledgement.
    acknowledged: Vec<(Milliseconds, ConfigurationVersion)>,
}

impl ConfigurationLate {
    /// Returns the highest version acknowledged up to a time; None if none was.
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
                    let detail = format!(
                        "{daemon} had {version} for a request sent at {asked_at}, due {due}"
                    );
                    findings.add(ViolationKind::ConfigurationLate, observation.at, detail);
                }
            }
            _ => {}
        }
    }
}

/// Guarantee: no daemon returns to an older configuration.
///
/// Reports a violation if a daemon's reply has an older version than a reply that
/// was received before the request was sent.
#[derive(Debug, Default)]
pub(super) struct ConfigurationSlidBack {
    /// Highest version of each daemon, and the time at which it was first read.
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
        let current = (*version, observation.at);
        let highest = self.highest.entry(daemon.clone()).or_insert(current);
        if *version > highest.0 {
            *highest = current;
        }
        // The reply to an earlier request may arrive later.
        if *version < highest.0 && *asked_at >= highest.1 {
            let detail = format!(
                "{daemon} had {} at {}, then {version}",
                highest.0, highest.1
            );
            findings.add(ViolationKind::ConfigurationSlidBack, observation.at, detail);
        }
    }
}

/// Guarantee: a version belongs to one document.
///
/// Reports a violation if a version was acknowledged or read with two digests.
#[derive(Debug, Default)]
pub(super) struct TwoWinners {
    /// First digest observed of each version.
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
        let first = self
            .digests
            .entry(*version)
            .or_insert_with(|| digest.clone());
        if first != digest {
            let detail = format!("version {version} has digests {first} and {digest}");
            findings.add(ViolationKind::TwoWinners, observation.at, detail);
        }
    }
}
