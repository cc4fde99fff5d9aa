//! A data folder that a coordinator of an earlier build left is recovered to
//! the same record.
//!
//! The folder was written by the story told here, which is also told anew each
//! time: what it leaves has to stand the same, but need not have the same
//! bytes, since a choice of the scheduler may change on purpose. It is left
//! in the folder for temporary files of the build.

use crate::test_cluster::{Server, TestCluster, document, jobs};
use configuration::{ClusterConfiguration, LicenceSettings};
use coordinator::Input;
use state_machine::{CancelSelector, StateMachine};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use storage::{Disk, MemoryDisk, RealDisk, Store};
use transport::{Operation, OperationReply};
use types::*;

const RECORDED_FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/folder");
/// The record's snapshot after the recovery, in hex.
const RECOVERED: &str = include_str!("../golden/recovered.txt");
const BYTES_OF_LINE: usize = 48;
const PORT: u16 = 8_000;
/// It holds nothing, and only a running daemon needs it.
const LOCK_FILE: &str = "lock";
/// Entries between two snapshots: the last one has entries behind it.
const SNAPSHOT_EVERY: u64 = 16;
const SEATS: u32 = 2;
const GANG: u32 = 2;
const FAR_AHEAD: WallTime = WallTime(1_900_000_000_000);
const CHECKPOINT: &str = "half way";

fn name<Name: std::str::FromStr<Err = InvalidName>>(text: &str) -> Name {
    text.parse().unwrap()
}

fn licence() -> LicenceName {
    name("cedar")
}

fn licensed_document() -> ClusterConfiguration {
    let mut document = document::document();
    let settings = LicenceSettings { seats: SEATS };
    document.licences.insert(licence(), settings);
    document
}

/// The second version of the document.
fn last_document() -> ClusterConfiguration {
    let mut document = licensed_document();
    document.replaces = Some(ConfigurationVersion(1));
    document.source = Some("as it was written".to_owned());
    document
}

/// One coordinator that leads itself and writes snapshots often.
fn alone(server: Server) -> TestCluster {
    let mut cluster = TestCluster::new(1);
    cluster.servers = vec![server];
    cluster.options.initial_coordinators = 1;
    cluster.options.snapshot_every = SNAPSHOT_EVERY;
    cluster.start(0);
    cluster
}

fn submit(cluster: &mut TestCluster, spec: JobSpec) {
    let answer = cluster.answer(Operation::Submit(spec));
    assert!(
        matches!(answer, Ok(OperationReply::Submitted { known: false, .. })),
        "{answer:?}"
    );
}

/// A job of one step, changed as wanted.
fn job(name: &str, change: impl FnOnce(&mut StepSpec)) -> JobSpec {
    let mut spec = jobs::job(name);
    change(&mut spec.steps[0]);
    spec
}

/// Open runs of a job.
fn open_runs(state_machine: &StateMachine, job: &str) -> Vec<OpenRun> {
    let number = state_machine.job_number(&jobs::key(job));
    let runs = state_machine.open_runs().into_iter();
    runs.filter(|run| Some(run.task.job) == number).collect()
}

fn wait_for_runs(cluster: &mut TestCluster, job: &str, count: usize) {
    cluster.run_until(20_000, job, |cluster| {
        let active = |run: &OpenRun| {
            cluster
                .agents
                .iter()
                .any(|a| a.active.contains_key(&run.run))
        };
        let runs = open_runs(cluster.state_machine(), job);
        runs.len() == count && runs.iter().all(active)
    });
}

/// Submits a job and lets its runs go.
fn run(cluster: &mut TestCluster, spec: JobSpec, count: usize) {
    let name = spec.job.clone();
    submit(cluster, spec);
    wait_for_runs(cluster, name.as_str(), count);
}

/// Ends the only run of a job on its runner.
fn end(cluster: &mut TestCluster, job: &str, outcome: Outcome, checkpoint: Option<&str>) {
    let run = open_runs(cluster.state_machine(), job)[0].run;
    let mut agents = cluster.agents.iter_mut();
    let agent = agents.find(|a| a.active.contains_key(&run)).unwrap();
    agent.active.remove(&run);
    agent.ended.push(EndedRun {
        run,
        outcome,
        checkpoint: checkpoint.map(str::to_owned),
    });
    cluster.run_until(2_000, "the end in the record", |cluster| {
        cluster.state_machine().is_closed(run)
    });
}

/// A run that was given up as lost and may still be told of; its task runs
/// again.
fn lose_a_run(cluster: &mut TestCluster) {
    cluster.add_agent(1);
    run(cluster, job("given-up", |_| {}), 1);
    // Nothing new starts on it once it is known to leave.
    cluster.agents[0].draining = true;
    cluster.run(500);
    cluster.agents[0].silent = true;
    let runner = cluster.agents[0].runner.clone();
    let answer = cluster.answer(Operation::DeclareRunnerLost { runner });
    assert!(matches!(answer, Ok(OperationReply::RunsLost { .. })));
    cluster.add_agent(2);
    cluster.add_agent(3);
    wait_for_runs(cluster, "given-up", 1);
}

fn end_jobs(cluster: &mut TestCluster) {
    run(cluster, job("ended", |_| {}), 1);
    end(cluster, "ended", Outcome::Done, None);
    let broke = Outcome::Failed("it broke".to_owned());
    run(cluster, job("broken", |step| step.allowed_failures = 0), 1);
    end(cluster, "broken", broke, None);
    run(cluster, job("stopped", |_| {}), 1);
    let selector = CancelSelector::Jobs(vec![jobs::key("stopped")]);
    cluster.answer(Operation::Cancel(selector)).unwrap();
    cluster.run_until(2_000, "the cancelled run's end", |cluster| {
        open_runs(cluster.state_machine(), "stopped").is_empty()
    });
}

fn keep_jobs_running(cluster: &mut TestCluster) {
    run(cluster, job("goes", |step| step.allowed_failures = 3), 1);
    let broke = Outcome::Failed("it broke".to_owned());
    end(cluster, "goes", broke, Some(CHECKPOINT));
    wait_for_runs(cluster, "goes", 1);
    let gang = job("together", |step| {
        step.tasks = GANG;
        step.rules.gang = true;
    });
    run(cluster, gang, GANG as usize);
    let seated = job("seated", |step| {
        step.tasks = SEATS + 1;
        step.rules.licence = Some(licence());
    });
    run(cluster, seated, SEATS as usize);
}

fn let_jobs_wait(cluster: &mut TestCluster) {
    let mut waits = job("waits", |_| {});
    waits.start_at = Some(FAR_AHEAD);
    submit(cluster, waits);
}

fn drain_a_runner(cluster: &mut TestCluster) {
    let drain = Operation::DrainRunner {
        runner: name("rowan-9"),
        draining: true,
    };
    assert_eq!(cluster.answer(drain), Ok(OperationReply::Accepted));
}

fn configure(cluster: &mut TestCluster, version: u64, document: ClusterConfiguration) {
    let version = ConfigurationVersion(version);
    let put = Operation::PutConfiguration { version, document };
    let known = false;
    let taken = OperationReply::Configured { version, known };
    assert_eq!(cluster.answer(put), Ok(taken));
}

/// The incarnation of a coordinator up to a sudden end; gives its files.
fn told() -> Files {
    let mut cluster = alone(Server::new(PORT, 1));
    cluster.run_until(10_000, "a leader", |cluster| cluster.leader().is_some());
    configure(&mut cluster, 1, licensed_document());
    lose_a_run(&mut cluster);
    end_jobs(&mut cluster);
    keep_jobs_running(&mut cluster);
    let_jobs_wait(&mut cluster);
    drain_a_runner(&mut cluster);
    configure(&mut cluster, 2, last_document());
    cluster.kill(0);
    let disk = cluster.servers[0].store.take().unwrap().into_disk();
    let files = disk.list().unwrap().into_iter().map(|name| {
        let bytes = disk.read(&name).unwrap();
        (name, bytes)
    });
    files.collect()
}

type Files = BTreeMap<String, Vec<u8>>;

fn recorded_files() -> Files {
    let listed = fs::read_dir(RECORDED_FOLDER).unwrap();
    let names = listed.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    names
        .map(|name| {
            let bytes = fs::read(Path::new(RECORDED_FOLDER).join(&name)).unwrap();
            (name, bytes)
        })
        .collect()
}

fn fresh_folder(name: &str) -> PathBuf {
    let folders = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let folder = folders.join("golden-data").join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn write_files(folder: &Path, files: &Files) {
    for (name, bytes) in files {
        fs::write(folder.join(name), bytes).unwrap();
    }
}

fn store_of(files: &Files) -> Store<MemoryDisk> {
    let mut disk = MemoryDisk::new();
    for (name, bytes) in files {
        disk.write(name, bytes).unwrap();
        disk.sync_file(name).unwrap();
    }
    disk.sync_folder().unwrap();
    Store::open(disk).unwrap().store
}

/// A coordinator started from files, as soon as it has applied its log.
fn recovered(files: &Files) -> TestCluster {
    let mut cluster = alone(Server::from_disk(PORT, Some(store_of(files))));
    cluster.input(0, Input::Tick);
    cluster.run_until(10_000, "a leader", |cluster| cluster.leader().is_some());
    cluster
}

fn assert_jobs_stand(state_machine: &StateMachine) {
    let jobs = state_machine.jobs(None, None, None, usize::MAX).into_iter();
    let states: Vec<(String, JobState)> = jobs
        .map(|(_, view)| (view.job.to_string(), view.state))
        .collect();
    let expected = [
        ("given-up", JobState::Running),
        ("ended", JobState::Done),
        ("broken", JobState::Failed),
        ("stopped", JobState::Cancelled),
        ("goes", JobState::Running),
        ("together", JobState::Running),
        ("seated", JobState::Running),
        ("waits", JobState::Waiting),
    ];
    assert_eq!(
        states,
        expected.map(|(name, state)| (name.to_owned(), state))
    );
    let broken = state_machine.job(&jobs::key("broken")).unwrap();
    let reason = "task 0 of step step failed 1 times, last: it broke";
    assert_eq!(broken.reason.as_deref(), Some(reason));
    assert_eq!(state_machine.unfinished_of_tenant(&document::tenant()), 5);
}

fn assert_runs_stand(state_machine: &StateMachine) {
    let counts = ["given-up", "goes", "together", "seated"];
    let counts = counts.map(|job| open_runs(state_machine, job).len());
    assert_eq!(counts, [1, 1, GANG as usize, SEATS as usize]);
    assert_eq!(
        state_machine.open_runs().len(),
        counts.iter().sum::<usize>()
    );
    assert_eq!(state_machine.seats_used(&licence()), SEATS);
    let again = &open_runs(state_machine, "goes")[0];
    assert_eq!(again.attempt, 2);
    let start = state_machine.run_spec(again.run).unwrap();
    assert_eq!(start.checkpoint.as_deref(), Some(CHECKPOINT));
    let moved = &open_runs(state_machine, "given-up")[0];
    assert_eq!(moved.attempt, 2);
    let earlier = (0..moved.run.sequence).map(|sequence| RunId {
        sequence,
        ..moved.run
    });
    let awaited = earlier
        .filter(|run| state_machine.awaits_late_report(*run))
        .count();
    assert_eq!(awaited, 1);
    let ready: BTreeSet<JobNumber> = state_machine
        .ready_tasks(None, usize::MAX)
        .iter()
        .map(|meta| meta.task.job)
        .collect();
    let waiting = ["seated", "waits"].map(|job| state_machine.job_number(&jobs::key(job)).unwrap());
    assert_eq!(ready, BTreeSet::from(waiting));
}

fn assert_operators_words_stand(state_machine: &StateMachine) {
    let (version, document) = state_machine.configuration();
    assert_eq!(version, ConfigurationVersion(2));
    assert_eq!(*document, last_document());
    assert_eq!(state_machine.draining_runners(), [name("rowan-9")]);
}

fn assert_stands(state_machine: &StateMachine) {
    assert_jobs_stand(state_machine);
    assert_runs_stand(state_machine);
    assert_operators_words_stand(state_machine);
}

fn to_hex(bytes: &[u8]) -> String {
    let hex = |line: &[u8]| -> String { line.iter().map(|byte| format!("{byte:02x}")).collect() };
    let lines: Vec<String> = bytes.chunks(BYTES_OF_LINE).map(hex).collect();
    lines.join("\n")
}

#[test]
fn the_recorded_folder_holds_a_snapshot_and_entries_behind_it() {
    let folder = fresh_folder("recorded");
    write_files(&folder, &recorded_files());
    let opened = Store::open(RealDisk::open(&folder).unwrap()).unwrap();
    assert_eq!(opened.truncated_bytes, 0);
    let identity = opened.identity.unwrap();
    assert_eq!(identity.node, NodeId(1));
    assert!(identity.cluster.is_some());
    let snapshot = opened.recovered.snapshot.unwrap();
    let taken = StateMachine::restore(&snapshot.data).unwrap();
    assert_eq!(
        taken.job_state(&jobs::key("broken")),
        Some(JobState::Failed)
    );
    assert_eq!(taken.job_state(&jobs::key("goes")), None);
    assert!(!opened.recovered.entries.is_empty());
    assert!(fs::exists(folder.join(LOCK_FILE)).unwrap());
}

#[test]
fn the_recorded_folder_is_recovered_to_the_recorded_record() {
    let cluster = recovered(&recorded_files());
    assert_stands(cluster.state_machine());
    let snapshot = to_hex(&cluster.state_machine().snapshot().unwrap());
    assert!(snapshot == RECOVERED.trim_end(), "it is\n{snapshot}");
}

#[test]
fn the_same_story_leaves_a_folder_that_stands_the_same() {
    let files = told();
    write_files(&fresh_folder("story"), &files);
    assert_stands(recovered(&files).state_machine());
}

#[test]
fn the_recovered_coordinator_serves_on() {
    let mut cluster = recovered(&recorded_files());
    let again = cluster.answer(Operation::Submit(jobs::job("ended")));
    assert!(
        matches!(again, Ok(OperationReply::Submitted { known: true, .. })),
        "{again:?}"
    );
    submit(&mut cluster, jobs::job("new"));
    configure(&mut cluster, 3, licensed_document());
}
