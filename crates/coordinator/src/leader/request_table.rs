//! Requests that wait for the log, by the process that sent them and their
//! number: a request sent again while the first one waits is the same request,
//! and costs neither an entry nor its tenant's rate a second time.

use crate::sender::Sender;
use std::collections::BTreeMap;
use transport::RequestId;
use types::{Monotonic, NodeId};

/// The identity of a request across retries.
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

/// A request that waits for the log.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    pub(super) sender: Sender,
    pub(super) id: RequestId,
    /// When its caller gives up.
    pub(super) deadline: Monotonic,
    /// An operator declares a runner lost; the answer names the closed runs.
    pub(super) declares_lost: bool,
}

impl PendingRequest {
    fn key(&self) -> RequestKey {
        RequestKey::new(&self.sender, self.id)
    }
}

/// All requests that wait for the log.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestKey, PendingRequest>,
}

impl RequestTable {
    /// Adds a request; the key finds it when its entry is applied.
    pub(super) fn insert(&mut self, request: PendingRequest) -> RequestKey {
        let key = request.key();
        self.requests.insert(key, request);
        key
    }

    /// Records a retry, if an earlier sending waits: the answer goes the way
    /// that the retry came. Returns whether one waits.
    pub(super) fn record_retry(&mut self, retry: &PendingRequest) -> bool {
        let Some(request) = self.requests.get_mut(&retry.key()) else {
            return false;
        };
        request.sender = retry.sender.clone();
        request.deadline = retry.deadline;
        true
    }

    /// Returns whether an earlier sending of the request waits.
    pub(super) fn contains(&self, sender: &Sender, id: RequestId) -> bool {
        self.requests.contains_key(&RequestKey::new(sender, id))
    }

    /// Removes a request to answer it; none if it was answered or has expired.
    pub(super) fn remove(&mut self, key: RequestKey) -> Option<PendingRequest> {
        self.requests.remove(&key)
    }

    /// Removes all requests.
    pub(super) fn take_all(&mut self) -> Vec<PendingRequest> {
        std::mem::take(&mut self.requests).into_values().collect()
    }

    /// Removes the requests whose callers have given up.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.requests.retain(|_, request| request.deadline > now);
    }

    /// Number of requests that wait.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}
