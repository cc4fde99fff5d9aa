//! Commands about queues, tenants, runners and members.

use crate::Exit;
use crate::client::arguments::RunnerCommand;
use crate::client::http::NO_BODY;
use crate::client::{ClientError, Context};
use crate::output::{Show, print};
use api::operator::{
    AcceptedBody, DrainBody, LicencesBody, MembersBody, QueuesBody, RunnersBody, RunsLostBody,
    TenantsBody,
};
use api::route;
use reqwest::Method;
use serde::de::DeserializeOwned;
use types::RunnerId;

/// Lists queues.
///
/// # Errors
///
/// Fails if no gateway answers, or with the gateway's rejection.
pub async fn queues(context: &Context) -> Result<Exit, ClientError> {
    show::<QueuesBody>(context, route::QUEUES).await
}

/// Lists licences.
///
/// # Errors
///
/// Fails if no gateway answers, or with the gateway's rejection.
pub async fn licences(context: &Context) -> Result<Exit, ClientError> {
    show::<LicencesBody>(context, route::LICENCES).await
}

/// Lists tenants.
///
/// # Errors
///
/// Fails if no gateway answers, or with the gateway's rejection.
pub async fn tenants(context: &Context) -> Result<Exit, ClientError> {
    show::<TenantsBody>(context, route::TENANTS).await
}

/// Lists members.
///
/// # Errors
///
/// Fails if no gateway answers, or with the gateway's rejection.
pub async fn members(context: &Context) -> Result<Exit, ClientError> {
    show::<MembersBody>(context, route::MEMBERS).await
}

/// Lists runners, or changes how one is used.
///
/// # Errors
///
/// Fails if no gateway answers, or with the gateway's rejection.
pub async fn runner(context: &Context, command: RunnerCommand) -> Result<Exit, ClientError> {
    match command {
        RunnerCommand::List => show::<RunnersBody>(context, route::RUNNERS).await,
        RunnerCommand::Drain { runner } => drain(context, &runner, true).await,
        RunnerCommand::Undrain { runner } => drain(context, &runner, false).await,
        RunnerCommand::Lost { runner } => lost(context, &runner).await,
    }
}

async fn show<T: Show + DeserializeOwned>(
    context: &Context,
    path: &str,
) -> Result<Exit, ClientError> {
    let answer: T = context.gateways.get(path, Vec::new()).await?;
    print(context.format, &answer)?;
    Ok(Exit::Done)
}

async fn drain(context: &Context, runner: &RunnerId, draining: bool) -> Result<Exit, ClientError> {
    let path = runner_path(route::RUNNER_DRAIN, runner);
    let body = DrainBody { draining };
    let answer: AcceptedBody = context
        .gateways
        .send(Method::POST, &path, Some(&body))
        .await?;
    print(context.format, &answer)?;
    Ok(Exit::Done)
}

async fn lost(context: &Context, runner: &RunnerId) -> Result<Exit, ClientError> {
    let path = runner_path(route::RUNNER_LOST, runner);
    let answer: RunsLostBody = context.gateways.send(Method::POST, &path, NO_BODY).await?;
    print(context.format, &answer)?;
    Ok(Exit::Done)
}

fn runner_path(template: &str, runner: &RunnerId) -> String {
    template.replace("{runner}", runner.as_str())
}
