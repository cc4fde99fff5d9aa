//! Emulated callers. Each submits a job mix as open-loop load to the gateways in
//! round robin.

mod client;

use crate::{History, LabError};
use client::JobClient;
use emulator::caller::{Caller, CallerAction, CallerAnswer};
use emulator::workload::{Mix, Workload};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use types::{JobKey, JobSpec, Monotonic};

/// Longest sleep of a caller while nothing is due.
const IDLE_SLEEP: Duration = Duration::from_millis(200);

/// Job counts of all callers of a trial.
#[derive(Debug, Default)]
pub struct Progress {
    /// Jobs drawn from the mix for submission.
    pub submitted: AtomicU64,
    /// Jobs whose submit was acknowledged.
    pub acknowledged: AtomicU64,
    /// Jobs read in a final state, or rejected with an error that is not retried.
    pub ended: AtomicU64,
}

impl Progress {
    /// Returns the number of submitted jobs that have not ended.
    pub fn unfinished(&self) -> u64 {
        let submitted = self.submitted.load(Ordering::Relaxed);
        submitted.saturating_sub(self.ended.load(Ordering::Relaxed))
    }
}

/// Load of one emulated caller.
#[derive(Debug, Clone)]
pub struct CallerPlan {
    /// Name of the caller as an observer in the history.
    pub name: String,
    /// Job mix that the caller draws from.
    pub mix: Mix,
    /// Factor on the submit rate of the mix.
    pub load: f64,
    /// Seed of the drawn jobs and of their submit times.
    pub seed: u64,
}

/// Running emulated callers; dropping them aborts their tasks.
pub struct Callers {
    progress: Arc<Progress>,
    sending: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers that submit jobs until [`Callers::stop_sending`].
    ///
    /// # Errors
    ///
    /// Fails if an HTTP client cannot be built.
    pub fn start(
        plans: Vec<CallerPlan>,
        gateways: &[String],
        history: &History,
    ) -> Result<Self, LabError> {
        let progress = Arc::new(Progress::default());
        let (sending, is_sending) = watch::channel(true);
        let mut tasks = Vec::new();
        for plan in plans {
            let client = JobClient::new(&plan.name, gateways, history.clone())?;
            let caller = CallerTask::new(plan, client, history.clone(), progress.clone());
            tasks.push(tokio::spawn(caller.run(is_sending.clone())));
        }
        Ok(Self {
            progress,
            sending,
            tasks,
        })
    }

    /// Returns the job counts so far.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Stops submitting new jobs. Submitted jobs are polled until they end.
    pub fn stop_sending(&self) {
        self.sending.send_replace(false);
    }
}

impl Drop for Callers {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Submitted job that has not ended.
struct OpenJob {
    spec: Arc<JobSpec>,
    is_acknowledged: bool,
}

/// Task of one caller, with the caller's open jobs.
struct CallerTask {
    workload: Workload,
    jobs_per_second: f64,
    random: ChaCha8Rng,
    caller: Caller,
    jobs: BTreeMap<JobKey, OpenJob>,
    client: JobClient,
    history: History,
    progress: Arc<Progress>,
}

impl CallerTask {
    fn new(plan: CallerPlan, client: JobClient, history: History, progress: Arc<Progress>) -> Self {
        let workload = Workload::new(plan.mix, &plan.name, plan.seed);
        Self {
            jobs_per_second: workload.jobs_per_second() * plan.load,
            workload,
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            caller: Caller::new(plan.seed),
            jobs: BTreeMap::new(),
            client,
            history,
            progress,
        }
    }

    async fn run(mut self, mut is_sending: watch::Receiver<bool>) {
        let (answers, mut answered) = mpsc::unbounded_channel();
        let mut next_job = Some(self.history.monotonic());
        loop {
            if !*is_sending.borrow_and_update() {
                next_job = None;
            }
            next_job = next_job.map(|due| self.draw_due_jobs(due));
            self.send_due_requests(&answers);
            let sleep = self.sleep_length(next_job);
            tokio::select! {
                Some((job, answer)) = answered.recv() => self.handle_answer(&job, answer),
                () = tokio::time::sleep(sleep) => {}
            }
            if next_job.is_none() && self.caller.unfinished() == 0 {
                return;
            }
        }
    }

    /// Draws every job that is due and returns the time of the next one. The
    /// times do not depend on answers, so the load is open-loop.
    fn draw_due_jobs(&mut self, mut due: Monotonic) -> Monotonic {
        while due <= self.history.monotonic() {
            let job = self.workload.next_job();
            let key = JobKey {
                tenant: job.tenant.clone(),
                job: job.job.clone(),
            };
            let open_job = OpenJob {
                spec: Arc::new(job),
                is_acknowledged: false,
            };
            self.jobs.insert(key.clone(), open_job);
            self.caller.follow(key, self.history.monotonic());
            self.progress.submitted.fetch_add(1, Ordering::Relaxed);
            due = due + self.draw_gap();
        }
        due
    }

    /// Draws the time to the next job of a Poisson process.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a gap is positive and far below the range"
    )]
    fn draw_gap(&mut self) -> types::Milliseconds {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        let seconds = -uniform.ln() / self.jobs_per_second;
        types::Milliseconds((seconds * 1_000.0).round() as u64)
    }

    /// Starts the requests that the caller has due now.
    fn send_due_requests(&mut self, answers: &mpsc::UnboundedSender<(JobKey, CallerAnswer)>) {
        for action in self.caller.actions(self.history.monotonic()) {
            let (CallerAction::Submit(key) | CallerAction::Ask(key)) = &action;
            let Some(job) = self.jobs.get(key).map(|job| job.spec.clone()) else {
                continue;
            };
            let client = self.client.clone();
            let answers = answers.clone();
            tokio::spawn(async move {
                let (key, answer) = match action {
                    CallerAction::Submit(key) => (key, client.submit(&job).await),
                    CallerAction::Ask(key) => (key.clone(), client.ask(&key).await),
                };
                // The receiver is dropped only when the caller's task has ended.
                let _ = answers.send((key, answer));
            });
        }
    }

    fn handle_answer(&mut self, job: &JobKey, answer: CallerAnswer) {
        if answer == CallerAnswer::Acknowledged
            && let Some(open_job) = self.jobs.get_mut(job)
            && !open_job.is_acknowledged
        {
            open_job.is_acknowledged = true;
            self.progress.acknowledged.fetch_add(1, Ordering::Relaxed);
        }
        let before = self.caller.unfinished();
        self.caller.answered(job, answer, self.history.monotonic());
        if self.caller.unfinished() < before {
            self.jobs.remove(job);
            self.progress.ended.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn sleep_length(&self, next_job: Option<Monotonic>) -> Duration {
        let now = self.history.monotonic();
        let due = [next_job, self.caller.next_wakeup()];
        let first = due.into_iter().flatten().min();
        let length = first.map(|due| Duration::from_millis(due.since(now).0));
        length.unwrap_or(IDLE_SLEEP).min(IDLE_SLEEP)
    }
}
