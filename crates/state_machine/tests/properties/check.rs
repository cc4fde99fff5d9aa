//! What must hold after every command.

use crate::step::{ALLOWED_FAILURES, QUEUES, TENANTS};
use crate::support::*;
use crate::world::World;
use state_machine::TaskStatus;
use types::*;

impl World {
    pub fn check(&mut self) {
        assert_eq!(self.first, self.second);
        let ready = self.first.ready_tasks(None, usize::MAX);
        assert_eq!(ready, self.ready.values().cloned().collect::<Vec<_>>());
        let open: Vec<OpenRun> = self.open.values().cloned().collect();
        assert_eq!(self.first.open_runs(), open);
        for name in TENANTS.map(tenant) {
            assert_eq!(self.first.tenant_usage(&name), self.usage(&name));
        }
        for run in &self.closed {
            assert!(self.first.open_run(*run).is_none());
        }
        self.check_counts();
        for key in self.submitted.keys().cloned().collect::<Vec<_>>() {
            self.check_job(&key);
        }
    }

    fn check_counts(&self) {
        let jobs = self.first.jobs(None, None, None, usize::MAX);
        assert_eq!(jobs.len(), self.submitted.len(), "no job is lost");
        let unfinished: Vec<&JobView> = jobs
            .iter()
            .map(|(_, view)| view)
            .filter(|view| !view.state.is_final())
            .collect();
        let count = |wanted: &dyn Fn(&JobView) -> bool| {
            unfinished.iter().filter(|view| wanted(view)).count() as u64
        };
        assert_eq!(self.first.unfinished_jobs(), count(&|_| true));
        for name in TENANTS.map(tenant) {
            let found = count(&|view| view.tenant == name);
            assert_eq!(self.first.unfinished_of_tenant(&name), found);
            let of_tenant = self.first.jobs(Some(&name), None, None, usize::MAX);
            let expected = jobs.iter().filter(|(_, view)| view.tenant == name);
            assert_eq!(of_tenant, expected.cloned().collect::<Vec<_>>());
        }
        for name in QUEUES.map(queue) {
            let found = count(&|view| view.queue == name);
            assert_eq!(self.first.unfinished_of_queue(&name), found);
        }
    }

    fn check_job(&mut self, key: &JobKey) {
        let number = self.first.job_number(key).unwrap();
        let view = self.first.job_view(number).unwrap();
        let ended = self.ended.get(&number).map(|(state, _)| *state);
        let state = view.state.is_final().then_some(view.state);
        assert_eq!(state, ended, "a final state stays");
        let statuses = self.first.task_states(key).unwrap();
        for standing in &statuses {
            let is_done = standing.state == TaskState::Done;
            if self.done.contains(&standing.task) {
                assert!(is_done, "done is final");
            } else if is_done {
                self.done.insert(standing.task);
            }
            assert!(standing.failed_runs <= ALLOWED_FAILURES + 1);
            assert_eq!(standing.open_runs, self.open_of(standing.task));
            let copies = self.copies.get(&standing.task).copied().unwrap_or(0);
            assert!(standing.open_runs <= copies);
        }
        self.check_step_views(&view, &statuses);
    }

    fn check_step_views(&self, view: &JobView, statuses: &[TaskStatus]) {
        for (position, step) in view.steps.iter().enumerate() {
            let tasks: Vec<_> = statuses
                .iter()
                .filter(|status| usize::from(status.task.step) == position)
                .collect();
            let count = |state: TaskState| {
                let in_state = tasks.iter().filter(|status| status.state == state);
                u32::try_from(in_state.count()).unwrap()
            };
            assert_eq!(step.done, count(TaskState::Done));
            assert_eq!(step.failed, count(TaskState::Failed));
            let running = tasks.iter().filter(|status| status.open_runs > 0);
            assert_eq!(step.running, u32::try_from(running.count()).unwrap());
            let failures: u32 = tasks.iter().map(|status| status.failed_runs).sum();
            assert_eq!(step.failed_runs, failures);
        }
    }
}
