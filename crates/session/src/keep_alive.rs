//! Keep-alives sent and not forgotten yet: a lease counts from when its keep-alive left.

use std::collections::VecDeque;
use std::net::SocketAddr;
use types::Monotonic;

/// Keep-alives remembered at most; older ones could not open a lease any more.
const MAX_REMEMBERED: usize = 64;

/// How a keep-alive was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// To the coordinator itself.
    Direct,
    /// To the leader, through this follower.
    Relayed(SocketAddr),
}

/// A keep-alive that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentKeepAlive {
    /// Its number.
    pub sequence: u64,
    /// When it left.
    pub sent_at: Monotonic,
    /// How it left.
    pub path: Path,
}

/// The keep-alives of one process, numbered from a drawn start, so that an answer
/// meant for an earlier process at the same socket finds no match.
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

    /// Records a keep-alive that leaves now, and gives its number.
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

    /// Forgets what was sent; numbers go on rising.
    pub fn forget_all(&mut self) {
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
