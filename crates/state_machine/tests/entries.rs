//! Jobs that are submitted by entries: their identifiers are unique among the jobs of all
//! tenants, and the caller's access decides who may see and end them.

mod support;

use state_machine::{Applied, Command, CommandRejection, CommandReply, StateMachine};
use support::*;
use types::*;

fn entry() -> EntryAddress {
    EntryAddress::new("one.example/urgent/")
}

fn job_id() -> JobId {
    JobId::new("j").unwrap()
}

/// Returns the job `j` of a tenant.
fn job_of(owner: &str) -> JobSpec {
    JobSpec {
        tenant: tenant(owner),
        ..job("j", vec![step("s", 1, &[])])
    }
}

/// Returns the access of a caller with the key of a tenant.
fn key_of(owner: &str) -> JobAccess {
    JobAccess {
        tenants: vec![tenant(owner)],
        open_entry: None,
    }
}

/// Returns the access of a caller without a key at an open entry.
fn at_open(entry: EntryAddress) -> JobAccess {
    JobAccess {
        tenants: Vec::new(),
        open_entry: Some(entry),
    }
}

fn submit(driver: &mut Driver, spec: JobSpec, access: JobAccess) -> Applied {
    driver.state_machine.apply(&Command::SubmitByEntry {
        spec,
        entry: entry(),
        access,
        at: driver.at,
    })
}

fn cancel(driver: &mut Driver, access: JobAccess) -> CommandReply {
    let command = Command::CancelAccessible {
        job: job_id(),
        access,
        at: driver.at,
    };
    driver.state_machine.apply(&command).reply
}

fn state(state_machine: &StateMachine, access: &JobAccess) -> Option<JobState> {
    state_machine.accessible_job_state(&job_id(), access)
}

fn accepted(known: bool) -> CommandReply {
    CommandReply::Submitted {
        number: JobNumber(1),
        known,
    }
}

fn in_use() -> CommandReply {
    CommandReply::Rejected(CommandRejection::IdentifierInUse { job: job_id() })
}

fn cancelled(count: u64) -> CommandReply {
    CommandReply::Cancelled {
        cancelled: count,
        finished: 0,
        unknown: Vec::new(),
    }
}

/// Guards against a second job, whose tasks run under the names of the first one's: the
/// caller's tenant has changed with the configuration when the job is sent again.
#[test]
fn resent_job_of_open_entry_is_known_whatever_the_tenant_of_its_caller() {
    let mut driver = Driver::new();
    let first = submit(&mut driver, job_of("a"), key_of("a"));
    assert_eq!(first.reply, accepted(false));
    let same = submit(&mut driver, job_of("a"), at_open(entry()));
    assert_eq!((same.reply, same.changes.len()), (accepted(true), 0));
    let other = submit(&mut driver, job_of("b"), at_open(entry()));
    let key = key("b", "j");
    let other_content = CommandReply::Rejected(CommandRejection::OtherContent { key });
    assert_eq!((other.reply, other.changes.len()), (other_content, 0));
    assert_eq!(driver.state_machine.unfinished_jobs(), 1);
}

#[test]
fn identifier_in_use_by_a_job_without_access_is_rejected() {
    let mut driver = Driver::new();
    submit(&mut driver, job_of("a"), key_of("a"));
    let elsewhere = at_open(EntryAddress::new("one.example/"));
    for (owner, access) in [("b", key_of("b")), ("a", key_of("b")), ("b", elsewhere)] {
        let reply = submit(&mut driver, job_of(owner), access.clone()).reply;
        let expected = if owner == "a" {
            accepted(true)
        } else {
            in_use()
        };
        assert_eq!(reply, expected, "{owner} {access:?}");
        assert_eq!(state(&driver.state_machine, &access), None);
        assert_eq!(cancel(&mut driver, access), cancelled(0));
    }
    assert_eq!(driver.state_machine.unfinished_jobs(), 1);
}

#[test]
fn access_by_key_or_open_entry_reads_and_cancels_the_job() {
    for access in [key_of("a"), at_open(entry())] {
        let mut driver = Driver::new();
        submit(&mut driver, job_of("a"), key_of("a"));
        let waiting = Some(JobState::Waiting);
        assert_eq!(state(&driver.state_machine, &access), waiting);
        assert_eq!(cancel(&mut driver, access.clone()), cancelled(1));
        let ended = Some(JobState::Cancelled);
        assert_eq!(state(&driver.state_machine, &access), ended);
    }
}

/// A job may have been submitted without an entry, by an earlier build for example. Its
/// tenant finds it, and an open entry does not.
#[test]
fn job_without_entry_is_found_by_its_tenant_alone() {
    let mut driver = Driver::new();
    driver.submit(job_of("a"));
    let resent = submit(&mut driver, job_of("a"), key_of("a")).reply;
    assert_eq!(resent, accepted(true));
    assert!(state(&driver.state_machine, &key_of("a")).is_some());
    assert_eq!(state(&driver.state_machine, &key_of("b")), None);
    assert_eq!(state(&driver.state_machine, &at_open(entry())), None);
}

/// Each tenant may have a job of the same identifier from before it was unique.
#[test]
fn identifier_of_two_tenants_gives_each_its_own_job() {
    let mut driver = Driver::new();
    driver.submit(job_of("b"));
    submit(&mut driver, job_of("a"), key_of("a"));
    assert_eq!(driver.state_machine.unfinished_jobs(), 2);
    assert_eq!(cancel(&mut driver, key_of("b")), cancelled(1));
    let [of_a, of_b] = ["a", "b"].map(|owner| state(&driver.state_machine, &key_of(owner)));
    assert_eq!(of_a, Some(JobState::Waiting));
    assert_eq!(of_b, Some(JobState::Cancelled));
}

#[test]
fn restored_state_keeps_entries_and_forgotten_job_frees_its_identifier() {
    let mut driver = Driver::new();
    submit(&mut driver, job_of("a"), key_of("a"));
    let bytes = driver.state_machine.snapshot().unwrap();
    driver.state_machine = StateMachine::restore(&bytes).unwrap();
    assert_eq!(
        submit(&mut driver, job_of("b"), key_of("b")).reply,
        in_use()
    );
    assert!(state(&driver.state_machine, &at_open(entry())).is_some());
    cancel(&mut driver, key_of("a"));
    driver.forget(1);
    let reply = submit(&mut driver, job_of("b"), key_of("b")).reply;
    let number = JobNumber(2);
    let known = false;
    assert_eq!(reply, CommandReply::Submitted { number, known });
    let restored = StateMachine::restore(&driver.state_machine.snapshot().unwrap()).unwrap();
    assert_eq!(restored, driver.state_machine);
}
