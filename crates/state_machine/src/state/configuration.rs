//! Changes of the configuration, and draining of runners.

use super::StateMachine;
use super::applied_configurations::ConfigurationDigest;
use crate::mutation::Mutation;
use crate::{Change, CommandRejection, CommandReply};
use configuration::{
    ClusterConfiguration, ConfigurationError, ConfigurationUpdate, LeftOutQueues, QueueMode,
    validate,
};
use types::{ConfigurationVersion, RunnerId};

impl StateMachine {
    /// Applies a document by compare-and-set on the version that it replaces. The
    /// same document under the same version is acknowledged again, even after
    /// newer ones, because the first acknowledgement may have been lost.
    pub(super) fn put_configuration(
        &mut self,
        version: ConfigurationVersion,
        document: &ClusterConfiguration,
        changes: &mut Vec<Change>,
    ) -> Result<CommandReply, CommandRejection> {
        let digest = ConfigurationDigest::of_document(document);
        let in_force = version == self.version && *document == self.document;
        if in_force || self.applied_configurations.contains(version, digest) {
            return Ok(CommandReply::Configured {
                version,
                known: true,
            });
        }
        let previous = ConfigurationVersion(version.0.saturating_sub(1));
        let base = document.replaces.unwrap_or(previous);
        self.compare_version(version, base)?;
        self.validate_and_apply(version, document, digest, changes)
    }

    /// Changes named items by compare-and-set on the version that the update
    /// replaces. The same update under the same version is acknowledged again.
    pub(super) fn update_configuration(
        &mut self,
        version: ConfigurationVersion,
        update: &ConfigurationUpdate,
        changes: &mut Vec<Change>,
    ) -> Result<CommandReply, CommandRejection> {
        let digest = ConfigurationDigest::of_update(update);
        if self.applied_configurations.contains(version, digest) {
            return Ok(CommandReply::Configured {
                version,
                known: true,
            });
        }
        self.compare_version(version, update.replaces)?;
        let problems = update.problems();
        if !problems.is_empty() {
            return Err(CommandRejection::InvalidConfiguration { problems });
        }
        let document = update.apply_to(&self.document);
        self.validate_and_apply(version, &document, digest, changes)
    }

    /// Returns whether this update was applied under this version.
    pub fn has_applied(&self, version: ConfigurationVersion, update: &ConfigurationUpdate) -> bool {
        self.applied_configurations
            .contains(version, ConfigurationDigest::of_update(update))
    }

    /// Checks that `base` is in force and that `version` is higher.
    fn compare_version(
        &self,
        version: ConfigurationVersion,
        base: ConfigurationVersion,
    ) -> Result<(), CommandRejection> {
        let is_applicable = (base == self.version && version > self.version)
            || self.mutation == Some(Mutation::AnyConfigurationVersion);
        if is_applicable {
            return Ok(());
        }
        Err(CommandRejection::VersionConflict {
            wanted: version,
            current: self.version,
        })
    }

    /// Validates a document and applies it as a whole, or not at all.
    fn validate_and_apply(
        &mut self,
        version: ConfigurationVersion,
        document: &ClusterConfiguration,
        digest: Option<ConfigurationDigest>,
        changes: &mut Vec<Change>,
    ) -> Result<CommandReply, CommandRejection> {
        let mut problems = validate(document);
        if document.left_out == LeftOutQueues::Refuse {
            problems.extend(self.find_removed_in_use(document));
        }
        if !problems.is_empty() {
            return Err(CommandRejection::InvalidConfiguration { problems });
        }
        self.version = version;
        let old = std::mem::replace(&mut self.document, document.clone());
        self.keep_left_out(&old);
        self.applied_configurations.record(version, digest);
        changes.push(Change::ConfigurationChanged(version));
        Ok(CommandReply::Configured {
            version,
            known: false,
        })
    }

    /// Returns an error for each queue and tenant that the document leaves out
    /// although it has unfinished jobs. Those jobs could neither start nor end, so
    /// the operator must drain or cancel them first.
    fn find_removed_in_use(&self, document: &ClusterConfiguration) -> Vec<ConfigurationError> {
        let queues = &self.indexes.unfinished_of_queue;
        let removed_queues = queues
            .iter()
            .filter(|(name, _)| !document.queues.contains_key(name))
            .map(|(name, count)| in_use_error(format!("queues.{name}"), *count));
        let removed_tenants = self
            .indexes
            .unfinished
            .keys()
            .filter(|name| !document.tenants.contains_key(name))
            .map(|name| {
                let count = self.indexes.unfinished_of_tenant(name);
                in_use_error(format!("tenants.{name}"), count)
            });
        removed_queues.chain(removed_tenants).collect()
    }

    /// Keeps queues, pools and tenants that the new document leaves out while
    /// unfinished jobs need them. Such a queue drains under its last settings. Has
    /// no effect under [`LeftOutQueues::Refuse`], which rejects such documents.
    fn keep_left_out(&mut self, old: &ClusterConfiguration) {
        for name in self.indexes.unfinished_of_queue.keys() {
            let left_out = !self.document.queues.contains_key(name);
            let Some(settings) = old.queues.get(name).filter(|_| left_out) else {
                continue;
            };
            let mut settings = settings.clone();
            settings.mode = QueueMode::Draining;
            if let Some(pool) = old.pools.get(&settings.pool) {
                let pools = &mut self.document.pools;
                pools
                    .entry(settings.pool.clone())
                    .or_insert_with(|| pool.clone());
            }
            self.document.queues.insert(name.clone(), settings);
        }
        for name in self.indexes.unfinished.keys() {
            if let Some(contract) = old.tenants.get(name) {
                let tenants = &mut self.document.tenants;
                tenants
                    .entry(name.clone())
                    .or_insert_with(|| contract.clone());
            }
        }
    }

    /// Sets whether an operator drains a runner.
    pub(super) fn set_runner_draining(
        &mut self,
        runner: &RunnerId,
        draining: bool,
        changes: &mut Vec<Change>,
    ) -> CommandReply {
        let changed = if draining {
            self.draining_runners.insert(runner.clone())
        } else {
            self.draining_runners.remove(runner)
        };
        if changed {
            changes.push(Change::RunnerDrainingChanged {
                runner: runner.clone(),
                draining,
            });
        }
        CommandReply::Accepted
    }
}

fn in_use_error(path: String, count: u64) -> ConfigurationError {
    ConfigurationError {
        path,
        message: format!("may not be removed while it has {count} unfinished jobs"),
    }
}
