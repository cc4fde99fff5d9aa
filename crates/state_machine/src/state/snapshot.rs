//! Snapshots: the whole state as bytes. Counters and indexes are not stored but
//! rebuilt, so that damaged bytes cannot make them disagree with the state.

use super::StateMachine;
use super::applied_configurations::AppliedConfigurations;
use super::job::{Job, Progress};
use super::submission::{MAX_COPIES, MAX_STEPS, MAX_TASKS};
use crate::{SnapshotInconsistency, StateMachineError};
use configuration::ClusterConfiguration;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use types::{
    ConfigurationVersion, EntryAddress, JobNumber, JobSpec, JobState, OpenRun, RunId, RunnerId,
    TaskRef, WallTime,
};

/// Highest format version of snapshots; a snapshot of a higher one is rejected.
pub const SNAPSHOT_VERSION: u32 = 5;

/// Format version of snapshots without jobs that were submitted by entries: the body
/// ends before the entries. A state without such jobs is still written in it, so that
/// earlier builds can read it.
const VERSION_WITHOUT_ENTRIES: u32 = 4;

/// Length of the format version, which precedes the body in little-endian order.
const VERSION_BYTES: usize = size_of::<u32>();

/// Body of a snapshot. The order of the fields is the stored format.
#[derive(Serialize, Deserialize)]
struct StoredState<'a> {
    version: ConfigurationVersion,
    document: Cow<'a, ClusterConfiguration>,
    applied_configurations: Cow<'a, AppliedConfigurations>,
    last_number: JobNumber,
    jobs: Vec<StoredJob<'a>>,
    open_runs: Vec<Cow<'a, OpenRun>>,
    lost_runs: Cow<'a, BTreeMap<RunId, TaskRef>>,
    draining_runners: Cow<'a, BTreeSet<RunnerId>>,
    highest_forgotten_run: Option<RunId>,
}

/// Entries by which jobs were submitted; follows the body since [`SNAPSHOT_VERSION`].
type StoredEntries = BTreeMap<JobNumber, EntryAddress>;

/// Job in a snapshot. The order of the fields is the stored format.
#[derive(Serialize, Deserialize)]
struct StoredJob<'a> {
    number: JobNumber,
    spec: Cow<'a, JobSpec>,
    state: JobState,
    reason: Option<Cow<'a, str>>,
    submitted_at: WallTime,
    first_reserved_at: Option<WallTime>,
    ended_at: Option<WallTime>,
    closed_runs: Cow<'a, [RunId]>,
    checkpoints: Cow<'a, BTreeMap<(u16, u32), String>>,
    /// Tasks that have changed since the submission; all others are as submitted.
    tasks: Vec<StoredTask>,
}

/// Task in a snapshot. The order of the fields is the stored format. Open runs are
/// counted anew from the stored runs.
#[derive(Serialize, Deserialize)]
struct StoredTask {
    step: u16,
    task: u32,
    progress: Progress,
    failed_runs: u8,
    backoff_until: WallTime,
    attempts: u16,
    failed_attempt: u16,
}

impl StateMachine {
    /// Returns the state as bytes that begin with the format version.
    ///
    /// # Errors
    ///
    /// Returns [`StateMachineError::Snapshot`] when the state cannot be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, StateMachineError> {
        let stored = StoredState {
            version: self.version,
            document: Cow::Borrowed(&self.document),
            applied_configurations: Cow::Borrowed(&self.applied_configurations),
            last_number: self.last_number,
            jobs: self
                .jobs
                .iter()
                .map(|(number, job)| store_job(*number, job))
                .collect(),
            open_runs: self.open_runs.values().map(Cow::Borrowed).collect(),
            lost_runs: Cow::Borrowed(&self.lost_runs),
            draining_runners: Cow::Borrowed(&self.draining_runners),
            highest_forgotten_run: self.highest_forgotten_run,
        };
        let entries = self.entries();
        let version = if entries.is_empty() {
            VERSION_WITHOUT_ENTRIES
        } else {
            SNAPSHOT_VERSION
        };
        let bytes = version.to_le_bytes().to_vec();
        let bytes = postcard::to_extend(&stored, bytes).map_err(StateMachineError::Snapshot)?;
        if entries.is_empty() {
            return Ok(bytes);
        }
        postcard::to_extend(&entries, bytes).map_err(StateMachineError::Snapshot)
    }

    /// Returns the entries by which jobs were submitted.
    fn entries(&self) -> StoredEntries {
        let jobs = self.jobs.iter();
        jobs.filter_map(|(number, job)| Some((*number, job.entry.clone()?)))
            .collect()
    }

    /// Restores a state from the bytes of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes of another format version, bytes that are not a
    /// snapshot, and a snapshot whose parts contradict each other.
    pub fn restore(bytes: &[u8]) -> Result<Self, StateMachineError> {
        let (version, body) = check_version(bytes)?;
        let (stored, rest) =
            postcard::take_from_bytes::<StoredState>(body).map_err(StateMachineError::Snapshot)?;
        let (entries, rest) = match version {
            VERSION_WITHOUT_ENTRIES => (StoredEntries::new(), rest),
            _ => postcard::take_from_bytes(rest).map_err(StateMachineError::Snapshot)?,
        };
        if !rest.is_empty() {
            return Err(SnapshotInconsistency::TrailingBytes.into());
        }
        let mut state_machine = Self {
            version: stored.version,
            document: stored.document.into_owned(),
            applied_configurations: stored.applied_configurations.into_owned(),
            last_number: stored.last_number,
            lost_runs: stored.lost_runs.into_owned(),
            draining_runners: stored.draining_runners.into_owned(),
            highest_forgotten_run: stored.highest_forgotten_run,
            ..Self::default()
        };
        if !state_machine
            .applied_configurations
            .is_consistent_with(state_machine.version)
        {
            return Err(SnapshotInconsistency::AppliedConfigurations.into());
        }
        if state_machine.last_number.0 == u64::MAX {
            return Err(SnapshotInconsistency::JobNumbersExhausted.into());
        }
        for job in stored.jobs {
            state_machine.restore_job(job)?;
        }
        for (number, entry) in entries {
            state_machine.restore_entry(number, entry)?;
        }
        for run in stored.open_runs {
            state_machine.restore_run(run.into_owned())?;
        }
        state_machine.check_lost_runs()?;
        for (number, job) in &state_machine.jobs {
            state_machine.indexes.insert_job(*number, job);
        }
        Ok(state_machine)
    }

    /// Checks that each lost run is a closed run of its task's job.
    fn check_lost_runs(&self) -> Result<(), StateMachineError> {
        let is_closed = |run: &RunId, task: &TaskRef| {
            let job = self.jobs.get(&task.job);
            job.is_some_and(|job| job.closed_runs.contains(run) && job.task(*task).is_some())
        };
        if self
            .lost_runs
            .iter()
            .all(|(run, task)| is_closed(run, task))
        {
            Ok(())
        } else {
            Err(SnapshotInconsistency::LostRun.into())
        }
    }

    fn restore_job(&mut self, stored: StoredJob) -> Result<(), StateMachineError> {
        let number = stored.number;
        if number > self.last_number || self.jobs.contains_key(&number) {
            return Err(SnapshotInconsistency::JobNumber.into());
        }
        let mut job = Job::new(
            self.share_names(stored.spec.into_owned())?,
            None,
            stored.submitted_at,
        );
        job.state = stored.state;
        job.reason = stored.reason.map(Cow::into_owned);
        job.first_reserved_at = stored.first_reserved_at;
        job.ended_at = stored.ended_at;
        job.closed_runs = stored.closed_runs.into_owned();
        job.checkpoints = stored.checkpoints.into_owned();
        if job.state.is_final() != job.ended_at.is_some() {
            return Err(SnapshotInconsistency::JobEnd.into());
        }
        for task in stored.tasks {
            restore_task(number, &mut job, &task)?;
        }
        for step in done_steps(&job) {
            job.complete_step(step);
        }
        self.jobs.insert(number, job);
        Ok(())
    }

    /// Checks the size of a job before memory is allocated for its tasks, and lets
    /// its names share their memory with the configuration, as at a submission.
    fn share_names(&self, mut spec: JobSpec) -> Result<JobSpec, StateMachineError> {
        let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if spec.steps.len() > MAX_STEPS || tasks > MAX_TASKS {
            return Err(SnapshotInconsistency::JobTooLarge.into());
        }
        if let Some((tenant, _)) = self.document.tenants.get_key_value(&spec.tenant) {
            spec.tenant = tenant.clone();
        }
        if let Some((queue, _)) = self.document.queues.get_key_value(&spec.queue) {
            spec.queue = queue.clone();
        }
        Ok(spec)
    }

    /// Restores the entry by which a job was submitted.
    fn restore_entry(
        &mut self,
        number: JobNumber,
        entry: EntryAddress,
    ) -> Result<(), StateMachineError> {
        let job = self.jobs.get_mut(&number);
        let job = job.ok_or(SnapshotInconsistency::Entry)?;
        job.entry = Some(entry);
        let id = job.spec.job.clone();
        match self.indexes.numbers_by_entry.insert(id, number) {
            None => Ok(()),
            Some(_) => Err(SnapshotInconsistency::Entry.into()),
        }
    }

    fn restore_run(&mut self, run: OpenRun) -> Result<(), StateMachineError> {
        let job = self.jobs.get_mut(&run.task.job);
        let job = job.ok_or(SnapshotInconsistency::RunWithoutTask)?;
        let entry = job.task(run.task);
        let entry = entry.ok_or(SnapshotInconsistency::RunWithoutTask)?;
        let may_open = u32::from(entry.task.open_runs) < MAX_COPIES;
        if !may_open || self.open_runs.contains_key(&run.run) {
            return Err(SnapshotInconsistency::TooManyOpenRuns.into());
        }
        job.change_task(run.task, |task| task.open_runs += 1);
        self.indexes.insert_run(&run);
        self.open_runs.insert(run.run, run);
        Ok(())
    }
}

/// Checks the format version, and returns it with the bytes that follow it.
fn check_version(bytes: &[u8]) -> Result<(u32, &[u8]), StateMachineError> {
    let (version, body) = bytes
        .split_first_chunk::<VERSION_BYTES>()
        .ok_or(SnapshotInconsistency::NoVersion)?;
    let found = u32::from_le_bytes(*version);
    if !(VERSION_WITHOUT_ENTRIES..=SNAPSHOT_VERSION).contains(&found) {
        return Err(StateMachineError::Version {
            found,
            supported: SNAPSHOT_VERSION,
        });
    }
    Ok((found, body))
}

fn store_job(number: JobNumber, job: &Job) -> StoredJob<'_> {
    let tasks = job.tasks(number).filter_map(|task| store_task(job, task));
    StoredJob {
        number,
        spec: Cow::Borrowed(&job.spec),
        state: job.state,
        reason: job.reason.as_deref().map(Cow::Borrowed),
        submitted_at: job.submitted_at,
        first_reserved_at: job.first_reserved_at,
        ended_at: job.ended_at,
        closed_runs: Cow::Borrowed(&job.closed_runs),
        checkpoints: Cow::Borrowed(&job.checkpoints),
        tasks: tasks.collect(),
    }
}

/// Returns the task as stored; `None` if it has not changed since the submission.
fn store_task(job: &Job, task_ref: TaskRef) -> Option<StoredTask> {
    let task = job.task(task_ref)?.task;
    let is_unchanged = task.progress == Progress::Unfinished && task.attempts == 0;
    (!is_unchanged).then_some(StoredTask {
        step: task_ref.step,
        task: task_ref.task,
        progress: task.progress,
        failed_runs: task.failed_runs,
        backoff_until: task.backoff_until,
        attempts: task.attempts,
        failed_attempt: task.failed_attempt,
    })
}

fn restore_task(
    number: JobNumber,
    job: &mut Job,
    stored: &StoredTask,
) -> Result<(), StateMachineError> {
    let task_ref = TaskRef {
        job: number,
        step: stored.step,
        task: stored.task,
    };
    if job.task(task_ref).is_none() {
        return Err(SnapshotInconsistency::UnknownTask.into());
    }
    job.change_task(task_ref, |task| {
        task.progress = stored.progress;
        task.failed_runs = stored.failed_runs;
        task.backoff_until = stored.backoff_until;
        task.attempts = stored.attempts;
        task.failed_attempt = stored.failed_attempt;
    });
    Ok(())
}

fn done_steps(job: &Job) -> Vec<u16> {
    let steps = (0..).zip(job.steps.iter());
    steps
        .filter(|(_, step)| step.is_done())
        .map(|(position, _)| position)
        .collect()
}
