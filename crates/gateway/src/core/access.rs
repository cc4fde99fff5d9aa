//! Who may ask for what.

use crate::core::refusal;
use crate::core::waiting::Party;
use configuration::{ClusterConfiguration, Key, KeyRole, authenticate, requires_keys};
use peer::{Operation, Refusal};
use record::CancelSelector;
use types::TenantId;

/// Checks the key against the document and the operation against the key's
/// role. Gives the operation as it may be asked: a caller's list is narrowed
/// to its own tenant.
pub fn authorize(
    document: &ClusterConfiguration,
    token: Option<&str>,
    operation: Operation,
) -> Result<Operation, Refusal> {
    if !requires_keys(document) {
        return Ok(operation);
    }
    let key = find_key(document, token)?;
    match &key.role {
        KeyRole::Operator => Ok(operation),
        KeyRole::Runner => Err(refusal::forbidden(
            "a runner's key may only send heartbeats",
        )),
        KeyRole::Caller(tenant) => within_tenant(tenant, operation),
    }
}

/// True while the bearer's key stands in the document.
pub fn is_known(document: &ClusterConfiguration, token: Option<&str>) -> bool {
    !requires_keys(document) || find_key(document, token).is_ok()
}

/// Whose places a request takes: the one tenant it is about, or the operators'.
pub fn party(operation: &Operation) -> Party {
    let tenant = match operation {
        Operation::Submit(spec) => Some(&spec.tenant),
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
    tenant.cloned().map_or(Party::Operators, Party::Tenant)
}

fn find_key<'a>(
    document: &'a ClusterConfiguration,
    token: Option<&str>,
) -> Result<&'a Key, Refusal> {
    let token = token.ok_or_else(|| refusal::unauthenticated("a bearer key is needed"))?;
    authenticate(document, token)
        .ok_or_else(|| refusal::unauthenticated("the key is not known or was revoked"))
}

fn within_tenant(own: &TenantId, mut operation: Operation) -> Result<Operation, Refusal> {
    if let Operation::ListJobs(filter) = &mut operation {
        filter.tenant.get_or_insert_with(|| own.clone());
    }
    let allowed = match &operation {
        Operation::Submit(spec) => spec.tenant == *own,
        Operation::GetJob(key) | Operation::GetJobState(key) | Operation::Explain(key) => {
            key.tenant == *own
        }
        Operation::ListJobs(filter) => filter.tenant.as_ref() == Some(own),
        Operation::Cancel(CancelSelector::Tenant { tenant, .. }) => tenant == own,
        Operation::Cancel(CancelSelector::Jobs(jobs)) => jobs.iter().all(|key| key.tenant == *own),
        _ => return Err(refusal::forbidden("only an operator's key may do this")),
    };
    if allowed {
        return Ok(operation);
    }
    Err(refusal::forbidden("the key belongs to another tenant"))
}
