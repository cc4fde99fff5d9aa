//! Indexes under which the view stores its entries.
//!
//! A pool, queue, tenant, runner or tenant list keeps its index for as long as
//! the view exists. A shape's index is reused once no task has that shape.

/// Index into `View::pools`.
pub(crate) type PoolIndex = usize;

/// Index into `View::queues`.
pub(crate) type QueueIndex = usize;

/// Index into `View::tenants`.
pub(crate) type TenantIndex = usize;

/// Index into `View::runners`.
pub(crate) type RunnerIndex = usize;

/// Index into `View::lists`, the tasks of one tenant in one queue.
pub(crate) type ListIndex = usize;

/// Index into `View::shapes`. Narrower than the others, as each task stores
/// one.
pub(crate) type ShapeIndex = u32;
