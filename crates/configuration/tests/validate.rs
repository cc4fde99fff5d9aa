//! Tests that each rule of the document is checked, and of authentication by its keys.

use configuration::{
    ClusterConfiguration, ErrorBudget, Key, KeyHash, KeyRole, PoolSettings, QueueMode,
    QueueSettings, TenantSettings, authenticate, requires_keys, validate,
};
use types::{KeyId, Milliseconds, PoolName, QueueName, Resources, TenantId};

const CAPACITY: Resources = Resources {
    slots: 4,
    cpu_milli: 4_000,
    memory_mib: 1_024,
    gpus: 0,
};

fn tenant(share_percent: u32) -> TenantSettings {
    TenantSettings {
        share_percent,
        resource_limit: CAPACITY,
        error_budget: ErrorBudget {
            late_after: Milliseconds(1_000),
            late_per_thousand: 10,
            failed_per_thousand: 10,
        },
        submits_per_second: 10,
        submit_burst: 10,
        max_unfinished_jobs: 10,
    }
}

fn key(id: &str, role: KeyRole) -> Key {
    Key {
        id: KeyId::new(id).unwrap(),
        role,
        hash: KeyHash::new([7; 16], b"secret"),
    }
}

fn valid_document() -> ClusterConfiguration {
    let mut document = ClusterConfiguration::default();
    let pool = PoolName::new("large").unwrap();
    let settings = PoolSettings {
        largest_runner: CAPACITY,
    };
    document.pools.insert(pool.clone(), settings);
    let queue = QueueSettings {
        priority: 0,
        pool,
        mode: QueueMode::Active,
        max_unfinished_jobs: 10,
    };
    document.queues.insert(QueueName::new("q").unwrap(), queue);
    let name = TenantId::new("t").unwrap();
    document.tenants.insert(name.clone(), tenant(60));
    document.keys = vec![
        key("ops.1", KeyRole::Operator),
        key("t-1", KeyRole::Caller(name)),
    ];
    document
}

fn problem_paths(document: &ClusterConfiguration) -> Vec<String> {
    let problems = validate(document);
    problems.into_iter().map(|problem| problem.path).collect()
}

#[test]
fn valid_documents_have_no_problems() {
    assert!(problem_paths(&valid_document()).is_empty());
    assert!(problem_paths(&ClusterConfiguration::default()).is_empty());
}

type Mutation = fn(&mut ClusterConfiguration);

fn tenant_of(document: &mut ClusterConfiguration) -> &mut TenantSettings {
    document.tenants.values_mut().next().unwrap()
}

fn queue_of(document: &mut ClusterConfiguration) -> &mut QueueSettings {
    document.queues.values_mut().next().unwrap()
}

#[test]
fn each_violated_rule_is_reported_at_its_path() {
    let mutations: Vec<(&str, Mutation)> = vec![
        ("pools.large.largest_runner.slots", |d| {
            d.pools.values_mut().next().unwrap().largest_runner.slots = 0;
        }),
        ("queues.q.pool", |d| {
            queue_of(d).pool = PoolName::new("none").unwrap();
        }),
        ("queues.q.max_unfinished_jobs", |d| {
            queue_of(d).max_unfinished_jobs = 0;
        }),
        ("tenants.t.share_percent", |d| {
            tenant_of(d).share_percent = 0;
        }),
        ("tenants.t.ceiling.slots", |d| {
            tenant_of(d).resource_limit.slots = 0;
        }),
        ("tenants.t.submits_per_second", |d| {
            tenant_of(d).submits_per_second = 0;
        }),
        ("tenants.t.submit_burst", |d| tenant_of(d).submit_burst = 0),
        ("tenants.t.max_unfinished_jobs", |d| {
            tenant_of(d).max_unfinished_jobs = 0;
        }),
        ("tenants.t.error_budget.late_after", |d| {
            tenant_of(d).error_budget.late_after = Milliseconds(0);
        }),
        ("tenants.t.error_budget.late_per_thousand", |d| {
            tenant_of(d).error_budget.late_per_thousand = 1_001;
        }),
        ("tenants.t.error_budget.failed_per_thousand", |d| {
            tenant_of(d).error_budget.failed_per_thousand = 1_001;
        }),
        ("keys.2.id", |d| d.keys.push(key("ops.1", KeyRole::Runner))),
        ("keys.2.role", |d| {
            let unknown = TenantId::new("unknown").unwrap();
            d.keys.push(key("n", KeyRole::Caller(unknown)));
        }),
        ("keys", |d| d.keys = vec![key("r", KeyRole::Runner)]),
        ("timings.run_lease", |d| {
            d.timings.run_lease = Milliseconds(0);
        }),
        ("timings.run_lease_margin", |d| {
            d.timings.run_lease_margin = Milliseconds(0);
        }),
        ("timings.retry_backoff", |d| {
            d.timings.retry_backoff = Milliseconds(0);
        }),
        ("timings.max_retry_backoff", |d| {
            d.timings.max_retry_backoff = Milliseconds(1);
        }),
        ("timings.retention", |d| {
            d.timings.retention = Milliseconds(59_999);
        }),
    ];
    let mut all_invalid = valid_document();
    for (path, mutate) in &mutations {
        let mut invalid = valid_document();
        mutate(&mut invalid);
        assert_eq!(problem_paths(&invalid), [*path]);
        mutate(&mut all_invalid);
    }
    assert!(
        problem_paths(&all_invalid).len() > 12,
        "all problems are reported at once"
    );
}

#[test]
fn share_limit_of_100_percent_applies_to_each_tenant_separately() {
    let mut two_pools = valid_document();
    tenant_of(&mut two_pools).share_percent = 100;
    two_pools
        .tenants
        .insert(TenantId::new("u").unwrap(), tenant(100));
    assert!(problem_paths(&two_pools).is_empty());
    let mut over = valid_document();
    tenant_of(&mut over).share_percent = 101;
    assert_eq!(problem_paths(&over), ["tenants.t.share_percent"]);
}

#[test]
fn token_authenticates_only_with_the_secret_of_its_key() {
    let document = valid_document();
    let found = |token| authenticate(&document, token).map(|key| key.id.as_str());
    assert_eq!(found("ops.1.secret"), Some("ops.1"));
    assert_eq!(found("t-1.secret"), Some("t-1"));
    for token in [
        "t-1.secrets",
        "t-1.",
        "t-1",
        "",
        ".",
        "t-2.secret",
        ".secret",
    ] {
        assert_eq!(found(token), None, "{token}");
    }
}

#[test]
fn keys_are_required_once_an_operator_key_exists() {
    assert!(requires_keys(&valid_document()));
    assert!(!requires_keys(&ClusterConfiguration::default()));
}
