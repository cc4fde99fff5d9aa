//! Jobs over HTTP: status codes, bodies and errors.

use crate::fixture::{Fixture, read, rejected};
use reqwest::Method;
use state_machine::CancelSelector;
use transport::{Operation, OperationReply, RejectionCode};
use types::{JobNumber, JobState, JobView, StepView, WallTime};

const JOB: &str = r#"{"tenant":"poster","job":"a-1","queue":"hover","steps":[{"name":"frame"}]}"#;

fn view() -> JobView {
    JobView {
        tenant: "poster".parse().unwrap(),
        job: "a-1".parse().unwrap(),
        queue: "hover".parse().unwrap(),
        state: JobState::Running,
        reason: None,
        submitted_at: WallTime(5),
        first_reserved_at: Some(WallTime(6)),
        ended_at: None,
        steps: vec![StepView {
            name: "frame".parse().unwrap(),
            tasks: 1,
            done: 0,
            running: 1,
            failed: 0,
            failed_runs: 0,
        }],
    }
}

#[tokio::test]
async fn submit_returns_201_for_new_and_200_for_known_job() {
    let mut known = false;
    let fixture = Fixture::start(move |_| {
        let reply = OperationReply::Submitted {
            number: JobNumber(7),
            known,
        };
        known = true;
        Some(Ok(reply))
    })
    .await;
    let (status, body) = read(fixture.post("/v1/jobs", JOB).await).await;
    assert_eq!((status, body["number"].as_u64()), (201, Some(7)));
    let (status, body) = read(fixture.post("/v1/jobs", JOB).await).await;
    assert_eq!((status, body["known"].as_bool()), (200, Some(true)));
}

#[tokio::test]
async fn rejections_have_status_and_retry_after() {
    let mut rejections = [
        (RejectionCode::Conflict, None),
        (RejectionCode::Overloaded, Some(1_200)),
        (RejectionCode::Unavailable, Some(300)),
        (RejectionCode::Unavailable, None),
    ]
    .into_iter();
    let fixture = Fixture::start(move |_| {
        let (code, retry_after) = rejections.next().unwrap();
        rejected(code, retry_after)
    })
    .await;
    for (status, seconds) in [
        (409, None),
        (429, Some("2")),
        (503, Some("1")),
        (503, Some("1")),
    ] {
        let response = fixture.post("/v1/jobs", JOB).await;
        assert_eq!(response.status(), status);
        let header = response.headers().get("retry-after");
        assert_eq!(header.map(|value| value.to_str().unwrap()), seconds);
        let (_, body) = read(response).await;
        assert_eq!(body["retry_after_ms"].is_u64(), seconds.is_some());
    }
}

#[tokio::test]
async fn unanswered_request_returns_504_with_retry_after() {
    let fixture = Fixture::start(|_| None).await;
    let request = fixture.request(Method::POST, "/v1/jobs").body(JOB);
    let response = request.header("Deadline-Ms", "50").send().await.unwrap();
    assert!(response.headers().contains_key("retry-after"));
    let (status, body) = read(response).await;
    assert_eq!((status, body["code"].as_str()), (504, Some("timed_out")));
}

#[tokio::test]
async fn error_message_names_invalid_part_of_request() {
    let fixture = Fixture::start(|_| panic!("an invalid request reached the leader")).await;
    let invalid = JOB.replace(r#""queue":"hover""#, r#""queue":7"#);
    let (status, body) = read(fixture.post("/v1/jobs", &invalid).await).await;
    let message = body["message"].as_str().unwrap();
    assert!(status == 400 && message.starts_with("queue: "), "{message}");
    for (path, place) in [
        ("/v1/jobs?state=lost", "query: "),
        ("/v1/jobs?limit=0", "limit: "),
        ("/v1/tenants/p%20q/jobs/a", "tenant: "),
    ] {
        let (status, body) = read(fixture.get(path).await).await;
        let message = body["message"].as_str().unwrap();
        assert!(status == 400 && message.starts_with(place), "{message}");
    }
    for deadline in ["0", "30001", "soon"] {
        let request = fixture.request(Method::GET, "/v1/jobs");
        let response = request
            .header("Deadline-Ms", deadline)
            .send()
            .await
            .unwrap();
        assert_eq!(response.status(), 400);
    }
}

#[tokio::test]
async fn unknown_path_wrong_method_and_oversized_body_return_json_errors() {
    let fixture = Fixture::start(|_| panic!("an invalid request reached the leader")).await;
    let (status, body) = read(fixture.get("/v1/nothing").await).await;
    assert_eq!((status, body["code"].as_str()), (404, Some("not_found")));
    let patch = fixture.request(Method::PATCH, "/v1/jobs").send().await;
    assert_eq!(read(patch.unwrap()).await.0, 405);
    let oversized = " ".repeat(5 * 1024 * 1024);
    assert_eq!(
        read(fixture.post("/v1/jobs", &oversized).await).await.0,
        413
    );
}

#[tokio::test]
async fn get_list_and_explain_return_job_views() {
    let fixture = Fixture::start(|operation| {
        Some(Ok(match operation {
            Operation::GetJob(key) => {
                assert_eq!(key.to_string(), "poster/a-1");
                OperationReply::Job(Box::new(view()))
            }
            Operation::ListJobs(filter) => {
                assert_eq!(filter.state, Some(JobState::Running));
                assert_eq!((filter.after, filter.limit), (Some(JobNumber(3)), 2));
                OperationReply::Jobs {
                    jobs: vec![view()],
                    next: Some(JobNumber(4)),
                }
            }
            Operation::Explain(_) => OperationReply::Explained {
                lines: vec!["frame: no runner has room".to_owned()],
            },
            other => panic!("{other:?}"),
        }))
    })
    .await;
    let (_, job) = read(fixture.get("/v1/tenants/poster/jobs/a-1").await).await;
    assert_eq!(job["state"], "running");
    assert_eq!(job["first_reserved_at_ms"], 6);
    assert!(job.get("ended_at_ms").is_none());
    let list = fixture.get("/v1/jobs?tenant=poster&state=running&after=3&limit=2");
    let (_, page) = read(list.await).await;
    assert_eq!(page["next"], 4);
    assert_eq!(page["jobs"][0], job);
    let explained = fixture.get("/v1/tenants/poster/jobs/a-1/explain");
    let (_, body) = read(explained.await).await;
    assert_eq!(body["lines"][0], "frame: no runner has room");
}

#[tokio::test]
async fn cancel_accepts_one_job_several_jobs_or_tenant() {
    let fixture = Fixture::start(|operation| {
        let Operation::Cancel(selector) = operation else {
            panic!("{operation:?}");
        };
        let unknown = match selector {
            CancelSelector::Jobs(jobs) => {
                let unknown = jobs.iter().filter(|key| key.job.as_str() == "gone");
                unknown.cloned().collect()
            }
            CancelSelector::Tenant { .. } => Vec::new(),
        };
        Some(Ok(OperationReply::Cancelled {
            cancelled: 1,
            finished: 0,
            unknown,
        }))
    })
    .await;
    for (method, path) in [
        (Method::DELETE, "/v1/tenants/poster/jobs/a-1"),
        (Method::POST, "/v1/tenants/poster/jobs/a-1/cancel"),
    ] {
        let response = fixture.request(method, path).send().await.unwrap();
        assert_eq!(read(response).await.1["cancelled"], 1);
    }
    let unknown = fixture.request(Method::DELETE, "/v1/tenants/poster/jobs/gone");
    assert_eq!(read(unknown.send().await.unwrap()).await.0, 404);
    let several = r#"{"jobs":[{"tenant":"poster","job":"a"},{"tenant":"poster","job":"gone"}]}"#;
    let (status, body) = read(fixture.post("/v1/cancels", several).await).await;
    assert_eq!(
        (status, body["unknown"][0]["job"].as_str()),
        (200, Some("gone"))
    );
    let queue = r#"{"tenant":"poster","queue":"hover"}"#;
    assert_eq!(fixture.post("/v1/cancels", queue).await.status(), 200);
    assert_eq!(fixture.post("/v1/cancels", "{}").await.status(), 400);
}
