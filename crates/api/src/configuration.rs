//! JSON bodies of the configuration document.

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

/// Configuration document, in JSON or TOML.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationBody {
    /// Version that this document is based on; it must be the one in force. If
    /// absent, the version before the document's own. With it, versions may
    /// skip numbers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaces: Option<u64>,
    /// Treatment of queues and tenants that the document omits although they
    /// have unfinished jobs.
    #[serde(default)]
    pub left_out: LeftOut,
    /// Text that this document was translated from, stored unread for tools
    /// that have a format of their own. Absent if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<String>,
    /// Leases, backoffs and the retention, for the whole cluster.
    #[serde(default)]
    pub timings: TimingsBody,
    /// Pools of runners, by name.
    #[serde(default)]
    pub pools: BTreeMap<PoolName, PoolBody>,
    /// Queues by name, each bound to a pool.
    #[serde(default)]
    pub queues: BTreeMap<QueueName, QueueBody>,
    /// Tenant contracts, by tenant.
    #[serde(default)]
    pub tenants: BTreeMap<TenantId, TenantBody>,
    /// Licences and their numbers of seats, by name.
    #[serde(default)]
    pub licences: BTreeMap<LicenceName, LicenceBody>,
    /// Bearer keys. Without any, every request is allowed.
    #[serde(default)]
    pub keys: Vec<KeyBody>,
}

/// Treatment of queues and tenants that a document omits although they have
/// unfinished jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeftOut {
    /// The document is rejected.
    #[default]
    Refuse,
    /// The queues and tenants keep their last settings, and the queues drain.
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
    /// Converts the body to a document, which [`configuration::validate()`] has
    /// yet to check.
    ///
    /// # Errors
    ///
    /// Fails if a key is incomplete. The error names the first such key.
    pub fn into_document(self) -> Result<ClusterConfiguration, BodyError> {
        let indexed = self.keys.into_iter().enumerate();
        let keys = indexed
            .map(|(index, key)| key.into_key(&format!("keys[{index}]")))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(ClusterConfiguration {
            pools: convert_values(self.pools),
            queues: convert_values(self.queues),
            tenants: convert_values(self.tenants),
            licences: convert_values(self.licences),
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
            pools: convert_values(document.pools),
            queues: convert_values(document.queues),
            tenants: convert_values(document.tenants),
            licences: convert_values(document.licences),
            keys: document.keys.into_iter().map(KeyBody::from).collect(),
            replaces: document.replaces.map(|version| version.0),
            left_out: document.left_out.into(),
            source: document.source,
        }
    }
}

fn convert_values<Name: Ord, Source, Target: From<Source>>(
    map: BTreeMap<Name, Source>,
) -> BTreeMap<Name, Target> {
    map.into_iter()
        .map(|(name, value)| (name, Target::from(value)))
        .collect()
}
