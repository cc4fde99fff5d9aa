//! Durable log segments, snapshots and identity over a [`Disk`] seam.
//!
//! Files live flat under one data folder and count only once they are synced.
//! The log is append-only segments of records, each with length, checksum and
//! format version; a snapshot is written beside the old one and renamed. A
//! torn tail is cut at open, damage in the middle is refused.

pub mod disk;
pub mod error;
pub mod store;

pub use disk::{Disk, RealDisk};
pub use error::StorageError;
pub use store::{Batch, Identity, Opened, Store};
