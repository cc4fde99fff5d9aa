//! Versioned cluster configuration document, its updates and its validation.
//!
//! One document describes all queues, tenant contracts and keys. It is replaced as a
//! whole, or changed item by item, by compare-and-set on its version, and is validated
//! by this crate before it takes effect. The names in the public JSON format (`most` for
//! the resource limit) are defined in the `api` crate.

pub mod authenticate;
pub mod document;
pub mod key;
pub mod update;
pub mod validate;

pub use authenticate::{authenticate, requires_keys};
pub use document::{
    ClusterConfiguration, ErrorBudget, LeftOutQueues, LicenceSettings, PoolSettings, QueueMode,
    QueueSettings, TenantSettings, Timings,
};
pub use key::{Key, KeyHash, KeyRole};
pub use update::{ConfigurationUpdate, RemovedItems, UpsertedItems};
pub use validate::{ConfigurationError, validate};
