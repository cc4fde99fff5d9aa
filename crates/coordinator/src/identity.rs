//! Who this process is, which others it knows, and how a cluster is
//! bootstrapped.

pub(crate) mod bootstrap;
pub(crate) mod directory;
pub(crate) mod identification;
