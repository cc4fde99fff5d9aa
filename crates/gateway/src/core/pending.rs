//! Requests that await the leader's answer: quotas, deadlines and retries.

use super::interface::{Caller, TicketId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use transport::{Operation, RequestId};
use types::{Milliseconds, Monotonic, TenantId};

/// Divisor of the capacity that gives the maximum number of one tenant's requests.
const TENANT_QUOTA_DIVISOR: usize = 4;
/// Divisor of the capacity that gives the number of requests reserved for operators.
const OPERATOR_RESERVE_DIVISOR: usize = 8;
/// Maximum number of times that the retry interval doubles.
const MAX_BACKOFF_EXPONENT: u32 = 3;

/// Quota against which a request counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuotaOwner {
    /// Quota of a tenant, for requests that concern only jobs of this tenant.
    Tenant(TenantId),
    /// Quota of the operators, for requests about the cluster or several tenants.
    Operators,
}

/// Reason why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionError {
    /// The tenant has used up its quota.
    QuotaExceeded,
    /// The capacity that the owner may use is exhausted.
    Full,
}

/// A request as the shell received it.
#[derive(Debug)]
pub struct ClientRequest {
    /// Number that the shell assigned to the request.
    pub ticket: TicketId,
    /// Sender of the request.
    pub caller: Caller,
    /// Requested operation.
    pub operation: Operation,
}

/// A request that awaits the leader's answer.
#[derive(Debug)]
pub struct PendingRequest {
    /// Request as the shell received it, after authorization.
    pub request: ClientRequest,
    /// Time at which the request is rejected if it is still unanswered.
    pub deadline: Monotonic,
    /// Socket to which the request was last sent. `None` before the first attempt.
    pub sent_to: Option<SocketAddr>,
    /// Number of times that the request was sent.
    pub attempts: u32,
    owner: QuotaOwner,
    /// Number of times that the retry interval has doubled.
    backoff_exponent: u32,
    /// Time of the next attempt, or the deadline if that is earlier.
    due: Monotonic,
}

/// The pending requests of a gateway, with a schedule of their next attempts.
#[derive(Debug)]
pub struct PendingRequests {
    capacity: usize,
    resend_after: Milliseconds,
    requests: BTreeMap<RequestId, PendingRequest>,
    tickets: BTreeMap<TicketId, RequestId>,
    schedule: BTreeSet<(Monotonic, RequestId)>,
    used: BTreeMap<QuotaOwner, usize>,
}

impl PendingRequests {
    /// Creates an empty table for at most `capacity` requests.
    pub fn new(capacity: usize, resend_after: Milliseconds) -> Self {
        Self {
            capacity: capacity.max(1),
            resend_after: Milliseconds(resend_after.0.max(1)),
            requests: BTreeMap::new(),
            tickets: BTreeMap::new(),
            schedule: BTreeSet::new(),
            used: BTreeMap::new(),
        }
    }

    /// Checks whether `owner` may have one more pending request.
    ///
    /// # Errors
    ///
    /// Returns an [`AdmissionError`] if it may not.
    pub fn check_capacity(&self, owner: &QuotaOwner) -> Result<(), AdmissionError> {
        if self.requests.len() >= self.capacity {
            return Err(AdmissionError::Full);
        }
        if *owner == QuotaOwner::Operators {
            return Ok(());
        }
        let owner_requests = self.used.get(owner).copied().unwrap_or(0);
        if owner_requests >= (self.capacity / TENANT_QUOTA_DIVISOR).max(1) {
            return Err(AdmissionError::QuotaExceeded);
        }
        let operator_requests = self.used.get(&QuotaOwner::Operators).copied().unwrap_or(0);
        let tenant_requests = self.requests.len() - operator_requests;
        if tenant_requests >= self.capacity - self.capacity / OPERATOR_RESERVE_DIVISOR {
            return Err(AdmissionError::Full);
        }
        Ok(())
    }

    /// Adds a request, whose first attempt is due at once.
    pub fn insert(
        &mut self,
        id: RequestId,
        owner: QuotaOwner,
        request: ClientRequest,
        now: Monotonic,
        deadline: Monotonic,
    ) {
        *self.used.entry(owner.clone()).or_default() += 1;
        self.tickets.insert(request.ticket, id);
        self.schedule.insert((now, id));
        let pending = PendingRequest {
            request,
            deadline,
            sent_to: None,
            attempts: 0,
            owner,
            backoff_exponent: 0,
            due: now,
        };
        self.requests.insert(id, pending);
    }

    /// Returns the pending request with this number, or `None` if it was removed.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// Removes a pending request, and releases its part of the quota.
    pub fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let pending = self.requests.remove(&id)?;
        self.tickets.remove(&pending.request.ticket);
        self.schedule.remove(&(pending.due, id));
        if let Some(count) = self.used.get_mut(&pending.owner) {
            *count -= 1;
            if *count == 0 {
                self.used.remove(&pending.owner);
            }
        }
        Some(pending)
    }

    /// Removes the pending request of a caller that closed its connection.
    pub fn remove_ticket(&mut self, ticket: TicketId) -> Option<PendingRequest> {
        let id = self.tickets.get(&ticket).copied()?;
        self.remove(id)
    }

    /// Records that a request was sent to `to`. `None` means that it could not be sent
    /// because no leader is known. The retry interval doubles with each attempt, so
    /// that retries do not overload a slow leader.
    pub fn record_attempt(&mut self, id: RequestId, to: Option<SocketAddr>, now: Monotonic) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let backoff = Milliseconds(self.resend_after.0 << pending.backoff_exponent);
        if to.is_some() {
            pending.attempts += 1;
            pending.backoff_exponent = (pending.backoff_exponent + 1).min(MAX_BACKOFF_EXPONENT);
        }
        pending.sent_to = to.or(pending.sent_to);
        let due = (now + backoff).min(pending.deadline);
        self.schedule_at(id, due);
    }

    /// Makes the next attempt due at once, and resets the retry interval.
    pub fn retry_now(&mut self, id: RequestId, now: Monotonic) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.backoff_exponent = 0;
            self.schedule_at(id, now);
        }
    }

    /// Returns the numbers of the requests whose deadline has passed. A request is due
    /// at its deadline at the latest, so only due requests are checked.
    pub fn timed_out(&self, now: Monotonic) -> Vec<RequestId> {
        let due = self.schedule.iter().take_while(|(due, _)| *due <= now);
        due.filter(|(_, id)| {
            let pending = self.requests.get(id);
            pending.is_some_and(|pending| pending.deadline <= now)
        })
        .map(|(_, id)| *id)
        .collect()
    }

    /// Removes the next due request from the schedule, and returns its number. Returns
    /// `None` if no request is due.
    pub fn pop_due(&mut self, now: Monotonic) -> Option<RequestId> {
        let (due, _) = self.schedule.first()?;
        if *due > now {
            return None;
        }
        self.schedule.pop_first().map(|(_, id)| id)
    }

    /// Returns the time at which the next request is due, or `None` if none is pending.
    pub fn next_due(&self) -> Option<Monotonic> {
        self.schedule.first().map(|(due, _)| *due)
    }

    /// Returns the numbers of all pending requests.
    pub fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// Returns the numbers of the requests that were last sent to `socket`.
    pub fn ids_sent_to(&self, socket: SocketAddr) -> Vec<RequestId> {
        let sent = |(id, pending): (&RequestId, &PendingRequest)| {
            (pending.sent_to == Some(socket)).then_some(*id)
        };
        self.requests.iter().filter_map(sent).collect()
    }

    /// Returns whether no request is pending.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn schedule_at(&mut self, id: RequestId, due: Monotonic) {
        if let Some(pending) = self.requests.get_mut(&id) {
            self.schedule.remove(&(pending.due, id));
            pending.due = due;
            self.schedule.insert((due, id));
        }
    }
}
