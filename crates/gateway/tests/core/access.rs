//! Authorization of requests by keys and their roles.

use crate::harness::{Harness, job_key, submit};
use state_machine::CancelSelector;
use transport::{JobFilter, Operation, OperationReply, RejectionCode};

const OPERATOR: Option<&str> = Some("boss.secret");
const CALLER: Option<&str> = Some("app.secret");
const RUNNER: Option<&str> = Some("box.secret");

fn tenant_operations(tenant: &str) -> Vec<Operation> {
    vec![
        submit(tenant, "a"),
        Operation::GetJob(job_key(tenant, "a")),
        Operation::Explain(job_key(tenant, "a")),
        Operation::ListJobs(JobFilter {
            tenant: Some(tenant.parse().unwrap()),
            limit: 10,
            ..JobFilter::default()
        }),
        Operation::Cancel(CancelSelector::Jobs(vec![job_key(tenant, "a")])),
        Operation::Cancel(CancelSelector::Tenant {
            tenant: tenant.parse().unwrap(),
            queue: None,
        }),
    ]
}

fn operator_operations() -> Vec<Operation> {
    let runner: types::RunnerId = "r-1".parse().unwrap();
    vec![
        Operation::PutConfiguration {
            version: types::ConfigurationVersion(2),
            document: configuration::ClusterConfiguration::default(),
        },
        Operation::GetConfiguration,
        Operation::DrainRunner {
            runner: runner.clone(),
            draining: true,
        },
        Operation::DeclareRunnerLost { runner },
        Operation::ListRunners,
        Operation::ListQueues,
        Operation::ListTenants,
        Operation::ListMembers,
        Operation::Decisions { after: 0, limit: 1 },
    ]
}

/// Sends the operation with `token`. Returns the code of the rejection, or `None` if the
/// gateway did not reject it. A rejected operation must not reach a coordinator.
fn rejection_code(token: Option<&str>, operation: Operation) -> Option<RejectionCode> {
    let mut harness = Harness::with_keys();
    let ticket = harness.ask_as(token, 1_000, operation);
    let rejected = harness
        .answer(ticket)
        .and_then(|answer| answer.as_ref().err());
    let code = rejected.map(|rejection| rejection.code);
    assert!(code.is_none() || harness.requests.is_empty());
    code
}

#[test]
fn configuration_without_operator_key_admits_requests_without_key() {
    let mut harness = Harness::connected();
    let ticket = harness.ask(1_000, submit("poster", "a"));
    assert_eq!(harness.answer(ticket), None);
    assert_eq!(harness.requests.len(), 1);
}

#[test]
fn missing_or_wrong_key_is_rejected_at_once() {
    for token in [
        None,
        Some("app.wrong"),
        Some("nobody.secret"),
        Some("x"),
        Some(""),
    ] {
        let rejected = rejection_code(token, submit("poster", "a"));
        assert_eq!(rejected, Some(RejectionCode::Unauthenticated), "{token:?}");
    }
}

#[test]
fn operator_key_allows_all_operations() {
    let operations = operator_operations().into_iter();
    for operation in operations.chain(tenant_operations("editors")) {
        assert_eq!(
            rejection_code(OPERATOR, operation.clone()),
            None,
            "{operation:?}"
        );
    }
}

#[test]
fn caller_key_allows_only_operations_of_its_tenant() {
    for operation in tenant_operations("poster") {
        assert_eq!(
            rejection_code(CALLER, operation.clone()),
            None,
            "{operation:?}"
        );
    }
    let other_tenant = tenant_operations("editors").into_iter();
    for operation in other_tenant.chain(operator_operations()) {
        let rejected = rejection_code(CALLER, operation.clone());
        assert_eq!(rejected, Some(RejectionCode::Forbidden), "{operation:?}");
    }
}

#[test]
fn cancel_with_job_of_other_tenant_is_rejected_entirely() {
    let jobs = vec![job_key("poster", "a"), job_key("editors", "b")];
    let rejected = rejection_code(CALLER, Operation::Cancel(CancelSelector::Jobs(jobs)));
    assert_eq!(rejected, Some(RejectionCode::Forbidden));
}

#[test]
fn job_list_of_caller_is_restricted_to_its_tenant() {
    let mut harness = Harness::with_keys();
    let filter = JobFilter {
        limit: 10,
        ..JobFilter::default()
    };
    harness.ask_as(CALLER, 1_000, Operation::ListJobs(filter));
    let Operation::ListJobs(forwarded) = &harness.requests[0].2.operation else {
        panic!("forwarded operation is not ListJobs");
    };
    assert_eq!(forwarded.tenant, Some("poster".parse().unwrap()));
}

#[test]
fn runner_key_allows_no_operation() {
    let operations = operator_operations().into_iter();
    for operation in operations.chain(tenant_operations("poster")) {
        let rejected = rejection_code(RUNNER, operation.clone());
        assert_eq!(rejected, Some(RejectionCode::Forbidden), "{operation:?}");
    }
}

#[test]
fn configuration_is_answered_from_replica_without_leader() {
    let mut harness = Harness::with_keys();
    let ticket = harness.ask_as(OPERATOR, 1_000, Operation::GetConfiguration);
    let expected = OperationReply::Configuration {
        version: types::ConfigurationVersion(1),
        document: harness.document.clone(),
    };
    assert_eq!(harness.answer(ticket), Some(&Ok(expected)));
    assert!(harness.requests.is_empty());
}

/// Guards against resends with a key that was revoked after the first attempt.
#[test]
fn revoked_key_is_rejected_and_its_pending_request_is_not_resent() {
    let mut harness = Harness::with_keys();
    let pending = harness.ask_as(CALLER, 20_000, submit("poster", "a"));
    harness.document.keys.retain(|key| key.id.as_str() != "app");
    harness.version = 2;
    harness.advance(300);
    let sent = harness.requests.len();
    let later = harness.ask_as(CALLER, 1_000, submit("poster", "b"));
    assert_eq!(
        harness.rejection(later).code,
        RejectionCode::Unauthenticated
    );
    harness.advance(1_000);
    assert_eq!(
        harness.rejection(pending).code,
        RejectionCode::Unauthenticated
    );
    assert_eq!(harness.requests.len(), sent);
}

/// Guards against secrets in logs. A token without a dot may be a bare secret.
#[test]
fn a_token_never_shows_its_secret() {
    let caller = gateway::Caller {
        token: Some("app.secret".to_owned()),
    };
    let debug_text = format!("{caller:?}");
    assert!(
        debug_text.contains("app") && !debug_text.contains("secret"),
        "{debug_text}"
    );
    let without_id = gateway::Caller {
        token: Some("topsecret".to_owned()),
    };
    assert!(!format!("{without_id:?}").contains("topsecret"));
}
