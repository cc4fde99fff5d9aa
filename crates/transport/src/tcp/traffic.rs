//! Counts of messages and bytes by kind: what a daemon costs its network is
//! worked out from these.

use super::frame::OVERHEAD_BYTES;
use crate::PeerMessage;

/// Counts a message that was framed to be sent.
pub(super) fn count_sent(message: &PeerMessage, body_bytes: usize) {
    let kind = message.kind();
    metrics::counter!("cypressdrum_peer_kind_sent_total", "kind" => kind).increment(1);
    metrics::counter!("cypressdrum_peer_kind_sent_bytes_total", "kind" => kind)
        .increment(framed(body_bytes));
}

/// Counts a message that arrived.
pub(super) fn count_received(message: &PeerMessage, body_bytes: usize) {
    let kind = message.kind();
    metrics::counter!("cypressdrum_peer_kind_received_total", "kind" => kind).increment(1);
    metrics::counter!("cypressdrum_peer_kind_received_bytes_total", "kind" => kind)
        .increment(framed(body_bytes));
}

/// Bytes of the frame round a body; what TCP and IP add is not in it.
fn framed(body_bytes: usize) -> u64 {
    u64::try_from(body_bytes + OVERHEAD_BYTES).unwrap_or(u64::MAX)
}
