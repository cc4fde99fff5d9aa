//! Snapshots of format version 4: a fixed scenario encodes to the bytes that an
//! earlier build wrote, and these bytes restore a state that replies to queries and
//! commands as before.

mod golden;
mod support;

use configuration::{
    ClusterConfiguration, ConfigurationUpdate, LeftOutQueues, LicenceSettings, QueueMode,
    RemovedItems, UpsertedItems,
};
use golden::bytes::{assert_recorded_bytes, from_hex, variants};
use golden::samples::{contract, keys, name, timings};
use state_machine::{
    CancelSelector, ClosedRun, Command, CommandReply, ReservationRejection, StateMachine,
};
use std::collections::BTreeMap;
use support::{DONE, Driver, document, failed, job, key, queue, run_id, slots, step, task, tenant};
use types::*;

const RECORDED: &str = include_str!("golden/snapshot_4.txt");
/// Time between two commands of the scenario.
const COMMAND_INTERVAL: Milliseconds = Milliseconds(17);
const SEATS: u32 = 3;
const MORE_SEATS: u32 = 4;

/// Numbers of the scenario's jobs, in the order of their submission.
const FORGOTTEN_JOB: u64 = 1;
const WAITING_JOB: u64 = 2;
const RUNNING_JOB: u64 = 3;
const CANCELLED_JOB: u64 = 4;
const DONE_JOB: u64 = 5;
const FAILED_JOB: u64 = 6;
const GANG_JOB: u64 = 7;
const LICENSED_JOB: u64 = 8;
const LOST_RUN_JOB: u64 = 9;
const LATE_FAILURE_JOB: u64 = 10;
const LATE_SUCCESS_JOB: u64 = 11;
const ENDLESS_JOB: u64 = 12;
const RETRIED_JOB: u64 = 13;
const TENANT_CANCELLED_JOB: u64 = 14;
const LEFT_OUT_QUEUE_JOB: u64 = 15;

fn licence() -> LicenceName {
    name("cedar")
}

/// Returns a configuration whose limits are high enough for the whole scenario.
fn scenario_document() -> ClusterConfiguration {
    let mut document = document();
    for settings in document.tenants.values_mut() {
        *settings = contract();
        settings.resource_limit = slots(40);
    }
    for queue in document.queues.values_mut() {
        queue.max_unfinished_jobs = 60;
    }
    let settings = LicenceSettings { seats: SEATS };
    document.licences.insert(licence(), settings);
    document.keys = keys("a");
    document.timings = timings();
    document.source = Some("as it was written".to_owned());
    document
}

/// Returns an update that raises the seats of the licence.
fn seats_update() -> ConfigurationUpdate {
    let settings = LicenceSettings { seats: MORE_SEATS };
    ConfigurationUpdate {
        replaces: ConfigurationVersion(2),
        upsert: UpsertedItems {
            licences: BTreeMap::from([(licence(), settings)]),
            ..UpsertedItems::default()
        },
        remove: RemovedItems::default(),
        source: Some("as it reads now".to_owned()),
        sent: Some("as it was sent".to_owned()),
    }
}

/// Returns the configuration without queue `r`, which still has an unfinished job.
fn document_without_queue_r() -> ClusterConfiguration {
    let mut document = scenario_document();
    document.queues.remove(&queue("r"));
    document.replaces = Some(ConfigurationVersion(3));
    document.left_out = LeftOutQueues::Drain;
    document
}

/// Builds a state with every kind of stored data, only by applying commands.
struct Scenario {
    driver: Driver,
}

impl Scenario {
    /// Applies a command that must be accepted, and advances the time.
    fn apply(&mut self, command: Command) -> CommandReply {
        let applied = self.driver.state_machine.apply(&command);
        self.driver.at = self.driver.at + COMMAND_INTERVAL;
        let reply = applied.reply;
        assert!(!matches!(reply, CommandReply::Rejected(_)), "{reply:?}");
        reply
    }

    fn submit(&mut self, number: u64, spec: JobSpec) {
        let at = self.driver.at;
        let reply = self.apply(Command::Submit { spec, at });
        let number = JobNumber(number);
        let known = false;
        assert_eq!(reply, CommandReply::Submitted { number, known });
    }

    /// Reserves tasks in one command, each on a runner of its own.
    fn reserve_all(&mut self, tasks: &[TaskRef]) -> Vec<RunId> {
        let mut reservations = Vec::new();
        for task in tasks {
            self.driver.last_run += 1;
            let number = self.driver.last_run;
            reservations.push(Reservation {
                run: run_id(number),
                task: *task,
                runner: name(&format!("rowan-{number}")),
                incarnation: RunnerIncarnation(number + 500),
                endpoint: number
                    .is_multiple_of(2)
                    .then(|| name(&format!("10.0.0.{number}:7000"))),
                self_stop: !number.is_multiple_of(3),
            });
        }
        let at = self.driver.at;
        let reply = self.apply(Command::Reserve { reservations, at });
        let CommandReply::Reserved { accepted, rejected } = reply else {
            panic!("{reply:?}");
        };
        assert_eq!(rejected, []);
        accepted
    }

    fn reserve(&mut self, task: TaskRef) -> RunId {
        self.reserve_all(&[task])[0]
    }

    fn close_with(&mut self, run: RunId, close: RunClose, checkpoint: Option<&str>) {
        let checkpoint = checkpoint.map(str::to_owned);
        let at = self.driver.at;
        self.apply(Command::CloseRuns {
            runs: vec![ClosedRun {
                run,
                close,
                checkpoint,
            }],
            at,
        });
    }

    fn close(&mut self, run: RunId, close: RunClose) {
        self.close_with(run, close, None);
    }

    fn set_draining(&mut self, runner: &str, draining: bool) {
        let runner = name(runner);
        let at = self.driver.at;
        self.apply(Command::SetRunnerDraining {
            runner,
            draining,
            at,
        });
    }

    fn configure(&mut self, version: u64, document: ClusterConfiguration) {
        let version = ConfigurationVersion(version);
        let at = self.driver.at;
        self.apply(Command::PutConfiguration {
            version,
            document,
            at,
        });
    }

    fn add_forgotten_job(&mut self) {
        self.submit(FORGOTTEN_JOB, job("forgotten", vec![step("s", 1, &[])]));
        let run = self.reserve(task(FORGOTTEN_JOB, 0, 0));
        self.close(run, DONE);
        let ended_before = self.driver.at;
        let limit = 1;
        self.apply(Command::Forget {
            ended_before,
            limit,
        });
    }

    fn add_waiting_job(&mut self) {
        let mut first = step("s", 2, &[]);
        first.rules.start_at = Some(WallTime(9_000_000));
        first.rules.preferred_rack = Some(name("beech"));
        first.labels.insert("wood".to_owned(), "hard".to_owned());
        let mut spec = job("waits", vec![first, step("t", 1, &["s"])]);
        spec.urgency = Urgency::Urgent;
        spec.start_at = Some(WallTime(8_000_000));
        self.submit(WAITING_JOB, spec);
    }

    /// Adds a job with a task that failed once with a checkpoint, a task with two open
    /// runs, and a task that is done.
    fn add_running_job(&mut self) {
        let mut copied = step("s", 3, &[]);
        copied.max_copies = 2;
        copied.allowed_failures = 3;
        copied.rules.expected = Some(Milliseconds(700));
        self.submit(RUNNING_JOB, job("goes", vec![copied, step("t", 1, &["s"])]));
        let run = self.reserve(task(RUNNING_JOB, 0, 0));
        self.close_with(run, failed(), Some("a third"));
        self.reserve(task(RUNNING_JOB, 0, 1));
        self.reserve(task(RUNNING_JOB, 0, 1));
        let run = self.reserve(task(RUNNING_JOB, 0, 2));
        self.close(run, DONE);
    }

    /// Adds a cancelled job with an open run, a job that is done, and a failed job.
    fn add_finished_jobs(&mut self) {
        self.submit(CANCELLED_JOB, job("stopped", vec![step("s", 1, &[])]));
        self.reserve(task(CANCELLED_JOB, 0, 0));
        let selector = CancelSelector::Jobs(vec![key("a", "stopped")]);
        let at = self.driver.at;
        self.apply(Command::Cancel { selector, at });
        self.submit(DONE_JOB, job("ended", vec![step("s", 1, &[])]));
        let run = self.reserve(task(DONE_JOB, 0, 0));
        self.close(run, DONE);
        let mut no_retries = step("s", 2, &[]);
        no_retries.allowed_failures = 0;
        self.submit(FAILED_JOB, job("broken", vec![no_retries]));
        let run = self.reserve(task(FAILED_JOB, 0, 0));
        self.close(run, failed());
    }

    /// Adds a gang that failed once and runs again from its checkpoint.
    fn add_gang(&mut self) {
        let mut gang = step("s", 2, &[]);
        gang.rules.gang = true;
        gang.rules.same_rack = true;
        self.submit(GANG_JOB, job("together", vec![gang]));
        let members = [task(GANG_JOB, 0, 0), task(GANG_JOB, 0, 1)];
        let runs = self.reserve_all(&members);
        self.close_with(runs[1], failed(), Some("half way"));
        self.close(runs[0], RunClose::Ended(Outcome::Stopped));
        self.reserve_all(&members);
    }

    /// Adds a job whose two open runs occupy seats of the licence.
    fn add_licensed_job(&mut self) {
        let mut licensed = step("s", 3, &[]);
        licensed.rules.licence = Some(licence());
        licensed.rules.max_per_runner = Some(2);
        self.submit(LICENSED_JOB, job("seated", vec![licensed]));
        self.reserve(task(LICENSED_JOB, 0, 0));
        self.reserve(task(LICENSED_JOB, 0, 1));
    }

    /// Adds three jobs with lost runs: one whose late report is still awaited, one
    /// whose late failure was reported while the task had a new open run, and one
    /// whose late success finished the job.
    fn add_lost_runs(&mut self) {
        self.submit(LOST_RUN_JOB, job("given-up", vec![step("s", 1, &[])]));
        let run = self.reserve(task(LOST_RUN_JOB, 0, 0));
        self.close(run, RunClose::Lost);
        let late = [
            (LATE_FAILURE_JOB, "late-failure", failed()),
            (LATE_SUCCESS_JOB, "late-end", DONE),
        ];
        for (number, name, close) in late {
            self.submit(number, job(name, vec![step("s", 1, &[])]));
            let run = self.reserve(task(number, 0, 0));
            self.close(run, RunClose::Lost);
            self.reserve(task(number, 0, 0));
            self.close(run, close);
        }
    }

    fn add_endless_job(&mut self) {
        let mut endless = step("s", 1, &[]);
        endless.rules.endless = true;
        self.submit(ENDLESS_JOB, job("forever", vec![endless]));
        let run = self.reserve(task(ENDLESS_JOB, 0, 0));
        self.close(run, DONE);
        self.reserve(task(ENDLESS_JOB, 0, 0));
    }

    /// Adds a task whose runs closed for each of the remaining reasons.
    fn add_retried_job(&mut self) {
        self.submit(RETRIED_JOB, job("retried", vec![step("s", 1, &[])]));
        let closes = [
            RunClose::Revoked,
            RunClose::Rejected,
            RunClose::TimedOut,
            RunClose::Ended(Outcome::Stopped),
        ];
        for close in closes {
            let run = self.reserve(task(RETRIED_JOB, 0, 0));
            self.close(run, close);
        }
    }

    /// Cancels a tenant's jobs in one queue; its job in another queue remains.
    fn cancel_tenant_in_queue(&mut self) {
        let mut spec = job("withdrawn", vec![step("s", 1, &[])]);
        spec.tenant = tenant("b");
        self.submit(TENANT_CANCELLED_JOB, spec.clone());
        spec.job = name("left-out");
        spec.queue = queue("r");
        self.submit(LEFT_OUT_QUEUE_JOB, spec);
        let selector = CancelSelector::Tenant {
            tenant: tenant("b"),
            queue: Some(queue("q")),
        };
        let at = self.driver.at;
        self.apply(Command::Cancel { selector, at });
    }

    fn drain_runners(&mut self) {
        self.set_draining("sorb-1", true);
        self.set_draining("sorb-2", true);
        self.set_draining("sorb-1", false);
    }

    fn change_configuration(&mut self) {
        let at = self.driver.at;
        self.apply(Command::UpdateConfiguration {
            version: ConfigurationVersion(3),
            update: seats_update(),
            at,
        });
        self.configure(7, document_without_queue_r());
    }
}

/// Returns the driver after the whole scenario.
fn run_scenario() -> Driver {
    let driver = Driver::new();
    let mut scenario = Scenario { driver };
    scenario.configure(2, scenario_document());
    scenario.add_forgotten_job();
    scenario.add_waiting_job();
    scenario.add_running_job();
    scenario.add_finished_jobs();
    scenario.add_gang();
    scenario.add_licensed_job();
    scenario.add_lost_runs();
    scenario.add_endless_job();
    scenario.add_retried_job();
    scenario.cancel_tenant_in_queue();
    scenario.drain_runners();
    scenario.change_configuration();
    scenario.driver
}

fn restore_recorded() -> StateMachine {
    StateMachine::restore(&from_hex(RECORDED)).unwrap()
}

fn job_states(state_machine: &StateMachine) -> Vec<(u64, JobState)> {
    let jobs = state_machine.jobs(None, None, None, usize::MAX).into_iter();
    jobs.map(|(number, view)| (number.0, view.state)).collect()
}

fn task_status(state_machine: &StateMachine, name: &str, task: usize) -> state_machine::TaskStatus {
    state_machine.task_states(&key("a", name)).unwrap()[task].clone()
}

#[test]
fn scenario_snapshot_equals_recorded_bytes() {
    assert_recorded_bytes(RECORDED, &run_scenario().state_machine.snapshot().unwrap());
}

#[test]
fn recorded_snapshot_restores_scenario_state() {
    let restored = restore_recorded();
    assert_eq!(restored, run_scenario().state_machine);
    assert_eq!(restored.snapshot().unwrap(), from_hex(RECORDED));
}

#[test]
fn restored_jobs_have_states_of_scenario() {
    let states = job_states(&restore_recorded());
    let expected = [
        (WAITING_JOB, JobState::Waiting),
        (RUNNING_JOB, JobState::Running),
        (CANCELLED_JOB, JobState::Cancelled),
        (DONE_JOB, JobState::Done),
        (FAILED_JOB, JobState::Failed),
        (GANG_JOB, JobState::Running),
        (LICENSED_JOB, JobState::Running),
        (LOST_RUN_JOB, JobState::Running),
        (LATE_FAILURE_JOB, JobState::Running),
        (LATE_SUCCESS_JOB, JobState::Done),
        (ENDLESS_JOB, JobState::Running),
        (RETRIED_JOB, JobState::Running),
        (TENANT_CANCELLED_JOB, JobState::Cancelled),
        (LEFT_OUT_QUEUE_JOB, JobState::Waiting),
    ];
    assert_eq!(states, expected);
    variants!(JobState {
        Waiting,
        Running,
        Done,
        Failed,
        Cancelled
    })
    .assert_covered(states.iter().map(|(_, state)| state));
    let failed_job = restore_recorded().job(&key("a", "broken")).unwrap();
    let reason = "task 0 of step s failed 1 times, last: it broke";
    assert_eq!(failed_job.reason.as_deref(), Some(reason));
}

#[test]
fn restored_tasks_have_states_and_counts_of_scenario() {
    let state_machine = restore_recorded();
    let names = ["waits", "goes", "stopped", "ended", "broken"];
    let statuses = names.map(|name| state_machine.task_states(&key("a", name)).unwrap());
    let states: Vec<TaskState> = statuses
        .iter()
        .flatten()
        .map(|status| status.state)
        .collect();
    variants!(TaskState {
        Blocked,
        Ready,
        Running,
        Done,
        Failed,
        Cancelled
    })
    .assert_covered(&states);
    let failed_once = task_status(&state_machine, "goes", 0);
    assert_eq!(failed_once.failed_runs, 1);
    assert!(failed_once.not_before.is_some());
    assert_eq!(task_status(&state_machine, "goes", 1).open_runs, 2);
    assert_eq!(task_status(&state_machine, "stopped", 0).open_runs, 1);
    assert_eq!(task_status(&state_machine, "together", 0).failed_runs, 1);
    assert_eq!(
        task_status(&state_machine, "late-failure", 0).failed_runs,
        1
    );
    assert_eq!(task_status(&state_machine, "late-end", 0).open_runs, 1);
    assert_eq!(task_status(&state_machine, "retried", 0).failed_runs, 1);
}

#[test]
fn restored_runs_keep_resources_seats_and_checkpoints() {
    let state_machine = restore_recorded();
    let open = state_machine.open_runs();
    let jobs: Vec<u64> = open.iter().map(|run| run.task.job.0).collect();
    let expected = [
        RUNNING_JOB,
        RUNNING_JOB,
        CANCELLED_JOB,
        GANG_JOB,
        GANG_JOB,
        LICENSED_JOB,
        LICENSED_JOB,
        LATE_FAILURE_JOB,
        LATE_SUCCESS_JOB,
        ENDLESS_JOB,
    ];
    assert_eq!(jobs, expected);
    assert_eq!(state_machine.seats_used(&licence()), 2);
    assert_eq!(state_machine.tenant_usage(&tenant("a")), slots(10));
    assert_eq!(state_machine.unfinished_jobs(), 9);
    assert_eq!(state_machine.unfinished_of_queue(&queue("r")), 1);
    assert_eq!(state_machine.draining_runners(), [name("sorb-2")]);
    let gang_run = open.iter().find(|run| run.task.job.0 == GANG_JOB).unwrap();
    assert_eq!(gang_run.attempt, 2);
    let spec = state_machine.run_spec(gang_run.run).unwrap();
    assert_eq!(spec.checkpoint.as_deref(), Some("half way"));
    let run_name = state_machine.run_name(gang_run).unwrap();
    assert_eq!(state_machine.find_open_run(&run_name), Some(gang_run.run));
}

#[test]
fn restored_state_recognizes_applied_configurations() {
    let state_machine = restore_recorded();
    let (version, document) = state_machine.configuration();
    assert_eq!(version, ConfigurationVersion(7));
    assert_eq!(document.queues[&queue("r")].mode, QueueMode::Draining);
    assert_eq!(document.keys, keys("a"));
    assert!(state_machine.has_applied(ConfigurationVersion(3), &seats_update()));
    let known = CommandReply::Configured {
        version: ConfigurationVersion(2),
        known: true,
    };
    let mut driver = run_scenario();
    driver.state_machine = state_machine;
    assert_eq!(driver.configure(2, scenario_document()), known);
}

#[test]
fn restored_state_rejects_runs_of_forgotten_jobs_and_on_draining_runners() {
    let mut driver = run_scenario();
    driver.state_machine = restore_recorded();
    let of_forgotten = driver.reserve_as(run_id(1), task(LOST_RUN_JOB, 0, 0), "rowan");
    assert_eq!(of_forgotten, Err(ReservationRejection::KnownRun));
    let on_draining = driver.reserve_as(run_id(900), task(LOST_RUN_JOB, 0, 0), "sorb-2");
    assert_eq!(on_draining, Err(ReservationRejection::RunnerDraining));
}

#[test]
fn restored_state_applies_late_report_of_lost_run() {
    let mut driver = run_scenario();
    driver.state_machine = restore_recorded();
    let lost = (0..=driver.last_run)
        .map(run_id)
        .filter(|run| driver.state_machine.awaits_late_report(*run))
        .collect::<Vec<_>>();
    assert_eq!(lost.len(), 1);
    driver.close(lost[0], DONE);
    assert_eq!(driver.view("given-up").state, JobState::Done);
}
