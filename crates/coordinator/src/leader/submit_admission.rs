//! Admission of submits: one token bucket for each tenant, filled at the rate
//! that the tenant's configuration allows.

use configuration::TenantSettings;
use std::collections::BTreeMap;
use types::{Milliseconds, Monotonic, TenantId};

/// Tokens that one submit takes: a token is a thousandth of a submit.
const TOKENS_PER_SUBMIT: u64 = 1_000;
/// Retry time for a tenant whose configured rate is 0.
const ZERO_RATE_RETRY_AFTER: Milliseconds = Milliseconds(60_000);

/// Token bucket of one tenant.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: u64,
    filled_at: Monotonic,
}

/// Token buckets of all tenants that have submitted jobs to this leader.
#[derive(Debug, Default)]
pub(super) struct SubmitAdmission {
    buckets: BTreeMap<TenantId, TokenBucket>,
}

impl SubmitAdmission {
    /// Admits one submit and takes its tokens from the tenant's bucket.
    ///
    /// # Errors
    ///
    /// Returns the time until the bucket has enough tokens if it has too few
    /// now.
    pub(super) fn admit(
        &mut self,
        tenant: &TenantId,
        settings: &TenantSettings,
        now: Monotonic,
    ) -> Result<(), Milliseconds> {
        let rate = u64::from(settings.submits_per_second);
        let capacity = u64::from(settings.submit_burst.max(1)) * TOKENS_PER_SUBMIT;
        let bucket = self.buckets.entry(tenant.clone()).or_insert(TokenBucket {
            tokens: capacity,
            filled_at: now,
        });
        // A rate of one submit per second is one token per millisecond.
        let gained = now.since(bucket.filled_at).0.saturating_mul(rate);
        bucket.tokens = bucket.tokens.saturating_add(gained).min(capacity);
        bucket.filled_at = now;
        if bucket.tokens >= TOKENS_PER_SUBMIT {
            bucket.tokens -= TOKENS_PER_SUBMIT;
            return Ok(());
        }
        let missing = TOKENS_PER_SUBMIT - bucket.tokens;
        if rate == 0 {
            return Err(ZERO_RATE_RETRY_AFTER);
        }
        Err(Milliseconds(missing.div_ceil(rate)))
    }
}
