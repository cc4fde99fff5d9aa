//! Which configurations were taken, so that an operator who never got the
//! acknowledgement may send the same order again after newer ones.

use configuration::{ClusterConfiguration, ConfigurationUpdate};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use types::ConfigurationVersion;

/// Versions remembered. An order resent after more newer ones is a conflict.
pub(super) const MAX_APPLIED: usize = 1_024;

/// SHA-256 of an order: of a document's bytes in the log, or of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct OrderDigest([u8; 32]);

/// Stands before the bytes of an update, so that none has a document's digest.
const UPDATE_LABEL: &[u8] = b"configuration update";

impl OrderDigest {
    /// Of a whole document. None for one that has no bytes, which none read
    /// from the log is.
    pub(super) fn of_document(document: &ClusterConfiguration) -> Option<Self> {
        let bytes = postcard::to_stdvec(document).ok()?;
        Some(Self(Sha256::digest(bytes).into()))
    }

    /// Of an update: what was sent, where that is kept, since what follows
    /// from it can be worked out once only; its items otherwise.
    pub(super) fn of_update(update: &ConfigurationUpdate) -> Option<Self> {
        let bytes = match &update.sent {
            Some(sent) => postcard::to_stdvec(&(update.replaces, sent)),
            None => postcard::to_stdvec(update),
        };
        let mut hasher = Sha256::new();
        hasher.update(UPDATE_LABEL);
        hasher.update([u8::from(update.sent.is_some())]);
        hasher.update(bytes.ok()?);
        Some(Self(hasher.finalize().into()))
    }
}

/// Digests of the newest versions taken.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct AppliedConfigurations {
    digests: BTreeMap<ConfigurationVersion, OrderDigest>,
}

impl AppliedConfigurations {
    /// Records that an order was taken; forgets the oldest beyond the limit.
    pub(super) fn record(&mut self, version: ConfigurationVersion, order: Option<OrderDigest>) {
        let Some(digest) = order else {
            return;
        };
        self.digests.insert(version, digest);
        while self.digests.len() > MAX_APPLIED {
            self.digests.pop_first();
        }
    }

    /// Returns whether this order was taken under this version.
    pub(super) fn contains(
        &self,
        version: ConfigurationVersion,
        order: Option<OrderDigest>,
    ) -> bool {
        let applied_configurations = self.digests.get(&version).copied();
        applied_configurations.is_some() && applied_configurations == order
    }

    /// Returns whether no more are held than may be, and none above the one in force.
    pub(super) fn fits(&self, in_force: ConfigurationVersion) -> bool {
        let newest = self.digests.last_key_value();
        self.digests.len() <= MAX_APPLIED && newest.is_none_or(|(version, _)| *version <= in_force)
    }
}
