//! Every rule of the document, each broken on its own.

use configuration::{
    ClusterConfiguration, ErrorBudget, Key, KeyHash, KeyRole, PoolSettings, QueueMode,
    QueueSettings, TenantSettings, authenticate, requires_keys, validate,
};
use types::{KeyId, Milliseconds, PoolName, QueueName, Resources, TenantId};

const ROOM: Resources = Resources {
    slots: 4,
    cpu_milli: 4_000,
    memory_mib: 1_024,
    gpus: 0,
};

fn tenant(share_percent: u32) -> TenantSettings {
    TenantSettings {
        share_percent,
        resource_limit: ROOM,
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

fn document() -> ClusterConfiguration {
    let mut document = ClusterConfiguration::default();
    let pool = PoolName::new("large").unwrap();
    let settings = PoolSettings {
        largest_runner: ROOM,
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

fn places(document: &ClusterConfiguration) -> Vec<String> {
    let found = validate(document);
    found.into_iter().map(|message| message.path).collect()
}

#[test]
fn good_documents_have_no_problems() {
    assert!(places(&document()).is_empty());
    assert!(places(&ClusterConfiguration::default()).is_empty());
}

type Break = fn(&mut ClusterConfiguration);

fn the_tenant(document: &mut ClusterConfiguration) -> &mut TenantSettings {
    document.tenants.values_mut().next().unwrap()
}

fn the_queue(document: &mut ClusterConfiguration) -> &mut QueueSettings {
    document.queues.values_mut().next().unwrap()
}

#[test]
fn each_broken_rule_is_found_at_its_place() {
    let rules: Vec<(&str, Break)> = vec![
        ("pools.large.largest_runner.slots", |d| {
            d.pools.values_mut().next().unwrap().largest_runner.slots = 0;
        }),
        ("queues.q.pool", |d| {
            the_queue(d).pool = PoolName::new("none").unwrap();
        }),
        ("queues.q.max_unfinished_jobs", |d| {
            the_queue(d).max_unfinished_jobs = 0;
        }),
        ("tenants.t.share_percent", |d| {
            the_tenant(d).share_percent = 0;
        }),
        ("tenants.t.ceiling.slots", |d| {
            the_tenant(d).resource_limit.slots = 0;
        }),
        ("tenants.t.submits_per_second", |d| {
            the_tenant(d).submits_per_second = 0;
        }),
        ("tenants.t.submit_burst", |d| the_tenant(d).submit_burst = 0),
        ("tenants.t.max_unfinished_jobs", |d| {
            the_tenant(d).max_unfinished_jobs = 0;
        }),
        ("tenants.t.error_budget.late_after", |d| {
            the_tenant(d).error_budget.late_after = Milliseconds(0);
        }),
        ("tenants.t.error_budget.late_per_thousand", |d| {
            the_tenant(d).error_budget.late_per_thousand = 1_001;
        }),
        ("tenants.t.error_budget.failed_per_thousand", |d| {
            the_tenant(d).error_budget.failed_per_thousand = 1_001;
        }),
        ("keys.2.id", |d| d.keys.push(key("ops.1", KeyRole::Runner))),
        ("keys.2.role", |d| {
            let nobody = TenantId::new("nobody").unwrap();
            d.keys.push(key("n", KeyRole::Caller(nobody)));
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
    let mut all = document();
    for (path, rule) in &rules {
        let mut broken = document();
        rule(&mut broken);
        assert_eq!(places(&broken), [*path]);
        rule(&mut all);
    }
    assert!(places(&all).len() > 12, "all problems are told at once");
}

#[test]
fn a_share_ends_at_one_hundred_percent_for_each_tenant_alone() {
    let mut two_pools = document();
    the_tenant(&mut two_pools).share_percent = 100;
    two_pools
        .tenants
        .insert(TenantId::new("u").unwrap(), tenant(100));
    assert!(places(&two_pools).is_empty());
    let mut over = document();
    the_tenant(&mut over).share_percent = 101;
    assert_eq!(places(&over), ["tenants.t.share_percent"]);
}

#[test]
fn a_token_finds_its_key_only_with_the_right_secret() {
    let document = document();
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
fn keys_are_asked_for_once_an_operator_key_exists() {
    assert!(requires_keys(&document()));
    assert!(!requires_keys(&ClusterConfiguration::default()));
}
