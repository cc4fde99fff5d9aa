//! Metrics of sent and received messages and bytes, by kind of message.

use super::frame::OVERHEAD_BYTES;
use crate::PeerMessage;

/// Counts a message when it is framed for sending.
pub(super) fn count_sent(message: &PeerMessage, body_bytes: usize) {
    let kind = message.kind();
    metrics::counter!("cypressdrum_peer_kind_sent_total", "kind" => kind).increment(1);
    metrics::counter!("cypressdrum_peer_kind_sent_bytes_total", "kind" => kind)
        .increment(frame_bytes(body_bytes));
}

/// Counts a message when it is received.
pub(super) fn count_received(message: &PeerMessage, body_bytes: usize) {
    let kind = message.kind();
    metrics::counter!("cypressdrum_peer_kind_received_total", "kind" => kind).increment(1);
    metrics::counter!("cypressdrum_peer_kind_received_bytes_total", "kind" => kind)
        .increment(frame_bytes(body_bytes));
}

/// Returns the length of a frame in bytes, without TCP and IP headers.
fn frame_bytes(body_bytes: usize) -> u64 {
    u64::try_from(body_bytes + OVERHEAD_BYTES).unwrap_or(u64::MAX)
}
