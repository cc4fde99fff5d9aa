//! Digests of the newest applied configurations.
//!
//! An operator whose acknowledgement was lost may resend a configuration also
//! after newer ones; it is recognized here and acknowledged again.

use configuration::{ClusterConfiguration, ConfigurationUpdate};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use types::ConfigurationVersion;

/// Number of versions kept. A configuration resent after more newer ones is a
/// version conflict.
pub(super) const MAX_APPLIED: usize = 1_024;

/// SHA-256 digest of a configuration command: of a document's bytes in the log, or
/// of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct ConfigurationDigest([u8; 32]);

/// Prefix of the hashed bytes of an update, so that none has the digest of a
/// document.
const UPDATE_PREFIX: &[u8] = b"configuration update";

impl ConfigurationDigest {
    /// Returns the digest of a document. `None` for one that cannot be encoded, which
    /// never holds for one from the log.
    pub(super) fn of_document(document: &ClusterConfiguration) -> Option<Self> {
        let bytes = postcard::to_stdvec(document).ok()?;
        Some(Self(Sha256::digest(bytes).into()))
    }

    /// Returns the digest of an update: of what the operator sent if the update has
    /// that, since its items depend on the state at that time; else of its items.
    pub(super) fn of_update(update: &ConfigurationUpdate) -> Option<Self> {
        let bytes = match &update.sent {
            Some(sent) => postcard::to_stdvec(&(update.replaces, sent)),
            None => postcard::to_stdvec(update),
        };
        let mut hasher = Sha256::new();
        hasher.update(UPDATE_PREFIX);
        hasher.update([u8::from(update.sent.is_some())]);
        hasher.update(bytes.ok()?);
        Some(Self(hasher.finalize().into()))
    }
}

/// Digests of the newest applied versions.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct AppliedConfigurations {
    digests: BTreeMap<ConfigurationVersion, ConfigurationDigest>,
}

impl AppliedConfigurations {
    /// Records an applied configuration and drops the oldest beyond the limit.
    pub(super) fn record(
        &mut self,
        version: ConfigurationVersion,
        digest: Option<ConfigurationDigest>,
    ) {
        let Some(digest) = digest else {
            return;
        };
        self.digests.insert(version, digest);
        while self.digests.len() > MAX_APPLIED {
            self.digests.pop_first();
        }
    }

    /// Returns whether this configuration was applied under this version.
    pub(super) fn contains(
        &self,
        version: ConfigurationVersion,
        digest: Option<ConfigurationDigest>,
    ) -> bool {
        let applied = self.digests.get(&version).copied();
        applied.is_some() && applied == digest
    }

    /// Returns whether there are at most [`MAX_APPLIED`] digests and none of a version
    /// above the one in force.
    pub(super) fn fits(&self, in_force: ConfigurationVersion) -> bool {
        let newest = self.digests.last_key_value();
        self.digests.len() <= MAX_APPLIED && newest.is_none_or(|(version, _)| *version <= in_force)
    }
}
