//! Updates, which change named items of the document of a given version.
//!
//! With an update, an operator who changes one queue of a large cluster need not read
//! and send all other items. An update contains the version that it replaces, items to
//! add or replace, and names of items to remove. It is applied as a whole or not at all,
//! and the resulting document is validated like any other.

use crate::{
    ClusterConfiguration, ConfigurationError, Key, LicenceSettings, PoolSettings, QueueSettings,
    TenantSettings,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use types::{ConfigurationVersion, KeyId, LicenceName, PoolName, QueueName, TenantId};

/// Changes to named items of the document of one version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ConfigurationUpdate {
    /// Version that the update was made from; rejected if another one is in force.
    pub replaces: ConfigurationVersion,
    /// Items to add, or to replace if an item of the same name exists.
    pub upsert: UpsertedItems,
    /// Names of items to remove. The name of an absent item is ignored, since the
    /// requested state already holds.
    pub remove: RemovedItems,
    /// New `source` of the document, for tools with a format of their own. With `None`
    /// the source is removed, since the old one no longer matches the document.
    pub source: Option<String>,
    /// Update as the operator sent it, opaque to this crate, by which a resent update is
    /// recognized. With `None` it is recognized by its items.
    pub sent: Option<String>,
}

/// Items that an update adds or replaces.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UpsertedItems {
    /// Settings by name of the pool.
    pub pools: BTreeMap<PoolName, PoolSettings>,
    /// Settings by name of the queue.
    pub queues: BTreeMap<QueueName, QueueSettings>,
    /// Contracts by tenant.
    pub tenants: BTreeMap<TenantId, TenantSettings>,
    /// Settings by name of the licence.
    pub licences: BTreeMap<LicenceName, LicenceSettings>,
    /// Bearer keys; each replaces an existing key with the same identifier.
    pub keys: Vec<Key>,
}

/// Names of items that an update removes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RemovedItems {
    /// Names of pools; queues that use one must be removed or changed as well.
    pub pools: BTreeSet<PoolName>,
    /// Names of queues, subject to [`crate::LeftOutQueues`].
    pub queues: BTreeSet<QueueName>,
    /// Identifiers of tenants, subject to [`crate::LeftOutQueues`].
    pub tenants: BTreeSet<TenantId>,
    /// Names of licences.
    pub licences: BTreeSet<LicenceName>,
    /// Identifiers of bearer keys.
    pub keys: BTreeSet<KeyId>,
}

impl ConfigurationUpdate {
    /// Returns the update that changes the document `base` into `wanted`.
    pub fn diff(
        replaces: ConfigurationVersion,
        base: &ClusterConfiguration,
        wanted: &ClusterConfiguration,
    ) -> Self {
        let upsert = UpsertedItems {
            pools: changed_items(&base.pools, &wanted.pools),
            queues: changed_items(&base.queues, &wanted.queues),
            tenants: changed_items(&base.tenants, &wanted.tenants),
            licences: changed_items(&base.licences, &wanted.licences),
            keys: changed_keys(&base.keys, &wanted.keys),
        };
        let remove = RemovedItems {
            pools: removed_names(&base.pools, &wanted.pools),
            queues: removed_names(&base.queues, &wanted.queues),
            tenants: removed_names(&base.tenants, &wanted.tenants),
            licences: removed_names(&base.licences, &wanted.licences),
            keys: removed_keys(&base.keys, &wanted.keys),
        };
        Self {
            replaces,
            upsert,
            remove,
            source: wanted.source.clone(),
            sent: None,
        }
    }

    /// Returns the problems of the update that do not depend on the document it is applied
    /// to.
    pub fn problems(&self) -> Vec<ConfigurationError> {
        let mut problems = Vec::new();
        let (upsert, remove) = (&self.upsert, &self.remove);
        report_conflicts("pools", upsert.pools.keys(), &remove.pools, &mut problems);
        report_conflicts(
            "queues",
            upsert.queues.keys(),
            &remove.queues,
            &mut problems,
        );
        let tenants = upsert.tenants.keys();
        report_conflicts("tenants", tenants, &remove.tenants, &mut problems);
        let licences = upsert.licences.keys();
        report_conflicts("licences", licences, &remove.licences, &mut problems);
        let keys = || upsert.keys.iter().map(|key| &key.id);
        report_conflicts("keys", keys(), &remove.keys, &mut problems);
        let mut seen = BTreeSet::new();
        for key in keys() {
            if !seen.insert(key) {
                problems.push(error("keys", key, "occurs twice in `upsert`"));
            }
        }
        problems
    }

    /// Returns the document that results from the update of `base`, without validation
    /// (see [`crate::validate()`]).
    pub fn apply_to(&self, base: &ClusterConfiguration) -> ClusterConfiguration {
        let mut document = base.clone();
        let (upsert, remove) = (&self.upsert, &self.remove);
        apply_items(&mut document.pools, &upsert.pools, &remove.pools);
        apply_items(&mut document.queues, &upsert.queues, &remove.queues);
        apply_items(&mut document.tenants, &upsert.tenants, &remove.tenants);
        apply_items(&mut document.licences, &upsert.licences, &remove.licences);
        apply_keys(&mut document.keys, &upsert.keys, &remove.keys);
        document.replaces = Some(self.replaces);
        document.source = self.source.clone();
        document
    }
}

fn changed_items<Name: Ord + Clone, Item: PartialEq + Clone>(
    base: &BTreeMap<Name, Item>,
    wanted: &BTreeMap<Name, Item>,
) -> BTreeMap<Name, Item> {
    let changed = wanted.iter();
    changed
        .filter(|(name, item)| base.get(name) != Some(item))
        .map(|(name, item)| (name.clone(), item.clone()))
        .collect()
}

fn removed_names<Name: Ord + Clone, Item>(
    base: &BTreeMap<Name, Item>,
    wanted: &BTreeMap<Name, Item>,
) -> BTreeSet<Name> {
    let names = base.keys().filter(|name| !wanted.contains_key(name));
    names.cloned().collect()
}

fn changed_keys(base: &[Key], wanted: &[Key]) -> Vec<Key> {
    let changed = wanted.iter().filter(|key| !base.contains(key));
    changed.cloned().collect()
}

fn removed_keys(base: &[Key], wanted: &[Key]) -> BTreeSet<KeyId> {
    let remaining: BTreeSet<&KeyId> = wanted.iter().map(|key| &key.id).collect();
    let ids = base.iter().map(|key| &key.id);
    ids.filter(|id| !remaining.contains(id)).cloned().collect()
}

fn apply_items<Name: Ord + Clone, Item: Clone>(
    items: &mut BTreeMap<Name, Item>,
    upsert: &BTreeMap<Name, Item>,
    remove: &BTreeSet<Name>,
) {
    items.retain(|name, _| !remove.contains(name));
    for (name, item) in upsert {
        items.insert(name.clone(), item.clone());
    }
}

fn apply_keys(keys: &mut Vec<Key>, upsert: &[Key], remove: &BTreeSet<KeyId>) {
    keys.retain(|key| !remove.contains(&key.id));
    for new in upsert {
        match keys.iter_mut().find(|key| key.id == new.id) {
            Some(old) => *old = new.clone(),
            None => keys.push(new.clone()),
        }
    }
}

fn report_conflicts<'a, Name: Ord + Display + 'a>(
    list: &str,
    upserted: impl Iterator<Item = &'a Name>,
    removed: &BTreeSet<Name>,
    problems: &mut Vec<ConfigurationError>,
) {
    let conflicts = upserted.filter(|name| removed.contains(name));
    problems.extend(conflicts.map(|name| error(list, name, "occurs in `upsert` and in `remove`")));
}

fn error(list: &str, name: &impl Display, message: &str) -> ConfigurationError {
    ConfigurationError {
        path: format!("{list}.{name}"),
        message: message.to_owned(),
    }
}
