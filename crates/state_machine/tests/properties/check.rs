//! Invariants that hold after every command.

use crate::harness::Harness;
use crate::operation::{ALLOWED_FAILURES, QUEUES, TENANTS};
use crate::support::*;
use state_machine::TaskStatus;
use types::*;

impl Harness {
    /// Checks that both state machines are equal and agree with the model.
    pub fn check(&mut self) {
        assert_eq!(self.state_machine, self.replica);
        let ready = self.state_machine.ready_tasks(None, usize::MAX);
        assert_eq!(
            ready,
            self.ready_tasks.values().cloned().collect::<Vec<_>>()
        );
        let open: Vec<OpenRun> = self.open_runs.values().cloned().collect();
        assert_eq!(self.state_machine.open_runs(), open);
        for run in &open {
            let reported = self.obsolete_runs.contains(&run.run);
            assert_eq!(self.replica.is_obsolete(run.run), reported);
        }
        for name in TENANTS.map(tenant) {
            assert_eq!(self.state_machine.tenant_usage(&name), self.usage(&name));
        }
        for run in &self.closed_runs {
            assert!(self.state_machine.open_run(*run).is_none());
        }
        self.check_counts();
        for key in self.submitted.keys().cloned().collect::<Vec<_>>() {
            self.check_job(&key);
        }
    }

    fn check_counts(&self) {
        let jobs = self.state_machine.jobs(None, None, None, usize::MAX);
        assert_eq!(
            jobs.len(),
            self.submitted.len(),
            "the stored jobs differ from the submitted ones"
        );
        let unfinished: Vec<&JobView> = jobs
            .iter()
            .map(|(_, view)| view)
            .filter(|view| !view.state.is_final())
            .collect();
        let count = |matches: &dyn Fn(&JobView) -> bool| {
            unfinished.iter().filter(|view| matches(view)).count() as u64
        };
        assert_eq!(self.state_machine.unfinished_jobs(), count(&|_| true));
        for name in TENANTS.map(tenant) {
            let expected_count = count(&|view| view.tenant == name);
            assert_eq!(
                self.state_machine.unfinished_of_tenant(&name),
                expected_count
            );
            let of_tenant = self.state_machine.jobs(Some(&name), None, None, usize::MAX);
            let expected = jobs.iter().filter(|(_, view)| view.tenant == name);
            assert_eq!(of_tenant, expected.cloned().collect::<Vec<_>>());
        }
        for name in QUEUES.map(queue) {
            let expected_count = count(&|view| view.queue == name);
            assert_eq!(
                self.state_machine.unfinished_of_queue(&name),
                expected_count
            );
        }
    }

    fn check_job(&mut self, key: &JobKey) {
        let number = self.state_machine.job_number(key).unwrap();
        let view = self.state_machine.job_view(number).unwrap();
        let ended = self.ended_jobs.get(&number).map(|(state, _)| *state);
        let state = view.state.is_final().then_some(view.state);
        assert_eq!(
            state, ended,
            "the final state differs from the reported one"
        );
        let statuses = self.state_machine.task_states(key).unwrap();
        for status in &statuses {
            let is_done = status.state == TaskState::Done;
            if self.done_tasks.contains(&status.task) {
                assert!(is_done, "a done task left that state");
            } else if is_done {
                self.done_tasks.insert(status.task);
            }
            assert!(status.failed_runs <= ALLOWED_FAILURES + 1);
            assert_eq!(status.open_runs, self.open_runs_of(status.task));
            let max_copies = self.max_copies.get(&status.task).copied().unwrap_or(0);
            assert!(status.open_runs <= max_copies);
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
