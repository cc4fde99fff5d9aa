//! Jobs behind many others whose needs no runner can meet.

use crate::runs::with_runner;
use crate::test_cluster::{TestCluster, jobs};
use transport::{Operation, OperationReply};
use types::JobSpec;

/// Number of jobs with different needs that no runner can meet.
const UNMET_JOBS: u32 = 100;
/// Milliseconds within which a job that fits has run, also across an election.
const COMPLETION_TIMEOUT: u64 = 6_000;

/// Returns a job that requires a label that no runner has. Each number has its
/// own label.
fn unmet_job(number: u32) -> JobSpec {
    let mut unmet = jobs::job(&format!("unmet-{number}"));
    let labels = &mut unmet.steps[0].labels;
    labels.insert("kind".to_owned(), format!("absent-{number}"));
    unmet
}

fn submit_unmet_jobs(cluster: &mut TestCluster) {
    for number in 0..UNMET_JOBS {
        let submit = Operation::Submit(unmet_job(number));
        cluster.request(submit).unwrap();
    }
}

fn run_until_started(cluster: &mut TestCluster, job: &str) {
    cluster.run_until(COMPLETION_TIMEOUT, "the start of the job", |cluster| {
        let state_machine = cluster.state_machine();
        let job = state_machine.job_number(&jobs::key(job));
        let mut open_runs = state_machine.open_runs().into_iter();
        open_runs.any(|run| Some(run.task.job) == job)
    });
}

/// Guards against jobs that never start because a scan of their tenant's list
/// sees only the same first needs, which nothing can meet (review case LOST).
#[test]
fn job_behind_many_unmet_needs_starts() {
    let mut cluster = with_runner();
    submit_unmet_jobs(&mut cluster);
    cluster.submit("later");
    run_until_started(&mut cluster, "later");
}

/// Guards against the same under a new leader, which rebuilds the lists from the
/// replicated state.
#[test]
fn job_behind_many_unmet_needs_starts_under_new_leader() {
    let mut cluster = with_runner();
    submit_unmet_jobs(&mut cluster);
    let leader = cluster.leader().unwrap();
    cluster.kill(leader);
    cluster.run(COMPLETION_TIMEOUT);
    cluster.submit("later");
    run_until_started(&mut cluster, "later");
}

#[test]
fn explanation_says_that_no_runner_can_meet_the_needs() {
    let mut cluster = with_runner();
    let submit = Operation::Submit(unmet_job(0));
    cluster.request(submit).unwrap();
    cluster.run(300);
    let explain = Operation::Explain(jobs::key("unmet-0"));
    let Ok(OperationReply::Explained { lines }) = cluster.request(explain) else {
        panic!("the leader did not explain the job");
    };
    let expected = "no runner of the pool can meet its needs, at least since ";
    assert!(lines[0].contains(expected), "{lines:?}");
}
