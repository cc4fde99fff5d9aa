//! Digests of the newest applied configurations.
//!
//! An operator whose acknowledgement was lost may resend a configuration, even
//! after newer ones were applied. By its digest it is recognized and acknowledged
//! again.

use configuration::{ClusterConfiguration, ConfigurationUpdate};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use types::ConfigurationVersion;

/// Maximum number of versions whose digests are kept. A configuration that is
/// resent after its digest was dropped is a version conflict.
pub(super) const MAX_APPLIED: usize = 1_024;

/// SHA-256 digest of a configuration command: of a document's encoded bytes, or of
/// an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct ConfigurationDigest([u8; 32]);

/// Prefix of the hashed bytes of an update, so that no update has the digest of a
/// document.
const UPDATE_PREFIX: &[u8] = b"configuration update";

impl ConfigurationDigest {
    /// Returns the digest of a document; `None` if the document cannot be encoded,
    /// which does not occur for documents decoded from the log.
    pub(super) fn of_document(document: &ClusterConfiguration) -> Option<Self> {
        let bytes = postcard::to_stdvec(document).ok()?;
        Some(Self(Sha256::digest(bytes).into()))
    }

    /// Returns the digest of an update: of the operator's text in `sent` if there is
    /// one, because the items derived from that text depend on the state at the
    /// time; otherwise of the items. `None` if the update cannot be encoded.
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

/// Digests of the newest applied configurations, by version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct AppliedConfigurations {
    digests: BTreeMap<ConfigurationVersion, ConfigurationDigest>,
}

impl AppliedConfigurations {
    /// Records an applied configuration and drops the oldest digests beyond
    /// [`MAX_APPLIED`].
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

    /// Returns whether the configuration with this digest was applied under this
    /// version. `false` without a digest.
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
    pub(super) fn is_consistent_with(&self, in_force: ConfigurationVersion) -> bool {
        let newest = self.digests.last_key_value();
        self.digests.len() <= MAX_APPLIED && newest.is_none_or(|(version, _)| *version <= in_force)
    }
}
