//! Identity of this process, directory of known processes, and bootstrap of a
//! cluster.

pub(crate) mod bootstrap;
pub(crate) mod directory;
pub(crate) mod identification;
