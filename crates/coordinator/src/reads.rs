//! Reads, answered from the record under the lease. All that is committed has
//! been applied when an input is handled, so the answer holds what was
//! acknowledged before.

use crate::Coordinator;
use crate::leader::Leader;
use crate::requests::{not_found, refusal_of};
use configuration::ConfigurationUpdate;
use dispatch::NotPlacedReason;
use peer::{
    JobFilter, LicenceView, MemberView, Operation, OperationReply, QueueView, Refusal, TenantView,
};
use record::{Record, RecordRefusal};
use std::collections::BTreeMap;
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
        record: &Record,
        operation: Operation,
        now: Now,
    ) -> Result<OperationReply, Refusal> {
        match operation {
            Operation::GetJob(key) => record
                .job(&key)
                .map(|job| OperationReply::Job(Box::new(job)))
                .ok_or_else(|| not_found(format!("job {key} is not known"))),
            Operation::ListJobs(filter) => Ok(list_jobs(record, &filter)),
            Operation::Explain(key) => self.explain(record, &key, now),
            Operation::GetJobState(key) => record
                .job_state(&key)
                .map(OperationReply::JobState)
                .ok_or_else(|| not_found(format!("job {key} is not known"))),
            Operation::CountJobs(queue) => {
                Ok(OperationReply::Count(record.unfinished_of_queue(&queue)))
            }
            Operation::GetConfiguration | Operation::GetNewestConfiguration => {
                let (version, document) = record.configuration();
                let document = document.clone();
                Ok(OperationReply::Configuration { version, document })
            }
            Operation::ConfirmUpdate { version, update } => {
                confirm_update(record, version, &update)
            }
            Operation::ListRunners => Ok(OperationReply::Runners(self.dispatcher.runners(now))),
            Operation::ListQueues => Ok(OperationReply::Queues(self.list_queues(record))),
            Operation::ListTenants => Ok(OperationReply::Tenants(self.list_tenants(record))),
            Operation::ListLicences => Ok(OperationReply::Licences(self.list_licences(record))),
            Operation::Decisions { after, limit } => {
                let entries = self.decisions.after(after, limit as usize);
                Ok(OperationReply::Decisions(entries))
            }
            _ => Err(not_found("this is no question".to_owned())),
        }
    }

    /// A line for each task that may start, and each that runs.
    fn explain(&self, record: &Record, key: &JobKey, now: Now) -> Result<OperationReply, Refusal> {
        let (Some(number), Some(job)) = (record.job_number(key), record.job(key)) else {
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
        for standing in record.task_states(key).unwrap_or_default() {
            let task = standing.task;
            let reason = match standing.state {
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
        match self.dispatcher.explain(task, now) {
            Some(reason) => reason.to_string(),
            None => "it is about to be placed".to_owned(),
        }
    }

    fn list_queues(&self, record: &Record) -> Vec<QueueView> {
        let counts: BTreeMap<QueueName, Counts> = self.count(record, |_, queue| queue.clone());
        let document = record.configuration().1;
        document
            .queues
            .iter()
            .map(|(name, settings)| {
                let counts = counts.get(name).copied().unwrap_or_default();
                QueueView {
                    queue: name.clone(),
                    pool: settings.pool.clone(),
                    mode: settings.mode,
                    unfinished_jobs: record.unfinished_of_queue(name),
                    ready_tasks: counts.ready,
                    open_runs: counts.open,
                }
            })
            .collect()
    }

    fn list_licences(&self, record: &Record) -> Vec<LicenceView> {
        let licences = record.configuration().1.licences.iter();
        licences
            .map(|(licence, settings)| LicenceView {
                licence: licence.clone(),
                seats: settings.seats,
                taken: record.seats_taken(licence),
                waiting: self.dispatcher.seats_of(licence).1 as u64,
            })
            .collect()
    }

    fn list_tenants(&self, record: &Record) -> Vec<TenantView> {
        let counts: BTreeMap<TenantId, Counts> = self.count(record, |tenant, _| tenant.clone());
        let document = record.configuration().1;
        document
            .tenants
            .iter()
            .map(|(name, settings)| {
                let counts = counts.get(name).copied().unwrap_or_default();
                let spent = self.budgets.spent(name);
                TenantView {
                    tenant: name.clone(),
                    unfinished_jobs: record.unfinished_of_tenant(name),
                    ready_tasks: counts.ready,
                    holds: record.tenant_holdings(name),
                    ceiling: settings.ceiling,
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
        record: &Record,
        key: impl Fn(&TenantId, &QueueName) -> K,
    ) -> BTreeMap<K, Counts> {
        let mut counts: BTreeMap<K, Counts> = BTreeMap::new();
        for meta in record.ready_tasks(None, usize::MAX) {
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
    record: &Record,
    version: ConfigurationVersion,
    update: &ConfigurationUpdate,
) -> Result<OperationReply, Refusal> {
    if record.has_taken(version, update) {
        let known = true;
        return Ok(OperationReply::Configured { version, known });
    }
    let (current, _) = record.configuration();
    Err(refusal_of(RecordRefusal::VersionConflict {
        wanted: version,
        current,
    }))
}

fn list_jobs(record: &Record, filter: &JobFilter) -> OperationReply {
    let limit = (filter.limit as usize).clamp(1, MAX_PAGE);
    let page = record.jobs(filter.tenant.as_ref(), filter.state, filter.after, limit);
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
        let applied = replica.record.configuration().0;
        let version = |node: NodeId| match node {
            _ if node == self.own.node => Some(applied),
            _ => leader.member_versions.get(&node).copied(),
        };
        let standing = |node: NodeId| match node {
            _ if node == self.own.node => "leader",
            _ if status.membership.voters.contains_key(&node) => "voter",
            _ => "learner",
        };
        let links = |node: NodeId| match node {
            _ if node == self.own.node => Some(status.links),
            _ => {
                let mut told = status.told.iter();
                told.find(|(teller, _)| *teller == node)
                    .map(|(_, links)| *links)
            }
        };
        let silences: BTreeMap<NodeId, Milliseconds> = status.silence.iter().copied().collect();
        let voters = status.membership.voters.iter();
        let mut views: Vec<MemberView> = voters
            .chain(status.membership.learners.iter())
            .filter_map(|(node, socket)| {
                Some(MemberView {
                    address: self.member_address(*node, *socket)?,
                    standing: standing(*node).to_owned(),
                    silence: silences.get(node).copied().unwrap_or_default(),
                    configuration: version(*node),
                    links: links(*node),
                })
            })
            .collect();
        views.extend(leader.sessions.iter().map(|session| MemberView {
            address: session.sender.address.clone(),
            standing: "session".to_owned(),
            silence: now.monotonic.since(session.heard),
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
