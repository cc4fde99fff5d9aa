//! Identifiers and the unit of virtual time, shared by all parts of the simulation.

/// Virtual time in microseconds since the start of the run.
pub type Micros = u64;

/// Position of a machine in the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineIndex(pub usize);

/// Position of a daemon in the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessIndex(pub usize);

/// One incarnation of a daemon or runner; events of an earlier incarnation are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Incarnation(pub u32);

/// What a daemon finds on its disk when it is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskState {
    /// What was there.
    Retained,
    /// Nothing.
    Empty,
}
