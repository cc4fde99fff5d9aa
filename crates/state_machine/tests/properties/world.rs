//! Two records and the model they are held against.

use crate::step::{QUEUES, RUNNERS, Step, TENANTS, spec};
use crate::support::*;
use configuration::{ClusterConfiguration, QueueMode};
use state_machine::{
    Applied, CancelSelector, Change, ClosedRun, Command, CommandRejection, CommandReply,
    ReservationRejection, StateMachine,
};
use std::collections::{BTreeMap, BTreeSet};
use types::*;

/// Two records fed the same commands, and a model kept from answers and
/// changes alone.
pub struct World {
    pub first: StateMachine,
    pub second: StateMachine,
    pub at: WallTime,
    pub last_run: u64,
    pub submitted: BTreeMap<JobKey, (JobSpec, JobNumber)>,
    pub ready: BTreeMap<TaskRef, TaskMeta>,
    pub copies: BTreeMap<TaskRef, u32>,
    pub open: BTreeMap<RunId, OpenRun>,
    pub closed: BTreeSet<RunId>,
    pub done: BTreeSet<TaskRef>,
    pub ended: BTreeMap<JobNumber, (JobState, WallTime)>,
    pub configured: BTreeMap<ConfigurationVersion, ClusterConfiguration>,
}

impl World {
    pub fn new() -> Self {
        let driver = Driver::new();
        Self {
            first: driver.state_machine.clone(),
            second: driver.state_machine,
            at: driver.at,
            last_run: 0,
            submitted: BTreeMap::new(),
            ready: BTreeMap::new(),
            copies: BTreeMap::new(),
            open: BTreeMap::new(),
            closed: BTreeSet::new(),
            done: BTreeSet::new(),
            ended: BTreeMap::new(),
            configured: BTreeMap::from([(ConfigurationVersion(1), document())]),
        }
    }

    fn apply(&mut self, command: Command) -> Applied {
        let applied = self.first.apply(&command);
        let read = Command::decode(&command.encode().unwrap()).unwrap();
        assert_eq!(self.second.apply(&read), applied);
        for change in &applied.changes {
            self.note(change);
        }
        applied
    }

    pub fn open_of(&self, task: TaskRef) -> u32 {
        let open = self.open.values().filter(|run| run.task == task);
        u32::try_from(open.count()).unwrap()
    }

    fn note(&mut self, change: &Change) {
        match change {
            Change::RunsObsolete(_) => {}
            Change::TaskReady(meta) => {
                self.copies.insert(meta.task, meta.max_copies);
                assert!(self.ready.insert(meta.task, meta.clone()).is_none());
            }
            Change::TaskEnded { task, open_runs } => {
                self.ready.remove(task);
                let told: BTreeSet<RunId> = open_runs.iter().map(|run| run.run).collect();
                let open = self.open.values().filter(|run| run.task == *task);
                assert_eq!(told, open.map(|run| run.run).collect());
            }
            Change::RunOpened(run) => self.note_opened(run),
            Change::RunClosed { run, close, again } => {
                assert_eq!(self.open.remove(&run.run).as_ref(), Some(run));
                assert!(self.closed.insert(run.run));
                if *close == DONE {
                    assert!(again.is_none());
                }
                if let Some(meta) = again {
                    self.ready.insert(run.task, meta.clone());
                }
            }
            Change::JobEnded { number, state, .. } => {
                let ended = (*state, self.at);
                assert!(self.ended.insert(*number, ended).is_none(), "ended twice");
            }
            Change::ConfigurationChanged(_) | Change::RunnerDrainingChanged { .. } => {}
        }
    }

    fn note_opened(&mut self, run: &OpenRun) {
        assert!(self.ready.contains_key(&run.task), "it was told ready");
        assert!(!self.done.contains(&run.task), "done is final");
        assert!(!self.closed.contains(&run.run), "closed is final");
        assert!(self.open.insert(run.run, run.clone()).is_none());
        if self.open_of(run.task) >= self.copies[&run.task] {
            self.ready.remove(&run.task);
        }
        let (_, document) = self.first.configuration();
        let resource_limit = document.tenants[&run.tenant].resource_limit;
        assert!(self.usage(&run.tenant).fits_in(&resource_limit));
    }

    pub fn usage(&self, tenant: &TenantId) -> Resources {
        let runs = self.open.values().filter(|run| run.tenant == *tenant);
        runs.fold(Resources::ZERO, |sum, run| sum.plus(&run.resources))
    }

    pub fn step(&mut self, step: &Step) {
        self.at = self.at + Milliseconds(7);
        let at = self.at;
        match step {
            Step::Submit { tenant, job, shape } => self.submit(spec(*tenant, *job, *shape)),
            Step::CancelJob { tenant, job } => {
                let keys = vec![key(TENANTS[*tenant], &format!("j{job}"))];
                let selector = CancelSelector::Jobs(keys);
                self.apply(Command::Cancel { selector, at });
            }
            Step::CancelTenant {
                tenant: t,
                queue: q,
            } => {
                let selector = CancelSelector::Tenant {
                    tenant: tenant(TENANTS[*t]),
                    queue: q.map(|q| queue(QUEUES[q])),
                };
                self.apply(Command::Cancel { selector, at });
            }
            Step::Reserve { pick, runner } => {
                // Mostly what may start, now and then anything ever told.
                let anything = self.ready.is_empty() || self.last_run.is_multiple_of(4);
                let tasks: Vec<TaskRef> = if anything {
                    self.copies.keys().copied().collect()
                } else {
                    self.ready.keys().copied().collect()
                };
                if !tasks.is_empty() {
                    self.last_run += 1;
                    self.reserve(run_id(self.last_run), *pick.get(&tasks), RUNNERS[*runner]);
                }
            }
            Step::ReserveAgain { pick } => self.reserve_again(pick),
            Step::Close { pick, close } => {
                let open: Vec<RunId> = self.open.keys().copied().collect();
                if !open.is_empty() {
                    self.close(*pick.get(&open), close);
                }
            }
            Step::CloseAgain { pick, close } => {
                let closed: Vec<RunId> = self.closed.iter().copied().collect();
                if !closed.is_empty() {
                    self.close_again(*pick.get(&closed), close);
                }
            }
            Step::Configure {
                resource_limit,
                mode,
                drop_tenant,
            } => {
                self.configure(*resource_limit, *mode, *drop_tenant);
            }
            Step::ConfigureAgain { pick, other } => self.configure_again(pick, other),
            Step::Drain {
                runner: at_runner,
                draining,
            } => {
                let runner = runner(RUNNERS[*at_runner]);
                let draining = *draining;
                self.apply(Command::SetRunnerDraining {
                    runner,
                    draining,
                    at,
                });
            }
            Step::Forget { age, limit } => self.forget(*age, *limit),
            Step::Restore => {
                let bytes = self.first.snapshot().unwrap();
                assert_eq!(bytes, self.second.snapshot().unwrap());
                self.second = StateMachine::restore(&bytes).unwrap();
            }
        }
    }

    /// A closed run stays closed. Only the late end of a lost one is news, and
    /// that once.
    fn close_again(&mut self, run: RunId, close: &RunClose) {
        let is_end = matches!(close, RunClose::Ended(_));
        if is_end && self.first.awaits_late_report(run) {
            let open_runs = self.first.open_runs();
            self.close(run, close);
            assert!(self.first.is_closed(run));
            assert_eq!(self.first.open_runs(), open_runs, "it opens nothing");
            assert!(!self.first.awaits_late_report(run));
        }
        let before = self.first.clone();
        self.close(run, close);
        assert_eq!(self.first, before, "closed stays closed");
    }

    fn submit(&mut self, spec: JobSpec) {
        let at = self.at;
        let key = JobKey {
            tenant: spec.tenant.clone(),
            job: spec.job.clone(),
        };
        let before = self.submitted.get(&key).cloned();
        let sent = spec.clone();
        let reply = self.apply(Command::Submit { spec: sent, at }).reply;
        match (before, reply) {
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

    fn reserve(&mut self, run: RunId, task: TaskRef, on: &str) -> CommandReply {
        let reservation = Reservation {
            endpoint: None,
            run,
            task,
            runner: runner(on),
            incarnation: RunnerIncarnation(1),
            self_stop: true,
        };
        let reservations = vec![reservation];
        let at = self.at;
        let reply = self.apply(Command::Reserve { reservations, at }).reply;
        if self.first.draining_runners().contains(&runner(on)) {
            assert!(
                matches!(&reply, CommandReply::Reserved { accepted, .. } if accepted.is_empty())
            );
        }
        reply
    }

    fn reserve_again(&mut self, pick: &proptest::sample::Index) {
        let used: Vec<RunId> = self
            .closed
            .iter()
            .chain(self.open.keys())
            .copied()
            .collect();
        let Some(task) = self.ready.keys().next().copied() else {
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

    fn configure(&mut self, resource_limit: u32, mode: QueueMode, drop_tenant: bool) {
        let (version, _) = self.first.configuration();
        let mut document = document();
        for contract in document.tenants.values_mut() {
            contract.resource_limit = slots(resource_limit);
        }
        document.queues.get_mut(&queue("q")).unwrap().mode = mode;
        let dropped = tenant("b");
        if drop_tenant {
            document.tenants.remove(&dropped);
        }
        let busy = drop_tenant && self.first.unfinished_of_tenant(&dropped) > 0;
        let reply = self.apply(Command::PutConfiguration {
            version: version.next(),
            document: document.clone(),
            at: self.at,
        });
        assert_eq!(busy, matches!(reply.reply, CommandReply::Rejected(_)));
        if !busy {
            self.configured.insert(version.next(), document);
        }
    }

    /// Sends a document under a version accepted before: its own, or another's.
    fn configure_again(&mut self, pick: &proptest::sample::Index, other: &proptest::sample::Index) {
        let versions: Vec<ConfigurationVersion> = self.configured.keys().copied().collect();
        let version = *pick.get(&versions);
        let document = self.configured[other.get(&versions)].clone();
        let same = document == self.configured[&version];
        let before = self.first.clone();
        let at = self.at;
        let reply = self.apply(Command::PutConfiguration {
            version,
            document,
            at,
        });
        let current = before.configuration().0;
        let wanted = version;
        let expected = if same {
            CommandReply::Configured {
                version,
                known: true,
            }
        } else {
            CommandReply::Rejected(CommandRejection::VersionConflict { wanted, current })
        };
        assert_eq!(reply.reply, expected);
        assert_eq!(self.first, before, "an order is accepted once");
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
            .filter(|(key, _)| self.first.job(key).is_none())
            .map(|(key, (_, number))| (key.clone(), *number))
            .collect();
        assert!(forgotten.len() <= limit as usize);
        for (key, number) in forgotten {
            assert!(self.ended[&number].1 <= ended_before, "only ended jobs");
            assert!(self.open.values().all(|run| run.task.job != number));
            self.submitted.remove(&key);
            self.done.retain(|task| task.job != number);
        }
    }
}
