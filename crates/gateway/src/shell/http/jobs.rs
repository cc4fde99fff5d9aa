//! Handlers for submitting, reading and cancelling jobs.

use crate::shell::http::Server;
use crate::shell::http::answer::{Failure, reject, unexpected};
use crate::shell::http::requester::{Requester, parse_name};
use api::BodyError;
use api::cancel::{CancelBody, CancelledBody, JobKeyBody};
use api::job::JobBody;
use api::view::{ExplainedBody, JobViewBody, JobsBody, ListQuery, SubmittedBody};
use axum::Json;
use axum::body::Bytes;
use axum::extract::rejection::{BytesRejection, QueryRejection};
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use state_machine::CancelSelector;
use transport::{Operation, OperationReply, RejectionCode};
use types::{JobKey, JobSpec};

type JobPath = Path<(String, String)>;

/// Handles `POST /v1/jobs`. The status is 201 for a new job and 200 for a known one.
pub async fn submit(
    State(server): State<Server>,
    requester: Requester,
    body: Result<Bytes, BytesRejection>,
) -> Result<(StatusCode, Json<SubmittedBody>), Failure> {
    let body: JobBody = api::parse_json(&body?)?;
    let operation = Operation::Submit(JobSpec::from(body));
    let OperationReply::Submitted { number, known } = server.execute(&requester, operation).await?
    else {
        return Err(unexpected());
    };
    let status = if known {
        StatusCode::OK
    } else {
        StatusCode::CREATED
    };
    let body = SubmittedBody {
        number: number.0,
        known,
    };
    Ok((status, Json(body)))
}

/// Handles `GET /v1/jobs`, one page at a time.
pub async fn list(
    State(server): State<Server>,
    requester: Requester,
    query: Result<Query<ListQuery>, QueryRejection>,
) -> Result<Json<JobsBody>, Failure> {
    let Query(query) = query.map_err(|error| BodyError::new("query", error.body_text()))?;
    let operation = Operation::ListJobs(query.into_filter()?);
    let OperationReply::Jobs { jobs, next } = server.execute(&requester, operation).await? else {
        return Err(unexpected());
    };
    Ok(Json(JobsBody {
        jobs: jobs.into_iter().map(JobViewBody::from).collect(),
        next: next.map(|number| number.0),
    }))
}

/// Handles `GET /v1/tenants/{tenant}/jobs/{job}`.
pub async fn get(
    State(server): State<Server>,
    requester: Requester,
    path: JobPath,
) -> Result<Json<JobViewBody>, Failure> {
    let operation = Operation::GetJob(job_key(path)?);
    let OperationReply::Job(view) = server.execute(&requester, operation).await? else {
        return Err(unexpected());
    };
    Ok(Json(JobViewBody::from(*view)))
}

/// Handles `GET /v1/tenants/{tenant}/jobs/{job}/explain`.
pub async fn explain(
    State(server): State<Server>,
    requester: Requester,
    path: JobPath,
) -> Result<Json<ExplainedBody>, Failure> {
    let operation = Operation::Explain(job_key(path)?);
    let OperationReply::Explained { lines } = server.execute(&requester, operation).await? else {
        return Err(unexpected());
    };
    Ok(Json(ExplainedBody { lines }))
}

/// Handles `DELETE /v1/tenants/{tenant}/jobs/{job}` and `POST .../cancel`. The status
/// is 404 if the job is unknown.
pub async fn cancel(
    State(server): State<Server>,
    requester: Requester,
    path: JobPath,
) -> Result<Json<CancelledBody>, Failure> {
    let selector = CancelSelector::Jobs(vec![job_key(path)?]);
    let body = cancel_selected(&server, &requester, selector).await?;
    if body.unknown.is_empty() {
        return Ok(Json(body));
    }
    Err(Failure::from(reject(
        RejectionCode::NotFound,
        "no such job",
    )))
}

/// Handles `POST /v1/cancels`, for several jobs or all jobs of a tenant. The status is
/// 200 even if some jobs are unknown; the body lists them.
pub async fn cancel_many(
    State(server): State<Server>,
    requester: Requester,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<CancelledBody>, Failure> {
    let body: CancelBody = api::parse_json(&body?)?;
    let selector = body.into_selector()?;
    Ok(Json(cancel_selected(&server, &requester, selector).await?))
}

async fn cancel_selected(
    server: &Server,
    requester: &Requester,
    selector: CancelSelector,
) -> Result<CancelledBody, Failure> {
    let operation = Operation::Cancel(selector);
    let OperationReply::Cancelled {
        cancelled,
        finished,
        unknown,
    } = server.execute(requester, operation).await?
    else {
        return Err(unexpected());
    };
    Ok(CancelledBody {
        cancelled,
        finished,
        unknown: unknown.into_iter().map(JobKeyBody::from).collect(),
    })
}

fn job_key(Path((tenant, job)): JobPath) -> Result<JobKey, Failure> {
    Ok(JobKey {
        tenant: parse_name("tenant", &tenant)?,
        job: parse_name("job", &job)?,
    })
}
