//! Audit: corrects a view that differs from the replicated state.

mod support;

use scheduler::AuditReport;
use support::*;
use types::*;

fn scheduler_with(metas: &[TaskMeta]) -> scheduler::Scheduler {
    let mut scheduler = scheduler(&document(&[("a", 100), ("b", 100)]));
    for meta in metas {
        scheduler.publish(meta.clone(), at(0));
    }
    scheduler
}

#[test]
fn audit_of_equal_view_changes_nothing() {
    let ready = [meta(1, "a", 1), meta(2, "b", 1)];
    let mut scheduler = scheduler_with(&ready);
    let report = scheduler.audit(JobNumber(1), JobNumber(9), &ready, at(0));
    let expected = AuditReport {
        compared: 2,
        republished: 0,
        removed: 0,
    };
    assert_eq!(report, expected);
}

#[test]
fn audit_corrects_missing_extra_and_changed_tasks_in_its_range_only() {
    let mut scheduler = scheduler_with(&[meta(1, "a", 1), meta(2, "a", 1), meta(50, "a", 1)]);
    let mut later = meta(1, "a", 1);
    later.not_before = Some(at(900).wall);
    let ready = [later.clone(), meta(3, "b", 1)];
    let report = scheduler.audit(JobNumber(1), JobNumber(9), &ready, at(0));
    assert_eq!((report.republished, report.removed), (2, 1));
    assert_eq!(scheduler.next_start_time(), later.not_before);
    assert_eq!(scheduler.pending_count(&queue("main"), &tenant("a")), 1);
    assert_eq!(scheduler.pending_count(&queue("main"), &tenant("b")), 1);
    let again = scheduler.audit(JobNumber(1), JobNumber(9), &ready, at(0));
    assert_eq!((again.republished, again.removed), (0, 0));
}

#[test]
fn audit_detects_change_of_each_compared_task_field() {
    let changes: [fn(&mut TaskMeta); 6] = [
        |meta| meta.tenant = tenant("b"),
        |meta| meta.queue = queue("other"),
        |meta| meta.urgency = Urgency::Urgent,
        |meta| meta.resources = slots(2),
        |meta| drop(meta.labels.insert("disk".into(), "fast".into())),
        |meta| meta.max_copies = 2,
    ];
    for change in changes {
        let mut scheduler = scheduler_with(&[meta(1, "a", 1)]);
        let mut changed = meta(1, "a", 1);
        change(&mut changed);
        let ready = [changed];
        let report = scheduler.audit(JobNumber(1), JobNumber(1), &ready, at(0));
        assert_eq!(report.republished, 1);
        let again = scheduler.audit(JobNumber(1), JobNumber(1), &ready, at(0));
        assert_eq!(again.republished, 0);
    }
}

#[test]
fn audit_skips_running_task_whether_or_not_it_is_ready() {
    let mut scheduler = scheduler_with(&[meta(1, "a", 1)]);
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    scheduler.reserve(&runner("r1"), at(0)).unwrap();
    scheduler.audit(JobNumber(1), JobNumber(9), &[], at(0));
    scheduler.audit(JobNumber(1), JobNumber(9), &[meta(1, "a", 1)], at(0));
    assert_eq!(scheduler.open_run_count(), 1);
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
}
