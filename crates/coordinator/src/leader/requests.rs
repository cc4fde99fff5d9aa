//! Requests of callers and operators. Requests that change the state are
//! proposed and answered when their entries are applied; reads are answered
//! immediately.

use crate::leader::Leader;
use crate::leader::proposals::ProposalOrigin;
use crate::leader::rejections::{
    answer_from_reply, not_found, overloaded, reject_problems, rejection_from,
};
use crate::leader::request_table::PendingRequest;
use crate::sender::Sender;
use configuration::{ClusterConfiguration, ConfigurationUpdate, validate};
use state_machine::{ClosedRun, Command, CommandRejection, CommandReply, StateMachine};
use transport::{
    MemberView, Operation, OperationReply, Rejection, RejectionCode, Request, RequestId,
};
use types::{
    ConfigurationVersion, JobKey, JobSpec, Milliseconds, Now, RunClose, RunnerId, TenantId,
};

/// Immediate answer to a request, or `None` if the request is answered when its
/// entry is applied.
type ImmediateAnswer = Option<Result<OperationReply, Rejection>>;

impl Leader {
    /// Rejects a request that waited too long in this process's queue, unless
    /// the same request was sent before and is pending, so that it will be
    /// answered.
    pub(crate) fn reject_overdue(&mut self, sender: &Sender, id: RequestId) {
        if self.requests.contains(sender, id) {
            return;
        }
        metrics::counter!("cypressdrum_requests_overdue_total").increment(1);
        let rejection = overloaded("the leader is behind");
        self.outbox.reply(sender, id, Err(rejection));
    }

    /// Handles a request. `members` answers [`Operation::ListMembers`].
    pub(crate) fn receive_request(
        &mut self,
        state_machine: &StateMachine,
        sender: &Sender,
        request: Request,
        members: Vec<MemberView>,
        now: Now,
    ) {
        let pending = PendingRequest {
            sender: sender.clone(),
            id: request.id,
            deadline: now.monotonic + request.time_left,
            declares_lost: false,
        };
        if self.requests.record_retry(&pending) {
            return;
        }
        let answer = match request.operation {
            Operation::ListMembers => Some(Ok(OperationReply::Members(members))),
            operation => self.handle_operation(state_machine, operation, pending, now),
        };
        if let Some(result) = answer {
            self.outbox.reply(sender, request.id, result);
        }
    }

    /// Handles any operation except [`Operation::ListMembers`].
    fn handle_operation(
        &mut self,
        state_machine: &StateMachine,
        operation: Operation,
        pending: PendingRequest,
        now: Now,
    ) -> ImmediateAnswer {
        let at = now.wall;
        match operation {
            Operation::Submit(spec) => self.submit(state_machine, spec, pending, now),
            Operation::SubmitByEntry {
                spec,
                entry,
                access,
            } => {
                if let Some(reply) = state_machine.reply_to_resent_by_entry(&spec, &access) {
                    let reply = reply.unwrap_or_else(CommandReply::Rejected);
                    return Some(answer_from_reply(reply, false));
                }
                let tenant = spec.tenant.clone();
                let command = Command::SubmitByEntry {
                    spec,
                    entry,
                    access,
                    at,
                };
                self.propose_submit(state_machine, &tenant, command, pending, now)
            }
            Operation::Cancel(selector) => {
                self.propose_request(Command::Cancel { selector, at }, pending)
            }
            Operation::CancelAccessible { job, access } => {
                self.propose_request(Command::CancelAccessible { job, access, at }, pending)
            }
            Operation::PutConfiguration { version, document } => {
                self.put_configuration(version, document, pending, now)
            }
            Operation::UpdateConfiguration { version, update } => {
                self.update_configuration(version, update, pending, now)
            }
            Operation::DrainRunner { runner, draining } => {
                let command = Command::SetRunnerDraining {
                    runner,
                    draining,
                    at,
                };
                self.propose_request(command, pending)
            }
            Operation::DeclareRunnerLost { runner } => {
                self.declare_runner_lost(&runner, pending, now)
            }
            read => Some(self.read(state_machine, read, now)),
        }
    }

    /// Collects the command of a request, which is answered when the command is
    /// applied. Rejects it if too many requests are pending.
    fn propose_request(&mut self, command: Command, pending: PendingRequest) -> ImmediateAnswer {
        if self.requests.len() >= self.options.max_waiting_requests {
            metrics::counter!("cypressdrum_requests_refused_total").increment(1);
            return Some(Err(overloaded("too many requests wait for the log")));
        }
        let key = self.requests.insert(pending);
        self.proposals.add(command, ProposalOrigin::Request(key));
        None
    }

    /// Submits a job. If the state machine has the job with equal content, the
    /// submit is acknowledged immediately and does not count against the
    /// tenant's rate: the job is already stored on a quorum of disks.
    fn submit(
        &mut self,
        state_machine: &StateMachine,
        spec: JobSpec,
        pending: PendingRequest,
        now: Now,
    ) -> ImmediateAnswer {
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
        let at = now.wall;
        let command = Command::Submit { spec, at };
        self.propose_submit(state_machine, &key.tenant, command, pending, now)
    }

    /// Proposes the submit of a new job if the rate limit of its tenant admits it.
    fn propose_submit(
        &mut self,
        state_machine: &StateMachine,
        tenant: &TenantId,
        command: Command,
        pending: PendingRequest,
        now: Now,
    ) -> ImmediateAnswer {
        if let Err(rejection) = self.admit_submit(state_machine, tenant, now) {
            metrics::counter!("cypressdrum_requests_refused_total").increment(1);
            return Some(Err(rejection));
        }
        self.propose_request(command, pending)
    }

    /// Checks a submit against the rate limit of its tenant.
    ///
    /// # Errors
    ///
    /// Returns a rejection if the tenant is unknown or exceeds its rate limit.
    fn admit_submit(
        &mut self,
        state_machine: &StateMachine,
        tenant: &TenantId,
        now: Now,
    ) -> Result<(), Rejection> {
        let Some(settings) = state_machine.configuration().1.tenants.get(tenant) else {
            let tenant = tenant.clone();
            return Err(rejection_from(CommandRejection::UnknownTenant { tenant }));
        };
        self.admission
            .admit(tenant, settings, now.monotonic)
            .map_err(|retry_after| rate_exceeded(tenant, retry_after))
    }

    fn put_configuration(
        &mut self,
        version: ConfigurationVersion,
        document: ClusterConfiguration,
        pending: PendingRequest,
        now: Now,
    ) -> ImmediateAnswer {
        if let Some(rejection) = reject_problems(validate(&document)) {
            return Some(Err(rejection));
        }
        let at = now.wall;
        let command = Command::PutConfiguration {
            version,
            document,
            at,
        };
        self.propose_request(command, pending)
    }

    fn update_configuration(
        &mut self,
        version: ConfigurationVersion,
        update: ConfigurationUpdate,
        pending: PendingRequest,
        now: Now,
    ) -> ImmediateAnswer {
        if let Some(rejection) = reject_problems(update.problems()) {
            return Some(Err(rejection));
        }
        let at = now.wall;
        let command = Command::UpdateConfiguration {
            version,
            update,
            at,
        };
        self.propose_request(command, pending)
    }

    /// Closes all open runs of a runner that an operator declared lost.
    fn declare_runner_lost(
        &mut self,
        runner: &RunnerId,
        mut pending: PendingRequest,
        now: Now,
    ) -> ImmediateAnswer {
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
        if !runs.is_empty() {
            pending.declares_lost = true;
            let at = now.wall;
            return self.propose_request(Command::CloseRuns { runs, at }, pending);
        }
        Some(if self.runners.contains(runner) {
            Ok(OperationReply::RunsLost { runs: Vec::new() })
        } else {
            Err(not_found(format!("runner {runner} is not known")))
        })
    }
}

fn rate_exceeded(tenant: &TenantId, retry_after: Milliseconds) -> Rejection {
    Rejection {
        code: RejectionCode::Overloaded,
        message: format!("tenant {tenant} submits faster than its contract allows"),
        retry_after: Some(retry_after),
        problems: Vec::new(),
    }
}
