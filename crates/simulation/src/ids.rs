//! Identifiers and the unit of virtual time, shared by all parts of the simulation.

/// Virtual time in microseconds since the start of the simulation.
pub type Micros = u64;

/// Index of a machine in `SimulatedCluster::machines`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineIndex(pub usize);

/// Index of a daemon in `SimulatedCluster::processes`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessIndex(pub usize);

/// Incarnation of a daemon or runner, counted up at each start and kill. Events of an
/// earlier incarnation are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Incarnation(pub u32);

/// State of a daemon's disk at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskState {
    /// The data of the previous incarnation is kept.
    Retained,
    /// The disk is empty.
    Empty,
}
