//! Waiting for the stop of a task or a daemon.

use tokio::sync::watch;

/// Waits until the value is true or its sender is dropped, which counts as a stop.
pub async fn stopped(stop: &mut watch::Receiver<bool>) {
    // The error of a dropped sender needs no handling.
    let _ = stop.wait_for(|stop| *stop).await;
}
