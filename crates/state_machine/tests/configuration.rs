//! Changes of the configuration by compare-and-set on its version.

mod support;

use configuration::{
    ClusterConfiguration, ConfigurationUpdate, LeftOutQueues, QueueSettings, RemovedItems,
    UpsertedItems,
};
use state_machine::{Command, CommandRejection, CommandReply, StateMachine};
use support::*;
use types::*;

fn conflict(wanted: u64, current: u64) -> CommandReply {
    CommandReply::Rejected(CommandRejection::VersionConflict {
        wanted: ConfigurationVersion(wanted),
        current: ConfigurationVersion(current),
    })
}

/// Returns the paths of the validation errors with which a change was rejected.
fn error_paths(reply: CommandReply) -> Vec<String> {
    match reply {
        CommandReply::Rejected(CommandRejection::InvalidConfiguration { problems }) => {
            problems.into_iter().map(|error| error.path).collect()
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn version_is_applied_once_and_resent_document_is_acknowledged() {
    let mut driver = Driver::new();
    let known = CommandReply::Configured {
        version: ConfigurationVersion(1),
        known: true,
    };
    assert_eq!(driver.configure(1, document()), known);
    let mut other = document();
    other.timings.run_lease = Milliseconds(1);
    assert_eq!(driver.configure(1, other.clone()), conflict(1, 1));
    assert_eq!(driver.configure(3, other.clone()), conflict(3, 1));
    assert_eq!(
        driver.configure(u64::MAX, other.clone()),
        conflict(u64::MAX, 1)
    );
    let accepted = CommandReply::Configured {
        version: ConfigurationVersion(2),
        known: false,
    };
    assert_eq!(driver.configure(2, other.clone()), accepted);
    assert_eq!(
        driver.configure(1, document()),
        known,
        "the first document is resent"
    );
    assert_eq!(driver.configure(1, other.clone()), conflict(1, 2));
    assert_eq!(
        driver.state_machine.configuration(),
        (ConfigurationVersion(2), &other)
    );
}

/// Returns a document that differs for each version.
fn document_for(version: u64) -> ClusterConfiguration {
    let mut document = document();
    document.timings.run_lease = Milliseconds(version);
    document
}

/// The acknowledgement of a document may be lost, and the operator may resend the
/// document after newer ones were applied.
#[test]
fn resent_documents_of_last_1024_versions_are_acknowledged_after_restore() {
    const LAST: u64 = 1_100;
    const OLDEST_KNOWN: u64 = LAST - 1_023;
    let mut driver = Driver::new();
    for version in 2..=LAST {
        driver.configure(version, document_for(version));
    }
    let bytes = driver.state_machine.snapshot().unwrap();
    driver.state_machine = StateMachine::restore(&bytes).unwrap();
    let before = driver.state_machine.clone();
    for version in 2..=LAST {
        let known = CommandReply::Configured {
            version: ConfigurationVersion(version),
            known: true,
        };
        let expected = if version < OLDEST_KNOWN {
            conflict(version, LAST)
        } else {
            known
        };
        assert_eq!(driver.configure(version, document_for(version)), expected);
        let other = document_for(version + 1);
        assert_eq!(driver.configure(version, other), conflict(version, LAST));
    }
    assert_eq!(
        driver.state_machine, before,
        "a resent document changes nothing"
    );
}

#[test]
fn invalid_document_is_rejected_and_changes_nothing() {
    let mut driver = Driver::new();
    let mut invalid = document();
    invalid.pools.clear();
    let paths = error_paths(driver.configure(2, invalid));
    assert_eq!(paths, ["queues.q.pool", "queues.r.pool"]);
    assert_eq!(
        driver.state_machine.configuration().0,
        ConfigurationVersion(1)
    );
}

#[test]
fn removal_of_queue_or_tenant_with_unfinished_jobs_is_rejected() {
    let mut driver = Driver::new();
    driver.submit(job("j", vec![step("s", 1, &[])]));
    let empty = ClusterConfiguration::default();
    let paths = error_paths(driver.configure(2, empty.clone()));
    assert_eq!(paths, ["queues.q", "tenants.a"]);
    let run = driver.reserve(task(1, 0, 0)).unwrap();
    driver.close(run, DONE);
    let reply = driver.configure(2, empty);
    assert!(matches!(reply, CommandReply::Configured { .. }));
}

#[test]
fn document_that_names_its_base_version_may_skip_version_numbers() {
    let mut driver = Driver::new();
    let replacing = |version: u64| ClusterConfiguration {
        replaces: Some(ConfigurationVersion(version)),
        ..document()
    };
    let rejected = driver.configure(9, document());
    assert!(
        matches!(rejected, CommandReply::Rejected(_)),
        "{rejected:?}"
    );
    let accepted = driver.configure(9, replacing(1));
    assert!(matches!(
        accepted,
        CommandReply::Configured { known: false, .. }
    ));
    let again = driver.configure(9, replacing(1));
    assert!(matches!(
        again,
        CommandReply::Configured { known: true, .. }
    ));
    for (version, base) in [(12, 1), (9, 9), (8, 9)] {
        let rejected = driver.configure(version, replacing(base));
        assert!(
            matches!(rejected, CommandReply::Rejected(_)),
            "{version} on {base}"
        );
    }
}

#[test]
fn left_out_queue_with_unfinished_jobs_drains_if_document_allows_it() {
    let mut driver = Driver::new();
    driver.submit(job("j", vec![step("s", 1, &[])]));
    let mut without = document();
    without.queues.remove(&queue("q"));
    without.left_out = LeftOutQueues::Drain;
    let accepted = driver.configure(2, without.clone());
    assert!(matches!(
        accepted,
        CommandReply::Configured { known: false, .. }
    ));
    let again = driver.configure(2, without);
    assert!(matches!(
        again,
        CommandReply::Configured { known: true, .. }
    ));
    let rejected = driver.submit(job("k", vec![step("s", 1, &[])])).reply;
    assert!(matches!(
        rejected,
        CommandReply::Rejected(CommandRejection::QueueDraining { .. })
    ));
    let run = driver.reserve(task(1, 0, 0)).unwrap();
    driver.close(run, DONE);
    assert_eq!(driver.view("j").state, JobState::Done);
    // No unfinished job needs the queue now, so the next document removes it.
    let mut without = document();
    without.queues.remove(&queue("q"));
    driver.configure(3, without);
    assert!(
        !driver
            .state_machine
            .configuration()
            .1
            .queues
            .contains_key(&queue("q"))
    );
}

fn high_priority_queue() -> QueueSettings {
    let mut settings = document().queues.into_values().next().unwrap();
    settings.priority = 9;
    settings
}

/// Returns an update that adds a queue to the document of version `base`.
fn adding_queue(queue_name: &str, base: u64) -> ConfigurationUpdate {
    ConfigurationUpdate {
        replaces: ConfigurationVersion(base),
        upsert: UpsertedItems {
            queues: [(queue(queue_name), high_priority_queue())].into(),
            ..UpsertedItems::default()
        },
        ..ConfigurationUpdate::default()
    }
}

fn configured(version: u64, known: bool) -> CommandReply {
    CommandReply::Configured {
        version: ConfigurationVersion(version),
        known,
    }
}

fn apply_update(driver: &mut Driver, version: u64, update: &ConfigurationUpdate) -> CommandReply {
    let command = Command::UpdateConfiguration {
        version: ConfigurationVersion(version),
        update: update.clone(),
        at: WallTime(0),
    };
    driver.state_machine.apply(&command).reply
}

#[test]
fn update_applies_only_to_its_base_version_and_is_acknowledged_when_resent() {
    let mut driver = Driver::new();
    let first = adding_queue("first", 1);
    assert_eq!(apply_update(&mut driver, 5, &first), configured(5, false));
    assert_eq!(apply_update(&mut driver, 5, &first), configured(5, true));
    let (version, in_force) = driver.state_machine.configuration();
    assert_eq!(version, ConfigurationVersion(5));
    assert_eq!(in_force.queues.len(), document().queues.len() + 1);
    assert_eq!(in_force.tenants, document().tenants);

    let second = adding_queue("second", 5);
    assert_eq!(
        apply_update(&mut driver, 5, &second),
        conflict(5, 5),
        "the version is not higher"
    );
    assert_eq!(apply_update(&mut driver, 9, &second), configured(9, false));
    assert_eq!(
        apply_update(&mut driver, 5, &first),
        configured(5, true),
        "the first update is resent"
    );
    assert_eq!(apply_update(&mut driver, 9, &first), conflict(9, 9));
    assert_eq!(apply_update(&mut driver, 10, &first), conflict(10, 9));
    let bytes = driver.state_machine.snapshot().unwrap();
    driver.state_machine = StateMachine::restore(&bytes).unwrap();
    assert_eq!(apply_update(&mut driver, 9, &second), configured(9, true));
    assert_eq!(
        driver.state_machine.configuration().1.queues.len(),
        document().queues.len() + 2
    );
}

#[test]
fn second_of_two_updates_on_one_base_version_is_a_conflict() {
    let mut driver = Driver::new();
    assert_eq!(
        apply_update(&mut driver, 3, &adding_queue("mine", 1)),
        configured(3, false)
    );
    assert_eq!(
        apply_update(&mut driver, 3, &adding_queue("yours", 1)),
        conflict(3, 3)
    );
    assert_eq!(
        apply_update(&mut driver, 4, &adding_queue("yours", 1)),
        conflict(4, 3)
    );
    let queues = &driver.state_machine.configuration().1.queues;
    assert!(queues.contains_key(&queue("mine")) && !queues.contains_key(&queue("yours")));
}

#[test]
fn update_with_invalid_result_is_rejected_as_a_whole() {
    let mut driver = Driver::new();
    let pool = document().pools.into_keys().next().unwrap();
    let mut update = adding_queue("new", 1);
    update.remove = RemovedItems {
        pools: [pool].into(),
        ..RemovedItems::default()
    };
    let paths = error_paths(apply_update(&mut driver, 2, &update));
    assert!(
        paths.iter().any(|path| path == "queues.new.pool"),
        "{paths:?}"
    );
    assert_eq!(
        driver.state_machine.configuration().0,
        ConfigurationVersion(1)
    );
    assert_eq!(driver.state_machine.configuration().1, &document());

    let mut both = adding_queue("new", 1);
    both.remove.queues.insert(queue("new"));
    assert_eq!(
        error_paths(apply_update(&mut driver, 2, &both)),
        ["queues.new"]
    );
    assert_eq!(driver.state_machine.configuration().1, &document());
}

/// The items of an update are derived from the sent text and the state at the time. A
/// resent text may therefore arrive with other items and must still be recognized.
#[test]
fn resent_update_is_recognized_by_its_sent_text_not_by_its_items() {
    let mut driver = Driver::new();
    let mut update = adding_queue("new", 1);
    update.sent = Some("text that the operator sent".to_owned());
    update.source = Some("text that results from the update".to_owned());
    assert_eq!(apply_update(&mut driver, 2, &update), configured(2, false));
    assert_eq!(
        driver.state_machine.configuration().1.source.as_deref(),
        Some("text that results from the update")
    );
    let without_items = ConfigurationUpdate {
        replaces: ConfigurationVersion(1),
        sent: update.sent.clone(),
        ..ConfigurationUpdate::default()
    };
    let version = ConfigurationVersion(2);
    assert!(driver.state_machine.has_applied(version, &without_items));
    assert!(
        !driver
            .state_machine
            .has_applied(ConfigurationVersion(3), &without_items)
    );
    let other = ConfigurationUpdate {
        sent: Some("other text".to_owned()),
        ..without_items.clone()
    };
    assert!(!driver.state_machine.has_applied(version, &other));
    let without_sent = ConfigurationUpdate {
        sent: None,
        ..without_items
    };
    assert!(!driver.state_machine.has_applied(version, &without_sent));
}

#[test]
fn update_that_removes_queue_with_unfinished_jobs_is_rejected_or_drains_it() {
    let mut driver = Driver::new();
    driver.submit(job("job", vec![step("only", 1, &[])]));
    let name = driver.view("job").queue;
    let update = |replaces: u64| ConfigurationUpdate {
        replaces: ConfigurationVersion(replaces),
        remove: RemovedItems {
            queues: [name.clone()].into(),
            ..RemovedItems::default()
        },
        ..ConfigurationUpdate::default()
    };
    let paths = error_paths(apply_update(&mut driver, 2, &update(1)));
    assert_eq!(paths, [format!("queues.{name}")]);
    let mut drains = document();
    drains.left_out = LeftOutQueues::Drain;
    assert_eq!(driver.configure(2, drains), configured(2, false));
    assert_eq!(
        apply_update(&mut driver, 3, &update(2)),
        configured(3, false)
    );
    let settings = &driver.state_machine.configuration().1.queues[&name];
    assert_eq!(settings.mode, configuration::QueueMode::Draining);
}
