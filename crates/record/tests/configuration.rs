//! Configuration by compare-and-set.

mod support;

use configuration::{ClusterConfiguration, LeftOutQueues};
use record::{CommandReply, Record, RecordRefusal};
use support::*;
use types::*;

fn conflict(wanted: u64, current: u64) -> CommandReply {
    CommandReply::Refused(RecordRefusal::VersionConflict {
        wanted: ConfigurationVersion(wanted),
        current: ConfigurationVersion(current),
    })
}

fn problem_places(reply: CommandReply) -> Vec<String> {
    match reply {
        CommandReply::Refused(RecordRefusal::InvalidConfiguration { problems }) => {
            problems.into_iter().map(|problem| problem.place).collect()
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_version_is_taken_once() {
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
    let taken = CommandReply::Configured {
        version: ConfigurationVersion(2),
        known: false,
    };
    assert_eq!(driver.configure(2, other.clone()), taken);
    assert_eq!(driver.configure(1, document()), known, "a resent order");
    assert_eq!(driver.configure(1, other.clone()), conflict(1, 2));
    assert_eq!(
        driver.record.configuration(),
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
    let bytes = driver.record.snapshot().unwrap();
    driver.record = Record::restore(&bytes).unwrap();
    let before = driver.record.clone();
    for version in 2..=LAST {
        let known = CommandReply::Configured {
            version: ConfigurationVersion(version),
            known: true,
        };
        let expected = match version < OLDEST_KNOWN {
            true => conflict(version, LAST),
            false => known,
        };
        assert_eq!(driver.configure(version, numbered(version)), expected);
        let other = numbered(version + 1);
        assert_eq!(driver.configure(version, other), conflict(version, LAST));
    }
    assert_eq!(driver.record, before, "a resent order changes nothing");
}

#[test]
fn an_invalid_document_changes_nothing() {
    let mut driver = Driver::new();
    let mut broken = document();
    broken.pools.clear();
    let places = problem_places(driver.configure(2, broken));
    assert_eq!(places, ["queues.q.pool", "queues.r.pool"]);
    assert_eq!(driver.record.configuration().0, ConfigurationVersion(1));
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
    let refused = driver.configure(9, document());
    assert!(matches!(refused, CommandReply::Refused(_)), "{refused:?}");
    let taken = driver.configure(9, replacing(1));
    assert!(matches!(
        taken,
        CommandReply::Configured { known: false, .. }
    ));
    let again = driver.configure(9, replacing(1));
    assert!(matches!(
        again,
        CommandReply::Configured { known: true, .. }
    ));
    for (version, base) in [(12, 1), (9, 9), (8, 9)] {
        let refused = driver.configure(version, replacing(base));
        assert!(
            matches!(refused, CommandReply::Refused(_)),
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
    let taken = driver.configure(2, without.clone());
    assert!(matches!(
        taken,
        CommandReply::Configured { known: false, .. }
    ));
    let again = driver.configure(2, without);
    assert!(matches!(
        again,
        CommandReply::Configured { known: true, .. }
    ));
    let refused = driver.submit(job("k", vec![step("s", 1, &[])])).reply;
    assert!(matches!(
        refused,
        CommandReply::Refused(RecordRefusal::QueueDraining { .. })
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
            .record
            .configuration()
            .1
            .queues
            .contains_key(&queue("q"))
    );
}
