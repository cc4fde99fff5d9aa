//! Random operations on the state machine, and the jobs that they submit.

use crate::support::*;
use configuration::QueueMode;
use proptest::prelude::*;
use types::*;

pub const ALLOWED_FAILURES: u32 = 2;
pub const TENANTS: [&str; 2] = ["a", "b"];
pub const QUEUES: [&str; 2] = ["q", "r"];
pub const RUNNERS: [&str; 2] = ["one", "two"];

/// Operation on the harness. A `pick` selects among the items that exist when the
/// operation is executed.
#[derive(Debug, Clone)]
pub enum Operation {
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
    /// Reserves a run under an identifier that was used before.
    ReuseRunId {
        pick: prop::sample::Index,
    },
    Close {
        pick: prop::sample::Index,
        close: RunClose,
    },
    /// Closes a run that is closed already.
    CloseClosedRun {
        pick: prop::sample::Index,
        close: RunClose,
    },
    Configure {
        resource_limit: u32,
        mode: QueueMode,
        remove_tenant: bool,
    },
    /// Sends one applied document under the version of another, or of its own.
    ResendConfiguration {
        version_pick: prop::sample::Index,
        document_pick: prop::sample::Index,
    },
    Drain {
        runner: usize,
        draining: bool,
    },
    Forget {
        age: u64,
        limit: u32,
    },
    /// Replaces the replica by one restored from a snapshot.
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

pub fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let index = any::<prop::sample::Index>;
    let operation = prop_oneof![
        6 => (0..2_usize, 0..5_u8, 0..6_u8)
            .prop_map(|(tenant, job, shape)| Operation::Submit { tenant, job, shape }),
        1 => (0..2_usize, 0..5_u8).prop_map(|(tenant, job)| Operation::CancelJob { tenant, job }),
        1 => (0..2_usize, prop::option::of(0..2_usize))
            .prop_map(|(tenant, queue)| Operation::CancelTenant { tenant, queue }),
        14 => (index(), 0..2_usize).prop_map(|(pick, runner)| Operation::Reserve { pick, runner }),
        1 => index().prop_map(|pick| Operation::ReuseRunId { pick }),
        10 => (index(), close()).prop_map(|(pick, close)| Operation::Close { pick, close }),
        2 => (index(), close()).prop_map(|(pick, close)| Operation::CloseClosedRun { pick, close }),
        1 => (1..5_u32, mode(), prop::bool::weighted(0.3)).prop_map(
            |(resource_limit, mode, remove_tenant)| Operation::Configure { resource_limit, mode, remove_tenant }),
        1 => (index(), index())
            .prop_map(|(version_pick, document_pick)| Operation::ResendConfiguration {
                version_pick,
                document_pick,
            }),
        1 => (0..2_usize, prop::bool::weighted(0.3))
            .prop_map(|(runner, draining)| Operation::Drain { runner, draining }),
        1 => (0..40_u64, 0..3_u32).prop_map(|(age, limit)| Operation::Forget { age, limit }),
        1 => Just(Operation::Restore),
    ];
    prop::collection::vec(operation, 1..120)
}

/// Lowest shape of a job whose first step is a gang.
const GANG_SHAPE: u8 = 4;

/// Returns a job of the given tenant. An odd `shape` adds a dependent step, and copies
/// unless the first step is a gang; `shape / 2` modulo 2 is the index of the queue.
pub fn job_spec(tenant_index: usize, name: u8, shape: u8) -> JobSpec {
    let mut steps = vec![step("s", 2, &[])];
    steps[0].rules.gang = shape >= GANG_SHAPE;
    if shape % 2 == 1 {
        steps.push(step("t", 1, &["s"]));
        steps[0].max_copies = if steps[0].rules.gang { 1 } else { 2 };
    }
    for step in &mut steps {
        step.allowed_failures = ALLOWED_FAILURES;
    }
    JobSpec {
        tenant: tenant(TENANTS[tenant_index]),
        queue: queue(QUEUES[usize::from(shape / 2 % 2)]),
        ..job(&format!("j{name}"), steps)
    }
}
