//! Requests that wait for the log, by the process that sent them and their
//! number: a request sent again while the first sending waits is the same
//! one, and costs neither an entry nor its tenant's rate a second time.

use crate::core::Sender;
use std::collections::BTreeMap;
use transport::RequestId;
use types::{Monotonic, NodeId};

/// What makes a request the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestKey {
    gateway: NodeId,
    id: RequestId,
}

/// A request that waits for the log.
#[derive(Debug, Clone)]
pub(crate) struct WaitingRequest {
    pub(crate) sender: Sender,
    pub(crate) id: RequestId,
    pub(crate) deadline: Monotonic,
    /// Runs an operator declared lost; answered with those that closed.
    pub(crate) declares_lost: bool,
}

impl WaitingRequest {
    fn key(&self) -> RequestKey {
        RequestKey {
            gateway: self.sender.address.node,
            id: self.id,
        }
    }
}

/// All that wait.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    requests: BTreeMap<RequestKey, WaitingRequest>,
}

impl WaitingRequests {
    /// Adds one; the key finds it when its entry is applied.
    pub(crate) fn insert(&mut self, request: WaitingRequest) -> RequestKey {
        let key = request.key();
        self.requests.insert(key, request);
        key
    }

    /// Takes a second sending: the answer goes the way that one came. False
    /// when no such request waits.
    pub(crate) fn refresh(&mut self, again: &WaitingRequest) -> bool {
        let Some(request) = self.requests.get_mut(&again.key()) else {
            return false;
        };
        request.sender = again.sender.clone();
        request.deadline = again.deadline;
        true
    }

    /// Returns whether an earlier sending of the request waits.
    pub(crate) fn waits(&self, sender: &Sender, id: RequestId) -> bool {
        let key = RequestKey {
            gateway: sender.address.node,
            id,
        };
        self.requests.contains_key(&key)
    }

    /// Takes one out to answer it; none when its caller was answered already
    /// or has given up.
    pub(crate) fn take(&mut self, key: RequestKey) -> Option<WaitingRequest> {
        self.requests.remove(&key)
    }

    /// Takes all out, to reject them.
    pub(crate) fn take_all(&mut self) -> Vec<WaitingRequest> {
        std::mem::take(&mut self.requests).into_values().collect()
    }

    /// Drops those whose callers have given up.
    pub(crate) fn drop_late(&mut self, now: Monotonic) {
        self.requests.retain(|_, request| request.deadline > now);
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}
