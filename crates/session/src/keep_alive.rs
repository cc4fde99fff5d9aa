//! Keep-alives sent recently. They are recorded because a lease counts from the
//! time at which its keep-alive was sent.

use std::collections::VecDeque;
use std::net::SocketAddr;
use types::Monotonic;

/// Maximum number of keep-alives recorded. A reply to an older one could not
/// begin a lease.
const MAX_RECORDED: usize = 64;

/// Path on which a keep-alive was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// Sent directly to the coordinator.
    Direct,
    /// Relayed to the leader by the follower at this socket.
    Relayed(SocketAddr),
}

/// Record of a keep-alive that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentKeepAlive {
    /// Sequence number, which the leader repeats in the lease.
    pub sequence: u64,
    /// Time of sending, from which the lease counts.
    pub sent_at: Monotonic,
    /// Path to the coordinator, which a reply proves to work.
    pub path: Path,
}

/// Keep-alives of one process. Their sequence numbers begin at a random one, so
/// that a reply to an earlier process at the same address matches none of them.
#[derive(Debug)]
pub struct KeepAliveLog {
    next_sequence: u64,
    sent: VecDeque<SentKeepAlive>,
}

impl KeepAliveLog {
    /// Creates an empty log, in which the first keep-alive will have the sequence
    /// number `first_sequence`.
    pub fn new(first_sequence: u64) -> Self {
        Self {
            next_sequence: first_sequence,
            sent: VecDeque::new(),
        }
    }

    /// Records a keep-alive sent at `sent_at`, and returns its sequence number.
    pub fn record(&mut self, sent_at: Monotonic, path: Path) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.sent.len() == MAX_RECORDED {
            self.sent.pop_front();
        }
        self.sent.push_back(SentKeepAlive {
            sequence,
            sent_at,
            path,
        });
        sequence
    }

    /// Removes all keep-alives. Sequence numbers continue to increase.
    pub fn clear(&mut self) {
        self.sent.clear();
    }

    /// Returns the keep-alive with this sequence number, or `None` if it is not
    /// recorded or no longer recorded.
    pub fn find(&self, sequence: u64) -> Option<SentKeepAlive> {
        self.sent
            .iter()
            .find(|keep_alive| keep_alive.sequence == sequence)
            .copied()
    }
}
