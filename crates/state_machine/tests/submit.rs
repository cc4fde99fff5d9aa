//! Submissions: idempotence, rejections and limits.

mod support;

use configuration::QueueMode;
use state_machine::{CancelSelector, CommandRejection, CommandReply};
use support::*;
use types::*;

fn number(reply: &CommandReply) -> Option<(u64, bool)> {
    match reply {
        CommandReply::Submitted { number, known } => Some((number.0, *known)),
        _ => None,
    }
}

#[test]
fn a_resent_job_is_one_job_and_other_content_is_refused() {
    let mut driver = Driver::new();
    let spec = job("j", vec![step("s", 2, &[])]);
    let first = driver.submit(spec.clone());
    assert_eq!(number(&first.reply), Some((1, false)));
    assert_eq!(ready_in(&first.changes), [task(1, 0, 0), task(1, 0, 1)]);
    let resent = driver.submit(spec.clone());
    assert_eq!(number(&resent.reply), Some((1, true)));
    assert!(resent.changes.is_empty());
    let other = driver.submit(job("j", vec![step("s", 3, &[])]));
    let rejection = CommandRejection::OtherContent { key: key("a", "j") };
    assert_eq!(other.reply, CommandReply::Rejected(rejection));
    assert_eq!(driver.state_machine.unfinished_jobs(), 1);
}

#[test]
fn a_finished_job_stays_known_until_it_is_forgotten() {
    let mut driver = Driver::new();
    let spec = job("j", vec![step("s", 1, &[])]);
    driver.submit(spec.clone());
    let run = driver.reserve(task(1, 0, 0)).unwrap();
    driver.close(run, DONE);
    assert_eq!(number(&driver.submit(spec.clone()).reply), Some((1, true)));
    driver.forget(1);
    assert_eq!(number(&driver.submit(spec).reply), Some((2, false)));
}

#[test]
fn a_resent_job_is_known_even_in_a_draining_queue() {
    let mut driver = Driver::new();
    let spec = job("j", vec![step("s", 1, &[])]);
    driver.submit(spec.clone());
    let mut draining = document();
    draining.queues.get_mut(&queue("q")).unwrap().mode = QueueMode::Draining;
    driver.configure(2, draining);
    assert_eq!(number(&driver.submit(spec).reply), Some((1, true)));
    let rejection = CommandRejection::QueueDraining { queue: queue("q") };
    let reply = driver.submit(job("k", vec![step("s", 1, &[])])).reply;
    assert_eq!(reply, CommandReply::Rejected(rejection));
    assert!(driver.reserve(task(1, 0, 0)).is_ok(), "what is there ends");
}

#[test]
fn unknown_tenants_and_queues_are_refused() {
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

type Break = fn(&mut JobSpec);

#[test]
fn jobs_that_can_never_succeed_are_refused_with_the_reason() {
    let rules: Vec<(&str, Break)> = vec![
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
    for (text, rule) in rules {
        let mut driver = Driver::new();
        let mut spec = job("j", vec![step("s", 1, &[]), step("t", 1, &["s"])]);
        rule(&mut spec);
        match driver.submit(spec).reply {
            CommandReply::Rejected(CommandRejection::InvalidJob { error }) => {
                assert!(error.contains(text), "{error:?} lacks {text:?}");
            }
            other => panic!("{text}: {other:?}"),
        }
    }
}

#[test]
fn full_tenants_and_queues_refuse_until_a_job_ends() {
    let mut driver = Driver::new();
    let spec = |name: &str| job(name, vec![step("s", 1, &[])]);
    let of_b = |name: &str| JobSpec {
        tenant: tenant("b"),
        ..spec(name)
    };
    for name in ["1", "2", "3", "4"] {
        assert!(number(&driver.submit(spec(name)).reply).is_some());
    }
    let full = |reply: CommandReply| match reply {
        CommandReply::Rejected(CommandRejection::Full {
            what, retry_after, ..
        }) => {
            assert!(retry_after.0 > 0);
            what
        }
        other => panic!("{other:?}"),
    };
    assert_eq!(full(driver.submit(spec("5")).reply), "tenant a");
    assert!(number(&driver.submit(of_b("1")).reply).is_some());
    assert_eq!(full(driver.submit(of_b("2")).reply), "queue q");
    assert_eq!(driver.state_machine.unfinished_of_queue(&queue("q")), 5);
    driver.cancel(CancelSelector::Jobs(vec![key("a", "1")]));
    assert!(number(&driver.submit(of_b("2")).reply).is_some());
}
