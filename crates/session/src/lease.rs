//! Lease of a session. Until it expires, the process may act under the leader
//! that granted it.

use types::{Monotonic, Term};

/// Lease granted by the leader of one term.
#[derive(Debug, Clone, Copy)]
struct Lease {
    term: Term,
    expires_at: Monotonic,
}

/// Lease of one process, if there is any.
#[derive(Debug, Default)]
pub(crate) struct LeaseState {
    lease: Option<Lease>,
}

impl LeaseState {
    /// Returns whether there is a lease. It may have expired since the last call of
    /// [`LeaseState::expire`].
    pub fn is_some(&self) -> bool {
        self.lease.is_some()
    }

    /// Returns the term of the lease, or `None` if there is no lease or it has
    /// expired.
    pub fn term(&self, now: Monotonic) -> Option<Term> {
        let lease = self.lease.filter(|lease| now < lease.expires_at)?;
        Some(lease.term)
    }

    /// Returns the time at which the lease expires, or `None` without a lease.
    pub fn expires_at(&self) -> Option<Monotonic> {
        self.lease.map(|lease| lease.expires_at)
    }

    /// Removes the lease, expired or not.
    pub fn clear(&mut self) {
        self.lease = None;
    }

    /// Removes the lease if it has expired. Returns whether it was removed.
    pub fn expire(&mut self, now: Monotonic) -> bool {
        let has_expired = self.lease.is_some_and(|lease| now >= lease.expires_at);
        if has_expired {
            self.lease = None;
        }
        has_expired
    }

    /// Extends the lease if it is of the same term, and otherwise begins a new one.
    /// Returns whether a new lease began.
    ///
    /// Ignores a lease that has already expired: it is the reply to a keep-alive
    /// sent before a freeze or a long delay.
    pub fn extend(&mut self, term: Term, expires_at: Monotonic, now: Monotonic) -> bool {
        if expires_at <= now {
            return false;
        }
        if let Some(lease) = &mut self.lease
            && lease.term == term
        {
            lease.expires_at = lease.expires_at.max(expires_at);
            return false;
        }
        self.lease = Some(Lease { term, expires_at });
        true
    }
}
