//! Emulated operators. They send whole configurations and updates of single items
//! alternately, resend a request whose answer was lost, and race for the same version if
//! the plan contains that fault.

use configuration::{ClusterConfiguration, ConfigurationUpdate};
use transport::Operation;
use types::ConfigurationVersion;

/// Interval of an operator's timer, in milliseconds.
pub const OPERATOR_INTERVAL_MS: u64 = 250;
/// Time after which an operator's request times out, in milliseconds.
pub const OPERATOR_TIMEOUT_MS: u64 = 2_000;

/// One in this many configurations changes a resource limit.
const LIMIT_CHANGE_EVERY: u32 = 3;
/// Minimum of slots in a changed resource limit: every task and gang still fits.
pub const MIN_SLOTS: u32 = 6;
/// Minimum of GPUs in a changed resource limit: every task still fits.
const MIN_GPUS: u32 = 2;
/// Slots added from one changed resource limit to the next, modulo [`SLOTS_RANGE`], so
/// that limits rise and fall.
const SLOTS_STEP: u32 = 11;
/// Size of the range of slots above the minimum.
const SLOTS_RANGE: u32 = 30;
/// GPUs added from one changed resource limit to the next, modulo [`GPUS_RANGE`].
const GPUS_STEP: u32 = 5;
/// Size of the range of GPUs above the minimum.
const GPUS_RANGE: u32 = 11;

/// A change of the configuration, with the document that results from it.
#[derive(Clone)]
pub struct ConfigurationChange {
    /// Version that the change creates.
    pub version: ConfigurationVersion,
    /// Document that is in force once the change is accepted.
    pub document: ClusterConfiguration,
    /// Changed items; `None` if the whole document is sent.
    update: Option<ConfigurationUpdate>,
}

impl ConfigurationChange {
    /// Returns the request to send.
    pub fn operation(&self) -> Operation {
        let version = self.version;
        match &self.update {
            Some(update) => Operation::UpdateConfiguration {
                version,
                update: update.clone(),
            },
            None => Operation::PutConfiguration {
                version,
                document: self.document.clone(),
            },
        }
    }
}

/// An emulated operator with the changes that the plan has requested of it.
pub struct OperatorHost {
    /// Observer name in the history.
    pub name: String,
    /// Version of the last configuration acknowledged to the operator or read by it.
    pub known_version: ConfigurationVersion,
    /// Document of that version.
    pub document: ClusterConfiguration,
    /// Change that was sent and has no final answer yet; `None` if there is none.
    pub open_change: Option<ConfigurationChange>,
    /// Whether an HTTP request of the operator is open.
    pub request_open: bool,
    /// Number of valid changes still to send.
    pub pending_changes: u32,
    /// Number of invalid documents still to send, which the cluster must reject.
    pub pending_invalid: u32,
    /// Whether the open or last change is invalid and must be rejected.
    pub sends_invalid: bool,
    /// Counter that makes each document of this operator differ from all other documents;
    /// even for one operator, odd for the other.
    pub marker: u32,
    /// Gateway to use, counted up after a failed request and taken modulo the number of
    /// gateways.
    pub gateway: usize,
}

impl OperatorHost {
    /// Chooses the next change to send, unless one is open.
    pub fn choose_change(&mut self) {
        if self.open_change.is_some() {
            return;
        }
        let version = self.known_version.next();
        if self.pending_changes > 0 {
            self.pending_changes -= 1;
            self.sends_invalid = false;
            let document = self.next_document();
            self.open_change = Some(self.change_to(version, document));
        } else if self.pending_invalid > 0 {
            self.pending_invalid -= 1;
            self.sends_invalid = true;
            let document = self.invalid_document();
            self.open_change = Some(self.change_to(version, document));
        }
    }

    /// Returns the change that results in `document`. Every other one is sent as an update
    /// of the changed items.
    fn change_to(
        &self,
        version: ConfigurationVersion,
        document: ClusterConfiguration,
    ) -> ConfigurationChange {
        let by_update =
            self.known_version > ConfigurationVersion(0) && (self.marker / 2).is_multiple_of(2);
        if !by_update {
            return ConfigurationChange {
                version,
                document,
                update: None,
            };
        }
        let update = ConfigurationUpdate::diff(self.known_version, &self.document, &document);
        ConfigurationChange {
            version,
            document: update.apply_to(&self.document),
            update: Some(update),
        }
    }

    /// Returns the last known document with a new submit burst for all tenants and, every
    /// third time, a new resource limit for one tenant.
    pub fn next_document(&mut self) -> ClusterConfiguration {
        let mut document = self.document.clone();
        document.replaces = None;
        self.marker += 2;
        for tenant in document.tenants.values_mut() {
            tenant.submit_burst = 10_000 + self.marker;
        }
        if self.marker.is_multiple_of(LIMIT_CHANGE_EVERY) {
            let chosen = self.marker as usize % document.tenants.len().max(1);
            if let Some(tenant) = document.tenants.values_mut().nth(chosen) {
                tenant.resource_limit.slots = MIN_SLOTS + self.marker * SLOTS_STEP % SLOTS_RANGE;
                tenant.resource_limit.gpus = MIN_GPUS + self.marker * GPUS_STEP % GPUS_RANGE;
            }
        }
        document
    }

    /// Returns a document that the cluster must reject: the pools of its queues do not
    /// exist.
    pub fn invalid_document(&mut self) -> ClusterConfiguration {
        let mut document = self.next_document();
        document.pools.clear();
        document
    }
}

/// Name of [`TenantSettings::resource_limit`](configuration::TenantSettings) in the text
/// that digests are taken of. Recorded histories were written with it, and a digest must
/// not change because a field was renamed.
const RECORDED_LIMIT_NAME: &str = "ceiling: ";
/// Name of the same field in the code.
const LIMIT_NAME: &str = "resource_limit: ";

/// Returns the digest of a document for the history, in hex.
pub fn digest(document: &ClusterConfiguration) -> String {
    use sha2::{Digest, Sha256};
    let text = format!("{document:?}").replace(LIMIT_NAME, RECORDED_LIMIT_NAME);
    let hash = Sha256::digest(text.as_bytes());
    hash.iter()
        .take(8)
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
