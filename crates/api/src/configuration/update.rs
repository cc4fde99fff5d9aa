//! Changes to named items of the configuration.

use super::{LicenceBody, PoolBody, QueueBody, TenantBody, convert};
use crate::BodyError;
use crate::key::KeyBody;
use configuration::{ConfigurationUpdate, RemovedItems, UpsertedItems};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use types::{ConfigurationVersion, KeyId, LicenceName, PoolName, QueueName, TenantId};

/// `PATCH /v1/configuration/{version}`, in JSON or TOML.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationUpdateBody {
    /// The version in force that this was made from.
    pub replaces: u64,
    /// Items to add, or to put in place of those of the same name.
    #[serde(default)]
    pub upsert: UpsertBody,
    /// Names of items to take away.
    #[serde(default)]
    pub remove: RemoveBody,
    /// What the document's `source` becomes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<String>,
}

/// Items to add or replace.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpsertBody {
    /// Pools of runners.
    pub pools: BTreeMap<PoolName, PoolBody>,
    /// Queues.
    pub queues: BTreeMap<QueueName, QueueBody>,
    /// Tenant contracts.
    pub tenants: BTreeMap<TenantId, TenantBody>,
    /// Licences.
    pub licences: BTreeMap<LicenceName, LicenceBody>,
    /// Bearer keys, by `id`.
    pub keys: Vec<KeyBody>,
}

/// Names of items to take away.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RemoveBody {
    /// Pools of runners.
    pub pools: BTreeSet<PoolName>,
    /// Queues.
    pub queues: BTreeSet<QueueName>,
    /// Tenants.
    pub tenants: BTreeSet<TenantId>,
    /// Licences.
    pub licences: BTreeSet<LicenceName>,
    /// Identifiers of bearer keys.
    pub keys: BTreeSet<KeyId>,
}

impl ConfigurationUpdateBody {
    /// The update, once its keys are found whole. Whether it makes sense is
    /// the update's own to say.
    ///
    /// # Errors
    ///
    /// Names the first item that cannot be converted.
    pub fn into_update(self) -> Result<ConfigurationUpdate, BodyError> {
        let numbered = self.upsert.keys.into_iter().enumerate();
        let keys = numbered
            .map(|(position, key)| key.into_key(&format!("upsert.keys[{position}]")))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(ConfigurationUpdate {
            replaces: ConfigurationVersion(self.replaces),
            upsert: UpsertedItems {
                pools: convert(self.upsert.pools),
                queues: convert(self.upsert.queues),
                tenants: convert(self.upsert.tenants),
                licences: convert(self.upsert.licences),
                keys,
            },
            remove: RemovedItems {
                pools: self.remove.pools,
                queues: self.remove.queues,
                tenants: self.remove.tenants,
                licences: self.remove.licences,
                keys: self.remove.keys,
            },
            source: self.source,
            sent: None,
        })
    }
}
