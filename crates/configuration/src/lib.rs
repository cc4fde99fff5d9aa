//! The versioned cluster configuration document and its validation.
//!
//! One document describes all queues, tenant contracts and keys. It is taken
//! whole, or changed item by item, by compare-and-set on its version, and checked
//! here before it may enter the log. The outer JSON names (`most` for the resource limit) are the `api`
//! crate's; this crate speaks only the domain's terms.

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
