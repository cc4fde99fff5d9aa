//! State of a job with its steps and tasks. The state is compact: a task takes 16
//! bytes.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use types::{
    EntryAddress, JobKey, JobNumber, JobSpec, JobState, JobView, RunId, StepSpec, StepView,
    TaskMeta, TaskRef, TaskState, WallTime,
};

/// Progress of a task. Whether an unfinished task is blocked, ready or running
/// follows from its step and its open runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Progress {
    /// The task may still have runs.
    Unfinished,
    /// A run ended successfully.
    Done,
    /// More runs failed than are allowed.
    Failed,
    /// The job was cancelled or failed before the task finished.
    Cancelled,
}

/// State of one task. Failures and copies are limited at submission, so both counts
/// fit in a byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Task {
    /// End of the backoff after the last failure; 0 if there is none.
    pub backoff_until: WallTime,
    /// Whether the task is unfinished, or how it finished.
    pub progress: Progress,
    /// Number of failed runs; for a gang, number of its failed attempts.
    pub failed_runs: u8,
    /// Number of open runs of this task.
    pub open_runs: u8,
    /// Attempt number of the newest run; 0 before the first run.
    pub attempts: u16,
    /// Attempt number of the gang's last counted failure, so that each attempt
    /// counts at most once; 0 before the first and outside gangs.
    pub failed_attempt: u16,
}

const NEW_TASK: Task = Task {
    backoff_until: WallTime(0),
    progress: Progress::Unfinished,
    failed_runs: 0,
    open_runs: 0,
    attempts: 0,
    failed_attempt: 0,
};

/// Task with the step that it belongs to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskEntry<'a> {
    /// Step as submitted.
    pub spec: &'a StepSpec,
    /// State of the step.
    pub step: &'a Step,
    /// State of the task.
    pub task: &'a Task,
}

/// State of a step: its tasks, with counters over them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Step {
    /// Number of unfinished steps that this step depends on.
    pub waiting_for: u16,
    /// Tasks by position.
    pub tasks: Box<[Task]>,
    counts: Counts,
}

/// Counters over the tasks of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Counts {
    done: u32,
    running: u32,
    failed: u32,
    failed_runs: u32,
    startable: u32,
}

impl Counts {
    /// Returns what one task adds to the counters of its step.
    fn of(task: &Task, blocked: bool, max_copies: u32) -> Self {
        let startable = !blocked
            && task.progress == Progress::Unfinished
            && u32::from(task.open_runs) < max_copies;
        Self {
            done: u32::from(task.progress == Progress::Done),
            running: u32::from(task.open_runs > 0),
            failed: u32::from(task.progress == Progress::Failed),
            failed_runs: u32::from(task.failed_runs),
            startable: u32::from(startable),
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            done: self.done + other.done,
            running: self.running + other.running,
            failed: self.failed + other.failed,
            failed_runs: self.failed_runs.saturating_add(other.failed_runs),
            startable: self.startable + other.startable,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            done: self.done.saturating_sub(other.done),
            running: self.running.saturating_sub(other.running),
            failed: self.failed.saturating_sub(other.failed),
            failed_runs: self.failed_runs.saturating_sub(other.failed_runs),
            startable: self.startable.saturating_sub(other.startable),
        }
    }
}

impl Step {
    fn new(spec: &StepSpec) -> Self {
        let tasks = vec![NEW_TASK; spec.tasks as usize].into_boxed_slice();
        let mut step = Self {
            waiting_for: u16::try_from(spec.after.len()).unwrap_or(u16::MAX),
            tasks,
            counts: Counts::default(),
        };
        step.recount(spec.max_copies);
        step
    }

    fn recount(&mut self, max_copies: u32) {
        let blocked = self.waiting_for > 0;
        self.counts = self
            .tasks
            .iter()
            .map(|task| Counts::of(task, blocked, max_copies))
            .fold(Counts::default(), Counts::plus);
    }

    /// Returns whether every task is done.
    pub fn is_done(&self) -> bool {
        self.counts.done as usize == self.tasks.len()
    }

    /// Returns whether every task has an open run.
    pub fn is_each_task_running(&self) -> bool {
        self.counts.running as usize == self.tasks.len()
    }

    fn state_of(&self, task: &Task) -> TaskState {
        match task.progress {
            Progress::Done => TaskState::Done,
            Progress::Failed => TaskState::Failed,
            Progress::Cancelled => TaskState::Cancelled,
            Progress::Unfinished if self.waiting_for > 0 => TaskState::Blocked,
            Progress::Unfinished if task.open_runs > 0 => TaskState::Running,
            Progress::Unfinished => TaskState::Ready,
        }
    }
}

/// Job with its state, steps and runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Job {
    /// Job as submitted.
    pub spec: JobSpec,
    /// Entry by which the job was submitted; `None` for a job submitted without one.
    pub entry: Option<EntryAddress>,
    /// State that callers see.
    pub state: JobState,
    /// Reason of the failure; `None` unless the job failed.
    pub reason: Option<String>,
    /// Wall time of the submission.
    pub submitted_at: WallTime,
    /// Wall time of the first reservation; `None` if no run was reserved.
    pub first_reserved_at: Option<WallTime>,
    /// Wall time at which the job reached a final state; `None` before that.
    pub ended_at: Option<WallTime>,
    /// Steps in the order of the specification.
    pub steps: Box<[Step]>,
    /// Number of open runs of all tasks, including those of finished tasks.
    pub open_runs: u32,
    /// Closed runs in the order in which they closed.
    pub closed_runs: Vec<RunId>,
    /// Last checkpoint of each task that has one, by positions of step and task. A
    /// gang has one checkpoint, stored under its first task.
    pub checkpoints: BTreeMap<(u16, u32), String>,
    unfinished_steps: u16,
}

impl Job {
    /// Creates a waiting job without runs.
    pub fn new(spec: JobSpec, entry: Option<EntryAddress>, submitted_at: WallTime) -> Self {
        let steps: Box<[Step]> = spec.steps.iter().map(Step::new).collect();
        Self {
            state: JobState::Waiting,
            reason: None,
            submitted_at,
            first_reserved_at: None,
            ended_at: None,
            open_runs: 0,
            closed_runs: Vec::new(),
            checkpoints: BTreeMap::new(),
            unfinished_steps: u16::try_from(steps.len()).unwrap_or(u16::MAX),
            steps,
            spec,
            entry,
        }
    }

    /// Returns the key by which callers name the job.
    pub fn key(&self) -> JobKey {
        JobKey {
            tenant: self.spec.tenant.clone(),
            job: self.spec.job.clone(),
        }
    }

    /// Returns whether every step is done.
    pub fn all_done(&self) -> bool {
        self.unfinished_steps == 0
    }

    /// Returns whether any task may start, now or at its start time.
    pub fn has_startable(&self) -> bool {
        self.steps.iter().any(|step| step.counts.startable > 0)
    }

    /// Returns one task with its step.
    pub fn task(&self, task_ref: TaskRef) -> Option<TaskEntry<'_>> {
        let spec = self.spec.steps.get(usize::from(task_ref.step))?;
        let step = self.steps.get(usize::from(task_ref.step))?;
        let task = step.tasks.get(task_ref.task as usize)?;
        Some(TaskEntry { spec, step, task })
    }

    /// Changes one task and updates the counters of its step and job.
    pub fn change_task(&mut self, task_ref: TaskRef, change: impl FnOnce(&mut Task)) {
        let position = usize::from(task_ref.step);
        let Some(max_copies) = self.spec.steps.get(position).map(|spec| spec.max_copies) else {
            return;
        };
        let Some(step) = self.steps.get_mut(position) else {
            return;
        };
        let blocked = step.waiting_for > 0;
        let Some(task) = step.tasks.get_mut(task_ref.task as usize) else {
            return;
        };
        let before = Counts::of(task, blocked, max_copies);
        let open_before = u32::from(task.open_runs);
        change(task);
        let open_after = u32::from(task.open_runs);
        let after = Counts::of(task, blocked, max_copies);
        step.counts = step.counts.minus(before).plus(after);
        self.open_runs = (self.open_runs + open_after).saturating_sub(open_before);
    }

    /// Records that a step is done and returns the positions of the steps that it
    /// unblocked.
    pub fn complete_step(&mut self, done: u16) -> Vec<u16> {
        self.unfinished_steps = self.unfinished_steps.saturating_sub(1);
        let Some(name) = self.spec.steps.get(usize::from(done)).map(|s| &s.name) else {
            return Vec::new();
        };
        let mut unblocked = Vec::new();
        for ((position, spec), step) in (0..).zip(&self.spec.steps).zip(&mut self.steps) {
            if !spec.after.contains(name) {
                continue;
            }
            step.waiting_for = step.waiting_for.saturating_sub(1);
            if step.waiting_for == 0 {
                step.recount(spec.max_copies);
                unblocked.push(position);
            }
        }
        unblocked
    }

    /// Returns the tasks of one step, in order of position.
    pub fn step_tasks(&self, number: JobNumber, step: u16) -> impl Iterator<Item = TaskRef> + '_ {
        let count = self
            .steps
            .get(usize::from(step))
            .map_or(0, |step| step.tasks.len());
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        (0..count).map(move |task| TaskRef {
            job: number,
            step,
            task,
        })
    }

    /// Returns all tasks, in order of step and position.
    pub fn tasks(&self, number: JobNumber) -> impl Iterator<Item = TaskRef> + '_ {
        let steps = u16::try_from(self.steps.len()).unwrap_or(u16::MAX);
        (0..steps).flat_map(move |step| self.step_tasks(number, step))
    }

    /// Returns whether the task may have another run. A task of a gang may have one
    /// only while no task of the gang has an open run.
    pub fn is_startable(&self, task_ref: TaskRef) -> bool {
        self.task(task_ref)
            .is_some_and(|TaskEntry { spec, step, task }| {
                let counts = Counts::of(task, step.waiting_for > 0, spec.max_copies);
                counts.startable > 0 && (!spec.rules.gang || step.counts.running == 0)
            })
    }

    /// Returns whether the step at this position is a gang.
    pub fn is_gang(&self, step: u16) -> bool {
        let spec = self.spec.steps.get(usize::from(step));
        spec.is_some_and(|spec| spec.rules.gang)
    }

    /// Returns the attempt number of a task's next run. All tasks of a gang share
    /// their attempt numbers.
    pub fn next_attempt(&self, task_ref: TaskRef) -> u16 {
        let newest = match self.steps.get(usize::from(task_ref.step)) {
            Some(step) if self.is_gang(task_ref.step) => {
                step.tasks.iter().map(|task| task.attempts).max()
            }
            _ => self.task(task_ref).map(|entry| entry.task.attempts),
        };
        newest.unwrap_or(0).saturating_add(1)
    }

    /// Returns the key of a task's checkpoint in `checkpoints`. All tasks of a gang
    /// share one checkpoint.
    fn checkpoint_key(&self, task_ref: TaskRef) -> (u16, u32) {
        if self.is_gang(task_ref.step) {
            (task_ref.step, 0)
        } else {
            (task_ref.step, task_ref.task)
        }
    }

    /// Returns the last checkpoint of a task or of its gang; `None` if none was
    /// reported.
    pub fn checkpoint(&self, task_ref: TaskRef) -> Option<&String> {
        self.checkpoints.get(&self.checkpoint_key(task_ref))
    }

    /// Sets the last checkpoint of a task or of its gang.
    pub fn set_checkpoint(&mut self, task_ref: TaskRef, checkpoint: &str) {
        let key = self.checkpoint_key(task_ref);
        self.checkpoints.insert(key, checkpoint.to_owned());
    }

    /// Returns the state of a task.
    pub fn task_state(&self, task_ref: TaskRef) -> Option<TaskState> {
        self.task(task_ref)
            .map(|entry| entry.step.state_of(entry.task))
    }

    /// Returns the earliest start of a task: the latest of the start times of its job
    /// and step and the end of its backoff. `None` if none of them is set.
    pub fn not_before(&self, step: &StepSpec, task: &Task) -> Option<WallTime> {
        let backoff = (task.backoff_until.0 > 0).then_some(task.backoff_until);
        self.spec.start_at.max(step.rules.start_at).max(backoff)
    }

    /// Returns the data that the scheduler needs to start a task; `None` if the task
    /// may not have another run.
    pub fn startable_meta(&self, task_ref: TaskRef) -> Option<TaskMeta> {
        if !self.is_startable(task_ref) {
            return None;
        }
        let TaskEntry { spec, task, .. } = self.task(task_ref)?;
        Some(TaskMeta {
            task: task_ref,
            tenant: self.spec.tenant.clone(),
            queue: self.spec.queue.clone(),
            urgency: self.spec.urgency,
            resources: spec.resources,
            labels: spec.labels.clone(),
            max_copies: spec.max_copies,
            not_before: self.not_before(spec, task),
            rules: spec.rules.clone(),
            step_tasks: spec.tasks,
        })
    }

    /// Returns the view of the job for callers.
    pub fn view(&self) -> JobView {
        let steps = self.spec.steps.iter().zip(&self.steps);
        JobView {
            tenant: self.spec.tenant.clone(),
            job: self.spec.job.clone(),
            queue: self.spec.queue.clone(),
            state: self.state,
            reason: self.reason.clone(),
            submitted_at: self.submitted_at,
            first_reserved_at: self.first_reserved_at,
            ended_at: self.ended_at,
            steps: steps.map(|(spec, step)| step_view(spec, step)).collect(),
        }
    }
}

fn step_view(spec: &StepSpec, step: &Step) -> StepView {
    StepView {
        name: spec.name.clone(),
        tasks: spec.tasks,
        done: step.counts.done,
        running: step.counts.running,
        failed: step.counts.failed,
        failed_runs: step.counts.failed_runs,
    }
}
