//! Bodies with which callers submit, view, list and cancel jobs.

use crate::recorded::{assert_body, read, read_back};
use crate::values::{job, labels, name, resources};
use api::cancel::{CancelBody, CancelledBody, JobKeyBody};
use api::job::JobBody;
use api::view::{ExplainedBody, JobViewBody, JobsBody, ListQuery, SubmittedBody};
use state_machine::CancelSelector;
use transport::JobFilter;
use types::{
    JobNumber, JobSpec, JobState, JobView, Milliseconds, StepName, StepRules, StepSpec, StepView,
    Urgency, WallTime,
};

fn full_step() -> StepSpec {
    StepSpec {
        name: name("assemble"),
        after: vec![name("gang"), name("one-rack")],
        tasks: 12,
        resources: resources(3),
        labels: labels(),
        max_copies: 7,
        allowed_failures: 8,
        time_limit: Milliseconds(61_000),
        payload: "text of the step".to_owned(),
        rules: StepRules {
            start_at: Some(WallTime(1_764_650_002_000)),
            preferred_rack: Some(name("rack-9")),
            max_per_runner: Some(10),
            gang: true,
            same_rack: true,
            endless: true,
            expected: Some(Milliseconds(9_000)),
            licence: Some(name("renderer")),
        },
    }
}

/// Returns a step like [`full_step`], with these rules and no dependencies.
fn step(step_name: &str, rules: StepRules) -> StepSpec {
    StepSpec {
        name: name(step_name),
        after: Vec::new(),
        rules,
        ..full_step()
    }
}

/// Returns a job whose last three steps each set one of `gang`, `same_rack` and
/// `endless`, which detects a conversion that exchanges two of them.
fn full_job() -> JobSpec {
    let default = StepRules::default;
    let gang = StepRules {
        gang: true,
        ..default()
    };
    let same_rack = StepRules {
        same_rack: true,
        ..default()
    };
    let endless = StepRules {
        endless: true,
        ..default()
    };
    JobSpec {
        tenant: name("poster"),
        job: name("sheet-17"),
        queue: name("batch"),
        urgency: Urgency::Urgent,
        start_at: Some(WallTime(1_764_650_001_000)),
        payload: "text of the job".to_owned(),
        steps: vec![
            full_step(),
            step("gang", gang),
            step("one-rack", same_rack),
            step("endless", endless),
        ],
    }
}

#[test]
fn full_job_round_trips_through_golden_file() {
    assert_body("job_full.json", &JobBody::from(full_job()));
    let body: JobBody = read_back("job_full.json");
    assert_eq!(JobSpec::from(body), full_job());
}

#[test]
fn minimal_job_gets_golden_defaults() {
    let body: JobBody = read("job_minimal.json");
    assert_body("job_minimal_filled.json", &body);
    let converted = JobBody::from(JobSpec::from(body));
    assert_body("job_minimal_filled.json", &converted);
}

#[test]
fn response_to_submit_matches_golden_file() {
    let body = SubmittedBody {
        number: 42,
        known: true,
    };
    assert_body("submitted.json", &body);
    read_back::<SubmittedBody>("submitted.json");
}

fn step_view(step_name: StepName) -> StepView {
    StepView {
        name: step_name,
        tasks: 21,
        done: 2,
        running: 3,
        failed: 4,
        failed_runs: 5,
    }
}

fn full_view() -> JobView {
    JobView {
        tenant: name("poster"),
        job: name("sheet-17"),
        queue: name("batch"),
        state: JobState::Failed,
        reason: Some("a task used up its allowed failures".to_owned()),
        submitted_at: WallTime(1_764_650_000_001),
        first_reserved_at: Some(WallTime(1_764_650_000_002)),
        ended_at: Some(WallTime(1_764_650_000_003)),
        steps: vec![step_view(name("cells")), step_view(name("assemble"))],
    }
}

fn minimal_view(state: JobState) -> JobView {
    JobView {
        state,
        reason: None,
        first_reserved_at: None,
        ended_at: None,
        steps: Vec::new(),
        ..full_view()
    }
}

#[test]
fn job_view_matches_golden_file() {
    assert_body("job_view_full.json", &JobViewBody::from(full_view()));
    read_back::<JobViewBody>("job_view_full.json");
}

#[test]
fn list_of_jobs_of_every_state_matches_golden_files() {
    let states = every!(JobState: Waiting, Running, Done, Failed, Cancelled);
    let views = states.map(minimal_view).map(JobViewBody::from);
    let page = JobsBody {
        jobs: views.to_vec(),
        next: Some(43),
    };
    assert_body("jobs.json", &page);
    read_back::<JobsBody>("jobs.json");
    let last = JobsBody {
        jobs: Vec::new(),
        next: None,
    };
    assert_body("jobs_last.json", &last);
    read_back::<JobsBody>("jobs_last.json");
}

#[test]
fn list_query_matches_golden_files() {
    let query: ListQuery = read_back("list_query_full.json");
    let expected = JobFilter {
        tenant: Some(name("poster")),
        state: Some(JobState::Running),
        after: Some(JobNumber(41)),
        limit: 50,
    };
    assert_eq!(query.into_filter().unwrap(), expected);
    let query: ListQuery = read("empty.json");
    let expected = JobFilter {
        tenant: None,
        state: None,
        after: None,
        limit: 100,
    };
    assert_eq!(query.into_filter().unwrap(), expected);
}

#[test]
fn explanation_matches_golden_file() {
    let body = ExplainedBody {
        lines: vec!["the first line".to_owned(), "the second line".to_owned()],
    };
    assert_body("explained.json", &body);
    read_back::<ExplainedBody>("explained.json");
}

#[test]
fn cancels_of_every_kind_round_trip_through_golden_files() {
    let selectors = every!(CancelSelector:
        Jobs { 0: vec![job()] },
        Tenant { tenant: name("poster"), queue: Some(name("batch")) },
    );
    let files = ["cancel_jobs.json", "cancel_queue.json"];
    for (selector, file) in selectors.into_iter().zip(files) {
        assert_body(file, &CancelBody::from(selector.clone()));
        let body: CancelBody = read_back(file);
        assert_eq!(body.into_selector().unwrap(), selector);
    }
    let body: CancelBody = read_back("cancel_tenant.json");
    let expected = CancelSelector::Tenant {
        tenant: name("poster"),
        queue: None,
    };
    assert_eq!(body.into_selector().unwrap(), expected);
}

#[test]
fn response_to_cancel_matches_golden_file() {
    let body = CancelledBody {
        cancelled: 1,
        finished: 2,
        unknown: vec![JobKeyBody::from(job())],
    };
    assert_body("cancelled.json", &body);
    read_back::<CancelledBody>("cancelled.json");
}
