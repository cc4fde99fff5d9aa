//! Metrics recorder of the process.

use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};
use std::sync::{Mutex, OnceLock, PoisonError};
use thiserror::Error;

/// Upper bounds of the histogram buckets of metrics whose names end in
/// `_seconds`, in seconds.
const SECONDS_BUCKETS: [f64; 13] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
static INSTALL_LOCK: Mutex<()> = Mutex::new(());

/// Error of a recorder that cannot be installed.
#[derive(Debug, Error)]
#[error("cannot install the metrics recorder: {0}")]
pub struct MetricsError(#[from] BuildError);

/// Installs the recorder of the process. Later calls change nothing. Values
/// recorded before the first call are lost.
///
/// # Errors
///
/// Fails if another recorder is installed or the buckets are not valid.
pub fn install_metrics() -> Result<(), MetricsError> {
    let _guard = INSTALL_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    if RECORDER.get().is_some() {
        return Ok(());
    }
    let handle = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &SECONDS_BUCKETS)?
        .install_recorder()?;
    RECORDER.get_or_init(|| handle);
    Ok(())
}

/// Returns all values as Prometheus text. The text is empty if no recorder is
/// installed.
pub(crate) fn render() -> String {
    match RECORDER.get() {
        Some(handle) => {
            handle.run_upkeep();
            handle.render()
        }
        None => String::new(),
    }
}
