//! Keys and roles.

use crate::bench::{Bench, job_key, submit};
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

fn code(token: Option<&str>, operation: Operation) -> Option<RejectionCode> {
    let mut bench = Bench::with_keys();
    let ticket = bench.ask_as(token, 1_000, operation);
    let rejected = bench
        .answer(ticket)
        .and_then(|answer| answer.as_ref().err());
    let code = rejected.map(|rejection| rejection.code);
    assert!(code.is_none() || bench.requests.is_empty());
    code
}

#[test]
fn without_an_operator_key_in_force_everyone_may_ask() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(1_000, submit("poster", "a"));
    assert_eq!(bench.answer(ticket), None);
    assert_eq!(bench.requests.len(), 1);
}

#[test]
fn no_key_and_a_wrong_key_are_refused_at_once() {
    for token in [
        None,
        Some("app.wrong"),
        Some("nobody.secret"),
        Some("x"),
        Some(""),
    ] {
        let rejected = code(token, submit("poster", "a"));
        assert_eq!(rejected, Some(RejectionCode::Unauthenticated), "{token:?}");
    }
}

#[test]
fn an_operator_may_do_everything() {
    let all = operator_operations().into_iter();
    for operation in all.chain(tenant_operations("editors")) {
        assert_eq!(code(OPERATOR, operation.clone()), None, "{operation:?}");
    }
}

#[test]
fn a_caller_may_do_what_is_its_own_tenants_and_nothing_else() {
    for operation in tenant_operations("poster") {
        assert_eq!(code(CALLER, operation.clone()), None, "{operation:?}");
    }
    let others = tenant_operations("editors").into_iter();
    for operation in others.chain(operator_operations()) {
        let rejected = code(CALLER, operation.clone());
        assert_eq!(rejected, Some(RejectionCode::Forbidden), "{operation:?}");
    }
}

#[test]
fn a_cancel_with_one_job_of_another_tenant_is_refused_whole() {
    let jobs = vec![job_key("poster", "a"), job_key("editors", "b")];
    let rejected = code(CALLER, Operation::Cancel(CancelSelector::Jobs(jobs)));
    assert_eq!(rejected, Some(RejectionCode::Forbidden));
}

#[test]
fn a_callers_list_is_narrowed_to_its_tenant() {
    let mut bench = Bench::with_keys();
    let filter = JobFilter {
        limit: 10,
        ..JobFilter::default()
    };
    bench.ask_as(CALLER, 1_000, Operation::ListJobs(filter));
    let Operation::ListJobs(asked) = &bench.requests[0].2.operation else {
        panic!("another operation");
    };
    assert_eq!(asked.tenant, Some("poster".parse().unwrap()));
}

#[test]
fn a_runners_key_opens_nothing_here() {
    let all = operator_operations().into_iter();
    for operation in all.chain(tenant_operations("poster")) {
        let rejected = code(RUNNER, operation.clone());
        assert_eq!(rejected, Some(RejectionCode::Forbidden), "{operation:?}");
    }
}

#[test]
fn the_configuration_is_answered_from_the_replica() {
    let mut bench = Bench::with_keys();
    let ticket = bench.ask_as(OPERATOR, 1_000, Operation::GetConfiguration);
    let expected = OperationReply::Configuration {
        version: types::ConfigurationVersion(1),
        document: bench.document.clone(),
    };
    assert_eq!(bench.answer(ticket), Some(&Ok(expected)));
    assert!(bench.requests.is_empty());
}

#[test]
fn a_revoked_key_is_refused_and_nothing_is_sent_again_on_its_word() {
    let mut bench = Bench::with_keys();
    let waiting = bench.ask_as(CALLER, 20_000, submit("poster", "a"));
    bench.document.keys.retain(|key| key.id.as_str() != "app");
    bench.version = 2;
    bench.advance(300);
    let sent = bench.requests.len();
    let fresh = bench.ask_as(CALLER, 1_000, submit("poster", "b"));
    assert_eq!(bench.rejection(fresh).code, RejectionCode::Unauthenticated);
    bench.advance(1_000);
    assert_eq!(
        bench.rejection(waiting).code,
        RejectionCode::Unauthenticated
    );
    assert_eq!(bench.requests.len(), sent);
}

#[test]
fn a_token_never_shows_its_secret() {
    let caller = gateway::Caller {
        token: Some("app.secret".to_owned()),
    };
    let shown = format!("{caller:?}");
    assert!(
        shown.contains("app") && !shown.contains("secret"),
        "{shown}"
    );
    let unsplit = gateway::Caller {
        token: Some("topsecret".to_owned()),
    };
    assert!(!format!("{unsplit:?}").contains("topsecret"));
}
