//! A small cluster configuration, jobs for it, and a driver that applies commands
//! to a state machine.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use configuration::{
    ClusterConfiguration, ErrorBudget, PoolSettings, QueueMode, QueueSettings, TenantSettings,
};
use state_machine::{
    Applied, CancelSelector, Change, ClosedRun, Command, CommandReply, ReservationRejection,
    StateMachine,
};
use types::*;

/// Resources of the largest runner of the pool.
pub const RUNNER_CAPACITY: Resources = slots(4);

pub const fn slots(slots: u32) -> Resources {
    Resources {
        slots,
        ..Resources::ZERO
    }
}

pub fn tenant(name: &str) -> TenantId {
    TenantId::new(name).unwrap()
}

pub fn queue(name: &str) -> QueueName {
    QueueName::new(name).unwrap()
}

pub fn step_name(name: &str) -> StepName {
    StepName::new(name).unwrap()
}

pub fn runner(name: &str) -> RunnerId {
    RunnerId::new(name).unwrap()
}

pub fn key(tenant_name: &str, job: &str) -> JobKey {
    JobKey {
        tenant: tenant(tenant_name),
        job: JobId::new(job).unwrap(),
    }
}

fn contract(resource_limit: u32) -> TenantSettings {
    TenantSettings {
        share_percent: 50,
        resource_limit: slots(resource_limit),
        error_budget: ErrorBudget {
            late_after: Milliseconds(1_000),
            late_per_thousand: 1,
            failed_per_thousand: 1,
        },
        submits_per_second: 1,
        submit_burst: 1,
        max_unfinished_jobs: 4,
    }
}

/// Returns a configuration with tenants `a` (resource limit 4 slots) and `b` (2
/// slots), and active queues `q` and `r` on one pool.
pub fn document() -> ClusterConfiguration {
    let mut document = ClusterConfiguration::default();
    let pool = PoolName::new("p").unwrap();
    let settings = PoolSettings {
        largest_runner: RUNNER_CAPACITY,
    };
    document.pools.insert(pool.clone(), settings);
    for name in ["q", "r"] {
        let settings = QueueSettings {
            priority: 0,
            pool: pool.clone(),
            mode: QueueMode::Active,
            max_unfinished_jobs: 5,
        };
        document.queues.insert(queue(name), settings);
    }
    document.tenants.insert(tenant("a"), contract(4));
    document.tenants.insert(tenant("b"), contract(2));
    document
}

/// Returns a step whose tasks need one slot each and may fail once.
pub fn step(name: &str, tasks: u32, after: &[&str]) -> StepSpec {
    StepSpec {
        rules: Default::default(),
        name: step_name(name),
        after: after.iter().map(|name| step_name(name)).collect(),
        tasks,
        resources: slots(1),
        labels: Labels::new(),
        max_copies: 1,
        allowed_failures: 1,
        time_limit: Milliseconds(1_000),
        payload: "work".to_owned(),
    }
}

/// Returns a job of tenant `a` in queue `q`.
pub fn job(name: &str, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: String::new(),
        tenant: tenant("a"),
        job: JobId::new(name).unwrap(),
        queue: queue("q"),
        urgency: Urgency::Normal,
        start_at: None,
        steps,
    }
}

pub fn task(job: u64, step: u16, task: u32) -> TaskRef {
    TaskRef {
        job: JobNumber(job),
        step,
        task,
    }
}

pub fn run_id(sequence: u64) -> RunId {
    RunId {
        term: Term(1),
        sequence,
    }
}

pub fn failed() -> RunClose {
    RunClose::Ended(Outcome::Failed("it broke".to_owned()))
}

pub const DONE: RunClose = RunClose::Ended(Outcome::Done);

/// Applies commands to a state machine as its leader does.
pub struct Driver {
    pub state_machine: StateMachine,
    /// Wall time with which the next command is stamped.
    pub at: WallTime,
    /// Sequence number of the newest run identifier.
    pub last_run: u64,
}

impl Driver {
    /// Creates a state machine with [`document`] as version 1.
    pub fn new() -> Self {
        let mut driver = Self {
            state_machine: StateMachine::new(),
            at: WallTime(1_000),
            last_run: 0,
        };
        let reply = driver.configure(1, document());
        assert!(matches!(
            reply,
            CommandReply::Configured { known: false, .. }
        ));
        driver
    }

    pub fn configure(&mut self, version: u64, document: ClusterConfiguration) -> CommandReply {
        let command = Command::PutConfiguration {
            version: ConfigurationVersion(version),
            document,
            at: self.at,
        };
        self.state_machine.apply(&command).reply
    }

    pub fn submit(&mut self, spec: JobSpec) -> Applied {
        let at = self.at;
        self.state_machine.apply(&Command::Submit { spec, at })
    }

    pub fn cancel(&mut self, selector: CancelSelector) -> Applied {
        let at = self.at;
        self.state_machine.apply(&Command::Cancel { selector, at })
    }

    /// Reserves a run under the given identifier on the given runner.
    pub fn reserve_as(
        &mut self,
        run: RunId,
        task: TaskRef,
        runner_name: &str,
    ) -> Result<RunId, ReservationRejection> {
        let reservation = Reservation {
            endpoint: None,
            run,
            task,
            runner: runner(runner_name),
            incarnation: RunnerIncarnation(1),
            self_stop: true,
        };
        let command = Command::Reserve {
            reservations: vec![reservation],
            at: self.at,
        };
        match self.state_machine.apply(&command).reply {
            CommandReply::Reserved { rejected, .. } if !rejected.is_empty() => Err(rejected[0].1),
            CommandReply::Reserved { .. } => Ok(run),
            other => panic!("{other:?}"),
        }
    }

    /// Reserves a run under the next identifier.
    pub fn reserve(&mut self, task: TaskRef) -> Result<RunId, ReservationRejection> {
        self.last_run += 1;
        self.reserve_as(run_id(self.last_run), task, "runner")
    }

    pub fn close(&mut self, run: RunId, close: RunClose) -> Vec<Change> {
        let command = Command::CloseRuns {
            runs: vec![ClosedRun {
                checkpoint: None,
                run,
                close,
            }],
            at: self.at,
        };
        self.state_machine.apply(&command).changes
    }

    /// Forgets at most `limit` jobs that ended until now.
    pub fn forget(&mut self, limit: u32) {
        let command = Command::Forget {
            ended_before: self.at,
            limit,
        };
        self.state_machine.apply(&command);
    }

    /// Returns the view of a job of tenant `a`.
    pub fn view(&self, name: &str) -> JobView {
        self.state_machine.job(&key("a", name)).unwrap()
    }

    /// Returns the states of all tasks of a job of tenant `a`.
    pub fn task_states(&self, name: &str) -> Vec<TaskState> {
        let statuses = self.state_machine.task_states(&key("a", name)).unwrap();
        statuses.iter().map(|status| status.state).collect()
    }

    /// Returns all tasks that may start now or at their `not_before`.
    pub fn ready_tasks(&self) -> Vec<TaskRef> {
        let metas = self.state_machine.ready_tasks(None, usize::MAX);
        metas.iter().map(|meta| meta.task).collect()
    }
}

/// Returns the tasks that the changes report as ready.
pub fn ready_tasks_in(changes: &[Change]) -> Vec<TaskRef> {
    let ready = changes.iter().filter_map(|change| match change {
        Change::TaskReady(meta) => Some(meta.task),
        _ => None,
    });
    ready.collect()
}

/// Returns the tasks that the changes report as ended, with their open runs.
pub fn ended_tasks_in(changes: &[Change]) -> Vec<(TaskRef, Vec<RunId>)> {
    let ended = changes.iter().filter_map(|change| match change {
        Change::TaskEnded { task, open_runs } => {
            Some((*task, open_runs.iter().map(|run| run.run).collect()))
        }
        _ => None,
    });
    ended.collect()
}
