//! Operator hosts: they send whole configuration versions, resend those whose
//! answer was lost, and sometimes race.

use configuration::ClusterConfiguration;
use types::ConfigurationVersion;

/// Time between an operator's looks at what to do.
pub const OPERATOR_INTERVAL_MS: u64 = 250;
/// How long an operator waits for an answer.
pub const OPERATOR_TIMEOUT_MS: u64 = 2_000;

/// An operator with the changes it still wants to make.
pub struct OperatorHost {
    /// Its name in the history.
    pub name: String,
    /// Newest version it knows.
    pub known: ConfigurationVersion,
    /// The document under that version, as it knows it.
    pub document: ClusterConfiguration,
    /// The order it has sent and has no final answer to.
    pub open_order: Option<(ConfigurationVersion, ClusterConfiguration)>,
    /// True while an HTTP request of its is under way.
    pub waiting: bool,
    /// Changes it still wants to make.
    pub wanted: u32,
    /// Makes each of its documents differ from all others.
    pub marker: u32,
    /// The gateway it uses now.
    pub gateway: usize,
}

impl OperatorHost {
    /// The next document: the known one with one harmless number changed.
    pub fn next_document(&mut self) -> ClusterConfiguration {
        let mut document = self.document.clone();
        self.marker += 2;
        for tenant in document.tenants.values_mut() {
            tenant.submit_burst = 10_000 + self.marker;
        }
        document
    }
}

/// Digest of a document, for the history.
pub fn digest(document: &ClusterConfiguration) -> String {
    use sha2::{Digest, Sha256};
    let text = format!("{document:?}");
    let hash = Sha256::digest(text.as_bytes());
    hash.iter()
        .take(8)
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
