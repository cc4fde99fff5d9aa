//! Random moves.

use crate::support::*;
use configuration::QueueMode;
use proptest::prelude::*;
use types::*;

pub const ALLOWED_FAILURES: u32 = 2;
pub const TENANTS: [&str; 2] = ["a", "b"];
pub const QUEUES: [&str; 2] = ["q", "r"];
pub const RUNNERS: [&str; 2] = ["one", "two"];

/// One move against the records; picks are accepted from what is there then.
#[derive(Debug, Clone)]
pub enum Step {
    Submit {
        tenant: usize,
        job: u8,
        shape: u8,
    },
    CancelJob {
        tenant: usize,
        job: u8,
    },
    CancelTenant {
        tenant: usize,
        queue: Option<usize>,
    },
    Reserve {
        pick: prop::sample::Index,
        runner: usize,
    },
    ReserveAgain {
        pick: prop::sample::Index,
    },
    Close {
        pick: prop::sample::Index,
        close: RunClose,
    },
    CloseAgain {
        pick: prop::sample::Index,
        close: RunClose,
    },
    Configure {
        resource_limit: u32,
        mode: QueueMode,
        drop_tenant: bool,
    },
    ConfigureAgain {
        pick: prop::sample::Index,
        other: prop::sample::Index,
    },
    Drain {
        runner: usize,
        draining: bool,
    },
    Forget {
        age: u64,
        limit: u32,
    },
    Restore,
}

fn close() -> impl Strategy<Value = RunClose> {
    prop_oneof![
        4 => Just(DONE),
        3 => Just(failed()),
        1 => Just(RunClose::TimedOut),
        1 => Just(RunClose::Revoked),
        1 => Just(RunClose::Lost),
        1 => Just(RunClose::Rejected),
        1 => Just(RunClose::Ended(Outcome::Stopped)),
    ]
}

fn mode() -> impl Strategy<Value = QueueMode> {
    prop_oneof![
        4 => Just(QueueMode::Active),
        1 => Just(QueueMode::Paused),
        1 => Just(QueueMode::Draining),
    ]
}

pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let index = any::<prop::sample::Index>;
    let step = prop_oneof![
        6 => (0..2_usize, 0..5_u8, 0..4_u8)
            .prop_map(|(tenant, job, shape)| Step::Submit { tenant, job, shape }),
        1 => (0..2_usize, 0..5_u8).prop_map(|(tenant, job)| Step::CancelJob { tenant, job }),
        1 => (0..2_usize, prop::option::of(0..2_usize))
            .prop_map(|(tenant, queue)| Step::CancelTenant { tenant, queue }),
        14 => (index(), 0..2_usize).prop_map(|(pick, runner)| Step::Reserve { pick, runner }),
        1 => index().prop_map(|pick| Step::ReserveAgain { pick }),
        10 => (index(), close()).prop_map(|(pick, close)| Step::Close { pick, close }),
        2 => (index(), close()).prop_map(|(pick, close)| Step::CloseAgain { pick, close }),
        1 => (1..5_u32, mode(), prop::bool::weighted(0.3)).prop_map(
            |(resource_limit, mode, drop_tenant)| Step::Configure { resource_limit, mode, drop_tenant }),
        1 => (index(), index())
            .prop_map(|(pick, other)| Step::ConfigureAgain { pick, other }),
        1 => (0..2_usize, prop::bool::weighted(0.3))
            .prop_map(|(runner, draining)| Step::Drain { runner, draining }),
        1 => (0..40_u64, 0..3_u32).prop_map(|(age, limit)| Step::Forget { age, limit }),
        1 => Just(Step::Restore),
    ];
    prop::collection::vec(step, 1..120)
}

pub fn spec(tenant_at: usize, name: u8, shape: u8) -> JobSpec {
    let mut steps = vec![step("s", 2, &[])];
    if shape % 2 == 1 {
        steps.push(step("t", 1, &["s"]));
        steps[0].max_copies = 2;
    }
    for step in &mut steps {
        step.allowed_failures = ALLOWED_FAILURES;
    }
    JobSpec {
        tenant: tenant(TENANTS[tenant_at]),
        queue: queue(QUEUES[usize::from(shape / 2)]),
        ..job(&format!("j{name}"), steps)
    }
}
