//! Which configurations were taken, so that an operator who never got the
//! acknowledgement may send the same order again after newer ones.

use configuration::ClusterConfiguration;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use types::ConfigurationVersion;

/// Versions remembered. An order resent after more newer ones is a conflict.
pub(super) const MAX_TAKEN: usize = 1_024;

/// SHA-256 of a document's bytes in the log.
type DocumentDigest = [u8; 32];

/// Digests of the newest versions taken.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct TakenConfigurations {
    digests: BTreeMap<ConfigurationVersion, DocumentDigest>,
}

impl TakenConfigurations {
    /// Notes that a document was taken; forgets the oldest beyond the limit.
    pub(super) fn note(&mut self, version: ConfigurationVersion, document: &ClusterConfiguration) {
        let Some(digest) = digest(document) else {
            return;
        };
        self.digests.insert(version, digest);
        while self.digests.len() > MAX_TAKEN {
            self.digests.pop_first();
        }
    }

    /// True when this document was taken under this version.
    pub(super) fn holds(
        &self,
        version: ConfigurationVersion,
        document: &ClusterConfiguration,
    ) -> bool {
        self.digests
            .get(&version)
            .is_some_and(|taken| digest(document).as_ref() == Some(taken))
    }

    /// True when no more are held than may be, and none above the one in force.
    pub(super) fn fits(&self, in_force: ConfigurationVersion) -> bool {
        let newest = self.digests.last_key_value();
        self.digests.len() <= MAX_TAKEN && newest.is_none_or(|(version, _)| *version <= in_force)
    }
}

/// None for a document that has no bytes, which none read from the log is.
fn digest(document: &ClusterConfiguration) -> Option<DocumentDigest> {
    let bytes = postcard::to_stdvec(document).ok()?;
    Some(Sha256::digest(bytes).into())
}
