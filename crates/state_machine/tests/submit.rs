//! Submissions: idempotency, rejections and limits on unfinished jobs.

mod support;

use configuration::QueueMode;
use state_machine::{CancelSelector, CommandRejection, CommandReply};
use support::*;
use types::*;

/// Returns the job number and whether the job was known; `None` for a rejection.
fn submitted(reply: &CommandReply) -> Option<(u64, bool)> {
    match reply {
        CommandReply::Submitted { number, known } => Some((number.0, *known)),
        _ => None,
    }
}

#[test]
fn resent_job_is_acknowledged_and_other_content_is_rejected() {
    let mut driver = Driver::new();
    let spec = job("j", vec![step("s", 2, &[])]);
    let first = driver.submit(spec.clone());
    assert_eq!(submitted(&first.reply), Some((1, false)));
    assert_eq!(
        ready_tasks_in(&first.changes),
        [task(1, 0, 0), task(1, 0, 1)]
    );
    let resent = driver.submit(spec.clone());
    assert_eq!(submitted(&resent.reply), Some((1, true)));
    assert!(resent.changes.is_empty());
    let other = driver.submit(job("j", vec![step("s", 3, &[])]));
    let rejection = CommandRejection::OtherContent { key: key("a", "j") };
    assert_eq!(other.reply, CommandReply::Rejected(rejection));
    assert_eq!(driver.state_machine.unfinished_jobs(), 1);
}

#[test]
fn resent_finished_job_is_acknowledged_until_the_job_is_forgotten() {
    let mut driver = Driver::new();
    let spec = job("j", vec![step("s", 1, &[])]);
    driver.submit(spec.clone());
    let run = driver.reserve(task(1, 0, 0)).unwrap();
    driver.close(run, DONE);
    assert_eq!(
        submitted(&driver.submit(spec.clone()).reply),
        Some((1, true))
    );
    driver.forget(1);
    assert_eq!(submitted(&driver.submit(spec).reply), Some((2, false)));
}

/// The acknowledgement of a job may be lost, and the caller may resend the job after its
/// queue was set to draining.
#[test]
fn draining_queue_acknowledges_resent_job_and_rejects_new_job() {
    let mut driver = Driver::new();
    let spec = job("j", vec![step("s", 1, &[])]);
    driver.submit(spec.clone());
    let mut draining = document();
    draining.queues.get_mut(&queue("q")).unwrap().mode = QueueMode::Draining;
    driver.configure(2, draining);
    assert_eq!(submitted(&driver.submit(spec).reply), Some((1, true)));
    let rejection = CommandRejection::QueueDraining { queue: queue("q") };
    let reply = driver.submit(job("k", vec![step("s", 1, &[])])).reply;
    assert_eq!(reply, CommandReply::Rejected(rejection));
    assert!(
        driver.reserve(task(1, 0, 0)).is_ok(),
        "stored jobs still start"
    );
}

#[test]
fn job_of_unknown_tenant_or_queue_is_rejected() {
    let mut driver = Driver::new();
    let mut spec = job("j", vec![step("s", 1, &[])]);
    spec.queue = queue("none");
    let rejection = CommandRejection::UnknownQueue {
        queue: queue("none"),
    };
    let reply = driver.submit(spec.clone()).reply;
    assert_eq!(reply, CommandReply::Rejected(rejection));
    spec.tenant = tenant("none");
    let rejection = CommandRejection::UnknownTenant {
        tenant: tenant("none"),
    };
    assert_eq!(driver.submit(spec).reply, CommandReply::Rejected(rejection));
}

type Invalidate = fn(&mut JobSpec);

#[test]
fn job_that_can_never_succeed_is_rejected_with_the_reason() {
    let cases: Vec<(&str, Invalidate)> = vec![
        ("1 to 1024 steps", |j| j.steps.clear()),
        ("1 to 1024 steps", |j| {
            j.steps = (0..1025).map(|i| step(&format!("s{i}"), 1, &[])).collect();
        }),
        ("no tasks", |j| j.steps[0].tasks = 0),
        ("at most 10000 tasks", |j| j.steps[0].tasks = 10_000),
        ("are named s", |j| j.steps[1].name = step_name("s")),
        ("does not exist", |j| {
            j.steps[1].after = vec![step_name("none")];
        }),
        ("twice", |j| j.steps[1].after = vec![step_name("s"); 2]),
        ("cycle", |j| j.steps[0].after = vec![step_name("t")]),
        ("cycle", |j| j.steps[0].after = vec![step_name("s")]),
        ("1 to 8 copies", |j| j.steps[0].max_copies = 0),
        ("1 to 8 copies", |j| j.steps[0].max_copies = 9),
        ("at most 100 failures", |j| {
            j.steps[0].allowed_failures = 101;
        }),
        ("time limit", |j| j.steps[0].time_limit = Milliseconds(0)),
        ("time limit", |j| {
            j.steps[0].time_limit = Milliseconds(604_800_001);
        }),
        ("at least one slot", |j| j.steps[0].resources.slots = 0),
        ("larger than every runner", |j| {
            j.steps[0].resources = slots(5);
        }),
        ("resource limit of tenant b", |j| {
            j.tenant = tenant("b");
            j.steps[0].resources = slots(3);
        }),
        ("payload", |j| j.steps[0].payload = "x".repeat(65_537)),
        ("labels", |j| {
            j.steps[0].labels = (0..33).map(|i| (i.to_string(), String::new())).collect();
        }),
        ("labels", |j| {
            j.steps[0].labels = Labels::from([("k".to_owned(), "v".repeat(129))]);
        }),
    ];
    for (text, invalidate) in cases {
        let mut driver = Driver::new();
        let mut spec = job("j", vec![step("s", 1, &[]), step("t", 1, &["s"])]);
        invalidate(&mut spec);
        match driver.submit(spec).reply {
            CommandReply::Rejected(CommandRejection::InvalidJob { error }) => {
                assert!(error.contains(text), "{error:?} lacks {text:?}");
            }
            other => panic!("{text}: {other:?}"),
        }
    }
}

#[test]
fn tenant_or_queue_at_its_job_limit_rejects_jobs_until_one_ends() {
    let mut driver = Driver::new();
    let spec = |name: &str| job(name, vec![step("s", 1, &[])]);
    let spec_of_b = |name: &str| JobSpec {
        tenant: tenant("b"),
        ..spec(name)
    };
    for name in ["1", "2", "3", "4"] {
        assert!(submitted(&driver.submit(spec(name)).reply).is_some());
    }
    let full_owner = |reply: CommandReply| match reply {
        CommandReply::Rejected(CommandRejection::Full {
            what, retry_after, ..
        }) => {
            assert!(retry_after.0 > 0);
            what
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(full_owner(driver.submit(spec("5")).reply), "tenant a");
    assert!(submitted(&driver.submit(spec_of_b("1")).reply).is_some());
    assert_eq!(full_owner(driver.submit(spec_of_b("2")).reply), "queue q");
    assert_eq!(driver.state_machine.unfinished_of_queue(&queue("q")), 5);
    driver.cancel(CancelSelector::Jobs(vec![key("a", "1")]));
    assert!(submitted(&driver.submit(spec_of_b("2")).reply).is_some());
}
