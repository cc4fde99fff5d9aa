//! Tests of configuration updates.

use configuration::{
    ClusterConfiguration, ConfigurationUpdate, Key, KeyHash, KeyRole, LicenceSettings,
    PoolSettings, QueueMode, QueueSettings, RemovedItems, UpsertedItems,
};
use types::{ConfigurationVersion, KeyId, LicenceName, PoolName, QueueName, Resources};

fn queue(name: &str) -> QueueName {
    QueueName::new(name).unwrap()
}

fn pool(name: &str) -> PoolName {
    PoolName::new(name).unwrap()
}

fn licence(name: &str) -> LicenceName {
    LicenceName::new(name).unwrap()
}

fn key(id: &str, secret: &[u8]) -> Key {
    Key {
        id: KeyId::new(id).unwrap(),
        role: KeyRole::Operator,
        hash: KeyHash::new([7; 16], secret),
    }
}

fn settings(priority: u8) -> QueueSettings {
    QueueSettings {
        pool: pool("stills"),
        mode: QueueMode::Active,
        max_unfinished_jobs: 10,
        priority,
    }
}

fn base_document() -> ClusterConfiguration {
    let mut document = ClusterConfiguration::default();
    let largest_runner = Resources::UNLIMITED;
    document
        .pools
        .insert(pool("stills"), PoolSettings { largest_runner });
    document.queues.insert(queue("one"), settings(1));
    document.queues.insert(queue("two"), settings(2));
    document
        .licences
        .insert(licence("renderer"), LicenceSettings { seats: 3 });
    document.keys = vec![key("a", b"first"), key("b", b"second")];
    document.source = Some("old source".to_owned());
    document
}

fn update(upsert: UpsertedItems, remove: RemovedItems) -> ConfigurationUpdate {
    ConfigurationUpdate {
        replaces: ConfigurationVersion(4),
        upsert,
        remove,
        source: Some("new source".to_owned()),
        sent: None,
    }
}

#[test]
fn update_adds_replaces_and_removes_items_and_keeps_the_others() {
    let upsert = UpsertedItems {
        queues: [(queue("two"), settings(7)), (queue("three"), settings(3))].into(),
        keys: vec![key("b", b"third"), key("c", b"fourth")],
        ..UpsertedItems::default()
    };
    let remove = RemovedItems {
        queues: [queue("one"), queue("absent")].into(),
        licences: [licence("renderer")].into(),
        keys: [KeyId::new("a").unwrap()].into(),
        ..RemovedItems::default()
    };
    let update = update(upsert, remove);
    assert!(
        update.problems().is_empty(),
        "absent names are not a problem"
    );
    let updated = update.apply_to(&base_document());
    let queues: Vec<(&str, u8)> = updated
        .queues
        .iter()
        .map(|(name, queue)| (name.as_str(), queue.priority))
        .collect();
    assert_eq!(queues, [("three", 3), ("two", 7)]);
    assert_eq!(updated.pools, base_document().pools);
    assert!(updated.licences.is_empty());
    assert_eq!(updated.keys, [key("b", b"third"), key("c", b"fourth")]);
    assert_eq!(updated.replaces, Some(ConfigurationVersion(4)));
    assert_eq!(updated.source.as_deref(), Some("new source"));
}

#[test]
fn conflicting_name_and_duplicate_key_are_reported_with_their_paths() {
    let upsert = UpsertedItems {
        queues: [(queue("one"), settings(1))].into(),
        keys: vec![key("c", b"1"), key("c", b"2")],
        ..UpsertedItems::default()
    };
    let remove = RemovedItems {
        queues: [queue("one")].into(),
        ..RemovedItems::default()
    };
    let problems = update(upsert, remove).problems();
    let paths: Vec<&str> = problems
        .iter()
        .map(|problem| problem.path.as_str())
        .collect();
    assert_eq!(paths, ["queues.one", "keys.c"]);
}

#[test]
fn update_between_two_documents_changes_the_first_into_the_second() {
    let mut wanted = base_document();
    wanted.queues.remove(&queue("one"));
    wanted.queues.insert(queue("four"), settings(4));
    wanted.queues.insert(queue("two"), settings(9));
    wanted.keys = vec![key("b", b"second"), key("d", b"new")];
    wanted.licences.clear();
    wanted.source = None;
    wanted.replaces = Some(ConfigurationVersion(4));
    let update = ConfigurationUpdate::diff(ConfigurationVersion(4), &base_document(), &wanted);
    assert_eq!(update.upsert.queues.len(), 2);
    assert_eq!(update.upsert.keys.len(), 1);
    assert!(update.upsert.pools.is_empty());
    assert_eq!(update.apply_to(&base_document()), wanted);
}
