//! Test support: a runner with two slots, and orders for it.

use emulator::runner::{Behaviour, Runner, RunnerInstruction, RunnerMutation, RunnerOptions};
use types::{
    HeartbeatSequence, JobId, JobKey, Labels, Milliseconds, Monotonic, OrderKind, OrderSequence,
    PoolName, RackName, Resources, RunId, RunSpec, RunnerId, RunnerIncarnation, RunnerOrder,
    StepName, TenantId, Term,
};

/// Length of the run lease in orders and answers, in milliseconds.
pub const LEASE_MS: u64 = 10_000;
/// Incarnation of the runner, which orders and answers name.
pub const INCARNATION: RunnerIncarnation = RunnerIncarnation(4);

pub fn options() -> RunnerOptions {
    RunnerOptions {
        runner: RunnerId::new("runner-1").unwrap(),
        incarnation: INCARNATION,
        pool: PoolName::new("stills").unwrap(),
        rack: RackName::new("rack-1").unwrap(),
        labels: Labels::new(),
        capacity: slots(2),
        behaviour: Behaviour::Healthy,
        mutation: None,
        seed: 3,
    }
}

pub fn slots(slots: u32) -> Resources {
    Resources {
        slots,
        ..Resources::ZERO
    }
}

/// Returns a runner that has sent heartbeat 1 at time 0.
pub fn runner_with(options: RunnerOptions) -> Runner {
    let mut runner = Runner::new(options, Monotonic(0));
    runner.heartbeat(Monotonic(0));
    runner
}

pub fn runner() -> Runner {
    runner_with(options())
}

/// Returns a runner with one guard left out.
pub fn runner_with_mutation(mutation: RunnerMutation) -> Runner {
    runner_with(RunnerOptions {
        mutation: Some(mutation),
        ..options()
    })
}

pub fn run_id(sequence: u64) -> RunId {
    RunId {
        term: Term(2),
        sequence,
    }
}

pub fn run(sequence: u64, payload: &str) -> RunSpec {
    RunSpec {
        attempt: 1,
        checkpoint: None,
        run: run_id(sequence),
        job: JobKey {
            tenant: TenantId::new("tenant").unwrap(),
            job: JobId::new("job").unwrap(),
        },
        step: StepName::new("step").unwrap(),
        task: 0,
        resources: slots(1),
        time_limit: Milliseconds(20_000),
        payload: payload.to_owned(),
    }
}

pub fn order(term: u64, kind: OrderKind) -> RunnerOrder {
    RunnerOrder {
        name: None,
        term: Term(term),
        sequence: OrderSequence(1),
        runner: RunnerId::new("runner-1").unwrap(),
        incarnation: INCARNATION,
        kind,
    }
}

/// Returns a start order of term 2, based on heartbeat 1, for a run of 30 minutes.
pub fn start(sequence: u64) -> RunnerOrder {
    start_of(run(sequence, r#"{"duration_ms": 1800000}"#), 1)
}

/// Returns a start order of term 2 for `run`, based on heartbeat `based_on`.
pub fn start_of(mut run: RunSpec, based_on: u64) -> RunnerOrder {
    run.time_limit = Milliseconds(run.time_limit.0.max(20_000));
    let kind = OrderKind::Start {
        run,
        based_on: HeartbeatSequence(based_on),
        lease: Milliseconds(LEASE_MS),
    };
    order(2, kind)
}

pub fn revoke(sequence: u64) -> RunnerOrder {
    let run = run_id(sequence);
    order(2, OrderKind::Revoke { run })
}

pub fn stop(sequence: u64) -> RunnerOrder {
    let run = run_id(sequence);
    order(2, OrderKind::Stop { run })
}

/// Returns an answer that confirms heartbeat `sequence`.
pub fn confirm(sequence: u64) -> RunnerInstruction {
    RunnerInstruction {
        term: Term(2),
        confirmed: Some(HeartbeatSequence(sequence)),
        incarnation: INCARNATION,
        lease: Milliseconds(LEASE_MS),
        ..RunnerInstruction::default()
    }
}
