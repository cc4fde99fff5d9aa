//! Requests of callers and operators: admission, proposals, final answers.

use crate::Coordinator;
use crate::core::{Effect, Sender};
use crate::leader::{Leader, Waiting};
use crate::waiting::WaitingRequest;
use configuration::{ClusterConfiguration, ConfigurationError, ConfigurationUpdate, validate};
use state_machine::{ClosedRun, Command, CommandRejection, CommandReply, StateMachine};
use transport::{
    Envelope, MemberView, Operation, OperationReply, PeerMessage, Rejection, RejectionCode,
    Request, RequestId,
};
use types::{
    ConfigurationVersion, JobKey, JobSpec, Milliseconds, Now, RunClose, RunnerId, TenantId,
};

/// When to come back while there is no leader under its lease.
const RETRY_UNAVAILABLE: Milliseconds = Milliseconds(1_000);
/// When to come back while the leader has too much to do.
const RETRY_OVERLOADED: Milliseconds = Milliseconds(500);

impl Coordinator {
    /// Takes a request, if this process may act as the leader.
    pub(crate) fn request_received(
        &mut self,
        now: Now,
        sender: &Sender,
        request: Request,
        effects: &mut Vec<Effect>,
    ) {
        if !self.is_serving(now) {
            return self.point_to_leader(now, sender, effects);
        }
        if request.time_left == Milliseconds(0) {
            return;
        }
        let members = match request.operation {
            Operation::ListMembers => self.list_members(now),
            _ => Vec::new(),
        };
        let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) else {
            return;
        };
        leader.request(&replica.state_machine, sender, request, members, now);
    }
}

impl Coordinator {
    /// Rejects a request that waited too long for this process. Any other
    /// message is taken as it is.
    pub(crate) fn reject_overdue(
        &mut self,
        now: Now,
        envelope: Envelope,
        effects: &mut Vec<Effect>,
    ) {
        let Some(envelope) = self.open_relay(envelope, effects) else {
            return;
        };
        let PeerMessage::Request(request) = &envelope.body else {
            return self.receive(now, envelope, effects);
        };
        let id = request.id;
        let sender = Sender::of(&envelope);
        if !self.is_serving(now) {
            return self.point_to_leader(now, &sender, effects);
        }
        if let Some(leader) = &mut self.leader {
            leader.reject_overdue(&sender, id);
        }
    }
}

impl Leader {
    /// One whose earlier sending waits for the log will have its answer.
    fn reject_overdue(&mut self, sender: &Sender, id: RequestId) {
        if self.requests.waits(sender, id) {
            return;
        }
        metrics::counter!("cypressdrum_requests_overdue_total").increment(1);
        let rejection = rejection_overloaded("the leader is behind");
        self.reply(sender, id, Err(rejection));
    }

    fn request(
        &mut self,
        state_machine: &StateMachine,
        sender: &Sender,
        request: Request,
        members: Vec<MemberView>,
        now: Now,
    ) {
        let waiting = WaitingRequest {
            sender: sender.clone(),
            id: request.id,
            deadline: now.monotonic + request.time_left,
            declares_lost: false,
        };
        if self.requests.refresh(&waiting) {
            return;
        }
        let at = now.wall;
        let answer = match request.operation {
            Operation::ListMembers => Some(Ok(OperationReply::Members(members))),
            Operation::Submit(spec) => self.submit(state_machine, spec, waiting, now),
            Operation::Cancel(selector) => {
                self.propose_request(Command::Cancel { selector, at }, waiting)
            }
            Operation::PutConfiguration { version, document } => {
                self.put_configuration(version, document, waiting, now)
            }
            Operation::UpdateConfiguration { version, update } => {
                self.update_configuration(version, update, waiting, now)
            }
            Operation::DrainRunner { runner, draining } => {
                self.drain_runner(runner, draining, waiting, now)
            }
            Operation::DeclareRunnerLost { runner } => self.declare_lost(&runner, waiting, now),
            read => Some(self.read(state_machine, read, now)),
        };
        if let Some(result) = answer {
            self.reply(sender, request.id, result);
        }
    }

    /// Collects a request's command; the answer comes when it is applied.
    fn propose_request(&mut self, command: Command, waiting: WaitingRequest) -> Answer {
        if self.requests.len() >= self.options.max_waiting_requests {
            metrics::counter!("cypressdrum_requests_refused_total").increment(1);
            return Some(Err(rejection_overloaded(
                "too many requests wait for the log",
            )));
        }
        let key = self.requests.insert(waiting);
        self.propose(command, Waiting::Request(key));
        None
    }

    /// A job the record has with equal content is acknowledged from it, at no
    /// cost to the tenant's rate: it is on a majority of disks already.
    fn submit(
        &mut self,
        state_machine: &StateMachine,
        spec: JobSpec,
        waiting: WaitingRequest,
        now: Now,
    ) -> Answer {
        let key = JobKey {
            tenant: spec.tenant.clone(),
            job: spec.job.clone(),
        };
        if let Some(number) = state_machine.job_number(&key)
            && state_machine.job_spec(&key) == Some(&spec)
        {
            let known = true;
            return Some(Ok(OperationReply::Submitted { number, known }));
        }
        if let Err(rejection) = self.admit_submit(state_machine, &spec.tenant, now) {
            metrics::counter!("cypressdrum_requests_refused_total").increment(1);
            return Some(Err(rejection));
        }
        let at = now.wall;
        self.propose_request(Command::Submit { spec, at }, waiting)
    }

    fn admit_submit(
        &mut self,
        state_machine: &StateMachine,
        tenant: &TenantId,
        now: Now,
    ) -> Result<(), Rejection> {
        let Some(settings) = state_machine.configuration().1.tenants.get(tenant) else {
            let tenant = tenant.clone();
            return Err(rejection_of(CommandRejection::UnknownTenant { tenant }));
        };
        self.admission
            .admit(tenant, settings, now.monotonic)
            .map_err(|retry_after| Rejection {
                code: RejectionCode::Overloaded,
                message: format!("tenant {tenant} submits faster than its contract allows"),
                retry_after: Some(retry_after),
                problems: Vec::new(),
            })
    }

    fn put_configuration(
        &mut self,
        version: ConfigurationVersion,
        document: ClusterConfiguration,
        waiting: WaitingRequest,
        now: Now,
    ) -> Answer {
        if let Some(rejection) = rejection_for(validate(&document)) {
            return Some(Err(rejection));
        }
        let at = now.wall;
        let command = Command::PutConfiguration {
            version,
            document,
            at,
        };
        self.propose_request(command, waiting)
    }

    fn update_configuration(
        &mut self,
        version: ConfigurationVersion,
        update: ConfigurationUpdate,
        waiting: WaitingRequest,
        now: Now,
    ) -> Answer {
        if let Some(rejection) = rejection_for(update.problems()) {
            return Some(Err(rejection));
        }
        let at = now.wall;
        let command = Command::UpdateConfiguration {
            version,
            update,
            at,
        };
        self.propose_request(command, waiting)
    }

    fn drain_runner(
        &mut self,
        runner: RunnerId,
        draining: bool,
        waiting: WaitingRequest,
        now: Now,
    ) -> Answer {
        let at = now.wall;
        let command = Command::SetRunnerDraining {
            runner,
            draining,
            at,
        };
        self.propose_request(command, waiting)
    }

    /// Closes every open run of a runner that an operator says is gone.
    fn declare_lost(&mut self, runner: &RunnerId, mut waiting: WaitingRequest, now: Now) -> Answer {
        let runs: Vec<ClosedRun> = self
            .runs
            .of_runner(runner)
            .into_iter()
            .map(|run| ClosedRun {
                checkpoint: None,
                run,
                close: RunClose::Lost,
            })
            .collect();
        if runs.is_empty() {
            let known = self.runners.get(runner).is_some();
            return Some(match known {
                true => Ok(OperationReply::RunsLost { runs: Vec::new() }),
                false => Err(not_found(format!("runner {runner} is not known"))),
            });
        }
        waiting.declares_lost = true;
        let at = now.wall;
        self.propose_request(Command::CloseRuns { runs, at }, waiting)
    }
}

/// An answer at once, or none when it comes from the log.
type Answer = Option<Result<OperationReply, Rejection>>;

/// The answer to a request from the record's answer to its command.
pub(crate) fn reply_of(
    reply: CommandReply,
    declares_lost: bool,
) -> Result<OperationReply, Rejection> {
    match reply {
        CommandReply::Submitted { number, known } => {
            Ok(OperationReply::Submitted { number, known })
        }
        CommandReply::Cancelled {
            cancelled,
            finished,
            unknown,
        } => Ok(OperationReply::Cancelled {
            cancelled,
            finished,
            unknown,
        }),
        CommandReply::Configured { version, known } => {
            Ok(OperationReply::Configured { version, known })
        }
        CommandReply::Closed { runs } if declares_lost => Ok(OperationReply::RunsLost { runs }),
        CommandReply::Closed { .. } | CommandReply::Reserved { .. } | CommandReply::Accepted => {
            Ok(OperationReply::Accepted)
        }
        CommandReply::Rejected(rejection) => Err(rejection_of(rejection)),
    }
}

/// The rejection of a configuration with problems, if it has any.
fn rejection_for(problems: Vec<ConfigurationError>) -> Option<Rejection> {
    let has_problems = !problems.is_empty();
    has_problems.then(|| rejection_of(CommandRejection::InvalidConfiguration { problems }))
}

/// A record's rejection in the words of the outer interface.
pub(crate) fn rejection_of(rejection: CommandRejection) -> Rejection {
    let message = rejection.to_string();
    let (code, retry_after, problems) = match rejection {
        CommandRejection::OtherContent { .. } | CommandRejection::VersionConflict { .. } => {
            (RejectionCode::Conflict, None, Vec::new())
        }
        CommandRejection::Full { retry_after, .. } => {
            (RejectionCode::Overloaded, Some(retry_after), Vec::new())
        }
        CommandRejection::InvalidConfiguration { problems } => {
            (RejectionCode::Invalid, None, problems)
        }
        CommandRejection::InvalidJob { .. }
        | CommandRejection::UnknownTenant { .. }
        | CommandRejection::UnknownQueue { .. }
        | CommandRejection::QueueDraining { .. } => (RejectionCode::Invalid, None, Vec::new()),
    };
    Rejection {
        code,
        message,
        retry_after,
        problems,
    }
}

/// The rejection of a leader that has too much to do.
fn rejection_overloaded(message: &str) -> Rejection {
    Rejection {
        code: RejectionCode::Overloaded,
        message: message.to_owned(),
        retry_after: Some(RETRY_OVERLOADED),
        problems: Vec::new(),
    }
}

/// The rejection of a process that may not act as the leader now.
pub(crate) fn rejection_unavailable() -> Rejection {
    Rejection {
        code: RejectionCode::Unavailable,
        message: "no leader holds its lease".to_owned(),
        retry_after: Some(RETRY_UNAVAILABLE),
        problems: Vec::new(),
    }
}

/// The answer to a request whose entry may or may not be taken by the next
/// leader: to be sent again, never to be taken for a rejection.
pub(crate) fn rejection_uncertain() -> Rejection {
    Rejection {
        code: RejectionCode::TimedOut,
        message: "the lease was lost before the answer: it may or may not be taken".to_owned(),
        retry_after: Some(RETRY_UNAVAILABLE),
        problems: Vec::new(),
    }
}

/// The rejection for a name that names nothing.
pub(crate) fn not_found(message: String) -> Rejection {
    Rejection {
        code: RejectionCode::NotFound,
        message,
        retry_after: None,
        problems: Vec::new(),
    }
}
