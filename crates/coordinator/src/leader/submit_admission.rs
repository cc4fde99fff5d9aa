//! Admission of submits: a token bucket for each tenant, filled at the rate of
//! its contract.

use configuration::TenantSettings;
use std::collections::BTreeMap;
use types::{Milliseconds, Monotonic, TenantId};

/// Tokens are counted in thousandths of a submit.
const THOUSANDTHS: u64 = 1_000;
/// Retry time for a tenant whose contract allows no submits at all.
const NO_RATE_RETRY: Milliseconds = Milliseconds(60_000);

/// Tokens of one tenant.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: u64,
    filled_at: Monotonic,
}

/// The buckets of all tenants that have submitted.
#[derive(Debug, Default)]
pub(super) struct SubmitAdmission {
    buckets: BTreeMap<TenantId, Bucket>,
}

impl SubmitAdmission {
    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token, if there is none.
    pub(super) fn admit(
        &mut self,
        tenant: &TenantId,
        settings: &TenantSettings,
        now: Monotonic,
    ) -> Result<(), Milliseconds> {
        let rate = u64::from(settings.submits_per_second);
        let capacity = u64::from(settings.submit_burst.max(1)) * THOUSANDTHS;
        let bucket = self.buckets.entry(tenant.clone()).or_insert(Bucket {
            tokens: capacity,
            filled_at: now,
        });
        // One submit a second is one thousandth a millisecond.
        let gained = now.since(bucket.filled_at).0.saturating_mul(rate);
        bucket.tokens = bucket.tokens.saturating_add(gained).min(capacity);
        bucket.filled_at = now;
        if bucket.tokens >= THOUSANDTHS {
            bucket.tokens -= THOUSANDTHS;
            return Ok(());
        }
        let missing = THOUSANDTHS - bucket.tokens;
        if rate == 0 {
            return Err(NO_RATE_RETRY);
        }
        Err(Milliseconds(missing.div_ceil(rate)))
    }
}
