//! Two state machines, and the model that they are compared with.

use crate::operation::{Operation, QUEUES, RUNNERS, TENANTS, job_spec};
use crate::support::*;
use configuration::{ClusterConfiguration, QueueMode};
use state_machine::{
    Applied, CancelSelector, Change, ClosedRun, Command, CommandRejection, CommandReply,
    ReservationRejection, StateMachine,
};
use std::collections::{BTreeMap, BTreeSet};
use types::*;

/// Two state machines that apply the same commands, and a model that is built only
/// from their replies and changes. The replica applies commands that were encoded
/// and decoded, and is sometimes restored from a snapshot.
pub struct Harness {
    pub state_machine: StateMachine,
    pub replica: StateMachine,
    /// Wall time with which the next command is stamped.
    pub at: WallTime,
    /// Sequence number of the newest run identifier.
    pub last_run: u64,
    /// Stored jobs; forgotten ones are removed.
    pub submitted: BTreeMap<JobKey, (JobSpec, JobNumber)>,
    /// Tasks that may have a further run.
    pub ready_tasks: BTreeMap<TaskRef, TaskMeta>,
    /// Maximum number of copies of each task that was ever reported ready.
    pub max_copies: BTreeMap<TaskRef, u32>,
    pub open_runs: BTreeMap<RunId, OpenRun>,
    /// Open runs that a change reported as obsolete.
    pub obsolete_runs: BTreeSet<RunId>,
    pub closed_runs: BTreeSet<RunId>,
    pub done_tasks: BTreeSet<TaskRef>,
    /// Final state and end time of each finished job.
    pub ended_jobs: BTreeMap<JobNumber, (JobState, WallTime)>,
    /// Applied documents by version.
    pub applied_documents: BTreeMap<ConfigurationVersion, ClusterConfiguration>,
}

impl Harness {
    pub fn new() -> Self {
        let driver = Driver::new();
        Self {
            state_machine: driver.state_machine.clone(),
            replica: driver.state_machine,
            at: driver.at,
            last_run: 0,
            submitted: BTreeMap::new(),
            ready_tasks: BTreeMap::new(),
            max_copies: BTreeMap::new(),
            open_runs: BTreeMap::new(),
            obsolete_runs: BTreeSet::new(),
            closed_runs: BTreeSet::new(),
            done_tasks: BTreeSet::new(),
            ended_jobs: BTreeMap::new(),
            applied_documents: BTreeMap::from([(ConfigurationVersion(1), document())]),
        }
    }

    fn apply(&mut self, command: Command) -> Applied {
        let applied = self.state_machine.apply(&command);
        let decoded = Command::decode(&command.encode().unwrap()).unwrap();
        assert_eq!(self.replica.apply(&decoded), applied);
        for change in &applied.changes {
            self.observe(change);
        }
        applied
    }

    /// Returns the number of open runs of a task in the model.
    pub fn open_runs_of(&self, task: TaskRef) -> u32 {
        let open = self.open_runs.values().filter(|run| run.task == task);
        u32::try_from(open.count()).unwrap()
    }

    /// Updates the model by a change, and checks that the model allows the change.
    fn observe(&mut self, change: &Change) {
        match change {
            Change::RunsObsolete(runs) => self.obsolete_runs.extend(runs),
            Change::TaskReady(meta) => {
                self.max_copies.insert(meta.task, meta.max_copies);
                assert!(self.ready_tasks.insert(meta.task, meta.clone()).is_none());
            }
            Change::TaskEnded { task, open_runs } => {
                self.ready_tasks.remove(task);
                let reported: BTreeSet<RunId> = open_runs.iter().map(|run| run.run).collect();
                let open = self.open_runs.values().filter(|run| run.task == *task);
                let open: BTreeSet<RunId> = open.map(|run| run.run).collect();
                if self.state_machine.is_gang(*task) && reported.is_empty() {
                    // The end of one member completes the others, whose runs go on.
                    self.obsolete_runs.retain(|run| !open.contains(run));
                } else {
                    assert_eq!(reported, open);
                    self.obsolete_runs.extend(reported);
                }
            }
            Change::RunOpened(run) => self.observe_opened(run),
            Change::RunClosed { run, close, retry } => {
                assert_eq!(self.open_runs.remove(&run.run).as_ref(), Some(run));
                self.obsolete_runs.remove(&run.run);
                assert!(self.closed_runs.insert(run.run));
                if *close == DONE {
                    assert!(retry.is_none());
                }
                if let Some(meta) = retry {
                    self.ready_tasks.insert(run.task, meta.clone());
                }
            }
            Change::JobEnded { number, state, .. } => {
                let ended = (*state, self.at);
                assert!(
                    self.ended_jobs.insert(*number, ended).is_none(),
                    "the job ended twice"
                );
            }
            Change::ConfigurationChanged(_) | Change::RunnerDrainingChanged { .. } => {}
        }
    }

    fn observe_opened(&mut self, run: &OpenRun) {
        assert!(
            self.ready_tasks.contains_key(&run.task),
            "the task was not reported ready"
        );
        assert!(!self.done_tasks.contains(&run.task), "the task is done");
        assert!(!self.closed_runs.contains(&run.run), "the run is closed");
        assert!(self.open_runs.insert(run.run, run.clone()).is_none());
        if self.open_runs_of(run.task) >= self.max_copies[&run.task] {
            self.ready_tasks.remove(&run.task);
        }
        let (_, document) = self.state_machine.configuration();
        let resource_limit = document.tenants[&run.tenant].resource_limit;
        assert!(self.usage(&run.tenant).fits_in(&resource_limit));
    }

    /// Returns the resources of a tenant's open runs in the model.
    pub fn usage(&self, tenant: &TenantId) -> Resources {
        let runs = self.open_runs.values().filter(|run| run.tenant == *tenant);
        runs.fold(Resources::ZERO, |sum, run| sum.plus(&run.resources))
    }

    pub fn execute(&mut self, operation: &Operation) {
        self.at = self.at + Milliseconds(7);
        let at = self.at;
        match operation {
            Operation::Submit { tenant, job, shape } => {
                self.submit(job_spec(*tenant, *job, *shape));
            }
            Operation::CancelJob { tenant, job } => {
                let keys = vec![key(TENANTS[*tenant], &format!("j{job}"))];
                let selector = CancelSelector::Jobs(keys);
                self.apply(Command::Cancel { selector, at });
            }
            Operation::CancelTenant {
                tenant: tenant_index,
                queue: queue_index,
            } => {
                let selector = CancelSelector::Tenant {
                    tenant: tenant(TENANTS[*tenant_index]),
                    queue: queue_index.map(|index| queue(QUEUES[index])),
                };
                self.apply(Command::Cancel { selector, at });
            }
            Operation::Reserve { pick, runner } => {
                // Every fourth reservation picks any task that was ever reported ready,
                // so that reservations of finished and full tasks occur as well.
                let any_task = self.ready_tasks.is_empty() || self.last_run.is_multiple_of(4);
                let tasks: Vec<TaskRef> = if any_task {
                    self.max_copies.keys().copied().collect()
                } else {
                    self.ready_tasks.keys().copied().collect()
                };
                if !tasks.is_empty() {
                    self.last_run += 1;
                    self.reserve(run_id(self.last_run), *pick.get(&tasks), RUNNERS[*runner]);
                }
            }
            Operation::ReuseRunId { pick } => self.reuse_run_id(pick),
            Operation::Close { pick, close } => {
                let open: Vec<RunId> = self.open_runs.keys().copied().collect();
                if !open.is_empty() {
                    self.close(*pick.get(&open), close);
                }
            }
            Operation::CloseClosedRun { pick, close } => {
                let closed: Vec<RunId> = self.closed_runs.iter().copied().collect();
                if !closed.is_empty() {
                    self.close_closed_run(*pick.get(&closed), close);
                }
            }
            Operation::Configure {
                resource_limit,
                mode,
                remove_tenant,
            } => {
                self.configure(*resource_limit, *mode, *remove_tenant);
            }
            Operation::ResendConfiguration {
                version_pick,
                document_pick,
            } => self.resend_configuration(version_pick, document_pick),
            Operation::Drain {
                runner: runner_index,
                draining,
            } => {
                let runner = runner(RUNNERS[*runner_index]);
                let draining = *draining;
                self.apply(Command::SetRunnerDraining {
                    runner,
                    draining,
                    at,
                });
            }
            Operation::Forget { age, limit } => self.forget(*age, *limit),
            Operation::Restore => {
                let bytes = self.state_machine.snapshot().unwrap();
                assert_eq!(bytes, self.replica.snapshot().unwrap());
                self.replica = StateMachine::restore(&bytes).unwrap();
            }
        }
    }

    /// Checks that a close of a closed run changes nothing. The late end of a lost
    /// run is the exception: it may change the state once, but opens no run.
    fn close_closed_run(&mut self, run: RunId, close: &RunClose) {
        let is_end = matches!(close, RunClose::Ended(_));
        if is_end && self.state_machine.awaits_late_report(run) {
            let open_runs = self.state_machine.open_runs();
            self.close(run, close);
            assert!(self.state_machine.is_closed(run));
            assert_eq!(
                self.state_machine.open_runs(),
                open_runs,
                "a late report opens no run"
            );
            assert!(!self.state_machine.awaits_late_report(run));
        }
        let before = self.state_machine.clone();
        self.close(run, close);
        assert_eq!(
            self.state_machine, before,
            "a close of a closed run changes nothing"
        );
    }

    fn submit(&mut self, spec: JobSpec) {
        let at = self.at;
        let key = JobKey {
            tenant: spec.tenant.clone(),
            job: spec.job.clone(),
        };
        let stored = self.submitted.get(&key).cloned();
        let copy = spec.clone();
        let reply = self.apply(Command::Submit { spec: copy, at }).reply;
        match (stored, reply) {
            (Some((old, number)), reply) if old == spec => {
                let known = true;
                assert_eq!(reply, CommandReply::Submitted { number, known });
            }
            (Some(_), reply) => {
                let rejection = CommandRejection::OtherContent { key };
                assert_eq!(reply, CommandReply::Rejected(rejection));
            }
            (None, CommandReply::Submitted { number, known }) => {
                assert!(!known);
                self.submitted.insert(key, (spec, number));
            }
            (None, reply) => assert!(matches!(reply, CommandReply::Rejected(_))),
        }
    }

    /// Returns the task, or all tasks of its gang.
    fn group_of(&self, task: TaskRef) -> Vec<TaskRef> {
        let members = self.max_copies.keys().copied();
        let in_step = |other: &TaskRef| (other.job, other.step) == (task.job, task.step);
        if self.state_machine.is_gang(task) {
            members.filter(in_step).collect()
        } else {
            vec![task]
        }
    }

    /// Reserves a run of the task, or of each task of its gang, from the given
    /// identifier on.
    fn reserve(&mut self, run: RunId, task: TaskRef, runner_name: &str) -> CommandReply {
        let reservation = |(sequence, task)| Reservation {
            endpoint: None,
            run: RunId { sequence, ..run },
            task,
            runner: runner(runner_name),
            incarnation: RunnerIncarnation(1),
            self_stop: true,
        };
        let numbered = (run.sequence..).zip(self.group_of(task));
        let reservations: Vec<Reservation> = numbered.map(reservation).collect();
        let highest = reservations.last().map_or(0, |last| last.run.sequence);
        self.last_run = self.last_run.max(highest);
        let at = self.at;
        let reply = self.apply(Command::Reserve { reservations, at }).reply;
        if self
            .state_machine
            .draining_runners()
            .contains(&runner(runner_name))
        {
            assert!(
                matches!(&reply, CommandReply::Reserved { accepted, .. } if accepted.is_empty())
            );
        }
        reply
    }

    fn reuse_run_id(&mut self, pick: &proptest::sample::Index) {
        let used: Vec<RunId> = self
            .closed_runs
            .iter()
            .chain(self.open_runs.keys())
            .copied()
            .collect();
        let mut ready = self.ready_tasks.keys().copied();
        let Some(task) = ready.find(|task| !self.state_machine.is_gang(*task)) else {
            return;
        };
        if used.is_empty() {
            return;
        }
        let run = *pick.get(&used);
        let rejected = CommandReply::Reserved {
            accepted: vec![],
            rejected: vec![(run, ReservationRejection::KnownRun)],
        };
        assert_eq!(self.reserve(run, task, RUNNERS[0]), rejected);
    }

    fn close(&mut self, run: RunId, close: &RunClose) {
        let runs = vec![ClosedRun {
            checkpoint: None,
            run,
            close: close.clone(),
        }];
        let at = self.at;
        self.apply(Command::CloseRuns { runs, at });
    }

    fn configure(&mut self, resource_limit: u32, mode: QueueMode, remove_tenant: bool) {
        let (version, _) = self.state_machine.configuration();
        let mut document = document();
        for contract in document.tenants.values_mut() {
            contract.resource_limit = slots(resource_limit);
        }
        document.queues.get_mut(&queue("q")).unwrap().mode = mode;
        let removed = tenant("b");
        if remove_tenant {
            document.tenants.remove(&removed);
        }
        let is_in_use = remove_tenant && self.state_machine.unfinished_of_tenant(&removed) > 0;
        let reply = self.apply(Command::PutConfiguration {
            version: version.next(),
            document: document.clone(),
            at: self.at,
        });
        assert_eq!(is_in_use, matches!(reply.reply, CommandReply::Rejected(_)));
        if !is_in_use {
            self.applied_documents.insert(version.next(), document);
        }
    }

    /// Sends an applied document under an applied version. Under its own version it
    /// is acknowledged again, under another it is a conflict.
    fn resend_configuration(
        &mut self,
        version_pick: &proptest::sample::Index,
        document_pick: &proptest::sample::Index,
    ) {
        let versions: Vec<ConfigurationVersion> = self.applied_documents.keys().copied().collect();
        let version = *version_pick.get(&versions);
        let document = self.applied_documents[document_pick.get(&versions)].clone();
        let is_same = document == self.applied_documents[&version];
        let before = self.state_machine.clone();
        let at = self.at;
        let reply = self.apply(Command::PutConfiguration {
            version,
            document,
            at,
        });
        let current = before.configuration().0;
        let wanted = version;
        let expected = if is_same {
            CommandReply::Configured {
                version,
                known: true,
            }
        } else {
            CommandReply::Rejected(CommandRejection::VersionConflict { wanted, current })
        };
        assert_eq!(reply.reply, expected);
        assert_eq!(
            self.state_machine, before,
            "a resent document changes nothing"
        );
    }

    fn forget(&mut self, age: u64, limit: u32) {
        let ended_before = WallTime(self.at.0 - age);
        self.apply(Command::Forget {
            ended_before,
            limit,
        });
        let forgotten: Vec<(JobKey, JobNumber)> = self
            .submitted
            .iter()
            .filter(|(key, _)| self.state_machine.job(key).is_none())
            .map(|(key, (_, number))| (key.clone(), *number))
            .collect();
        assert!(forgotten.len() <= limit as usize);
        for (key, number) in forgotten {
            assert!(
                self.ended_jobs[&number].1 <= ended_before,
                "the job ended after the limit"
            );
            assert!(self.open_runs.values().all(|run| run.task.job != number));
            self.submitted.remove(&key);
            self.done_tasks.retain(|task| task.job != number);
        }
    }
}
