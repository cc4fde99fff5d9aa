//! Admission of submits by tenant: a token bucket for each contract.

use configuration::TenantSettings;
use std::collections::BTreeMap;
use types::{Milliseconds, Monotonic, TenantId};

/// Tokens are counted in thousandths of a submit.
const THOUSANDTHS: u64 = 1_000;
/// Wait told to a tenant whose contract allows no submits at all.
const NO_RATE_RETRY: Milliseconds = Milliseconds(60_000);

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: u64,
    filled: Monotonic,
}

/// Buckets of all tenants seen.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    buckets: BTreeMap<TenantId, Bucket>,
}

impl Admission {
    /// Takes one token, or says exactly when one will be there.
    pub(crate) fn admit(
        &mut self,
        tenant: &TenantId,
        settings: &TenantSettings,
        now: Monotonic,
    ) -> Result<(), Milliseconds> {
        let rate = u64::from(settings.submits_per_second);
        let full = u64::from(settings.submit_burst.max(1)) * THOUSANDTHS;
        let bucket = self.buckets.entry(tenant.clone()).or_insert(Bucket {
            tokens: full,
            filled: now,
        });
        // One submit a second is one thousandth a millisecond.
        let gained = now.since(bucket.filled).0.saturating_mul(rate);
        bucket.tokens = bucket.tokens.saturating_add(gained).min(full);
        bucket.filled = now;
        if bucket.tokens >= THOUSANDTHS {
            bucket.tokens -= THOUSANDTHS;
            return Ok(());
        }
        let missing = THOUSANDTHS - bucket.tokens;
        match rate {
            0 => Err(NO_RATE_RETRY),
            _ => Err(Milliseconds(missing.div_ceil(rate))),
        }
    }
}
