//! Processor time of a coordinator: until when it is busy, and which messages are
//! queued for it.

use crate::ids::Micros;
use transport::Envelope;

/// Processing state of a coordinator.
#[derive(Debug, Default)]
pub struct BusyState {
    /// End of the current step.
    pub(crate) until: Micros,
    /// Messages that arrived during the current step, with their times of arrival.
    pub(crate) queued: Vec<(Micros, Envelope)>,
    /// Scan cost of the scheduler after the last step, in tasks and runners examined.
    pub(crate) scan_cost: u64,
}
