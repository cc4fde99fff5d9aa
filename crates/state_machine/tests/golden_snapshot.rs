//! Snapshots of version 4 keep their bytes, and the bytes that an earlier build
//! wrote restore a state that answers and goes on as before.

mod golden;
mod support;

use configuration::{
    ClusterConfiguration, ConfigurationUpdate, LeftOutQueues, LicenceSettings, QueueMode,
    RemovedItems, UpsertedItems,
};
use golden::bytes::{assert_recorded_whole, from_hex, variants};
use golden::samples::{contract, keys, name, timings};
use state_machine::{
    CancelSelector, ClosedRun, Command, CommandReply, ReservationRejection, StateMachine,
};
use std::collections::BTreeMap;
use support::{DONE, Driver, document, failed, job, key, queue, run_id, slots, step, task, tenant};
use types::*;

const RECORDED: &str = include_str!("golden/snapshot_4.txt");
const STEP_OF_TIME: Milliseconds = Milliseconds(17);
const SEATS: u32 = 3;
const MORE_SEATS: u32 = 4;

/// Numbers of the story's jobs, in the order of their submission.
const FORGOTTEN: u64 = 1;
const WAITS: u64 = 2;
const GOES: u64 = 3;
const STOPPED: u64 = 4;
const ENDED: u64 = 5;
const BROKEN: u64 = 6;
const TOGETHER: u64 = 7;
const SEATED: u64 = 8;
const GIVEN_UP: u64 = 9;
const LATE_FAILURE: u64 = 10;
const LATE_END: u64 = 11;
const FOREVER: u64 = 12;
const RETRIED: u64 = 13;
const WITHDRAWN: u64 = 14;
const LEFT_OUT: u64 = 15;

fn licence() -> LicenceName {
    name("cedar")
}

/// Room for the whole story.
fn roomy_document() -> ClusterConfiguration {
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

/// More seats for the licence.
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

/// The document without queue `r`, which still holds a job.
fn last_document() -> ClusterConfiguration {
    let mut document = roomy_document();
    document.queues.remove(&queue("r"));
    document.replaces = Some(ConfigurationVersion(3));
    document.left_out = LeftOutQueues::Drain;
    document
}

/// A record with something of every kind, driven by commands alone.
struct Story {
    driver: Driver,
}

impl Story {
    fn apply(&mut self, command: Command) -> CommandReply {
        let applied = self.driver.state_machine.apply(&command);
        self.driver.at = self.driver.at + STEP_OF_TIME;
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

    /// Binds tasks together, each to a runner and a place of its own.
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

    fn forget_a_job(&mut self) {
        self.submit(FORGOTTEN, job("forgotten", vec![step("s", 1, &[])]));
        let run = self.reserve(task(FORGOTTEN, 0, 0));
        self.close(run, DONE);
        let ended_before = self.driver.at;
        let limit = 1;
        self.apply(Command::Forget {
            ended_before,
            limit,
        });
    }

    fn let_a_job_wait(&mut self) {
        let mut first = step("s", 2, &[]);
        first.rules.start_at = Some(WallTime(9_000_000));
        first.rules.preferred_rack = Some(name("beech"));
        first.labels.insert("wood".to_owned(), "hard".to_owned());
        let mut spec = job("waits", vec![first, step("t", 1, &["s"])]);
        spec.urgency = Urgency::Urgent;
        spec.start_at = Some(WallTime(8_000_000));
        self.submit(WAITS, spec);
    }

    /// A task failed once and saved, one runs twice, one is done.
    fn let_a_job_go(&mut self) {
        let mut copied = step("s", 3, &[]);
        copied.max_copies = 2;
        copied.allowed_failures = 3;
        copied.rules.expected = Some(Milliseconds(700));
        self.submit(GOES, job("goes", vec![copied, step("t", 1, &["s"])]));
        let run = self.reserve(task(GOES, 0, 0));
        self.close_with(run, failed(), Some("a third"));
        self.reserve(task(GOES, 0, 1));
        self.reserve(task(GOES, 0, 1));
        let run = self.reserve(task(GOES, 0, 2));
        self.close(run, DONE);
    }

    /// Cancelled with a run still open, ended done, and failed for good.
    fn end_jobs(&mut self) {
        self.submit(STOPPED, job("stopped", vec![step("s", 1, &[])]));
        self.reserve(task(STOPPED, 0, 0));
        let selector = CancelSelector::Jobs(vec![key("a", "stopped")]);
        let at = self.driver.at;
        self.apply(Command::Cancel { selector, at });
        self.submit(ENDED, job("ended", vec![step("s", 1, &[])]));
        let run = self.reserve(task(ENDED, 0, 0));
        self.close(run, DONE);
        let mut strict = step("s", 2, &[]);
        strict.allowed_failures = 0;
        self.submit(BROKEN, job("broken", vec![strict]));
        let run = self.reserve(task(BROKEN, 0, 0));
        self.close(run, failed());
    }

    /// A gang failed once as a whole, and goes again from its checkpoint.
    fn run_a_gang(&mut self) {
        let mut gang = step("s", 2, &[]);
        gang.rules.gang = true;
        gang.rules.same_rack = true;
        self.submit(TOGETHER, job("together", vec![gang]));
        let members = [task(TOGETHER, 0, 0), task(TOGETHER, 0, 1)];
        let runs = self.reserve_all(&members);
        self.close_with(runs[1], failed(), Some("half way"));
        self.close(runs[0], RunClose::Ended(Outcome::Stopped));
        self.reserve_all(&members);
    }

    fn take_seats(&mut self) {
        let mut seated = step("s", 3, &[]);
        seated.rules.licence = Some(licence());
        seated.rules.max_per_runner = Some(2);
        self.submit(SEATED, job("seated", vec![seated]));
        self.reserve(task(SEATED, 0, 0));
        self.reserve(task(SEATED, 0, 1));
    }

    /// A lost run that may still be told of, one whose late failure was told
    /// while the task ran again, and one whose late end ended the job.
    fn lose_runs(&mut self) {
        self.submit(GIVEN_UP, job("given-up", vec![step("s", 1, &[])]));
        let run = self.reserve(task(GIVEN_UP, 0, 0));
        self.close(run, RunClose::Lost);
        let late = [
            (LATE_FAILURE, "late-failure", failed()),
            (LATE_END, "late-end", DONE),
        ];
        for (number, name, close) in late {
            self.submit(number, job(name, vec![step("s", 1, &[])]));
            let run = self.reserve(task(number, 0, 0));
            self.close(run, RunClose::Lost);
            self.reserve(task(number, 0, 0));
            self.close(run, close);
        }
    }

    fn run_for_ever(&mut self) {
        let mut endless = step("s", 1, &[]);
        endless.rules.endless = true;
        self.submit(FOREVER, job("forever", vec![endless]));
        let run = self.reserve(task(FOREVER, 0, 0));
        self.close(run, DONE);
        self.reserve(task(FOREVER, 0, 0));
    }

    fn close_in_every_way(&mut self) {
        self.submit(RETRIED, job("retried", vec![step("s", 1, &[])]));
        let closes = [
            RunClose::Revoked,
            RunClose::Rejected,
            RunClose::TimedOut,
            RunClose::Ended(Outcome::Stopped),
        ];
        for close in closes {
            let run = self.reserve(task(RETRIED, 0, 0));
            self.close(run, close);
        }
    }

    /// A tenant's jobs of one queue are cancelled; one of another queue stays.
    fn cancel_of_a_tenant(&mut self) {
        let mut spec = job("withdrawn", vec![step("s", 1, &[])]);
        spec.tenant = tenant("b");
        self.submit(WITHDRAWN, spec.clone());
        spec.job = name("left-out");
        spec.queue = queue("r");
        self.submit(LEFT_OUT, spec);
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
        self.configure(7, last_document());
    }
}

/// The whole story.
fn told() -> Driver {
    let driver = Driver::new();
    let mut story = Story { driver };
    story.configure(2, roomy_document());
    story.forget_a_job();
    story.let_a_job_wait();
    story.let_a_job_go();
    story.end_jobs();
    story.run_a_gang();
    story.take_seats();
    story.lose_runs();
    story.run_for_ever();
    story.close_in_every_way();
    story.cancel_of_a_tenant();
    story.drain_runners();
    story.change_configuration();
    story.driver
}

fn restored() -> StateMachine {
    StateMachine::restore(&from_hex(RECORDED)).unwrap()
}

fn states(state_machine: &StateMachine) -> Vec<(u64, JobState)> {
    let jobs = state_machine.jobs(None, None, None, usize::MAX).into_iter();
    jobs.map(|(number, view)| (number.0, view.state)).collect()
}

fn standing(state_machine: &StateMachine, name: &str, task: usize) -> state_machine::TaskStatus {
    state_machine.task_states(&key("a", name)).unwrap()[task].clone()
}

#[test]
fn a_snapshot_has_its_recorded_bytes() {
    assert_recorded_whole(RECORDED, &told().state_machine.snapshot().unwrap());
}

#[test]
fn the_recorded_snapshot_is_restored_whole() {
    let restored = restored();
    assert_eq!(restored, told().state_machine);
    assert_eq!(restored.snapshot().unwrap(), from_hex(RECORDED));
}

#[test]
fn the_restored_jobs_stand_as_they_stood() {
    let states = states(&restored());
    let expected = [
        (WAITS, JobState::Waiting),
        (GOES, JobState::Running),
        (STOPPED, JobState::Cancelled),
        (ENDED, JobState::Done),
        (BROKEN, JobState::Failed),
        (TOGETHER, JobState::Running),
        (SEATED, JobState::Running),
        (GIVEN_UP, JobState::Running),
        (LATE_FAILURE, JobState::Running),
        (LATE_END, JobState::Done),
        (FOREVER, JobState::Running),
        (RETRIED, JobState::Running),
        (WITHDRAWN, JobState::Cancelled),
        (LEFT_OUT, JobState::Waiting),
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
    let broken = restored().job(&key("a", "broken")).unwrap();
    let reason = "task 0 of step s failed 1 times, last: it broke";
    assert_eq!(broken.reason.as_deref(), Some(reason));
}

#[test]
fn the_restored_tasks_stand_as_they_stood() {
    let state_machine = restored();
    let names = ["waits", "goes", "stopped", "ended", "broken"];
    let statuses = names.map(|name| state_machine.task_states(&key("a", name)).unwrap());
    let states: Vec<TaskState> = statuses.iter().flatten().map(|one| one.state).collect();
    variants!(TaskState {
        Blocked,
        Ready,
        Running,
        Done,
        Failed,
        Cancelled
    })
    .assert_covered(&states);
    let failed_once = standing(&state_machine, "goes", 0);
    assert_eq!(failed_once.failed_runs, 1);
    assert!(failed_once.not_before.is_some());
    assert_eq!(standing(&state_machine, "goes", 1).open_runs, 2);
    assert_eq!(standing(&state_machine, "stopped", 0).open_runs, 1);
    assert_eq!(standing(&state_machine, "together", 0).failed_runs, 1);
    assert_eq!(standing(&state_machine, "late-failure", 0).failed_runs, 1);
    assert_eq!(standing(&state_machine, "late-end", 0).open_runs, 1);
    assert_eq!(standing(&state_machine, "retried", 0).failed_runs, 1);
}

#[test]
fn the_restored_runs_hold_what_they_held() {
    let state_machine = restored();
    let open = state_machine.open_runs();
    let jobs: Vec<u64> = open.iter().map(|run| run.task.job.0).collect();
    let expected = [
        GOES,
        GOES,
        STOPPED,
        TOGETHER,
        TOGETHER,
        SEATED,
        SEATED,
        LATE_FAILURE,
        LATE_END,
        FOREVER,
    ];
    assert_eq!(jobs, expected);
    assert_eq!(state_machine.seats_used(&licence()), 2);
    assert_eq!(state_machine.tenant_usage(&tenant("a")), slots(10));
    assert_eq!(state_machine.unfinished_jobs(), 9);
    assert_eq!(state_machine.unfinished_of_queue(&queue("r")), 1);
    assert_eq!(state_machine.draining_runners(), [name("sorb-2")]);
    let of_gang = open.iter().find(|run| run.task.job.0 == TOGETHER).unwrap();
    assert_eq!(of_gang.attempt, 2);
    let start = state_machine.run_spec(of_gang.run).unwrap();
    assert_eq!(start.checkpoint.as_deref(), Some("half way"));
    let named = state_machine.run_name(of_gang).unwrap();
    assert_eq!(state_machine.find_open_run(&named), Some(of_gang.run));
}

#[test]
fn the_restored_record_knows_what_it_took() {
    let state_machine = restored();
    let (version, document) = state_machine.configuration();
    assert_eq!(version, ConfigurationVersion(7));
    assert_eq!(document.queues[&queue("r")].mode, QueueMode::Draining);
    assert_eq!(document.keys, keys("a"));
    assert!(state_machine.has_applied(ConfigurationVersion(3), &seats_update()));
    let known = CommandReply::Configured {
        version: ConfigurationVersion(2),
        known: true,
    };
    let mut driver = told();
    driver.state_machine = state_machine;
    assert_eq!(driver.configure(2, roomy_document()), known);
}

#[test]
fn the_restored_record_refuses_runs_of_forgotten_jobs() {
    let mut driver = told();
    driver.state_machine = restored();
    let again = driver.reserve_as(run_id(1), task(GIVEN_UP, 0, 0), "rowan");
    assert_eq!(again, Err(ReservationRejection::KnownRun));
    let on_drained = driver.reserve_as(run_id(900), task(GIVEN_UP, 0, 0), "sorb-2");
    assert_eq!(on_drained, Err(ReservationRejection::RunnerDraining));
}

#[test]
fn the_restored_state_applies_late_reports() {
    let mut driver = told();
    driver.state_machine = restored();
    let lost = (0..=driver.last_run)
        .map(run_id)
        .filter(|run| driver.state_machine.awaits_late_report(*run))
        .collect::<Vec<_>>();
    assert_eq!(lost.len(), 1);
    driver.close(lost[0], DONE);
    assert_eq!(driver.view("given-up").state, JobState::Done);
}
