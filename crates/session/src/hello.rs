//! Hellos sent and not forgotten yet: a lease counts from when its hello left.

use std::collections::VecDeque;
use std::net::SocketAddr;
use types::Monotonic;

/// Hellos remembered at most; older ones could not open a lease any more.
const MAX_REMEMBERED: usize = 64;

/// How a hello was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// To the coordinator itself.
    Direct,
    /// To the leader, through this follower.
    Relayed(SocketAddr),
}

/// A hello that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentHello {
    /// Its number.
    pub sequence: u64,
    /// When it left.
    pub sent_at: Monotonic,
    /// How it left.
    pub path: Path,
}

/// The hellos of one process, numbered from a drawn start, so that an answer
/// meant for an earlier process at the same socket finds no match.
#[derive(Debug)]
pub struct HelloLog {
    next_sequence: u64,
    sent: VecDeque<SentHello>,
}

impl HelloLog {
    /// An empty log whose first hello has this number.
    pub fn new(first_sequence: u64) -> Self {
        Self {
            next_sequence: first_sequence,
            sent: VecDeque::new(),
        }
    }

    /// Notes a hello that leaves now, and gives its number.
    pub fn note(&mut self, sent_at: Monotonic, path: Path) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.sent.len() == MAX_REMEMBERED {
            self.sent.pop_front();
        }
        self.sent.push_back(SentHello {
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

    /// The hello of this number, while it is remembered.
    pub fn find(&self, sequence: u64) -> Option<SentHello> {
        self.sent
            .iter()
            .find(|hello| hello.sequence == sequence)
            .copied()
    }
}
