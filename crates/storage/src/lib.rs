//! Durable log segments, snapshots and identity over a [`Disk`] seam.
//!
//! Files live flat under one data folder and count only once they are synced.
//! The log is append-only segments of records, each with length, checksum and
//! format version; a snapshot is written beside the old one and renamed. A
//! torn tail is cut at open, damage in the middle is rejected.
//!
//! What a reader of a damaged disk can rely on: every batch that
//! [`Store::write`] acknowledged is there, or the open is rejected, with one
//! exception. Damage to the very last record of the log, or a log cut short,
//! cannot be told from a write that power loss tore; the open then reports
//! [`Opened::truncated_bytes`] (zero if the cut falls between two records).

pub mod disk;
pub mod error;
mod frame;
mod log;
pub mod memory;
mod name;
pub mod real;
mod recovery;
mod segment;
pub mod store;

pub use disk::Disk;
pub use error::StorageError;
pub use frame::FORMAT_VERSION;
pub use memory::MemoryDisk;
pub use real::RealDisk;
pub use store::{Batch, Identity, Opened, Store, StoreOptions};
