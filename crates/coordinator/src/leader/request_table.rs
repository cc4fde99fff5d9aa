//! Requests that wait for their log entries. A request is identified by its
//! sender and number, so a retry of a pending request adds no second entry and
//! does not count against the tenant's rate again.

use crate::sender::Sender;
use std::collections::BTreeMap;
use transport::RequestId;
use types::{Monotonic, NodeId};

/// Identity of a request, which is the same for its retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestKey {
    gateway: NodeId,
    id: RequestId,
}

impl RequestKey {
    fn new(sender: &Sender, id: RequestId) -> Self {
        Self {
            gateway: sender.address.node,
            id,
        }
    }
}

/// Request that waits for its log entry to be applied.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    pub(super) sender: Sender,
    pub(super) id: RequestId,
    /// When the caller stops waiting for an answer.
    pub(super) deadline: Monotonic,
    /// Whether the request declares a runner lost. The answer then lists the
    /// closed runs.
    pub(super) declares_lost: bool,
}

impl PendingRequest {
    fn key(&self) -> RequestKey {
        RequestKey::new(&self.sender, self.id)
    }
}

/// All requests that wait for their log entries.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestKey, PendingRequest>,
}

impl RequestTable {
    /// Adds a request, and returns its key for use when the entry is applied.
    pub(super) fn insert(&mut self, request: PendingRequest) -> RequestKey {
        let key = request.key();
        self.requests.insert(key, request);
        key
    }

    /// Records a retry of a pending request, whose answer is sent by the route of
    /// the retry. Returns whether the request is pending.
    pub(super) fn record_retry(&mut self, retry: &PendingRequest) -> bool {
        let Some(request) = self.requests.get_mut(&retry.key()) else {
            return false;
        };
        request.sender = retry.sender.clone();
        request.deadline = retry.deadline;
        true
    }

    /// Returns whether the request was sent before and is pending.
    pub(super) fn contains(&self, sender: &Sender, id: RequestId) -> bool {
        self.requests.contains_key(&RequestKey::new(sender, id))
    }

    /// Removes a request to answer it. Returns `None` if it was answered or has
    /// expired.
    pub(super) fn remove(&mut self, key: RequestKey) -> Option<PendingRequest> {
        self.requests.remove(&key)
    }

    /// Removes and returns all requests.
    pub(super) fn take_all(&mut self) -> Vec<PendingRequest> {
        std::mem::take(&mut self.requests).into_values().collect()
    }

    /// Removes the requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.requests.retain(|_, request| request.deadline > now);
    }

    /// Returns the number of pending requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}
