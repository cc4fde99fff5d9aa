//! JSON bodies of configuration updates, which change named items.

use super::{LicenceBody, PoolBody, QueueBody, TenantBody, convert_values};
use crate::BodyError;
use crate::key::KeyBody;
use configuration::{ConfigurationUpdate, RemovedItems, UpsertedItems};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use types::{ConfigurationVersion, KeyId, LicenceName, PoolName, QueueName, TenantId};

/// Body of `PATCH /v1/configuration/{version}`, in JSON or TOML.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationUpdateBody {
    /// Version that the update is based on; it must be the one in force.
    pub replaces: u64,
    /// Items to add, or to replace where the name exists.
    #[serde(default)]
    pub upsert: UpsertBody,
    /// Names of items to remove. A name that does not exist changes nothing.
    #[serde(default)]
    pub remove: RemoveBody,
    /// New `source` of the document. If absent, the document loses its
    /// `source`, which would no longer match it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<String>,
}

/// Items to add or replace.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpsertBody {
    /// Pools of runners, by name.
    pub pools: BTreeMap<PoolName, PoolBody>,
    /// Queues, by name.
    pub queues: BTreeMap<QueueName, QueueBody>,
    /// Tenant contracts, by tenant.
    pub tenants: BTreeMap<TenantId, TenantBody>,
    /// Licences and their numbers of seats, by name.
    pub licences: BTreeMap<LicenceName, LicenceBody>,
    /// Bearer keys. Each replaces the key with the same `id`.
    pub keys: Vec<KeyBody>,
}

/// Names of items to remove.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RemoveBody {
    /// Names of pools.
    pub pools: BTreeSet<PoolName>,
    /// Names of queues.
    pub queues: BTreeSet<QueueName>,
    /// Identifiers of tenants.
    pub tenants: BTreeSet<TenantId>,
    /// Names of licences.
    pub licences: BTreeSet<LicenceName>,
    /// Identifiers of bearer keys.
    pub keys: BTreeSet<KeyId>,
}

impl ConfigurationUpdateBody {
    /// Converts the body to an update, which [`ConfigurationUpdate::problems`]
    /// has yet to check.
    ///
    /// # Errors
    ///
    /// Fails if a key is incomplete. The error names the first such key.
    pub fn into_update(self) -> Result<ConfigurationUpdate, BodyError> {
        let indexed = self.upsert.keys.into_iter().enumerate();
        let keys = indexed
            .map(|(index, key)| key.into_key(&format!("upsert.keys[{index}]")))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(ConfigurationUpdate {
            replaces: ConfigurationVersion(self.replaces),
            upsert: UpsertedItems {
                pools: convert_values(self.upsert.pools),
                queues: convert_values(self.upsert.queues),
                tenants: convert_values(self.upsert.tenants),
                licences: convert_values(self.upsert.licences),
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
