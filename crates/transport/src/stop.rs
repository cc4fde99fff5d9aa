//! Stop signal for tasks and daemons.

use tokio::sync::watch;

/// Waits for the stop signal: the value true, or the drop of its sender.
pub async fn stopped(stop: &mut watch::Receiver<bool>) {
    // The error means that the sender was dropped, which is a stop as well.
    let _ = stop.wait_for(|stop| *stop).await;
}
