//! The lease of a session: the right to act under a leader until it expires.

use types::{Monotonic, Term};

/// A lease under the leader of one term.
#[derive(Debug, Clone, Copy)]
struct Lease {
    term: Term,
    expires_at: Monotonic,
}

/// The lease of one process, if it has any.
#[derive(Debug, Default)]
pub(crate) struct LeaseState {
    lease: Option<Lease>,
}

impl LeaseState {
    /// Returns whether there is a lease, which may have expired unnoticed.
    pub fn is_some(&self) -> bool {
        self.lease.is_some()
    }

    /// Term of the lease; none if there is none or it has expired.
    pub fn term(&self, now: Monotonic) -> Option<Term> {
        let lease = self.lease.filter(|lease| now < lease.expires_at)?;
        Some(lease.term)
    }

    /// When the lease expires.
    pub fn expires_at(&self) -> Option<Monotonic> {
        self.lease.map(|lease| lease.expires_at)
    }

    /// Gives up the lease.
    pub fn clear(&mut self) {
        self.lease = None;
    }

    /// Removes a lease that has expired. Returns whether it did.
    pub fn expire(&mut self, now: Monotonic) -> bool {
        let has_expired = self.lease.is_some_and(|lease| now >= lease.expires_at);
        if has_expired {
            self.lease = None;
        }
        has_expired
    }

    /// Extends the lease of `term`, or begins one. Returns whether a lease
    /// began. Ignores a lease that has expired on arrival: it answers a
    /// keep-alive from before a freeze or a long delay.
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
