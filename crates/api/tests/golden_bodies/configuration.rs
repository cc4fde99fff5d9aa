//! Bodies of the configuration document, its updates, keys and versions.

use crate::recorded::{assert_body, assert_text, read, read_back, text};
use crate::values::{address, name, resources};
use api::configuration::{ConfigurationBody, ConfigurationUpdateBody};
use api::version::{ConfigurationStatusBody, ConfigurationViewBody, ConfiguredBody};
use configuration::{
    ClusterConfiguration, ConfigurationUpdate, ErrorBudget, Key, KeyHash, KeyRole, LeftOutQueues,
    LicenceSettings, PoolSettings, QueueMode, QueueSettings, RemovedItems, TenantSettings, Timings,
    UpsertedItems,
};
use std::collections::BTreeMap;
use transport::MemberView;
use types::{ConfigurationVersion, Milliseconds, PoolName, QueueName, Role, TenantId};

fn pools() -> BTreeMap<PoolName, PoolSettings> {
    let pool = PoolSettings {
        largest_runner: resources(11),
    };
    BTreeMap::from([(name("stills"), pool)])
}

/// Returns one queue of each mode.
fn queues() -> BTreeMap<QueueName, QueueSettings> {
    let modes = every!(QueueMode: Shadow, Active, Paused, Draining);
    let names = ["first", "second", "third", "fourth"].map(name);
    let settings = modes.into_iter().map(|mode| QueueSettings {
        pool: name("stills"),
        mode,
        max_unfinished_jobs: 21,
        priority: 22,
    });
    names.into_iter().zip(settings).collect()
}

fn tenants() -> BTreeMap<TenantId, TenantSettings> {
    let tenant = TenantSettings {
        share_percent: 31,
        resource_limit: resources(32),
        error_budget: ErrorBudget {
            late_after: Milliseconds(36),
            late_per_thousand: 37,
            failed_per_thousand: 38,
        },
        submits_per_second: 39,
        submit_burst: 40,
        max_unfinished_jobs: 41,
    };
    BTreeMap::from([(name("poster"), tenant)])
}

fn licences() -> BTreeMap<types::LicenceName, LicenceSettings> {
    BTreeMap::from([(name("renderer"), LicenceSettings { seats: 51 })])
}

/// Returns one key of each role.
fn keys() -> Vec<Key> {
    let roles = every!(KeyRole: Caller { 0: name("poster") }, Operator, Runner);
    let ids = ["key-1", "key-2", "key-3"];
    let pairs = ids.into_iter().zip(roles);
    pairs
        .map(|(id, role)| Key {
            id: name(id),
            role,
            hash: KeyHash {
                salt: [0x1a; 16],
                digest: [0x2b; 32],
            },
        })
        .collect()
}

fn full_document() -> ClusterConfiguration {
    ClusterConfiguration {
        pools: pools(),
        queues: queues(),
        tenants: tenants(),
        licences: licences(),
        keys: keys(),
        timings: Timings {
            run_lease: Milliseconds(61),
            run_lease_margin: Milliseconds(62),
            retry_backoff: Milliseconds(63),
            max_retry_backoff: Milliseconds(64),
            retention: Milliseconds(65),
        },
        replaces: Some(ConfigurationVersion(71)),
        left_out: LeftOutQueues::Drain,
        source: Some("the text it was translated from".to_owned()),
    }
}

#[test]
fn full_document_round_trips_through_golden_json() {
    assert_body(
        "configuration_full.json",
        &ConfigurationBody::from(full_document()),
    );
    let body: ConfigurationBody = read_back("configuration_full.json");
    assert_eq!(body.into_document().unwrap(), full_document());
}

#[test]
fn full_document_round_trips_through_golden_toml() {
    let body = ConfigurationBody::from(full_document());
    let written = toml::to_string_pretty(&body).unwrap();
    assert_text("configuration_full.toml", &written);
    let read: ConfigurationBody = api::parse_toml(&text("configuration_full.toml")).unwrap();
    assert_eq!(read.into_document().unwrap(), full_document());
}

#[test]
fn empty_document_gets_golden_defaults() {
    let body: ConfigurationBody = read("empty.json");
    assert_body("configuration_empty_filled.json", &body);
    let document = body.into_document().unwrap();
    assert_eq!(document, ClusterConfiguration::default());
}

#[test]
fn minimal_items_get_golden_defaults() {
    let body: ConfigurationBody = read("configuration_minimal.json");
    assert_body("configuration_minimal_filled.json", &body);
    let converted = ConfigurationBody::from(body.into_document().unwrap());
    assert_body("configuration_minimal_filled.json", &converted);
}

#[test]
fn full_update_round_trips_through_golden_file() {
    let body: ConfigurationUpdateBody = read_back("update_full.json");
    let expected = ConfigurationUpdate {
        replaces: ConfigurationVersion(71),
        upsert: UpsertedItems {
            pools: pools(),
            queues: queues(),
            tenants: tenants(),
            licences: licences(),
            keys: keys(),
        },
        remove: RemovedItems {
            pools: [name("old-pool")].into(),
            queues: [name("old-queue")].into(),
            tenants: [name("old-tenant")].into(),
            licences: [name("old-licence")].into(),
            keys: [name("old-key")].into(),
        },
        source: Some("the text it was translated from".to_owned()),
        sent: None,
    };
    assert_eq!(body.into_update().unwrap(), expected);
}

#[test]
fn minimal_update_has_no_items() {
    let body: ConfigurationUpdateBody = read("update_minimal.json");
    assert_body("update_minimal_filled.json", &body);
    let expected = ConfigurationUpdate {
        replaces: ConfigurationVersion(71),
        ..ConfigurationUpdate::default()
    };
    assert_eq!(body.into_update().unwrap(), expected);
}

#[test]
fn response_to_new_version_matches_golden_file() {
    let body = ConfiguredBody {
        version: 72,
        known: true,
    };
    assert_body("configured.json", &body);
    read_back::<ConfiguredBody>("configured.json");
}

#[test]
fn view_of_document_in_force_matches_golden_file() {
    let body = ConfigurationViewBody {
        version: 72,
        node: "1234".to_owned(),
        configuration: ClusterConfiguration::default().into(),
    };
    assert_body("configuration_view.json", &body);
    read_back::<ConfigurationViewBody>("configuration_view.json");
}

/// Returns a member of each role. The last one has reported no version.
fn members() -> Vec<MemberView> {
    let roles = every!(Role: Coordinator, Gateway, Agent);
    let versions = [Some(72), Some(71), None];
    let rows = roles.into_iter().zip(versions).zip(1_u64..);
    rows.map(|((role, version), node)| MemberView {
        address: address(node, role),
        status: "session".to_owned(),
        since_last_contact: Milliseconds(5),
        configuration: version.map(ConfigurationVersion),
        links: None,
    })
    .collect()
}

#[test]
fn status_of_members_matches_golden_files() {
    let body = ConfigurationStatusBody::from(members());
    assert_body("configuration_status.json", &body);
    read_back::<ConfigurationStatusBody>("configuration_status.json");
    let mut up_to_date = members();
    up_to_date.truncate(1);
    let body = ConfigurationStatusBody::from(up_to_date);
    assert_body("configuration_status_everywhere.json", &body);
}
