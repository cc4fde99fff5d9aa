//! Requests of callers and operators: admission, proposals, final answers.

use crate::Coordinator;
use crate::core::{Effect, Sender};
use crate::leader::{Leader, Waiting};
use crate::waiting::WaitingRequest;
use configuration::{ClusterConfiguration, ConfigurationProblem, ConfigurationUpdate, validate};
use peer::{
    Envelope, MemberView, Operation, OperationReply, PeerMessage, Refusal, RefusalCode, Request,
    RequestId,
};
use record::{ClosedRun, Command, CommandReply, Record, RecordRefusal};
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
        leader.request(&replica.record, sender, request, members, now);
    }
}

impl Coordinator {
    /// Refuses a request that waited too long for this process. Any other
    /// message is taken as it is.
    pub(crate) fn refuse_overdue(
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
            leader.refuse_overdue(&sender, id);
        }
    }
}

impl Leader {
    /// One whose earlier sending waits for the log will have its answer.
    fn refuse_overdue(&mut self, sender: &Sender, id: RequestId) {
        if self.requests.waits(sender, id) {
            return;
        }
        metrics::counter!("cypressdrum_requests_overdue_total").increment(1);
        let refusal = refusal_overloaded("the leader is behind");
        self.reply(sender, id, Err(refusal));
    }

    fn request(
        &mut self,
        record: &Record,
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
            Operation::Submit(spec) => self.submit(record, spec, waiting, now),
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
            read => Some(self.read(record, read, now)),
        };
        if let Some(result) = answer {
            self.reply(sender, request.id, result);
        }
    }

    /// Collects a request's command; the answer comes when it is applied.
    fn propose_request(&mut self, command: Command, waiting: WaitingRequest) -> Answer {
        if self.requests.len() >= self.options.max_waiting_requests {
            metrics::counter!("cypressdrum_requests_refused_total").increment(1);
            return Some(Err(refusal_overloaded(
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
        record: &Record,
        spec: JobSpec,
        waiting: WaitingRequest,
        now: Now,
    ) -> Answer {
        let key = JobKey {
            tenant: spec.tenant.clone(),
            job: spec.job.clone(),
        };
        if let Some(number) = record.job_number(&key)
            && record.job_spec(&key) == Some(&spec)
        {
            let known = true;
            return Some(Ok(OperationReply::Submitted { number, known }));
        }
        if let Err(refusal) = self.admit_submit(record, &spec.tenant, now) {
            metrics::counter!("cypressdrum_requests_refused_total").increment(1);
            return Some(Err(refusal));
        }
        let at = now.wall;
        self.propose_request(Command::Submit { spec, at }, waiting)
    }

    fn admit_submit(
        &mut self,
        record: &Record,
        tenant: &TenantId,
        now: Now,
    ) -> Result<(), Refusal> {
        let Some(settings) = record.configuration().1.tenants.get(tenant) else {
            let tenant = tenant.clone();
            return Err(refusal_of(RecordRefusal::UnknownTenant { tenant }));
        };
        self.admission
            .admit(tenant, settings, now.monotonic)
            .map_err(|retry_after| Refusal {
                code: RefusalCode::Overloaded,
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
        if let Some(refusal) = refusal_for(validate(&document)) {
            return Some(Err(refusal));
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
        if let Some(refusal) = refusal_for(update.problems()) {
            return Some(Err(refusal));
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
type Answer = Option<Result<OperationReply, Refusal>>;

/// The answer to a request from the record's answer to its command.
pub(crate) fn reply_of(
    reply: CommandReply,
    declares_lost: bool,
) -> Result<OperationReply, Refusal> {
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
        CommandReply::Refused(refusal) => Err(refusal_of(refusal)),
    }
}

/// The refusal of a configuration with problems, if it has any.
fn refusal_for(problems: Vec<ConfigurationProblem>) -> Option<Refusal> {
    let has_problems = !problems.is_empty();
    has_problems.then(|| refusal_of(RecordRefusal::InvalidConfiguration { problems }))
}

/// A record's refusal in the words of the outer interface.
pub(crate) fn refusal_of(refusal: RecordRefusal) -> Refusal {
    let message = refusal.to_string();
    let (code, retry_after, problems) = match refusal {
        RecordRefusal::OtherContent { .. } | RecordRefusal::VersionConflict { .. } => {
            (RefusalCode::Conflict, None, Vec::new())
        }
        RecordRefusal::Full { retry_after, .. } => {
            (RefusalCode::Overloaded, Some(retry_after), Vec::new())
        }
        RecordRefusal::InvalidConfiguration { problems } => (RefusalCode::Invalid, None, problems),
        RecordRefusal::InvalidJob { .. }
        | RecordRefusal::UnknownTenant { .. }
        | RecordRefusal::UnknownQueue { .. }
        | RecordRefusal::QueueDraining { .. } => (RefusalCode::Invalid, None, Vec::new()),
    };
    Refusal {
        code,
        message,
        retry_after,
        problems,
    }
}

/// The refusal of a leader that has too much to do.
fn refusal_overloaded(message: &str) -> Refusal {
    Refusal {
        code: RefusalCode::Overloaded,
        message: message.to_owned(),
        retry_after: Some(RETRY_OVERLOADED),
        problems: Vec::new(),
    }
}

/// The refusal of a process that may not act as the leader now.
pub(crate) fn refusal_unavailable() -> Refusal {
    Refusal {
        code: RefusalCode::Unavailable,
        message: "no leader holds its lease".to_owned(),
        retry_after: Some(RETRY_UNAVAILABLE),
        problems: Vec::new(),
    }
}

/// The answer to a request whose entry may or may not be taken by the next
/// leader: to be sent again, never to be taken for a refusal.
pub(crate) fn refusal_uncertain() -> Refusal {
    Refusal {
        code: RefusalCode::TimedOut,
        message: "the lease was lost before the answer: it may or may not be taken".to_owned(),
        retry_after: Some(RETRY_UNAVAILABLE),
        problems: Vec::new(),
    }
}

/// The refusal for a name that names nothing.
pub(crate) fn not_found(message: String) -> Refusal {
    Refusal {
        code: RefusalCode::NotFound,
        message,
        retry_after: None,
        problems: Vec::new(),
    }
}
