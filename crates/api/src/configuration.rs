//! JSON bodies: the configuration document.

mod licence;
mod queue;
mod resources;
mod tenant;
mod timings;
mod update;

pub use licence::LicenceBody;
pub use queue::{QueueBody, QueueMode};
pub use resources::{CapacityBody, PoolBody, ResourceLimitBody};
pub use tenant::{ErrorBudgetBody, TenantBody};
pub use timings::TimingsBody;
pub use update::{ConfigurationUpdateBody, RemoveBody, UpsertBody};

use crate::BodyError;
use crate::key::KeyBody;
use configuration::{ClusterConfiguration, LeftOutQueues};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use types::{ConfigurationVersion, LicenceName, PoolName, QueueName, TenantId};

/// The whole document, in JSON or TOML.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationBody {
    /// The version this document was made from; without it the one before its
    /// own. Versions may skip numbers then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaces: Option<u64>,
    /// What becomes of queues and tenants left out while they hold unfinished
    /// jobs.
    #[serde(default)]
    pub left_out: LeftOut,
    /// The text this document was translated from, opaque here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<String>,
    /// Leases and waits.
    #[serde(default)]
    pub timings: TimingsBody,
    /// Pools of runners.
    #[serde(default)]
    pub pools: BTreeMap<PoolName, PoolBody>,
    /// Queues.
    #[serde(default)]
    pub queues: BTreeMap<QueueName, QueueBody>,
    /// Tenant contracts.
    #[serde(default)]
    pub tenants: BTreeMap<TenantId, TenantBody>,
    /// Licences with a number of seats.
    #[serde(default)]
    pub licences: BTreeMap<LicenceName, LicenceBody>,
    /// Bearer keys; with none, every request is let in.
    #[serde(default)]
    pub keys: Vec<KeyBody>,
}

/// What becomes of queues and tenants left out while they hold unfinished jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeftOut {
    /// The document is rejected.
    #[default]
    Refuse,
    /// They stay under their last settings, and the queues drain.
    Drain,
}

impl From<LeftOutQueues> for LeftOut {
    fn from(left_out: LeftOutQueues) -> Self {
        match left_out {
            LeftOutQueues::Refuse => Self::Refuse,
            LeftOutQueues::Drain => Self::Drain,
        }
    }
}

impl From<LeftOut> for LeftOutQueues {
    fn from(left_out: LeftOut) -> Self {
        match left_out {
            LeftOut::Refuse => Self::Refuse,
            LeftOut::Drain => Self::Drain,
        }
    }
}

impl ConfigurationBody {
    /// The document, once its keys are found whole. Whether it makes sense is
    /// [`configuration::validate()`]'s to say.
    ///
    /// # Errors
    ///
    /// Names the first key that is incomplete.
    pub fn into_document(self) -> Result<ClusterConfiguration, BodyError> {
        let numbered = self.keys.into_iter().enumerate();
        let keys = numbered
            .map(|(position, key)| key.into_key(&format!("keys[{position}]")))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(ClusterConfiguration {
            pools: convert(self.pools),
            queues: convert(self.queues),
            tenants: convert(self.tenants),
            licences: convert(self.licences),
            keys,
            timings: self.timings.into(),
            replaces: self.replaces.map(ConfigurationVersion),
            left_out: self.left_out.into(),
            source: self.source,
        })
    }
}

impl From<ClusterConfiguration> for ConfigurationBody {
    fn from(document: ClusterConfiguration) -> Self {
        Self {
            timings: document.timings.into(),
            pools: convert(document.pools),
            queues: convert(document.queues),
            tenants: convert(document.tenants),
            licences: convert(document.licences),
            keys: document.keys.into_iter().map(KeyBody::from).collect(),
            replaces: document.replaces.map(|version| version.0),
            left_out: document.left_out.into(),
            source: document.source,
        }
    }
}

fn convert<Name: Ord, Source, Target: From<Source>>(
    map: BTreeMap<Name, Source>,
) -> BTreeMap<Name, Target> {
    map.into_iter()
        .map(|(name, value)| (name, Target::from(value)))
        .collect()
}
