//! Operator hosts: they send whole configuration versions and changes to named
//! items by turns, resend those whose answer was lost, and sometimes race.

use configuration::{ClusterConfiguration, ConfigurationUpdate};
use transport::Operation;
use types::ConfigurationVersion;

/// Time between an operator's looks at what to do.
pub const OPERATOR_INTERVAL_MS: u64 = 250;
/// How long an operator waits for an answer.
pub const OPERATOR_TIMEOUT_MS: u64 = 2_000;

/// One in this many documents changes a resource limit.
const LIMIT_CHANGE_EVERY: u32 = 3;
/// Least slots of a changed resource limit: every task and gang still fits.
pub const LEAST_SLOTS: u32 = 6;
/// Least accelerators of a changed resource limit: every task still fits.
const LEAST_GPUS: u32 = 2;
/// Ceilings go up and down in strides within a range.
const SLOTS_STEP: u32 = 11;
const SLOTS_RANGE: u32 = 30;
const GPUS_STEP: u32 = 5;
const GPUS_RANGE: u32 = 11;

/// An order to the cluster, with the document that it leads to.
#[derive(Clone)]
pub struct Order {
    /// The version wanted.
    pub version: ConfigurationVersion,
    /// The document that is in force if it is taken.
    pub document: ClusterConfiguration,
    /// The changes, where not the whole document is sent.
    update: Option<ConfigurationUpdate>,
}

impl Order {
    /// What is sent.
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

/// An operator with the changes it still wants to make.
pub struct OperatorHost {
    /// Its name in the history.
    pub name: String,
    /// Newest version it knows.
    pub known: ConfigurationVersion,
    /// The document under that version, as it knows it.
    pub document: ClusterConfiguration,
    /// The order it has sent and has no final answer to.
    pub open_order: Option<Order>,
    /// Whether an HTTP request of its is under way.
    pub waiting: bool,
    /// Changes it still wants to make.
    pub wanted: u32,
    /// Documents it still wants to send that must be rejected.
    pub wanted_invalid: u32,
    /// The order it has sent, if that must be rejected.
    pub sends_invalid: bool,
    /// Makes each of its documents differ from all others.
    pub marker: u32,
    /// The gateway it uses now.
    pub gateway: usize,
}

impl OperatorHost {
    /// Settles what to send next, unless an order is open.
    pub fn choose_order(&mut self) {
        if self.open_order.is_some() {
            return;
        }
        let version = self.known.next();
        if self.wanted > 0 {
            self.wanted -= 1;
            self.sends_invalid = false;
            let document = self.next_document();
            self.open_order = Some(self.order(version, document));
        } else if self.wanted_invalid > 0 {
            self.wanted_invalid -= 1;
            self.sends_invalid = true;
            let document = self.invalid_document();
            self.open_order = Some(self.order(version, document));
        }
    }

    /// The order that leads to a document: every other one names what changes.
    fn order(&self, version: ConfigurationVersion, document: ClusterConfiguration) -> Order {
        let by_update = self.known > ConfigurationVersion(0) && (self.marker / 2).is_multiple_of(2);
        if !by_update {
            return Order {
                version,
                document,
                update: None,
            };
        }
        let update = ConfigurationUpdate::between(self.known, &self.document, &document);
        Order {
            version,
            document: update.applied_to(&self.document),
            update: Some(update),
        }
    }

    /// The next document: the known one with other bursts, and every third
    /// time another resource limit for one tenant, up or down.
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
                tenant.resource_limit.slots = LEAST_SLOTS + self.marker * SLOTS_STEP % SLOTS_RANGE;
                tenant.resource_limit.gpus = LEAST_GPUS + self.marker * GPUS_STEP % GPUS_RANGE;
            }
        }
        document
    }

    /// A document that must be rejected: its queues are bound to no pool.
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

/// Digest of a document, for the history.
pub fn digest(document: &ClusterConfiguration) -> String {
    use sha2::{Digest, Sha256};
    let text = format!("{document:?}").replace(LIMIT_NAME, RECORDED_LIMIT_NAME);
    let hash = Sha256::digest(text.as_bytes());
    hash.iter()
        .take(8)
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
