//! What waits for a coordinator that is at work, and for how long it is.

use crate::ids::Micros;
use transport::Envelope;

/// What waits for a coordinator, and until when it is at work.
#[derive(Debug, Default)]
pub struct Busy {
    pub(crate) until: Micros,
    pub(crate) waiting: Vec<(Micros, Envelope)>,
    /// Scan cost of its scheduler, when it was last read.
    pub(crate) scan_cost: u64,
}
