//! Indexes under which the view stores its entries.
//!
//! A pool, queue, tenant, runner or tenant list keeps its index for as long as
//! the view exists. A shape's index is reused once no task has that shape.

/// Index of a pool.
pub(crate) type PoolIndex = usize;

/// Index of a queue.
pub(crate) type QueueIndex = usize;

/// Index of a tenant.
pub(crate) type TenantIndex = usize;

/// Index of a runner.
pub(crate) type RunnerIndex = usize;

/// Index of the work of one tenant in one queue.
pub(crate) type ListIndex = usize;

/// Index of a shape in the shape table.
pub(crate) type ShapeIndex = u32;
