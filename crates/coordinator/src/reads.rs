//! Reads, answered from the record under the lease. All that is committed has
//! been applied when an input is handled, so the answer holds what was
//! acknowledged before.

use crate::Coordinator;
use crate::leader::Leader;
use crate::requests::{not_found, rejection_of};
use configuration::ConfigurationUpdate;
use scheduler::NotPlacedReason;
use state_machine::{CommandRejection, StateMachine};
use std::collections::BTreeMap;
use transport::{
    JobFilter, LicenceView, MemberView, Operation, OperationReply, QueueView, Rejection, TenantView,
};
use types::{
    Address, ConfigurationVersion, JobKey, Milliseconds, NodeId, Now, QueueName, Role, TaskRef,
    TaskState, TenantId, ZoneName,
};

/// Jobs on one page at most.
const MAX_PAGE: usize = 1_000;
/// Lines of an explanation at most.
const MAX_EXPLAINED: usize = 50;

/// What waits and runs, counted by queue or tenant.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    ready: u64,
    open: u64,
}

impl Leader {
    /// Answers a read.
    pub(crate) fn read(
        &mut self,
        state_machine: &StateMachine,
        operation: Operation,
        now: Now,
    ) -> Result<OperationReply, Rejection> {
        match operation {
            Operation::GetJob(key) => state_machine
                .job(&key)
                .map(|job| OperationReply::Job(Box::new(job)))
                .ok_or_else(|| not_found(format!("job {key} is not known"))),
            Operation::ListJobs(filter) => Ok(list_jobs(state_machine, &filter)),
            Operation::Explain(key) => self.explain(state_machine, &key, now),
            Operation::GetJobState(key) => state_machine
                .job_state(&key)
                .map(OperationReply::JobState)
                .ok_or_else(|| not_found(format!("job {key} is not known"))),
            Operation::CountJobs(queue) => Ok(OperationReply::Count(
                state_machine.unfinished_of_queue(&queue),
            )),
            Operation::GetConfiguration | Operation::GetNewestConfiguration => {
                let (version, document) = state_machine.configuration();
                let document = document.clone();
                Ok(OperationReply::Configuration { version, document })
            }
            Operation::ConfirmUpdate { version, update } => {
                confirm_update(state_machine, version, &update)
            }
            Operation::ListRunners => Ok(OperationReply::Runners(self.scheduler.runners(now))),
            Operation::ListQueues => Ok(OperationReply::Queues(self.list_queues(state_machine))),
            Operation::ListTenants => Ok(OperationReply::Tenants(self.list_tenants(state_machine))),
            Operation::ListLicences => {
                Ok(OperationReply::Licences(self.list_licences(state_machine)))
            }
            Operation::Decisions { after, limit } => {
                let entries = self.decisions.after(after, limit as usize);
                Ok(OperationReply::Decisions(entries))
            }
            _ => Err(not_found("this is no question".to_owned())),
        }
    }

    /// A line for each task that may start, and each that runs.
    fn explain(
        &self,
        state_machine: &StateMachine,
        key: &JobKey,
        now: Now,
    ) -> Result<OperationReply, Rejection> {
        let (Some(number), Some(job)) = (state_machine.job_number(key), state_machine.job(key))
        else {
            return Err(not_found(format!("job {key} is not known")));
        };
        let mut lines = Vec::new();
        if job.state.is_final() {
            let reason = job.reason.unwrap_or_default();
            lines.push(
                format!("the job is {:?} {reason}", job.state)
                    .trim()
                    .to_owned(),
            );
        }
        for status in state_machine.task_states(key).unwrap_or_default() {
            let task = status.task;
            let reason = match status.state {
                TaskState::Blocked => NotPlacedReason::WaitingForStep.to_string(),
                TaskState::Ready => self.waits_because(task, now),
                _ => continue,
            };
            lines.push(format!("task {task} waits: {reason}"));
            if lines.len() >= MAX_EXPLAINED {
                break;
            }
        }
        for tracked in self.runs.iter().filter(|run| run.run.task.job == number) {
            let (task, run, runner) = (tracked.run.task, tracked.run.run, &tracked.run.runner);
            lines.push(format!("task {task} has run {run} on runner {runner}"));
        }
        lines.truncate(MAX_EXPLAINED);
        Ok(OperationReply::Explained { lines })
    }

    fn waits_because(&self, task: TaskRef, now: Now) -> String {
        match self.scheduler.explain(task, now) {
            Some(reason) => reason.to_string(),
            None => "it is about to be placed".to_owned(),
        }
    }

    fn list_queues(&self, state_machine: &StateMachine) -> Vec<QueueView> {
        let counts: BTreeMap<QueueName, Counts> =
            self.count(state_machine, |_, queue| queue.clone());
        let document = state_machine.configuration().1;
        document
            .queues
            .iter()
            .map(|(name, settings)| {
                let counts = counts.get(name).copied().unwrap_or_default();
                QueueView {
                    queue: name.clone(),
                    pool: settings.pool.clone(),
                    mode: settings.mode,
                    unfinished_jobs: state_machine.unfinished_of_queue(name),
                    ready_tasks: counts.ready,
                    open_runs: counts.open,
                }
            })
            .collect()
    }

    fn list_licences(&self, state_machine: &StateMachine) -> Vec<LicenceView> {
        let licences = state_machine.configuration().1.licences.iter();
        licences
            .map(|(licence, settings)| LicenceView {
                licence: licence.clone(),
                seats: settings.seats,
                used: state_machine.seats_used(licence),
                waiting: self.scheduler.seat_usage(licence).waiting_tasks as u64,
            })
            .collect()
    }

    fn list_tenants(&self, state_machine: &StateMachine) -> Vec<TenantView> {
        let counts: BTreeMap<TenantId, Counts> =
            self.count(state_machine, |tenant, _| tenant.clone());
        let document = state_machine.configuration().1;
        document
            .tenants
            .iter()
            .map(|(name, settings)| {
                let counts = counts.get(name).copied().unwrap_or_default();
                let spent = self.budgets.spent(name);
                TenantView {
                    tenant: name.clone(),
                    unfinished_jobs: state_machine.unfinished_of_tenant(name),
                    ready_tasks: counts.ready,
                    usage: state_machine.tenant_usage(name),
                    resource_limit: settings.resource_limit,
                    ended_jobs: spent.ended,
                    late_jobs: spent.late,
                    failed_jobs: spent.failed,
                    budget_exceeded: spent.exceeds(&settings.error_budget),
                }
            })
            .collect()
    }

    /// Counts by a key drawn from tenant and queue. Walks all ready tasks and
    /// open runs: for operators' questions only.
    fn count<K: Ord>(
        &self,
        state_machine: &StateMachine,
        key: impl Fn(&TenantId, &QueueName) -> K,
    ) -> BTreeMap<K, Counts> {
        let mut counts: BTreeMap<K, Counts> = BTreeMap::new();
        for meta in state_machine.ready_tasks(None, usize::MAX) {
            let entry = counts.entry(key(&meta.tenant, &meta.queue)).or_default();
            entry.ready += 1;
        }
        for tracked in self.runs.iter() {
            let run = &tracked.run;
            let entry = counts.entry(key(&run.tenant, &run.queue)).or_default();
            entry.open += 1;
        }
        counts
    }
}

fn confirm_update(
    state_machine: &StateMachine,
    version: ConfigurationVersion,
    update: &ConfigurationUpdate,
) -> Result<OperationReply, Rejection> {
    if state_machine.has_applied(version, update) {
        let known = true;
        return Ok(OperationReply::Configured { version, known });
    }
    let (current, _) = state_machine.configuration();
    Err(rejection_of(CommandRejection::VersionConflict {
        wanted: version,
        current,
    }))
}

fn list_jobs(state_machine: &StateMachine, filter: &JobFilter) -> OperationReply {
    let limit = (filter.limit as usize).clamp(1, MAX_PAGE);
    let page = state_machine.jobs(filter.tenant.as_ref(), filter.state, filter.after, limit);
    let full = page.len() == limit;
    let next = page.last().map(|(number, _)| *number).filter(|_| full);
    let jobs = page.into_iter().map(|(_, job)| job).collect();
    OperationReply::Jobs { jobs, next }
}

impl Coordinator {
    /// Coordinators of the membership, then all sessions.
    pub(crate) fn list_members(&self, now: Now) -> Vec<MemberView> {
        let (Some(leader), Some(replica)) = (&self.leader, &self.replica) else {
            return Vec::new();
        };
        let status = replica.node.status(now.monotonic);
        let applied = replica.state_machine.configuration().0;
        let version = |node: NodeId| match node {
            _ if node == self.own.node => Some(applied),
            _ => leader.member_versions.get(&node).copied(),
        };
        let role_name = |node: NodeId| match node {
            _ if node == self.own.node => "leader",
            _ if status.membership.voters.contains_key(&node) => "voter",
            _ => "learner",
        };
        let links = |node: NodeId| match node {
            _ if node == self.own.node => Some(status.links),
            _ => {
                let mut reports = status.peer_reports.iter();
                reports
                    .find(|(reporter, _)| *reporter == node)
                    .map(|(_, links)| *links)
            }
        };
        let last_contacts: BTreeMap<NodeId, Milliseconds> =
            status.since_last_contact.iter().copied().collect();
        let voters = status.membership.voters.iter();
        let mut views: Vec<MemberView> = voters
            .chain(status.membership.learners.iter())
            .filter_map(|(node, socket)| {
                Some(MemberView {
                    address: self.member_address(*node, *socket)?,
                    status: role_name(*node).to_owned(),
                    since_last_contact: last_contacts.get(node).copied().unwrap_or_default(),
                    configuration: version(*node),
                    links: links(*node),
                })
            })
            .collect();
        views.extend(leader.sessions.iter().map(|session| MemberView {
            address: session.sender.address.clone(),
            status: "session".to_owned(),
            since_last_contact: now.monotonic.since(session.last_seen),
            configuration: Some(session.configuration),
            links: None,
        }));
        views
    }

    /// A member's address; its zone is not known before it was heard.
    fn member_address(&self, node: NodeId, socket: std::net::SocketAddr) -> Option<Address> {
        if let Some(address) = self.directory.address(node) {
            return Some(address.clone());
        }
        Some(Address {
            node,
            role: Role::Coordinator,
            zone: ZoneName::new("unknown").ok()?,
            socket,
        })
    }
}
