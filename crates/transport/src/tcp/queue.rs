//! What waits for one destination.

use crate::{PeerMessage, clock};
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use types::{Milliseconds, Monotonic};

/// A message that waited longer is dropped: whoever sent it has long since
/// sent a newer one, and after a freeze it must not go out at all.
const MAX_WAIT: Milliseconds = Milliseconds(5_000);

#[derive(Debug)]
struct Waiting {
    since: Monotonic,
    message: PeerMessage,
}

/// A bounded queue that drops its oldest.
#[derive(Debug)]
pub(super) struct Queue {
    length: usize,
    waiting: Mutex<VecDeque<Waiting>>,
    added: Notify,
    reachable: Notify,
}

impl Queue {
    /// An empty queue of at least one place.
    pub fn new(length: usize) -> Self {
        Self {
            length: length.max(1),
            waiting: Mutex::default(),
            added: Notify::new(),
            reachable: Notify::new(),
        }
    }

    /// Adds a message.
    pub fn push(&self, message: PeerMessage) {
        let since = clock::now().monotonic;
        let mut waiting = self.lock();
        if waiting.len() >= self.length {
            waiting.pop_front();
            count_dropped(1);
        }
        waiting.push_back(Waiting { since, message });
        drop(waiting);
        self.added.notify_one();
    }

    /// Returns whether nothing is left that may still be sent.
    pub fn is_empty(&self) -> bool {
        let mut waiting = self.lock();
        drop_stale(&mut waiting);
        waiting.is_empty()
    }

    /// Waits until there is something to send.
    pub async fn filled(&self) {
        while self.is_empty() {
            self.added.notified().await;
        }
    }

    /// Records that the destination has just been heard of.
    pub fn record_reachable(&self) {
        self.reachable.notify_one();
    }

    /// Waits until the destination is heard of.
    pub async fn reachable(&self) {
        self.reachable.notified().await;
    }

    /// Takes the oldest message that may still be sent.
    pub fn pop(&self) -> Option<PeerMessage> {
        let mut waiting = self.lock();
        drop_stale(&mut waiting);
        waiting.pop_front().map(|oldest| oldest.message)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Waiting>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn drop_stale(waiting: &mut VecDeque<Waiting>) {
    let now = clock::now().monotonic;
    while let Some(oldest) = waiting.front() {
        if now.since(oldest.since) <= MAX_WAIT {
            return;
        }
        waiting.pop_front();
        count_dropped(1);
    }
}

/// Counts messages that were dropped before they were sent.
pub(super) fn count_dropped(messages: u64) {
    metrics::counter!("cypressdrum_peer_messages_dropped_total").increment(messages);
}
