//! Commands that list queues, licences, tenants, runners and members, and change
//! the state of runners.

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

/// Prints the queues.
///
/// # Errors
///
/// Fails if no gateway answers, or with the gateway's rejection.
pub async fn queues(context: &Context) -> Result<Exit, ClientError> {
    show::<QueuesBody>(context, route::QUEUES).await
}

/// Prints the licences with their seats.
///
/// # Errors
///
/// Fails if no gateway answers, or with the gateway's rejection.
pub async fn licences(context: &Context) -> Result<Exit, ClientError> {
    show::<LicencesBody>(context, route::LICENCES).await
}

/// Prints the tenants with their usage.
///
/// # Errors
///
/// Fails if no gateway answers, or with the gateway's rejection.
pub async fn tenants(context: &Context) -> Result<Exit, ClientError> {
    show::<TenantsBody>(context, route::TENANTS).await
}

/// Prints the daemons of the cluster.
///
/// # Errors
///
/// Fails if no gateway answers, or with the gateway's rejection.
pub async fn members(context: &Context) -> Result<Exit, ClientError> {
    show::<MembersBody>(context, route::MEMBERS).await
}

/// Prints the runners, or drains, undrains or declares lost one of them.
///
/// # Errors
///
/// Fails if no gateway answers, or with the gateway's rejection.
pub async fn runner(context: &Context, command: RunnerCommand) -> Result<Exit, ClientError> {
    match command {
        RunnerCommand::List => show::<RunnersBody>(context, route::RUNNERS).await,
        RunnerCommand::Drain { runner } => set_draining(context, &runner, true).await,
        RunnerCommand::Undrain { runner } => set_draining(context, &runner, false).await,
        RunnerCommand::Lost { runner } => declare_lost(context, &runner).await,
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

async fn set_draining(
    context: &Context,
    runner: &RunnerId,
    draining: bool,
) -> Result<Exit, ClientError> {
    let path = runner_path(route::RUNNER_DRAIN, runner);
    let body = DrainBody { draining };
    let answer: AcceptedBody = context
        .gateways
        .send(Method::POST, &path, Some(&body))
        .await?;
    print(context.format, &answer)?;
    Ok(Exit::Done)
}

async fn declare_lost(context: &Context, runner: &RunnerId) -> Result<Exit, ClientError> {
    let path = runner_path(route::RUNNER_LOST, runner);
    let answer: RunsLostBody = context.gateways.send(Method::POST, &path, NO_BODY).await?;
    print(context.format, &answer)?;
    Ok(Exit::Done)
}

fn runner_path(template: &str, runner: &RunnerId) -> String {
    template.replace("{runner}", runner.as_str())
}
