//! HTTP requests to the gateways, and the callers that send most of them.

use crate::caller::{CALLER_TIMEOUT_MS, OpenRequest};
use crate::cluster::SimulatedCluster;
use crate::event::Event;
use crate::ids::{Micros, ProcessIndex};
use crate::operator::MIN_SLOTS;
use crate::plan::Acknowledgement;
use crate::process::Input;
use checker::event::ExpectedStep;
use checker::{Event as HistoryEvent, ReadState};
use emulator::caller::{CallerAction, CallerAnswer};
use gateway::TicketId;
use rand::Rng;
use state_machine::CancelSelector;
use transport::{Operation, OperationReply, Rejection, RejectionCode};
use types::{JobKey, JobSpec, Milliseconds, StepSpec};

/// Payload of a task that fails in every run.
const FAILING_PAYLOAD: &str = r#"{"duration_ms":80,"fail":true}"#;
/// Payload of the tasks of a gang: long enough that the runs of all tasks overlap.
const GANG_PAYLOAD: &str = r#"{"duration_ms":5000}"#;
/// Payload of the tasks of a gang of which one task fails in every run.
const FAILING_GANG_PAYLOAD: &str = r#"{"duration_ms":5000,"fail_task":1}"#;
/// Range of the delay between a caller or operator and a gateway.
const CLIENT_DELAY_MICROS: (Micros, Micros) = (400, 1_500);

/// Result of an HTTP request.
pub type Answer = Result<OperationReply, Rejection>;

impl SimulatedCluster {
    /// Handles an event of callers, operators or their HTTP requests.
    pub(crate) fn handle_http_event(&mut self, event: Event) {
        match event {
            Event::Arrival(caller) => self.arrival(caller),
            Event::CallerTimer(caller) => self.caller_timer(caller),
            Event::RequestArrives(gateway, ticket, time_left, operation) => {
                let input = Input::Request {
                    ticket,
                    time_left,
                    operation,
                };
                self.input(gateway, input);
            }
            Event::ResponseArrives(ticket, answer) => self.response(ticket, *answer),
            Event::RequestTimeout(ticket) => self.request_timed_out(ticket),
            Event::OperatorTimer(operator) => self.operator_timer(operator),
            Event::ReadConfigurations => self.read_configurations(),
            _ => {}
        }
    }

    fn caller_timer(&mut self, caller: usize) {
        if self.is_due(self.callers[caller].timer) {
            self.callers[caller].timer = None;
            self.run_caller_actions(caller);
        }
    }

    fn client_delay(&mut self) -> Micros {
        self.random
            .random_range(CLIENT_DELAY_MICROS.0..=CLIENT_DELAY_MICROS.1)
    }

    /// Sends an HTTP request to a gateway. It times out after `timeout_ms`, or as soon as
    /// the connection fails if the gateway is down.
    pub(crate) fn request(
        &mut self,
        gateway: usize,
        timeout_ms: u64,
        request: OpenRequest,
        operation: Operation,
    ) -> TicketId {
        let ticket = self.new_ticket(request);
        let process = self.gateways[gateway % self.gateways.len()];
        let delay = self.client_delay();
        let is_up = self.processes[process.0].is_up();
        if is_up {
            let time_left = Milliseconds(timeout_ms);
            let event = Event::RequestArrives(process, ticket, time_left, operation);
            self.schedule_in(delay, event);
            self.schedule_in(timeout_ms * 1_000, Event::RequestTimeout(ticket));
        } else {
            self.schedule_in(delay, Event::RequestTimeout(ticket));
        }
        ticket
    }

    /// Sends the answer of a gateway to the sender of the request.
    pub(crate) fn respond(&mut self, _gateway: ProcessIndex, ticket: TicketId, answer: Answer) {
        let delay = self.client_delay();
        self.schedule_in(delay, Event::ResponseArrives(ticket, Box::new(answer)));
    }

    fn arrival(&mut self, caller: usize) {
        if self.now >= self.load_until {
            return;
        }
        let now = self.client_clock();
        let mut spec = self.callers[caller].workload.next_job();
        self.vary_start_time(&mut spec);
        self.vary_steps(&mut spec);
        let key = JobKey {
            tenant: spec.tenant.clone(),
            job: spec.job.clone(),
        };
        let host = &mut self.callers[caller];
        host.caller.follow(key.clone(), now);
        host.jobs.insert(key, spec);
        let mean = host.mean_interval();
        let interval = self.random.random_range(mean / 2..=mean + mean / 2);
        self.schedule_in(interval, Event::Arrival(caller));
        self.run_caller_actions(caller);
    }

    /// Gives one job in 40 a start time 0.5 s to 4 s in the future.
    fn vary_start_time(&mut self, spec: &mut JobSpec) {
        if self.random.random_range(0..40) == 0 {
            let ahead = self.random.random_range(500..4_000);
            let wall = crate::machine::WALL_START_MS + self.now / 1_000 + ahead;
            spec.start_at = Some(types::WallTime(wall));
        }
    }

    /// Makes some jobs differ from the others: of 480 jobs, 4 always fail, 8 allow two
    /// copies of each task, and 3 have gangs as steps. A gang may use its tenant's whole
    /// resource limit for seconds, so with more gangs the work would not end in the calm
    /// phase after a burst.
    fn vary_steps(&mut self, spec: &mut JobSpec) {
        match self.random.random_range(0..480) {
            0..=3 => {
                for step in &mut spec.steps {
                    step.payload = FAILING_PAYLOAD.to_owned();
                    step.allowed_failures = 1;
                }
            }
            4..=11 => {
                for step in &mut spec.steps {
                    step.max_copies = 2;
                }
            }
            12..=13 => make_gangs(spec, GANG_PAYLOAD),
            14 => make_gangs(spec, FAILING_GANG_PAYLOAD),
            _ => {}
        }
    }

    /// Returns the clock of callers and operators: the virtual time.
    fn client_clock(&self) -> types::Monotonic {
        types::Monotonic(self.now / 1_000)
    }

    pub(crate) fn run_caller_actions(&mut self, caller: usize) {
        let now = self.client_clock();
        for action in self.callers[caller].caller.actions(now) {
            match action {
                CallerAction::Submit(job) => self.send_submit(caller, job),
                CallerAction::Ask(job) => self.send_get_job(caller, job),
            }
        }
        self.set_caller_timer(caller);
    }

    fn set_caller_timer(&mut self, caller: usize) {
        let Some(wakeup) = self.callers[caller].caller.next_wakeup() else {
            return;
        };
        let at = (wakeup.0 * 1_000).max(self.now + 1_000);
        if self.callers[caller].timer.is_none_or(|timer| at < timer) {
            self.callers[caller].timer = Some(at);
            self.schedule(at, Event::CallerTimer(caller));
        }
    }

    fn send_submit(&mut self, caller: usize, job: JobKey) {
        let Some(spec) = self.callers[caller].jobs.get(&job).cloned() else {
            return;
        };
        let observed = HistoryEvent::SubmitSent {
            job: job.clone(),
            steps: expected_steps(&spec),
            not_before: spec
                .start_at
                .map(|at| Milliseconds(at.0.saturating_sub(crate::machine::WALL_START_MS))),
        };
        self.observe(self.callers[caller].name.clone(), observed);
        let gateway = self.callers[caller].gateway;
        let request = OpenRequest::Submit { caller, job };
        self.request(gateway, CALLER_TIMEOUT_MS, request, Operation::Submit(spec));
    }

    fn send_get_job(&mut self, caller: usize, job: JobKey) {
        let gateway = self.callers[caller].gateway;
        let request = OpenRequest::GetState {
            caller,
            job: job.clone(),
            asked_at: self.now,
        };
        self.request(gateway, CALLER_TIMEOUT_MS, request, Operation::GetJob(job));
    }

    /// Cancels up to `count` unfinished jobs, each of a random caller.
    pub(crate) fn cancel_random_jobs(&mut self, count: u32) {
        for _ in 0..count {
            let caller = self.random.random_range(0..self.callers.len());
            let unfinished = self.callers[caller].jobs.len();
            if unfinished == 0 {
                continue;
            }
            let position = self.random.random_range(0..unfinished);
            let Some(job) = self.callers[caller].jobs.keys().nth(position).cloned() else {
                continue;
            };
            self.observe(
                self.callers[caller].name.clone(),
                HistoryEvent::CancelSent { job: job.clone() },
            );
            let request = OpenRequest::Cancel {
                caller,
                jobs: vec![job.clone()],
            };
            let operation = Operation::Cancel(CancelSelector::Jobs(vec![job]));
            let gateway = self.callers[caller].gateway;
            self.request(gateway, CALLER_TIMEOUT_MS, request, operation);
        }
    }

    fn request_timed_out(&mut self, ticket: TicketId) {
        let Some(request) = self.open_requests.remove(&ticket) else {
            return;
        };
        match request {
            OpenRequest::Submit { caller, job } | OpenRequest::GetState { caller, job, .. } => {
                self.callers[caller].gateway += 1;
                self.answer_caller(caller, &job, CallerAnswer::TimedOut);
            }
            OpenRequest::Cancel { caller, .. } => self.callers[caller].gateway += 1,
            OpenRequest::Configure { operator } | OpenRequest::ReadVersion { operator } => {
                self.operators[operator].request_open = false;
                self.operators[operator].gateway += 1;
            }
            OpenRequest::ReadConfiguration { .. } => {}
        }
    }

    fn response(&mut self, ticket: TicketId, answer: Answer) {
        let Some(request) = self.open_requests.remove(&ticket) else {
            return;
        };
        match request {
            OpenRequest::Submit { caller, job } => self.submit_answered(caller, job, answer),
            OpenRequest::GetState {
                caller,
                job,
                asked_at,
            } => self.state_answered(caller, job, asked_at, answer),
            OpenRequest::Cancel { caller, jobs } => self.cancel_answered(caller, jobs, &answer),
            OpenRequest::Configure { operator } => self.configure_answered(operator, answer),
            OpenRequest::ReadVersion { operator } => self.version_read(operator, answer),
            OpenRequest::ReadConfiguration { daemon, asked_at } => {
                self.configuration_read(daemon, asked_at, answer);
            }
        }
    }

    fn answer_caller(&mut self, caller: usize, job: &JobKey, answer: CallerAnswer) {
        let now = self.client_clock();
        let is_final = match &answer {
            CallerAnswer::State(state) => state.is_final(),
            CallerAnswer::Rejected => true,
            _ => false,
        };
        self.callers[caller].caller.answered(job, answer, now);
        if is_final {
            self.callers[caller].jobs.remove(job);
        }
        self.run_caller_actions(caller);
    }

    fn submit_answered(&mut self, caller: usize, job: JobKey, answer: Answer) {
        let name = self.callers[caller].name.clone();
        let outcome = match answer {
            Ok(_) => {
                self.observe(name, HistoryEvent::SubmitAcknowledged { job: job.clone() });
                self.trigger_loss(Acknowledgement::Submit);
                CallerAnswer::Acknowledged
            }
            Err(rejection) => {
                let observed = HistoryEvent::SubmitRejected {
                    job: job.clone(),
                    code: rejection_code(&rejection),
                };
                self.observe(name, observed);
                caller_answer(&rejection)
            }
        };
        if outcome == CallerAnswer::TimedOut {
            self.callers[caller].gateway += 1;
        }
        self.answer_caller(caller, &job, outcome);
    }

    fn state_answered(&mut self, caller: usize, job: JobKey, asked_at: Micros, answer: Answer) {
        let state = match &answer {
            Ok(OperationReply::Job(view)) => Some(ReadState::Known(view.state)),
            Err(rejection) if rejection.code == RejectionCode::NotFound => Some(ReadState::Unknown),
            _ => None,
        };
        if let Some(state) = state {
            let observed = HistoryEvent::StateRead {
                job: job.clone(),
                asked_at: Milliseconds(asked_at / 1_000),
                state,
            };
            self.observe(self.callers[caller].name.clone(), observed);
        }
        let outcome = match (state, &answer) {
            (Some(ReadState::Known(state)), _) => CallerAnswer::State(state),
            (Some(ReadState::Unknown), _) => CallerAnswer::Unknown,
            (None, Err(rejection)) => caller_answer(rejection),
            (None, Ok(_)) => CallerAnswer::TimedOut,
        };
        self.answer_caller(caller, &job, outcome);
    }

    fn cancel_answered(&mut self, caller: usize, jobs: Vec<JobKey>, answer: &Answer) {
        if let Ok(OperationReply::Cancelled { unknown, .. }) = answer {
            for job in jobs.into_iter().filter(|job| !unknown.contains(job)) {
                let name = self.callers[caller].name.clone();
                self.observe(name, HistoryEvent::CancelAcknowledged { job });
                self.trigger_loss(Acknowledgement::Cancel);
            }
        }
    }
}

/// Turns the steps of a job that have several tasks into gangs. Steps that do not fit the
/// smallest resource limit stay as they are, since such a gang would never start.
fn make_gangs(spec: &mut JobSpec, payload: &str) {
    let may_be_gang = |step: &&mut StepSpec| (2..=MIN_SLOTS).contains(&step.tasks);
    for step in spec.steps.iter_mut().filter(may_be_gang) {
        step.payload = payload.to_owned();
        step.rules.gang = true;
    }
}

fn expected_steps(spec: &JobSpec) -> Vec<ExpectedStep> {
    spec.steps
        .iter()
        .map(|step| ExpectedStep {
            gang: step.rules.gang,
            licence: step.rules.licence.clone(),
            name: step.name.clone(),
            after: step.after.clone(),
            tasks: step.tasks,
            max_copies: step.max_copies,
            allowed_failures: step.allowed_failures,
            time_limit: Some(step.time_limit),
        })
        .collect()
}

/// Returns the name of a rejection's code in the history.
pub(crate) fn rejection_code(rejection: &Rejection) -> String {
    format!("{:?}", rejection.code).to_lowercase()
}

/// Converts a rejection to an answer for a caller: retry later, retry, or give up.
fn caller_answer(rejection: &Rejection) -> CallerAnswer {
    match (rejection.code, rejection.retry_after) {
        (_, Some(after)) => CallerAnswer::RetryAfter(after),
        (
            RejectionCode::TimedOut | RejectionCode::Unavailable | RejectionCode::Overloaded,
            None,
        ) => CallerAnswer::TimedOut,
        _ => CallerAnswer::Rejected,
    }
}
