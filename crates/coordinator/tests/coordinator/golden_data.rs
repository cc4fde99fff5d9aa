//! Recovery from a data folder that an earlier build wrote by the scenario below.
//! The recorded files must recover to exactly the recorded state. The files of a
//! rerun may differ in bytes, since a scheduling decision may change on purpose,
//! but must recover to an equivalent state. They remain in the build's folder for
//! temporary files.

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
/// Snapshot of the state machine after the recovery, in hex.
const RECOVERED: &str = include_str!("../golden/recovered.txt");
const HEX_LINE_BYTES: usize = 48;
const PORT: u16 = 8_000;
/// Empty lock file of the data folder, created on opening.
const LOCK_FILE: &str = "lock";
/// Entries between two snapshots; the log must contain entries after the last one.
const SNAPSHOT_EVERY: u64 = 16;
const SEATS: u32 = 2;
const GANG: u32 = 2;
const FAR_FUTURE: WallTime = WallTime(1_900_000_000_000);
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

/// Returns the second version of the configuration.
fn last_document() -> ClusterConfiguration {
    let mut document = licensed_document();
    document.replaces = Some(ConfigurationVersion(1));
    document.source = Some("as it was written".to_owned());
    document
}

/// Starts a cluster of one coordinator that writes snapshots often.
fn single_coordinator(server: Server) -> TestCluster {
    let mut cluster = TestCluster::new(1);
    cluster.servers = vec![server];
    cluster.options.initial_coordinators = 1;
    cluster.options.snapshot_every = SNAPSHOT_EVERY;
    cluster.start(0);
    cluster
}

fn submit(cluster: &mut TestCluster, spec: JobSpec) {
    let answer = cluster.request(Operation::Submit(spec));
    assert!(
        matches!(answer, Ok(OperationReply::Submitted { known: false, .. })),
        "{answer:?}"
    );
}

/// Returns a job whose only step is modified by `change`.
fn job(name: &str, change: impl FnOnce(&mut StepSpec)) -> JobSpec {
    let mut spec = jobs::job(name);
    change(&mut spec.steps[0]);
    spec
}

/// Returns the open runs of a job.
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

/// Submits a job and waits until `count` of its runs are active.
fn start_job(cluster: &mut TestCluster, spec: JobSpec, count: usize) {
    let name = spec.job.clone();
    submit(cluster, spec);
    wait_for_runs(cluster, name.as_str(), count);
}

/// Ends the first open run of a job on its runner and waits until the end is
/// recorded.
fn end_run(cluster: &mut TestCluster, job: &str, outcome: Outcome, checkpoint: Option<&str>) {
    let run = open_runs(cluster.state_machine(), job)[0].run;
    let mut agents = cluster.agents.iter_mut();
    let agent = agents.find(|a| a.active.contains_key(&run)).unwrap();
    agent.active.remove(&run);
    agent.ended.push(EndedRun {
        run,
        outcome,
        checkpoint: checkpoint.map(str::to_owned),
    });
    cluster.run_until(2_000, "the recorded end of the run", |cluster| {
        cluster.state_machine().is_closed(run)
    });
}

/// Declares the runner of an active run lost. The task gets a new run, and the
/// runner may still report the lost one.
fn declare_runner_lost(cluster: &mut TestCluster) {
    cluster.add_agent(1);
    start_job(cluster, job("given-up", |_| {}), 1);
    // A draining runner gets no further runs of the task.
    cluster.agents[0].draining = true;
    cluster.run(500);
    cluster.agents[0].unresponsive = true;
    let runner = cluster.agents[0].runner.clone();
    let answer = cluster.request(Operation::DeclareRunnerLost { runner });
    assert!(matches!(answer, Ok(OperationReply::RunsLost { .. })));
    cluster.add_agent(2);
    cluster.add_agent(3);
    wait_for_runs(cluster, "given-up", 1);
}

fn end_jobs(cluster: &mut TestCluster) {
    start_job(cluster, job("ended", |_| {}), 1);
    end_run(cluster, "ended", Outcome::Done, None);
    let failure = Outcome::Failed("it broke".to_owned());
    start_job(cluster, job("broken", |step| step.allowed_failures = 0), 1);
    end_run(cluster, "broken", failure, None);
    start_job(cluster, job("stopped", |_| {}), 1);
    let selector = CancelSelector::Jobs(vec![jobs::key("stopped")]);
    cluster.request(Operation::Cancel(selector)).unwrap();
    cluster.run_until(2_000, "the end of the cancelled run", |cluster| {
        open_runs(cluster.state_machine(), "stopped").is_empty()
    });
}

fn keep_jobs_running(cluster: &mut TestCluster) {
    start_job(cluster, job("goes", |step| step.allowed_failures = 3), 1);
    let failure = Outcome::Failed("it broke".to_owned());
    end_run(cluster, "goes", failure, Some(CHECKPOINT));
    wait_for_runs(cluster, "goes", 1);
    let gang = job("together", |step| {
        step.tasks = GANG;
        step.rules.gang = true;
    });
    start_job(cluster, gang, GANG as usize);
    let seated = job("seated", |step| {
        step.tasks = SEATS + 1;
        step.rules.licence = Some(licence());
    });
    start_job(cluster, seated, SEATS as usize);
}

fn submit_waiting_job(cluster: &mut TestCluster) {
    let mut spec = job("waits", |_| {});
    spec.start_at = Some(FAR_FUTURE);
    submit(cluster, spec);
}

fn drain_runner(cluster: &mut TestCluster) {
    let drain = Operation::DrainRunner {
        runner: name("rowan-9"),
        draining: true,
    };
    assert_eq!(cluster.request(drain), Ok(OperationReply::Accepted));
}

fn configure(cluster: &mut TestCluster, version: u64, document: ClusterConfiguration) {
    let version = ConfigurationVersion(version);
    let put = Operation::PutConfiguration { version, document };
    let known = false;
    let expected = OperationReply::Configured { version, known };
    assert_eq!(cluster.request(put), Ok(expected));
}

/// Runs the scenario up to a crash of the coordinator and returns its files.
fn run_scenario() -> Files {
    let mut cluster = single_coordinator(Server::new(PORT, 1));
    cluster.run_until(10_000, "a leader", |cluster| cluster.leader().is_some());
    configure(&mut cluster, 1, licensed_document());
    declare_runner_lost(&mut cluster);
    end_jobs(&mut cluster);
    keep_jobs_running(&mut cluster);
    submit_waiting_job(&mut cluster);
    drain_runner(&mut cluster);
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

fn empty_folder(name: &str) -> PathBuf {
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

/// Starts a coordinator from files and waits until it has applied its log.
fn recovered(files: &Files) -> TestCluster {
    let mut cluster = single_coordinator(Server::from_disk(PORT, Some(store_of(files))));
    cluster.input(0, Input::Tick);
    cluster.run_until(10_000, "a leader", |cluster| cluster.leader().is_some());
    cluster
}

fn assert_job_states(state_machine: &StateMachine) {
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

fn assert_runs(state_machine: &StateMachine) {
    let counts = ["given-up", "goes", "together", "seated"];
    let counts = counts.map(|job| open_runs(state_machine, job).len());
    assert_eq!(counts, [1, 1, GANG as usize, SEATS as usize]);
    assert_eq!(
        state_machine.open_runs().len(),
        counts.iter().sum::<usize>()
    );
    assert_eq!(state_machine.seats_used(&licence()), SEATS);
    let retried = &open_runs(state_machine, "goes")[0];
    assert_eq!(retried.attempt, 2);
    let start = state_machine.run_spec(retried.run).unwrap();
    assert_eq!(start.checkpoint.as_deref(), Some(CHECKPOINT));
    let replacement = &open_runs(state_machine, "given-up")[0];
    assert_eq!(replacement.attempt, 2);
    let earlier = (0..replacement.run.sequence).map(|sequence| RunId {
        sequence,
        ..replacement.run
    });
    let awaited_reports = earlier
        .filter(|run| state_machine.awaits_late_report(*run))
        .count();
    assert_eq!(awaited_reports, 1);
    let ready: BTreeSet<JobNumber> = state_machine
        .ready_tasks(None, usize::MAX)
        .iter()
        .map(|meta| meta.task.job)
        .collect();
    let waiting = ["seated", "waits"].map(|job| state_machine.job_number(&jobs::key(job)).unwrap());
    assert_eq!(ready, BTreeSet::from(waiting));
}

fn assert_operator_settings(state_machine: &StateMachine) {
    let (version, document) = state_machine.configuration();
    assert_eq!(version, ConfigurationVersion(2));
    assert_eq!(*document, last_document());
    assert_eq!(state_machine.draining_runners(), [name("rowan-9")]);
}

fn assert_recovered_state(state_machine: &StateMachine) {
    assert_job_states(state_machine);
    assert_runs(state_machine);
    assert_operator_settings(state_machine);
}

fn to_hex(bytes: &[u8]) -> String {
    let hex = |line: &[u8]| -> String { line.iter().map(|byte| format!("{byte:02x}")).collect() };
    let lines: Vec<String> = bytes.chunks(HEX_LINE_BYTES).map(hex).collect();
    lines.join("\n")
}

#[test]
fn recorded_folder_contains_a_snapshot_and_later_entries() {
    let folder = empty_folder("recorded");
    write_files(&folder, &recorded_files());
    let opened = Store::open(RealDisk::open(&folder).unwrap()).unwrap();
    assert_eq!(opened.truncated_bytes, 0);
    let identity = opened.identity.unwrap();
    assert_eq!(identity.node, NodeId(1));
    assert!(identity.cluster.is_some());
    let snapshot = opened.recovered.snapshot.unwrap();
    let restored = StateMachine::restore(&snapshot.data).unwrap();
    assert_eq!(
        restored.job_state(&jobs::key("broken")),
        Some(JobState::Failed)
    );
    assert_eq!(restored.job_state(&jobs::key("goes")), None);
    assert!(!opened.recovered.entries.is_empty());
    assert!(fs::exists(folder.join(LOCK_FILE)).unwrap());
}

#[test]
fn recorded_folder_recovers_to_the_recorded_state() {
    let cluster = recovered(&recorded_files());
    assert_recovered_state(cluster.state_machine());
    let snapshot = to_hex(&cluster.state_machine().snapshot().unwrap());
    assert!(
        snapshot == RECOVERED.trim_end(),
        "recovered snapshot:\n{snapshot}"
    );
}

#[test]
fn rerun_of_the_scenario_recovers_to_an_equivalent_state() {
    let files = run_scenario();
    write_files(&empty_folder("rerun"), &files);
    assert_recovered_state(recovered(&files).state_machine());
}

#[test]
fn recovered_coordinator_accepts_further_requests() {
    let mut cluster = recovered(&recorded_files());
    let resent = cluster.request(Operation::Submit(jobs::job("ended")));
    assert!(
        matches!(resent, Ok(OperationReply::Submitted { known: true, .. })),
        "{resent:?}"
    );
    submit(&mut cluster, jobs::job("new"));
    configure(&mut cluster, 3, licensed_document());
}
