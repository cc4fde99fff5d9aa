//! The cluster's HTTP requests to gateways, and the callers who send most of them.

use crate::caller::{CALLER_TIMEOUT_MS, Waiting};
use crate::cluster::SimulatedCluster;
use crate::event::Event;
use crate::ids::{Micros, ProcessIndex};
use crate::operator::LEAST_SLOTS;
use crate::plan::Acknowledgement;
use crate::process::Input;
use checker::event::ExpectedStep;
use checker::{Event as Seen, ReadState};
use emulator::caller::{CallerAction, CallerAnswer};
use gateway::TicketId;
use rand::Rng;
use state_machine::CancelSelector;
use transport::{Operation, OperationReply, Rejection, RejectionCode};
use types::{JobKey, JobSpec, Milliseconds, StepSpec};

/// Payload of a task that fails each time.
const FAILING_PAYLOAD: &str = r#"{"duration_ms":80,"fail":true}"#;
/// Payload of a gang's tasks: long enough to see that all of them are going.
const GANG_PAYLOAD: &str = r#"{"duration_ms":5000}"#;
/// Payload of a gang one of whose members fails each time.
const FAILING_GANG_PAYLOAD: &str = r#"{"duration_ms":5000,"fail_task":1}"#;
/// Delay between a caller and a gateway.
const OUTSIDE_MICROS: (Micros, Micros) = (400, 1_500);

/// An HTTP answer.
pub type Answer = Result<OperationReply, Rejection>;

impl SimulatedCluster {
    /// Handles an event of callers, operators and their requests.
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
            Event::OperatorTimer(operator) => self.operator_acts(operator),
            Event::ReadConfigurations => self.read_configurations(),
            _ => {}
        }
    }

    fn caller_timer(&mut self, caller: usize) {
        if self.is_due(self.callers[caller].timer) {
            self.callers[caller].timer = None;
            self.caller_acts(caller);
        }
    }

    fn outside_delay(&mut self) -> Micros {
        self.random
            .random_range(OUTSIDE_MICROS.0..=OUTSIDE_MICROS.1)
    }

    /// Sends an HTTP request to a gateway; a dead or cut-off gateway says
    /// nothing, and the sender gives up after its timeout.
    pub(crate) fn request(
        &mut self,
        gateway: usize,
        timeout_ms: u64,
        waiting: Waiting,
        operation: Operation,
    ) -> TicketId {
        let ticket = self.new_ticket(waiting);
        let process = self.gateways[gateway % self.gateways.len()];
        let delay = self.outside_delay();
        let reachable = self.processes[process.0].is_up();
        if reachable {
            let left = Milliseconds(timeout_ms);
            let event = Event::RequestArrives(process, ticket, left, operation);
            self.schedule_in(delay, event);
            self.schedule_in(timeout_ms * 1_000, Event::RequestTimeout(ticket));
        } else {
            self.schedule_in(delay, Event::RequestTimeout(ticket));
        }
        ticket
    }

    /// A gateway answers a request.
    pub(crate) fn respond(&mut self, _gateway: ProcessIndex, ticket: TicketId, answer: Answer) {
        let delay = self.outside_delay();
        self.schedule_in(delay, Event::ResponseArrives(ticket, Box::new(answer)));
    }

    fn arrival(&mut self, caller: usize) {
        if self.now >= self.load_until {
            return;
        }
        let now = self.outside_clock();
        let mut spec = self.callers[caller].workload.next_job();
        self.sometimes_later(&mut spec);
        self.sometimes_unusual(&mut spec);
        let key = JobKey {
            tenant: spec.tenant.clone(),
            job: spec.job.clone(),
        };
        let host = &mut self.callers[caller];
        host.caller.follow(key.clone(), now);
        host.jobs.insert(key, spec);
        let mean = host.mean_gap();
        let gap = self.random.random_range(mean / 2..=mean + mean / 2);
        self.schedule_in(gap, Event::Arrival(caller));
        self.caller_acts(caller);
    }

    /// One job in forty asks for a start time a little ahead.
    fn sometimes_later(&mut self, spec: &mut JobSpec) {
        if self.random.random_range(0..40) == 0 {
            let ahead = self.random.random_range(500..4_000);
            let wall = crate::machine::WALL_START_MS + self.now / 1_000 + ahead;
            spec.start_at = Some(types::WallTime(wall));
        }
    }

    /// One job in a hundred and twenty can never succeed, and two allow two
    /// copies of each task. The steps of three in 480 are gangs where they can
    /// be: a gang may take all that the least resource limit leaves its tenant for
    /// seconds, so more would not end in the calm phase after a burst.
    fn sometimes_unusual(&mut self, spec: &mut JobSpec) {
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

    /// The clock of callers and operators.
    fn outside_clock(&self) -> types::Monotonic {
        types::Monotonic(self.now / 1_000)
    }

    pub(crate) fn caller_acts(&mut self, caller: usize) {
        let now = self.outside_clock();
        for action in self.callers[caller].caller.actions(now) {
            match action {
                CallerAction::Submit(job) => self.send_submit(caller, job),
                CallerAction::Ask(job) => self.send_ask(caller, job),
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
        let seen = Seen::SubmitSent {
            job: job.clone(),
            steps: expected_steps(&spec),
            not_before: spec
                .start_at
                .map(|at| Milliseconds(at.0.saturating_sub(crate::machine::WALL_START_MS))),
        };
        self.observe(self.callers[caller].name.clone(), seen);
        let gateway = self.callers[caller].gateway;
        let waiting = Waiting::Submit { caller, job };
        self.request(gateway, CALLER_TIMEOUT_MS, waiting, Operation::Submit(spec));
    }

    fn send_ask(&mut self, caller: usize, job: JobKey) {
        let gateway = self.callers[caller].gateway;
        let waiting = Waiting::Ask {
            caller,
            job: job.clone(),
            asked_at: self.now,
        };
        self.request(gateway, CALLER_TIMEOUT_MS, waiting, Operation::GetJob(job));
    }

    /// Cancels some unfinished jobs of all callers.
    pub(crate) fn cancel_some(&mut self, count: u32) {
        for _ in 0..count {
            let caller = self.random.random_range(0..self.callers.len());
            let open = self.callers[caller].jobs.len();
            if open == 0 {
                continue;
            }
            let position = self.random.random_range(0..open);
            let Some(job) = self.callers[caller].jobs.keys().nth(position).cloned() else {
                continue;
            };
            self.observe(
                self.callers[caller].name.clone(),
                Seen::CancelSent { job: job.clone() },
            );
            let waiting = Waiting::Cancel {
                caller,
                jobs: vec![job.clone()],
            };
            let operation = Operation::Cancel(CancelSelector::Jobs(vec![job]));
            let gateway = self.callers[caller].gateway;
            self.request(gateway, CALLER_TIMEOUT_MS, waiting, operation);
        }
    }

    fn request_timed_out(&mut self, ticket: TicketId) {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        match waiting {
            Waiting::Submit { caller, job } | Waiting::Ask { caller, job, .. } => {
                self.callers[caller].gateway += 1;
                self.answer_caller(caller, &job, CallerAnswer::TimedOut);
            }
            Waiting::Cancel { caller, .. } => self.callers[caller].gateway += 1,
            Waiting::Configure { operator } | Waiting::ReadVersion { operator } => {
                self.operators[operator].waiting = false;
                self.operators[operator].gateway += 1;
            }
            Waiting::ReadConfiguration { .. } => {}
        }
    }

    fn response(&mut self, ticket: TicketId, answer: Answer) {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        match waiting {
            Waiting::Submit { caller, job } => self.submit_answered(caller, job, answer),
            Waiting::Ask {
                caller,
                job,
                asked_at,
            } => self.ask_answered(caller, job, asked_at, answer),
            Waiting::Cancel { caller, jobs } => self.cancel_answered(caller, jobs, &answer),
            Waiting::Configure { operator } => self.configure_answered(operator, answer),
            Waiting::ReadVersion { operator } => self.version_read(operator, answer),
            Waiting::ReadConfiguration { daemon, asked_at } => {
                self.configuration_read(daemon, asked_at, answer);
            }
        }
    }

    fn answer_caller(&mut self, caller: usize, job: &JobKey, answer: CallerAnswer) {
        let now = self.outside_clock();
        let is_final = match &answer {
            CallerAnswer::State(state) => state.is_final(),
            CallerAnswer::Rejected => true,
            _ => false,
        };
        self.callers[caller].caller.answered(job, answer, now);
        if is_final {
            self.callers[caller].jobs.remove(job);
        }
        self.caller_acts(caller);
    }

    fn submit_answered(&mut self, caller: usize, job: JobKey, answer: Answer) {
        let name = self.callers[caller].name.clone();
        let outcome = match answer {
            Ok(_) => {
                self.observe(name, Seen::SubmitAcknowledged { job: job.clone() });
                self.acknowledged(Acknowledgement::Submit);
                CallerAnswer::Acknowledged
            }
            Err(rejection) => {
                let seen = Seen::SubmitRejected {
                    job: job.clone(),
                    code: rejection_code(&rejection),
                };
                self.observe(name, seen);
                outcome_of(&rejection)
            }
        };
        if outcome == CallerAnswer::TimedOut {
            self.callers[caller].gateway += 1;
        }
        self.answer_caller(caller, &job, outcome);
    }

    fn ask_answered(&mut self, caller: usize, job: JobKey, asked_at: Micros, answer: Answer) {
        let state = match &answer {
            Ok(OperationReply::Job(view)) => Some(ReadState::Known(view.state)),
            Err(rejection) if rejection.code == RejectionCode::NotFound => Some(ReadState::Unknown),
            _ => None,
        };
        if let Some(state) = state {
            let seen = Seen::StateRead {
                job: job.clone(),
                asked_at: Milliseconds(asked_at / 1_000),
                state,
            };
            self.observe(self.callers[caller].name.clone(), seen);
        }
        let outcome = match (state, &answer) {
            (Some(ReadState::Known(state)), _) => CallerAnswer::State(state),
            (Some(ReadState::Unknown), _) => CallerAnswer::Unknown,
            (None, Err(rejection)) => outcome_of(rejection),
            (None, Ok(_)) => CallerAnswer::TimedOut,
        };
        self.answer_caller(caller, &job, outcome);
    }

    fn cancel_answered(&mut self, caller: usize, jobs: Vec<JobKey>, answer: &Answer) {
        if let Ok(OperationReply::Cancelled { unknown, .. }) = answer {
            for job in jobs.into_iter().filter(|job| !unknown.contains(job)) {
                let name = self.callers[caller].name.clone();
                self.observe(name, Seen::CancelAcknowledged { job });
                self.acknowledged(Acknowledgement::Cancel);
            }
        }
    }
}

/// A gang that no resource limit lets start would wait for ever, as it should: those
/// stay single tasks.
fn make_gangs(spec: &mut JobSpec, payload: &str) {
    let may_be_gang = |step: &&mut StepSpec| (2..=LEAST_SLOTS).contains(&step.tasks);
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

/// How a rejection is called in the history.
pub(crate) fn rejection_code(rejection: &Rejection) -> String {
    format!("{:?}", rejection.code).to_lowercase()
}

/// What a rejection means to a caller: come back, ask again, or give up.
fn outcome_of(rejection: &Rejection) -> CallerAnswer {
    match (rejection.code, rejection.retry_after) {
        (_, Some(after)) => CallerAnswer::RetryAfter(after),
        (
            RejectionCode::TimedOut | RejectionCode::Unavailable | RejectionCode::Overloaded,
            None,
        ) => CallerAnswer::TimedOut,
        _ => CallerAnswer::Rejected,
    }
}
