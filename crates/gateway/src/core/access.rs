//! Authorization of requests.

use crate::core::pending::QuotaOwner;
use crate::core::rejection;
use configuration::{ClusterConfiguration, Key, KeyRole, authenticate, requires_keys};
use state_machine::CancelSelector;
use transport::{Operation, Rejection};
use types::TenantId;

/// Checks the key against the configuration, and the operation against the role of
/// the key. Returns the operation to forward: a job list that a caller's key requests
/// is restricted to the tenant of the key.
///
/// # Errors
///
/// Returns a [`Rejection`] if the key is unknown or its role does not allow the
/// operation.
pub fn authorize(
    document: &ClusterConfiguration,
    token: Option<&str>,
    operation: Operation,
) -> Result<Operation, Rejection> {
    if !requires_keys(document) {
        return Ok(operation);
    }
    let key = find_key(document, token)?;
    match &key.role {
        KeyRole::Operator => Ok(operation),
        KeyRole::Runner => Err(rejection::forbidden(
            "a runner's key may only send heartbeats",
        )),
        KeyRole::Caller(tenant) => authorize_caller(tenant, operation),
    }
}

/// Returns whether the configuration contains the key, or requires none.
pub fn is_authenticated(document: &ClusterConfiguration, token: Option<&str>) -> bool {
    !requires_keys(document) || find_key(document, token).is_ok()
}

/// Returns the quota against which an operation counts.
pub fn quota_owner(operation: &Operation) -> QuotaOwner {
    let tenant = match operation {
        Operation::Submit(spec) | Operation::SubmitByEntry { spec, .. } => Some(&spec.tenant),
        Operation::GetAccessibleJobState { access, .. }
        | Operation::CancelAccessible { access, .. } => access.tenants.first(),
        Operation::GetJob(key) | Operation::GetJobState(key) | Operation::Explain(key) => {
            Some(&key.tenant)
        }
        Operation::ListJobs(filter) => filter.tenant.as_ref(),
        Operation::Cancel(CancelSelector::Tenant { tenant, .. }) => Some(tenant),
        Operation::Cancel(CancelSelector::Jobs(jobs)) => {
            let first = jobs.first().map(|key| &key.tenant);
            first.filter(|tenant| jobs.iter().all(|key| key.tenant == **tenant))
        }
        _ => None,
    };
    tenant
        .cloned()
        .map_or(QuotaOwner::Operators, QuotaOwner::Tenant)
}

fn find_key<'a>(
    document: &'a ClusterConfiguration,
    token: Option<&str>,
) -> Result<&'a Key, Rejection> {
    let token = token.ok_or_else(|| rejection::unauthenticated("a bearer key is needed"))?;
    authenticate(document, token)
        .ok_or_else(|| rejection::unauthenticated("the key is not known or was revoked"))
}

/// Checks that an operation concerns only the tenant of a caller's key. Restricts a job
/// list without a tenant to that tenant.
fn authorize_caller(
    key_tenant: &TenantId,
    mut operation: Operation,
) -> Result<Operation, Rejection> {
    if let Operation::ListJobs(filter) = &mut operation {
        filter.tenant.get_or_insert_with(|| key_tenant.clone());
    }
    let allowed = match &operation {
        Operation::Submit(spec) => spec.tenant == *key_tenant,
        Operation::GetJob(key) | Operation::GetJobState(key) | Operation::Explain(key) => {
            key.tenant == *key_tenant
        }
        Operation::ListJobs(filter) => filter.tenant.as_ref() == Some(key_tenant),
        Operation::Cancel(CancelSelector::Tenant { tenant, .. }) => tenant == key_tenant,
        Operation::Cancel(CancelSelector::Jobs(jobs)) => {
            jobs.iter().all(|key| key.tenant == *key_tenant)
        }
        _ => return Err(rejection::forbidden("only an operator's key may do this")),
    };
    if allowed {
        return Ok(operation);
    }
    Err(rejection::forbidden("the key belongs to another tenant"))
}
