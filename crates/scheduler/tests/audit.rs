//! The audit repairs whatever divergence is planted.

mod support;

use scheduler::AuditReport;
use support::*;
use types::*;

fn view(metas: &[TaskMeta]) -> scheduler::Scheduler {
    let mut scheduler = scheduler(&document(&[("a", 100), ("b", 100)]));
    for meta in metas {
        scheduler.publish(meta.clone(), at(0));
    }
    scheduler
}

#[test]
fn an_equal_view_is_left_alone() {
    let record = [meta(1, "a", 1), meta(2, "b", 1)];
    let mut scheduler = view(&record);
    let report = scheduler.audit(JobNumber(1), JobNumber(9), &record, at(0));
    let expected = AuditReport {
        compared: 2,
        republished: 0,
        removed: 0,
    };
    assert_eq!(report, expected);
}

#[test]
fn lost_surplus_and_changed_tasks_are_repaired_in_the_slice_only() {
    let mut scheduler = view(&[meta(1, "a", 1), meta(2, "a", 1), meta(50, "a", 1)]);
    let mut later = meta(1, "a", 1);
    later.not_before = Some(at(900).wall);
    let record = [later.clone(), meta(3, "b", 1)];
    let report = scheduler.audit(JobNumber(1), JobNumber(9), &record, at(0));
    assert_eq!((report.republished, report.removed), (2, 1));
    assert_eq!(scheduler.next_start_time(), later.not_before);
    assert_eq!(scheduler.pending_count(&queue("main"), &tenant("a")), 1);
    assert_eq!(scheduler.pending_count(&queue("main"), &tenant("b")), 1);
    let again = scheduler.audit(JobNumber(1), JobNumber(9), &record, at(0));
    assert_eq!((again.republished, again.removed), (0, 0));
}

#[test]
fn each_part_of_a_tasks_content_is_compared() {
    let changes: [fn(&mut TaskMeta); 6] = [
        |meta| meta.tenant = tenant("b"),
        |meta| meta.queue = queue("other"),
        |meta| meta.urgency = Urgency::Urgent,
        |meta| meta.resources = slots(2),
        |meta| drop(meta.labels.insert("disk".into(), "fast".into())),
        |meta| meta.max_copies = 2,
    ];
    for change in changes {
        let mut scheduler = view(&[meta(1, "a", 1)]);
        let mut changed = meta(1, "a", 1);
        change(&mut changed);
        let record = [changed];
        let report = scheduler.audit(JobNumber(1), JobNumber(1), &record, at(0));
        assert_eq!(report.republished, 1);
        let again = scheduler.audit(JobNumber(1), JobNumber(1), &record, at(0));
        assert_eq!(again.republished, 0);
    }
}

#[test]
fn a_bound_task_is_skipped_whatever_the_state_machine_has() {
    let mut scheduler = view(&[meta(1, "a", 1)]);
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    scheduler.reserve(&runner("r1"), at(0)).unwrap();
    scheduler.audit(JobNumber(1), JobNumber(9), &[], at(0));
    scheduler.audit(JobNumber(1), JobNumber(9), &[meta(1, "a", 1)], at(0));
    assert_eq!(scheduler.open_run_count(), 1);
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
}
