//! Durable storage of a coordinator's Raft log, snapshots and identity on a
//! [`Disk`].
//!
//! All files are in one data folder without subfolders. A change is durable
//! only once it is synced. The log consists of append-only segments. A segment
//! is a header with the format version and a sequence of records with length
//! and checksum; each record is one batch, and the first record of a segment
//! has a checkpoint. Snapshot and identity are written to a temporary file and
//! renamed. [`Store::open`] truncates a torn tail and rejects other damage.
//!
//! Guarantee on a damaged disk: each batch that [`Store::write`] acknowledged
//! is present, or [`Store::open`] fails, with one exception. Damage to the last
//! record of the log, or a truncated log, cannot be distinguished from a write
//! that was torn by power loss. The store then opens and reports the truncated
//! length in [`Opened::truncated_bytes`], which is zero if the log ends between
//! two records.
//!
//! Layers, from the bottom: `disk` with its implementations `real` and
//! `memory`; `folder`; `name` and `frame`; `log`; `segment`; `recovery`; and
//! `store` at the top.

mod convert;
pub mod disk;
pub mod error;
mod folder;
mod frame;
mod identity;
mod log;
pub mod memory;
mod name;
pub mod real;
mod recovery;
mod segment;
pub mod store;

pub use disk::Disk;
pub use error::{BatchError, Damage, DiskOperation, StorageError, Unverified};
pub use frame::FORMAT_VERSION;
pub use identity::Identity;
pub use memory::MemoryDisk;
pub use real::RealDisk;
pub use store::{Batch, Opened, Store, StoreOptions};
