//! Configuration by compare-and-set.

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

fn problem_places(reply: CommandReply) -> Vec<String> {
    match reply {
        CommandReply::Rejected(CommandRejection::InvalidConfiguration { problems }) => {
            problems.into_iter().map(|problem| problem.path).collect()
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_version_is_applied_once() {
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
    assert_eq!(driver.configure(1, document()), known, "a resent order");
    assert_eq!(driver.configure(1, other.clone()), conflict(1, 2));
    assert_eq!(
        driver.state_machine.configuration(),
        (ConfigurationVersion(2), &other)
    );
}

/// The document that the tests take under a version.
fn numbered(version: u64) -> ClusterConfiguration {
    let mut document = document();
    document.timings.run_lease = Milliseconds(version);
    document
}

#[test]
fn orders_are_known_again_within_the_last_1024_versions_and_a_snapshot_keeps_that() {
    const LAST: u64 = 1_100;
    const OLDEST_KNOWN: u64 = LAST - 1_023;
    let mut driver = Driver::new();
    for version in 2..=LAST {
        driver.configure(version, numbered(version));
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
        assert_eq!(driver.configure(version, numbered(version)), expected);
        let other = numbered(version + 1);
        assert_eq!(driver.configure(version, other), conflict(version, LAST));
    }
    assert_eq!(
        driver.state_machine, before,
        "a resent order changes nothing"
    );
}

#[test]
fn an_invalid_document_changes_nothing() {
    let mut driver = Driver::new();
    let mut broken = document();
    broken.pools.clear();
    let places = problem_places(driver.configure(2, broken));
    assert_eq!(places, ["queues.q.pool", "queues.r.pool"]);
    assert_eq!(
        driver.state_machine.configuration().0,
        ConfigurationVersion(1)
    );
}

#[test]
fn queues_and_tenants_with_unfinished_jobs_may_not_be_removed() {
    let mut driver = Driver::new();
    driver.submit(job("j", vec![step("s", 1, &[])]));
    let empty = ClusterConfiguration::default();
    let places = problem_places(driver.configure(2, empty.clone()));
    assert_eq!(places, ["queues.q", "tenants.a"]);
    let run = driver.reserve(task(1, 0, 0)).unwrap();
    driver.close(run, DONE);
    let reply = driver.configure(2, empty);
    assert!(matches!(reply, CommandReply::Configured { .. }));
}

#[test]
fn versions_may_skip_numbers_when_the_document_names_what_it_replaces() {
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
fn a_queue_left_out_drains_where_the_document_says_so() {
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
    // Nothing needs it any more, so the next document drops it.
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

fn more_urgent() -> QueueSettings {
    let mut settings = document().queues.into_values().next().unwrap();
    settings.priority = 9;
    settings
}

/// Adds a queue to the document under a version.
fn adding(queue_name: &str, replaces: u64) -> ConfigurationUpdate {
    ConfigurationUpdate {
        replaces: ConfigurationVersion(replaces),
        upsert: UpsertedItems {
            queues: [(queue(queue_name), more_urgent())].into(),
            ..UpsertedItems::default()
        },
        ..ConfigurationUpdate::default()
    }
}

fn accepted(version: u64, known: bool) -> CommandReply {
    CommandReply::Configured {
        version: ConfigurationVersion(version),
        known,
    }
}

fn apply(driver: &mut Driver, version: u64, update: &ConfigurationUpdate) -> CommandReply {
    let command = Command::UpdateConfiguration {
        version: ConfigurationVersion(version),
        update: update.clone(),
        at: WallTime(0),
    };
    driver.state_machine.apply(&command).reply
}

#[test]
fn an_update_is_applied_to_the_version_it_names_and_known_again() {
    let mut driver = Driver::new();
    let first = adding("first", 1);
    assert_eq!(apply(&mut driver, 5, &first), accepted(5, false));
    assert_eq!(apply(&mut driver, 5, &first), accepted(5, true));
    let (version, in_force) = driver.state_machine.configuration();
    assert_eq!(version, ConfigurationVersion(5));
    assert_eq!(in_force.queues.len(), document().queues.len() + 1);
    assert_eq!(in_force.tenants, document().tenants);

    let second = adding("second", 5);
    assert_eq!(apply(&mut driver, 5, &second), conflict(5, 5), "not higher");
    assert_eq!(apply(&mut driver, 9, &second), accepted(9, false));
    assert_eq!(apply(&mut driver, 5, &first), accepted(5, true), "a resend");
    assert_eq!(apply(&mut driver, 9, &first), conflict(9, 9));
    assert_eq!(apply(&mut driver, 10, &first), conflict(10, 9));
    let bytes = driver.state_machine.snapshot().unwrap();
    driver.state_machine = StateMachine::restore(&bytes).unwrap();
    assert_eq!(apply(&mut driver, 9, &second), accepted(9, true));
    assert_eq!(
        driver.state_machine.configuration().1.queues.len(),
        document().queues.len() + 2
    );
}

#[test]
fn of_two_updates_on_one_version_one_wins() {
    let mut driver = Driver::new();
    assert_eq!(
        apply(&mut driver, 3, &adding("mine", 1)),
        accepted(3, false)
    );
    assert_eq!(apply(&mut driver, 3, &adding("yours", 1)), conflict(3, 3));
    assert_eq!(apply(&mut driver, 4, &adding("yours", 1)), conflict(4, 3));
    let queues = &driver.state_machine.configuration().1.queues;
    assert!(queues.contains_key(&queue("mine")) && !queues.contains_key(&queue("yours")));
}

#[test]
fn the_result_of_an_update_is_validated_as_a_whole_and_never_applied_in_part() {
    let mut driver = Driver::new();
    let pool = document().pools.into_keys().next().unwrap();
    let mut update = adding("new", 1);
    update.remove = RemovedItems {
        pools: [pool].into(),
        ..RemovedItems::default()
    };
    let places = problem_places(apply(&mut driver, 2, &update));
    assert!(
        places.iter().any(|place| place == "queues.new.pool"),
        "{places:?}"
    );
    assert_eq!(
        driver.state_machine.configuration().0,
        ConfigurationVersion(1)
    );
    assert_eq!(driver.state_machine.configuration().1, &document());

    let mut both = adding("new", 1);
    both.remove.queues.insert(queue("new"));
    assert_eq!(problem_places(apply(&mut driver, 2, &both)), ["queues.new"]);
    assert_eq!(driver.state_machine.configuration().1, &document());
}

#[test]
fn what_was_sent_tells_an_order_again_whatever_followed_from_it() {
    let mut driver = Driver::new();
    let mut update = adding("new", 1);
    update.sent = Some("an order in the operator's own words".to_owned());
    update.source = Some("the text it leads to".to_owned());
    assert_eq!(apply(&mut driver, 2, &update), accepted(2, false));
    assert_eq!(
        driver.state_machine.configuration().1.source.as_deref(),
        Some("the text it leads to")
    );
    let bare = ConfigurationUpdate {
        replaces: ConfigurationVersion(1),
        sent: update.sent.clone(),
        ..ConfigurationUpdate::default()
    };
    let version = ConfigurationVersion(2);
    assert!(driver.state_machine.has_applied(version, &bare));
    assert!(
        !driver
            .state_machine
            .has_applied(ConfigurationVersion(3), &bare)
    );
    let other = ConfigurationUpdate {
        sent: Some("another order".to_owned()),
        ..bare.clone()
    };
    assert!(!driver.state_machine.has_applied(version, &other));
    let unsent = ConfigurationUpdate { sent: None, ..bare };
    assert!(!driver.state_machine.has_applied(version, &unsent));
}

#[test]
fn an_update_that_removes_a_queue_with_work_is_refused_or_drains_it() {
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
    let places = problem_places(apply(&mut driver, 2, &update(1)));
    assert_eq!(places, [format!("queues.{name}")]);
    let mut drains = document();
    drains.left_out = LeftOutQueues::Drain;
    assert_eq!(driver.configure(2, drains), accepted(2, false));
    assert_eq!(apply(&mut driver, 3, &update(2)), accepted(3, false));
    let kept = &driver.state_machine.configuration().1.queues[&name];
    assert_eq!(kept.mode, configuration::QueueMode::Draining);
}
