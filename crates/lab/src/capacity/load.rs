//! Open-loop callers, which send jobs and configurations at given rates,
//! independent of the answers.

use super::plan::{LoadPayload, QUEUE, Size};
use crate::LabError;
use api::configuration::ConfigurationBody;
use api::job::JobBody;
use api::route;
use reqwest::Client;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};
use types::{
    InvalidName, JobId, JobSpec, Labels, Milliseconds, Monotonic, QueueName, Resources, StepName,
    StepSpec, Urgency,
};

/// Interval at which due jobs are sent and long tasks are retried.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time from sending a submit or a put to its complete answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of open submits. Jobs that are due beyond it are counted and
/// dropped.
const MAX_REQUESTS: usize = 512;
/// Time limit of every run.
const TIME_LIMIT: Milliseconds = Milliseconds(3_600_000);

/// Job counts of all callers of a trial.
#[derive(Debug, Default)]
pub struct Counts {
    /// Submits that were acknowledged.
    pub acknowledged: AtomicU64,
    /// Submits that were rejected or not answered in time.
    pub unacknowledged: AtomicU64,
    /// Jobs dropped because too many requests were open.
    pub unsent: AtomicU64,
}

/// Load of a trial. Clones share the connections, limits and counts.
#[derive(Debug, Clone)]
pub struct Load {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    size: Size,
    http: Client,
    gateways: Vec<String>,
    next_gateway: AtomicUsize,
    requests: Arc<Semaphore>,
    counts: Counts,
    put_at: Mutex<BTreeMap<u64, Monotonic>>,
}

/// Equal jobs that are sent at a constant rate.
#[derive(Debug, Clone, Copy)]
struct JobStream {
    name: &'static str,
    jobs_per_second: f64,
    tasks: u32,
    urgency: Urgency,
    length: Milliseconds,
}

impl Load {
    /// Builds the load on these gateways. Sends nothing before [`Load::start`].
    ///
    /// # Errors
    ///
    /// Fails if an HTTP client cannot be built.
    pub fn new(size: Size, gateways: Vec<String>) -> Result<Self, LabError> {
        let shared = Shared {
            size,
            http: Client::builder()
                .no_proxy()
                .timeout(REQUEST_TIMEOUT)
                .build()?,
            gateways,
            next_gateway: AtomicUsize::new(0),
            requests: Arc::new(Semaphore::new(MAX_REQUESTS)),
            counts: Counts::default(),
            put_at: Mutex::default(),
        };
        Ok(Self {
            shared: Arc::new(shared),
        })
    }

    /// Returns the job counts so far.
    pub fn counts(&self) -> &Counts {
        &self.shared.counts
    }

    /// Returns the time of the first put of each configuration version.
    pub fn configurations_put(&self) -> BTreeMap<u64, Monotonic> {
        let put_at = self.shared.put_at.lock();
        put_at.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Starts to send jobs and configurations, until the returned tasks are dropped.
    pub fn start(&self) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let size = &self.shared.size;
        let ordinary = JobStream {
            name: "ordinary",
            jobs_per_second: size.starts_per_second as f64 / f64::from(size.tasks_per_job),
            tasks: size.tasks_per_job,
            urgency: Urgency::Normal,
            length: size.task_length(),
        };
        let urgent = JobStream {
            name: "urgent",
            jobs_per_second: size.urgent_per_second as f64,
            tasks: 1,
            urgency: Urgency::Urgent,
            length: Milliseconds(100),
        };
        for stream in [ordinary, urgent] {
            tasks.spawn(self.clone().send_jobs(stream));
        }
        if size.starts_per_second == 0 && size.running > 0 {
            tasks.spawn(self.clone().submit_long_tasks(ordinary));
        }
        tasks.spawn(self.clone().send_configurations());
        tasks
    }

    /// Submits the jobs whose tasks run throughout the trial.
    async fn submit_long_tasks(self, stream: JobStream) {
        let jobs = self.shared.size.running.div_ceil(u64::from(stream.tasks));
        for index in 0..jobs {
            // All of these tasks must be running when the window opens, so a failed
            // submit is retried.
            while !self.submit(stream, index).await {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "elapsed time times a rate is positive and far below the range"
    )]
    async fn send_jobs(self, stream: JobStream) {
        let started = Instant::now();
        let mut polls = interval(POLL_INTERVAL);
        polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut sent = 0;
        loop {
            polls.tick().await;
            let due = (started.elapsed().as_secs_f64() * stream.jobs_per_second) as u64;
            while sent < due {
                self.send_job(stream, sent);
                sent += 1;
            }
        }
    }

    fn send_job(&self, stream: JobStream, index: u64) {
        let Ok(permit) = self.shared.requests.clone().try_acquire_owned() else {
            self.counts().unsent.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let load = self.clone();
        tokio::spawn(async move {
            load.submit(stream, index).await;
            drop(permit);
        });
    }

    async fn submit(&self, stream: JobStream, index: u64) -> bool {
        let acknowledged = match self.job(stream, index) {
            Ok(job) => {
                let url = format!("{}{}", self.gateway(), route::JOBS);
                let request = self.shared.http.post(url).json(&JobBody::from(job));
                let answer = request.send().await;
                answer.is_ok_and(|answer| answer.status().is_success())
            }
            Err(_) => false,
        };
        let counts = self.counts();
        let count = if acknowledged {
            &counts.acknowledged
        } else {
            &counts.unacknowledged
        };
        count.fetch_add(1, Ordering::Relaxed);
        acknowledged
    }

    fn job(&self, stream: JobStream, index: u64) -> Result<JobSpec, InvalidName> {
        let tenant = usize::try_from(index).unwrap_or_default();
        let payload = LoadPayload {
            duration_ms: stream.length.0,
            sent_at: transport::clock::now().monotonic.0,
            urgent: stream.urgency == Urgency::Urgent,
        };
        let step = StepSpec {
            rules: Default::default(),
            name: StepName::new("step")?,
            after: Vec::new(),
            tasks: stream.tasks,
            resources: Resources {
                slots: 1,
                cpu_milli: 1_000,
                memory_mib: 1_024,
                gpus: 0,
            },
            labels: Labels::new(),
            max_copies: 1,
            allowed_failures: 1,
            time_limit: TIME_LIMIT,
            payload: serde_json::to_string(&payload).unwrap_or_default(),
        };
        Ok(JobSpec {
            payload: String::new(),
            tenant: self.shared.size.tenant(tenant)?,
            job: JobId::new(format!("{}-{index}", stream.name))?,
            queue: QueueName::new(QUEUE)?,
            urgency: stream.urgency,
            start_at: None,
            steps: vec![step],
        })
    }

    /// Puts configurations at a constant rate, from version 2: version 1 is in force
    /// when the trial begins. A put that is not accepted is repeated with the same
    /// version.
    async fn send_configurations(self) {
        let per_minute = self.shared.size.configurations_per_minute;
        if per_minute == 0 {
            return;
        }
        let mut due = interval(Duration::from_secs_f64(60.0 / per_minute as f64));
        due.set_missed_tick_behavior(MissedTickBehavior::Delay);
        due.tick().await;
        let mut version = 2;
        loop {
            due.tick().await;
            if self.put_configuration(version).await {
                version += 1;
            }
        }
    }

    async fn put_configuration(&self, version: u64) -> bool {
        let Ok(document) = self.shared.size.document(version) else {
            return false;
        };
        let path = route::CONFIGURATION_VERSION.replace("{version}", &version.to_string());
        let url = format!("{}{path}", self.gateway());
        let sent_at = transport::clock::now().monotonic;
        let body = ConfigurationBody::from(document);
        let answer = self.shared.http.put(url).json(&body).send().await;
        let accepted = answer.is_ok_and(|answer| answer.status().is_success());
        let mut put_at = self.shared.put_at.lock();
        let put_at = put_at.as_deref_mut().ok();
        if let Some(put_at) = put_at {
            // A version that is put again keeps the time of its first put.
            put_at.entry(version).or_insert(sent_at);
        }
        accepted
    }

    /// Returns the URL of the next gateway in round robin.
    fn gateway(&self) -> &str {
        let turn = self.shared.next_gateway.fetch_add(1, Ordering::Relaxed);
        let gateways = &self.shared.gateways;
        let index = turn.checked_rem(gateways.len()).unwrap_or(0);
        gateways.get(index).map_or("", String::as_str)
    }
}
