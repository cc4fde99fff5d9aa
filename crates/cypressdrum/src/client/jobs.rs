//! Commands that submit, show, list, explain and cancel jobs.

use crate::Exit;
use crate::client::arguments::{CancelArguments, JobArguments, ListArguments, SubmitArguments};
use crate::client::show::json_name;
use crate::client::{ClientError, Context};
use crate::output::print;
use api::BodyError;
use api::cancel::{CancelBody, CancelledBody, JobKeyBody};
use api::job::JobBody;
use api::route;
use api::view::{ExplainedBody, JobViewBody, JobsBody, SubmittedBody};
use reqwest::Method;
use std::io::Read;
use std::path::Path;
use types::JobKey;

/// File name that selects standard input.
const STANDARD_INPUT: &str = "-";

/// Reads a file, or standard input for `-`.
///
/// # Errors
///
/// Fails if the file or standard input cannot be read.
pub fn read_input(path: &Path) -> Result<Vec<u8>, ClientError> {
    let mut bytes = Vec::new();
    let read = match path.to_str() {
        Some(STANDARD_INPUT) => std::io::stdin().read_to_end(&mut bytes),
        _ => std::fs::File::open(path).and_then(|mut file| file.read_to_end(&mut bytes)),
    };
    match read {
        Ok(_) => Ok(bytes),
        Err(source) => Err(ClientError::Read {
            path: path.to_owned(),
            source,
        }),
    }
}

/// Submits each job of the input in order, and stops at the first rejection.
///
/// # Errors
///
/// Fails if the file cannot be read, no gateway answers, or the job is rejected.
pub async fn submit(context: &Context, arguments: SubmitArguments) -> Result<Exit, ClientError> {
    let bytes = read_input(&arguments.file)?;
    let jobs = serde_json::Deserializer::from_slice(&bytes).into_iter::<JobBody>();
    for job in jobs {
        let job = job.map_err(|error| ClientError::Input {
            path: arguments.file.clone(),
            source: BodyError::new("body", error),
        })?;
        let answer: SubmittedBody = context
            .gateways
            .send(Method::POST, route::JOBS, Some(&job))
            .await?;
        print(context.format, &answer)?;
    }
    Ok(Exit::Done)
}

/// Prints the state of a job.
///
/// # Errors
///
/// Fails if no gateway answers, or with the gateway's rejection.
pub async fn status(context: &Context, arguments: JobArguments) -> Result<Exit, ClientError> {
    let path = job_path(route::JOB, arguments);
    let job: JobViewBody = context.gateways.get(&path, Vec::new()).await?;
    print(context.format, &job)?;
    Ok(Exit::Done)
}

/// Prints why the tasks of a job wait, or on which runners they run.
///
/// # Errors
///
/// Fails if no gateway answers, or with the gateway's rejection.
pub async fn explain(context: &Context, arguments: JobArguments) -> Result<Exit, ClientError> {
    let path = job_path(route::JOB_EXPLAIN, arguments);
    let lines: ExplainedBody = context.gateways.get(&path, Vec::new()).await?;
    print(context.format, &lines)?;
    Ok(Exit::Done)
}

/// Prints a list of jobs.
///
/// # Errors
///
/// Fails if no gateway answers, or with the gateway's rejection.
pub async fn list(context: &Context, arguments: ListArguments) -> Result<Exit, ClientError> {
    let mut query = Vec::new();
    query.extend(
        arguments
            .tenant
            .map(|tenant| ("tenant", tenant.to_string())),
    );
    query.extend(arguments.state.map(|state| ("state", json_name(&state))));
    query.extend(arguments.after.map(|after| ("after", after.to_string())));
    query.extend(arguments.limit.map(|limit| ("limit", limit.to_string())));
    let jobs: JobsBody = context.gateways.get(route::JOBS, query).await?;
    print(context.format, &jobs)?;
    Ok(Exit::Done)
}

/// Cancels jobs. Returns [`Exit::Rejected`] if one of them is unknown.
///
/// # Errors
///
/// Fails if no gateway answers, or with the gateway's rejection.
pub async fn cancel(context: &Context, arguments: CancelArguments) -> Result<Exit, ClientError> {
    let body = cancel_body(arguments);
    let answer: CancelledBody = context
        .gateways
        .send(Method::POST, route::CANCELS, Some(&body))
        .await?;
    print(context.format, &answer)?;
    Ok(if answer.unknown.is_empty() {
        Exit::Done
    } else {
        Exit::Rejected
    })
}

fn cancel_body(arguments: CancelArguments) -> CancelBody {
    if arguments.all {
        return CancelBody {
            jobs: None,
            tenant: Some(arguments.tenant),
            queue: arguments.queue,
        };
    }
    let tenant = arguments.tenant;
    let key = |job| JobKey {
        tenant: tenant.clone(),
        job,
    };
    let jobs = arguments.jobs.into_iter().map(key).map(JobKeyBody::from);
    CancelBody {
        jobs: Some(jobs.collect()),
        tenant: None,
        queue: None,
    }
}

fn job_path(template: &str, arguments: JobArguments) -> String {
    template
        .replace("{tenant}", arguments.tenant.as_str())
        .replace("{job}", arguments.job.as_str())
}
