//! The keep-alives sent recently: a lease is dated from when its keep-alive was
//! sent.

use std::collections::VecDeque;
use std::net::SocketAddr;
use types::Monotonic;

/// Largest number of keep-alives remembered; a reply to an older one could not
/// begin a lease.
const MAX_REMEMBERED: usize = 64;

/// Path of a keep-alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// Directly to the coordinator.
    Direct,
    /// To the leader, through this follower.
    Relayed(SocketAddr),
}

/// A keep-alive that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentKeepAlive {
    /// Its number.
    pub sequence: u64,
    /// When it was sent.
    pub sent_at: Monotonic,
    /// Its path.
    pub path: Path,
}

/// The keep-alives of one process. Their numbers begin at a random one, so that
/// a reply to an earlier process at the same address finds no match.
#[derive(Debug)]
pub struct KeepAliveLog {
    next_sequence: u64,
    sent: VecDeque<SentKeepAlive>,
}

impl KeepAliveLog {
    /// An empty log whose first keep-alive has this number.
    pub fn new(first_sequence: u64) -> Self {
        Self {
            next_sequence: first_sequence,
            sent: VecDeque::new(),
        }
    }

    /// Records a keep-alive sent at `sent_at`, and returns its number.
    pub fn record(&mut self, sent_at: Monotonic, path: Path) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.sent.len() == MAX_REMEMBERED {
            self.sent.pop_front();
        }
        self.sent.push_back(SentKeepAlive {
            sequence,
            sent_at,
            path,
        });
        sequence
    }

    /// Forgets all keep-alives; numbers continue to increase.
    pub fn clear(&mut self) {
        self.sent.clear();
    }

    /// The keep-alive of this number, while it is remembered.
    pub fn find(&self, sequence: u64) -> Option<SentKeepAlive> {
        self.sent
            .iter()
            .find(|keep_alive| keep_alive.sequence == sequence)
            .copied()
    }
}
