//! HTTP requests of one caller, and the events that they record in the history.

use crate::{History, LabError};
use api::job::JobBody;
use api::rejection::{Code, RejectionBody};
use api::route;
use api::view::JobViewBody;
use checker::{Event, ExpectedStep, ReadState};
use emulator::caller::CallerAnswer;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Semaphore;
use types::{JobKey, JobSpec, JobState, Milliseconds};

/// Deadline that a caller sets for a request, in milliseconds.
const DEADLINE_MS: u64 = 2_000;
/// Time that the HTTP client waits beyond the deadline, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 500;
/// Concurrent requests of one caller.
const MAX_REQUESTS: usize = 256;
/// Delay before a retry if the rejection has no `retry_after_ms`.
const DEFAULT_RETRY_DELAY: Milliseconds = Milliseconds(500);

/// Sends a caller's requests to the gateways in round robin. Clones share the
/// connections, the request limit and the history.
#[derive(Clone)]
pub struct JobClient {
    shared: Arc<Shared>,
}

struct Shared {
    name: String,
    http: Client,
    gateways: Vec<String>,
    next_gateway: AtomicUsize,
    requests: Semaphore,
    history: History,
}

/// Result of a request.
enum Answer {
    Success(Response),
    Rejected(RejectionBody),
    TimedOut,
}

impl JobClient {
    /// Builds a client with its own connections.
    pub fn new(name: &str, gateways: &[String], history: History) -> Result<Self, LabError> {
        let timeout = Duration::from_millis(DEADLINE_MS + ANSWER_MARGIN_MS);
        let shared = Shared {
            name: name.to_owned(),
            http: Client::builder().timeout(timeout).build()?,
            gateways: gateways.to_vec(),
            next_gateway: AtomicUsize::new(0),
            requests: Semaphore::new(MAX_REQUESTS),
            history,
        };
        Ok(Self {
            shared: Arc::new(shared),
        })
    }

    /// Submits a job, for the first time or as a retry.
    pub async fn submit(&self, job: &JobSpec) -> CallerAnswer {
        let key = JobKey {
            tenant: job.tenant.clone(),
            job: job.job.clone(),
        };
        let _permit = self.shared.requests.acquire().await;
        self.record(Event::SubmitSent {
            job: key.clone(),
            steps: expected_steps(job),
            not_before: None,
        });
        let url = format!("{}{}", self.gateway(), route::JOBS);
        let request = self.shared.http.post(url).json(&JobBody::from(job.clone()));
        match send(request).await {
            Answer::Success(_) => {
                self.record(Event::SubmitAcknowledged { job: key });
                CallerAnswer::Acknowledged
            }
            Answer::Rejected(rejection) => self.submit_rejected(key, rejection),
            Answer::TimedOut => self.timed_out("submit"),
        }
    }

    /// Reads the state of a job.
    pub async fn ask(&self, key: &JobKey) -> CallerAnswer {
        let _permit = self.shared.requests.acquire().await;
        let asked_at = self.shared.history.now();
        let path = route::JOB
            .replace("{tenant}", key.tenant.as_str())
            .replace("{job}", key.job.as_str());
        let url = format!("{}{path}", self.gateway());
        match send(self.shared.http.get(url)).await {
            Answer::Success(response) => match response.json::<JobViewBody>().await {
                Ok(view) => self.state_read(key, asked_at, view),
                Err(_) => self.timed_out("status"),
            },
            Answer::Rejected(rejection) if rejection.code == Code::NotFound => {
                self.record(Event::StateRead {
                    job: key.clone(),
                    asked_at,
                    state: ReadState::Unknown,
                });
                CallerAnswer::Unknown
            }
            Answer::Rejected(rejection) => self.status_rejected("status", &rejection),
            Answer::TimedOut => self.timed_out("status"),
        }
    }

    fn state_read(&self, key: &JobKey, asked_at: Milliseconds, view: JobViewBody) -> CallerAnswer {
        let state = JobState::from(view.state);
        self.record(Event::StateRead {
            job: key.clone(),
            asked_at,
            state: ReadState::Known(state),
        });
        CallerAnswer::State(state)
    }

    fn submit_rejected(&self, job: JobKey, rejection: RejectionBody) -> CallerAnswer {
        if rejection.code == Code::TimedOut {
            return self.timed_out("submit");
        }
        self.record(Event::SubmitRejected {
            job,
            code: format!("{:?}", rejection.code),
        });
        match rejection.code {
            Code::Overloaded | Code::Unavailable => {
                CallerAnswer::RetryAfter(retry_after(&rejection))
            }
            _ => CallerAnswer::Rejected,
        }
    }

    fn status_rejected(&self, operation: &str, rejection: &RejectionBody) -> CallerAnswer {
        match rejection.code {
            Code::TimedOut => self.timed_out(operation),
            _ => CallerAnswer::RetryAfter(retry_after(rejection)),
        }
    }

    fn timed_out(&self, operation: &str) -> CallerAnswer {
        self.record(Event::RequestTimedOut {
            operation: operation.to_owned(),
        });
        CallerAnswer::TimedOut
    }

    fn record(&self, event: Event) {
        self.shared.history.record(&self.shared.name, event);
    }

    /// Returns the URL of the next gateway in round robin.
    fn gateway(&self) -> &str {
        let turn = self.shared.next_gateway.fetch_add(1, Ordering::Relaxed);
        let gateways = &self.shared.gateways;
        let position = turn.checked_rem(gateways.len()).unwrap_or(0);
        gateways.get(position).map_or("", String::as_str)
    }
}

async fn send(request: RequestBuilder) -> Answer {
    let request = request.header(route::DEADLINE_HEADER, DEADLINE_MS);
    let Ok(response) = request.send().await else {
        return Answer::TimedOut;
    };
    if response.status().is_success() {
        return Answer::Success(response);
    }
    let status = response.status();
    match response.json().await {
        Ok(rejection) => Answer::Rejected(rejection),
        Err(_) if status == StatusCode::SERVICE_UNAVAILABLE => Answer::Rejected(unavailable()),
        Err(_) => Answer::TimedOut,
    }
}

/// Returns the rejection for a 503 without a readable body.
fn unavailable() -> RejectionBody {
    RejectionBody {
        code: Code::Unavailable,
        message: String::new(),
        retry_after_ms: None,
        problems: Vec::new(),
    }
}

fn retry_after(rejection: &RejectionBody) -> Milliseconds {
    rejection
        .retry_after_ms
        .map_or(DEFAULT_RETRY_DELAY, Milliseconds)
}

fn expected_steps(job: &JobSpec) -> Vec<ExpectedStep> {
    let steps = job.steps.iter().map(|step| ExpectedStep {
        gang: step.rules.gang,
        licence: step.rules.licence.clone(),
        name: step.name.clone(),
        after: step.after.clone(),
        tasks: step.tasks,
        max_copies: step.max_copies,
        allowed_failures: step.allowed_failures,
        time_limit: Some(step.time_limit),
    });
    steps.collect()
}
