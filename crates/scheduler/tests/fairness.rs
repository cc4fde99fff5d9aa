//! Draw among tenants, resource limits, shares, queue modes and reasons.

mod support;

use configuration::QueueMode;
use scheduler::{DecisionKind, NotPlacedReason, Scheduler};
use support::*;

#[test]
fn draw_among_runnable_tenants_is_uniform() {
    const TENANTS: usize = 10;
    const DRAWS: u32 = 10_000;
    let names: Vec<String> = (0..TENANTS).map(|number| format!("t{number}")).collect();
    let pairs: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 1_000)).collect();
    let mut scheduler = scheduler(&document(&pairs));
    scheduler.heartbeat(&report("r1", 1, 1, 1), at(0));
    // The backlogs differ, and the draw must not depend on them.
    let mut job = 0;
    for (position, name) in names.iter().enumerate() {
        for _ in 0..(2_000 + 500 * position) {
            job += 1;
            scheduler.publish(meta(job, name, 1), at(0));
        }
    }
    let mut counts = [0_u32; TENANTS];
    for _ in 0..DRAWS {
        let decision = scheduler.reserve(&runner("r1"), at(0)).unwrap();
        let position = names
            .iter()
            .position(|name| name == decision.tenant.as_str());
        counts[position.unwrap()] += 1;
        scheduler.remove_run(placed(Some(decision)).unwrap().run);
    }
    let expected = f64::from(DRAWS) / TENANTS as f64;
    let squares = counts
        .iter()
        .map(|count| (f64::from(*count) - expected).powi(2) / expected);
    let chi_square: f64 = squares.sum();
    // With 9 degrees of freedom a uniform draw exceeds 27.88 once in a
    // thousand.
    assert!(
        chi_square < 27.88,
        "chi-square {chi_square}, draws by tenant {counts:?}"
    );
}

#[test]
fn changed_resource_limit_applies_at_next_placement() {
    let mut scheduler = scheduler(&document(&[("a", 2)]));
    scheduler.heartbeat(&report("r1", 1, 8, 8), at(0));
    for job in 1..=6 {
        scheduler.publish(meta(job, "a", 1), at(0));
    }
    assert_eq!(all_placed(scheduler.place(at(0), 10)).len(), 2);
    scheduler.configure(&document(&[("a", 3)]));
    assert_eq!(all_placed(scheduler.place(at(0), 10)).len(), 1);
    scheduler.configure(&document(&[("a", 1)]));
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    scheduler.configure(&document(&[]));
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    scheduler.configure(&document(&[("a", 8)]));
    assert_eq!(all_placed(scheduler.place(at(0), 10)).len(), 3);
}

#[test]
fn smaller_task_starts_when_larger_one_would_exceed_resource_limit() {
    let mut scheduler = scheduler(&document(&[("a", 2)]));
    scheduler.heartbeat(&report("r1", 1, 8, 8), at(0));
    scheduler.publish(meta(1, "a", 1), at(0));
    scheduler.reserve(&runner("r1"), at(0)).unwrap();
    scheduler.publish(meta(2, "a", 2), at(0));
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    scheduler.publish(meta(3, "a", 1), at(0));
    let small = placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    assert_eq!(small.task, task(3));
}

#[test]
fn tenant_above_share_starts_only_when_no_tenant_below_share_waits() {
    let mut document = document(&[("a", 100), ("b", 100)]);
    document
        .tenants
        .insert(tenant("a"), contract(25, slots(100)));
    document
        .tenants
        .insert(tenant("b"), contract(75, slots(100)));
    let mut scheduler = scheduler(&document);
    scheduler.heartbeat(&report("r1", 1, 8, 8), at(0));
    for job in 1..=4 {
        scheduler.publish(meta(job, "a", 1), at(0));
    }
    // While no other tenant has work, tenant a may exceed its share of 25 % and
    // use half of the pool.
    assert_eq!(all_placed(scheduler.place(at(0), 4)).len(), 4);
    for job in 5..=8 {
        scheduler.publish(meta(job, "a", 1), at(0));
    }
    for job in 11..=13 {
        scheduler.publish(meta(job, "b", 1), at(0));
    }
    assert_eq!(
        scheduler.explain(task(5), at(0)),
        Some(NotPlacedReason::TenantAboveShare)
    );
    let next: Vec<u64> = all_placed(scheduler.place(at(0), 10))
        .iter()
        .map(|reservation| reservation.task.job.0)
        .collect();
    assert_eq!(next, [11, 12, 13, 5]);
}

/// A runner without heartbeats and open runs counts in the capacity of its pool
/// for 30 s. If it counted longer, a tenant's share would be too large.
#[test]
fn runner_without_heartbeats_stops_counting_for_shares() {
    let mut document = document(&[("a", 100), ("b", 100)]);
    for name in ["a", "b"] {
        let half = contract(50, slots(100));
        document.tenants.insert(tenant(name), half);
    }
    let mut scheduler = scheduler(&document);
    scheduler.heartbeat(&report("stopped", 1, 8, 8), at(0));
    scheduler.heartbeat(&report("r1", 1, 8, 8), at(0));
    let heartbeat_and_place = |scheduler: &mut Scheduler, milliseconds| {
        scheduler.heartbeat(&report("r1", milliseconds, 8, 8), at(milliseconds));
        scheduler.place(at(milliseconds), 0);
    };
    heartbeat_and_place(&mut scheduler, 29_999);
    for job in 1..=5 {
        scheduler.publish(meta(job, "a", 1), at(29_999));
    }
    assert_eq!(all_placed(scheduler.place(at(29_999), 10)).len(), 5);
    scheduler.publish(meta(6, "a", 1), at(29_999));
    scheduler.publish(meta(11, "b", 1), at(29_999));

    // Tenant a uses 5 slots. Its share of 50 % is 8 slots with both runners and
    // 4 slots with one.
    assert_eq!(scheduler.explain(task(6), at(29_999)), None);
    heartbeat_and_place(&mut scheduler, 30_000);
    assert_eq!(
        scheduler.explain(task(6), at(30_000)),
        Some(NotPlacedReason::TenantAboveShare)
    );
    scheduler.heartbeat(&report("stopped", 2, 8, 0), at(30_001));
    assert_eq!(scheduler.explain(task(6), at(30_001)), None);
}

#[test]
fn shadow_queue_decides_each_task_once_and_starts_none() {
    let mut document = document(&[("a", 100)]);
    add_queue(&mut document, "main", QueueMode::Shadow);
    let mut scheduler = scheduler(&document);
    scheduler.heartbeat(&report("r1", 1, 2, 2), at(0));
    for job in 1..=3 {
        scheduler.publish(meta(job, "a", 1), at(0));
    }
    let decisions = scheduler.place(at(0), 10);
    let shadows = decisions
        .iter()
        .filter(|one| matches!(one.kind, DecisionKind::Placed { shadow: true, .. }));
    assert_eq!(shadows.count(), 3);
    assert!(scheduler.place(at(0), 10).is_empty());
    assert_eq!(scheduler.open_run_count(), 0);
    assert_eq!(
        scheduler.explain(task(1), at(0)),
        Some(NotPlacedReason::QueueShadow)
    );
    add_queue(&mut document, "main", QueueMode::Active);
    scheduler.configure(&document);
    assert_eq!(all_placed(scheduler.place(at(0), 10)).len(), 2);
}

#[test]
fn paused_or_unconfigured_queue_starts_no_task_and_draining_queue_does() {
    let mut document = document(&[("a", 100)]);
    add_queue(&mut document, "main", QueueMode::Paused);
    let mut scheduler = scheduler(&document);
    scheduler.heartbeat(&report("r1", 1, 8, 8), at(0));
    scheduler.publish(meta(1, "a", 1), at(0));
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    document.queues.clear();
    scheduler.configure(&document);
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    assert_eq!(
        scheduler.explain(task(1), at(0)),
        Some(NotPlacedReason::QueuePaused)
    );
    add_queue(&mut document, "main", QueueMode::Draining);
    scheduler.configure(&document);
    assert!(scheduler.reserve(&runner("r1"), at(0)).is_some());
}

#[test]
fn reason_is_reported_only_when_it_changes() {
    let mut scheduler = scheduler(&document(&[("a", 1)]));
    scheduler.publish(meta(1, "a", 1), at(0));
    scheduler.publish(meta(2, "a", 1), at(0));
    let reasons = |decisions: Vec<scheduler::Decision>| -> Vec<NotPlacedReason> {
        let kinds = decisions.into_iter().map(|decision| decision.kind);
        kinds
            .filter_map(|kind| match kind {
                DecisionKind::NotPlaced { reason, .. } => Some(reason),
                DecisionKind::Placed { .. } => None,
            })
            .collect()
    };
    assert_eq!(
        reasons(scheduler.place(at(0), 10)),
        [NotPlacedReason::NoRunnerKnown]
    );
    assert!(reasons(scheduler.place(at(0), 10)).is_empty());
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    assert_eq!(
        reasons(scheduler.place(at(0), 10)),
        [NotPlacedReason::TenantAtLimit]
    );
    assert!(reasons(scheduler.place(at(0), 10)).is_empty());
}

#[test]
fn placement_spreads_tasks_evenly_over_equal_runners() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    for name in ["r1", "r2", "r3", "r4"] {
        scheduler.heartbeat(&report(name, 1, 4, 4), at(0));
    }
    for job in 1..=8 {
        scheduler.publish(meta(job, "a", 1), at(0));
    }
    let mut counts = std::collections::BTreeMap::new();
    for reservation in all_placed(scheduler.place(at(0), 100)) {
        *counts.entry(reservation.runner).or_insert(0) += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<i32>>(), [2, 2, 2, 2]);
}
