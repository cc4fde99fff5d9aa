//! Changes to named items.

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

fn base() -> ClusterConfiguration {
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
    document.source = Some("as it was".to_owned());
    document
}

fn update(upsert: UpsertedItems, remove: RemovedItems) -> ConfigurationUpdate {
    ConfigurationUpdate {
        replaces: ConfigurationVersion(4),
        upsert,
        remove,
        source: Some("as it is".to_owned()),
        sent: None,
    }
}

#[test]
fn items_are_added_replaced_and_removed_and_the_rest_stays() {
    let upsert = UpsertedItems {
        queues: [(queue("two"), settings(7)), (queue("three"), settings(3))].into(),
        keys: vec![key("b", b"third"), key("c", b"fourth")],
        ..UpsertedItems::default()
    };
    let remove = RemovedItems {
        queues: [queue("one"), queue("never-there")].into(),
        licences: [licence("renderer")].into(),
        keys: [KeyId::new("a").unwrap()].into(),
        ..RemovedItems::default()
    };
    let update = update(upsert, remove);
    assert!(update.problems().is_empty(), "absent names are no problem");
    let made = update.applied_to(&base());
    let queues: Vec<(&str, u8)> = made
        .queues
        .iter()
        .map(|(name, queue)| (name.as_str(), queue.priority))
        .collect();
    assert_eq!(queues, [("three", 3), ("two", 7)]);
    assert_eq!(made.pools, base().pools);
    assert!(made.licences.is_empty());
    assert_eq!(made.keys, [key("b", b"third"), key("c", b"fourth")]);
    assert_eq!(made.replaces, Some(ConfigurationVersion(4)));
    assert_eq!(made.source.as_deref(), Some("as it is"));
}

#[test]
fn a_name_in_both_and_a_key_named_twice_are_problems_with_their_place() {
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
    let places: Vec<&str> = problems.iter().map(|one| one.path.as_str()).collect();
    assert_eq!(places, ["queues.one", "keys.c"]);
}

#[test]
fn what_lies_between_two_documents_leads_from_one_to_the_other() {
    let mut wanted = base();
    wanted.queues.remove(&queue("one"));
    wanted.queues.insert(queue("four"), settings(4));
    wanted.queues.insert(queue("two"), settings(9));
    wanted.keys = vec![key("b", b"second"), key("d", b"new")];
    wanted.licences.clear();
    wanted.source = None;
    wanted.replaces = Some(ConfigurationVersion(4));
    let update = ConfigurationUpdate::between(ConfigurationVersion(4), &base(), &wanted);
    assert_eq!(update.upsert.queues.len(), 2);
    assert_eq!(update.upsert.keys.len(), 1);
    assert!(update.upsert.pools.is_empty());
    assert_eq!(update.applied_to(&base()), wanted);
}
