//! The queue of messages for one destination.

use crate::{PeerMessage, clock};
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use types::{Milliseconds, Monotonic};

/// Maximum age of a queued message. An older one is dropped: its sender has sent
/// a newer one since, and after a suspend of the machine it must not be sent.
const MAX_AGE: Milliseconds = Milliseconds(5_000);

#[derive(Debug)]
struct QueuedMessage {
    queued_at: Monotonic,
    message: PeerMessage,
}

/// A bounded queue that drops its oldest message when it is full.
#[derive(Debug)]
pub(super) struct Queue {
    capacity: usize,
    messages: Mutex<VecDeque<QueuedMessage>>,
    added: Notify,
    reachable: Notify,
}

impl Queue {
    /// Creates an empty queue for at most `capacity` messages, at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            messages: Mutex::default(),
            added: Notify::new(),
            reachable: Notify::new(),
        }
    }

    /// Appends a message.
    pub fn push(&self, message: PeerMessage) {
        let queued_at = clock::now().monotonic;
        let mut messages = self.lock();
        if messages.len() >= self.capacity {
            messages.pop_front();
            count_dropped(1);
        }
        messages.push_back(QueuedMessage { queued_at, message });
        drop(messages);
        self.added.notify_one();
    }

    /// Returns whether the queue has no message that may still be sent.
    pub fn is_empty(&self) -> bool {
        let mut messages = self.lock();
        drop_stale(&mut messages);
        messages.is_empty()
    }

    /// Waits until the queue has a message that may be sent.
    pub async fn wait_for_message(&self) {
        while self.is_empty() {
            self.added.notified().await;
        }
    }

    /// Records that the destination has just connected to this daemon.
    pub fn record_reachable(&self) {
        self.reachable.notify_one();
    }

    /// Waits until the destination connects to this daemon.
    pub async fn wait_until_reachable(&self) {
        self.reachable.notified().await;
    }

    /// Removes and returns the oldest message that may still be sent.
    pub fn pop(&self) -> Option<PeerMessage> {
        let mut messages = self.lock();
        drop_stale(&mut messages);
        messages.pop_front().map(|oldest| oldest.message)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<QueuedMessage>> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn drop_stale(messages: &mut VecDeque<QueuedMessage>) {
    let now = clock::now().monotonic;
    while let Some(oldest) = messages.front() {
        if now.since(oldest.queued_at) <= MAX_AGE {
            return;
        }
        messages.pop_front();
        count_dropped(1);
    }
}

/// Counts messages that were dropped before sending.
pub(super) fn count_dropped(messages: u64) {
    metrics::counter!("cypressdrum_peer_messages_dropped_total").increment(messages);
}
