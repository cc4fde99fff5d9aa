//! Changes to named items of a document, applied to the version they name.
//!
//! An operator who changes one queue of a large cluster should not have to
//! send, and so to have read, every other one. An update names what it builds
//! on, what it puts in place and what it takes away. It is applied as a whole
//! or not at all, and what it leads to is checked like any other document.

use crate::{
    ClusterConfiguration, ConfigurationError, Key, LicenceSettings, PoolSettings, QueueSettings,
    TenantSettings,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use types::{ConfigurationVersion, KeyId, LicenceName, PoolName, QueueName, TenantId};

/// Changes to named items of the document under one version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ConfigurationUpdate {
    /// The version in force that this was made from.
    pub replaces: ConfigurationVersion,
    /// Items to add, or to put in place of those of the same name.
    pub upsert: UpsertedItems,
    /// Names of items to take away. One that is not there changes nothing:
    /// what was asked for already holds.
    pub remove: RemovedItems,
    /// What the document's `source` becomes, for tools that keep their own
    /// format; without it the source goes, since it would no longer be true.
    pub source: Option<String>,
    /// The order as it was sent, opaque here, by which it is known again; its
    /// items otherwise.
    pub sent: Option<String>,
}

/// Items to add or replace.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UpsertedItems {
    /// Pools.
    pub pools: BTreeMap<PoolName, PoolSettings>,
    /// Queues.
    pub queues: BTreeMap<QueueName, QueueSettings>,
    /// Tenant contracts.
    pub tenants: BTreeMap<TenantId, TenantSettings>,
    /// Licences.
    pub licences: BTreeMap<LicenceName, LicenceSettings>,
    /// Bearer keys; each takes the place of the one with its identifier.
    pub keys: Vec<Key>,
}

/// Names of items to take away.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RemovedItems {
    /// Pools.
    pub pools: BTreeSet<PoolName>,
    /// Queues.
    pub queues: BTreeSet<QueueName>,
    /// Tenants.
    pub tenants: BTreeSet<TenantId>,
    /// Licences.
    pub licences: BTreeSet<LicenceName>,
    /// Bearer keys.
    pub keys: BTreeSet<KeyId>,
}

impl ConfigurationUpdate {
    /// What leads from one document to another, item by item.
    pub fn between(
        replaces: ConfigurationVersion,
        base: &ClusterConfiguration,
        wanted: &ClusterConfiguration,
    ) -> Self {
        let upsert = UpsertedItems {
            pools: changed(&base.pools, &wanted.pools),
            queues: changed(&base.queues, &wanted.queues),
            tenants: changed(&base.tenants, &wanted.tenants),
            licences: changed(&base.licences, &wanted.licences),
            keys: changed_keys(&base.keys, &wanted.keys),
        };
        let remove = RemovedItems {
            pools: removed(&base.pools, &wanted.pools),
            queues: removed(&base.queues, &wanted.queues),
            tenants: removed(&base.tenants, &wanted.tenants),
            licences: removed(&base.licences, &wanted.licences),
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

    /// What is wrong with the update by itself, whatever it is applied to.
    pub fn problems(&self) -> Vec<ConfigurationError> {
        let mut problems = Vec::new();
        let (upsert, remove) = (&self.upsert, &self.remove);
        find_both("pools", upsert.pools.keys(), &remove.pools, &mut problems);
        find_both(
            "queues",
            upsert.queues.keys(),
            &remove.queues,
            &mut problems,
        );
        let tenants = upsert.tenants.keys();
        find_both("tenants", tenants, &remove.tenants, &mut problems);
        let licences = upsert.licences.keys();
        find_both("licences", licences, &remove.licences, &mut problems);
        let keys = || upsert.keys.iter().map(|key| &key.id);
        find_both("keys", keys(), &remove.keys, &mut problems);
        let mut seen = BTreeSet::new();
        for key in keys() {
            if !seen.insert(key) {
                problems.push(error("keys", key, "stands twice in `upsert`"));
            }
        }
        problems
    }

    /// The document that the update makes of `base`. Whether that makes sense
    /// is [`crate::validate()`]'s to say.
    pub fn applied_to(&self, base: &ClusterConfiguration) -> ClusterConfiguration {
        let mut document = base.clone();
        let (upsert, remove) = (&self.upsert, &self.remove);
        change(&mut document.pools, &upsert.pools, &remove.pools);
        change(&mut document.queues, &upsert.queues, &remove.queues);
        change(&mut document.tenants, &upsert.tenants, &remove.tenants);
        change(&mut document.licences, &upsert.licences, &remove.licences);
        change_keys(&mut document.keys, &upsert.keys, &remove.keys);
        document.replaces = Some(self.replaces);
        document.source = self.source.clone();
        document
    }
}

fn changed<Name: Ord + Clone, Item: PartialEq + Clone>(
    base: &BTreeMap<Name, Item>,
    wanted: &BTreeMap<Name, Item>,
) -> BTreeMap<Name, Item> {
    let differing = wanted.iter();
    differing
        .filter(|(name, item)| base.get(name) != Some(item))
        .map(|(name, item)| (name.clone(), item.clone()))
        .collect()
}

fn removed<Name: Ord + Clone, Item>(
    base: &BTreeMap<Name, Item>,
    wanted: &BTreeMap<Name, Item>,
) -> BTreeSet<Name> {
    let names = base.keys().filter(|name| !wanted.contains_key(name));
    names.cloned().collect()
}

fn changed_keys(base: &[Key], wanted: &[Key]) -> Vec<Key> {
    let differing = wanted.iter().filter(|key| !base.contains(key));
    differing.cloned().collect()
}

fn removed_keys(base: &[Key], wanted: &[Key]) -> BTreeSet<KeyId> {
    let retained: BTreeSet<&KeyId> = wanted.iter().map(|key| &key.id).collect();
    let ids = base.iter().map(|key| &key.id);
    ids.filter(|id| !retained.contains(id)).cloned().collect()
}

fn change<Name: Ord + Clone, Item: Clone>(
    items: &mut BTreeMap<Name, Item>,
    upsert: &BTreeMap<Name, Item>,
    remove: &BTreeSet<Name>,
) {
    items.retain(|name, _| !remove.contains(name));
    for (name, item) in upsert {
        items.insert(name.clone(), item.clone());
    }
}

fn change_keys(keys: &mut Vec<Key>, upsert: &[Key], remove: &BTreeSet<KeyId>) {
    keys.retain(|key| !remove.contains(&key.id));
    for new in upsert {
        match keys.iter_mut().find(|key| key.id == new.id) {
            Some(old) => *old = new.clone(),
            None => keys.push(new.clone()),
        }
    }
}

fn find_both<'a, Name: Ord + Display + 'a>(
    list: &str,
    upserted: impl Iterator<Item = &'a Name>,
    removed: &BTreeSet<Name>,
    problems: &mut Vec<ConfigurationError>,
) {
    let both = upserted.filter(|name| removed.contains(name));
    problems.extend(both.map(|name| error(list, name, "stands in `upsert` and in `remove`")));
}

fn error(list: &str, name: &impl Display, message: &str) -> ConfigurationError {
    ConfigurationError {
        path: format!("{list}.{name}"),
        message: message.to_owned(),
    }
}
