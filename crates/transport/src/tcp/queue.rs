//! Queue of messages for one destination.

use crate::{PeerMessage, clock};
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use types::{Milliseconds, Monotonic};

/// Maximum age of a queued message. An older message is dropped: its sender has
/// queued a newer one since, and a message from before a suspend of the machine
/// must not be sent.
const MAX_AGE: Milliseconds = Milliseconds(5_000);

#[derive(Debug)]
struct QueuedMessage {
    queued_at: Monotonic,
    message: PeerMessage,
}

/// Bounded queue that drops its oldest message when full.
#[derive(Debug)]
pub(super) struct Queue {
    capacity: usize,
    messages: Mutex<VecDeque<QueuedMessage>>,
    added: Notify,
    reachable: Notify,
}

impl Queue {
    /// Creates an empty queue for at most `capacity` messages. A capacity of 0 is
    /// raised to 1.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            messages: Mutex::default(),
            added: Notify::new(),
            reachable: Notify::new(),
        }
    }

    /// Appends a message, and drops the oldest one if the queue is full.
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

    /// Drops messages that exceed the maximum age, and returns whether the queue is
    /// empty.
    pub fn is_empty(&self) -> bool {
        let mut messages = self.lock();
        drop_stale(&mut messages);
        messages.is_empty()
    }

    /// Waits until the queue has a message that does not exceed the maximum age.
    pub async fn wait_for_message(&self) {
        while self.is_empty() {
            self.added.notified().await;
        }
    }

    /// Records that the destination has just connected to this daemon, which
    /// completes [`Queue::wait_until_reachable`].
    pub fn record_reachable(&self) {
        self.reachable.notify_one();
    }

    /// Waits until the destination connects to this daemon.
    pub async fn wait_until_reachable(&self) {
        self.reachable.notified().await;
    }

    /// Removes and returns the oldest message that does not exceed the maximum age.
    /// Returns `None` if there is none.
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

/// Counts messages that were dropped before they were sent.
pub(super) fn count_dropped(messages: u64) {
    metrics::counter!("cypressdrum_peer_messages_dropped_total").increment(messages);
}
