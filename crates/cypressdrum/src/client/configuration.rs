//! Commands that read and change the cluster configuration.

use crate::Exit;
use crate::client::arguments::ConfigCommand;
use crate::client::difference::differences;
use crate::client::jobs::read_input;
use crate::client::{ClientError, Context};
use crate::output::{OutputFormat, emit, json_line, print};
use api::configuration::{ConfigurationBody, ConfigurationUpdateBody};
use api::route;
use api::version::{ConfigurationStatusBody, ConfigurationViewBody, ConfiguredBody};
use api::{BodyError, parse_json, parse_toml};
use reqwest::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::path::Path;

/// Runs a subcommand of `config`.
///
/// # Errors
///
/// Fails if a file cannot be read, no gateway answers, or the answer is a rejection.
pub async fn run(context: &Context, command: ConfigCommand) -> Result<Exit, ClientError> {
    match command {
        ConfigCommand::Get => get(context).await,
        ConfigCommand::Put { file, version } => put(context, &file, version).await,
        ConfigCommand::Update { file, version } => update(context, &file, version).await,
        ConfigCommand::Diff { file } => diff(context, &file).await,
        ConfigCommand::Status => status(context).await,
    }
}

async fn fetch_current(context: &Context) -> Result<ConfigurationViewBody, ClientError> {
    context.gateways.get(route::CONFIGURATION, Vec::new()).await
}

async fn get(context: &Context) -> Result<Exit, ClientError> {
    let view = fetch_current(context).await?;
    match context.format {
        OutputFormat::Json => emit(&json_line(&view))?,
        OutputFormat::Table => {
            let document = toml::to_string(&view.configuration)?;
            emit(&format!("# Version {}\n{document}", view.version))?;
        }
    }
    Ok(Exit::Done)
}

async fn put(context: &Context, file: &Path, version: Option<u64>) -> Result<Exit, ClientError> {
    let document: ConfigurationBody = read_body(file)?;
    let version = match version {
        Some(version) => version,
        None => fetch_current(context).await?.version + 1,
    };
    send(context, Method::PUT, version, &document).await
}

async fn update(context: &Context, file: &Path, version: Option<u64>) -> Result<Exit, ClientError> {
    let update: ConfigurationUpdateBody = read_body(file)?;
    let version = version.unwrap_or(update.replaces.saturating_add(1));
    send(context, Method::PATCH, version, &update).await
}

/// Sends a document or an update that is to take effect as the given version.
async fn send<T: Serialize>(
    context: &Context,
    method: Method,
    version: u64,
    body: &T,
) -> Result<Exit, ClientError> {
    let path = route::CONFIGURATION_VERSION.replace("{version}", &version.to_string());
    let response = context.gateways.send(method, &path, Some(body)).await;
    let answer: ConfiguredBody = response.inspect_err(|error| {
        if error.exit() == Exit::Unavailable {
            eprintln!(
                "version {version} may or may not have been accepted; send it again with --version"
            );
        }
    })?;
    print(context.format, &answer)?;
    Ok(Exit::Done)
}

async fn diff(context: &Context, file: &Path) -> Result<Exit, ClientError> {
    let document: ConfigurationBody = read_body(file)?;
    let view = fetch_current(context).await?;
    let found = differences(&to_json(&view.configuration), &to_json(&document));
    match context.format {
        OutputFormat::Json => emit(&json_line(&found))?,
        OutputFormat::Table => {
            let lines = found.iter().map(|line| format!("{line}\n"));
            emit(&lines.collect::<String>())?;
        }
    }
    Ok(if found.is_empty() {
        Exit::Done
    } else {
        Exit::Rejected
    })
}

async fn status(context: &Context) -> Result<Exit, ClientError> {
    let path = route::CONFIGURATION_STATUS;
    let status: ConfigurationStatusBody = context.gateways.get(path, Vec::new()).await?;
    print(context.format, &status)?;
    Ok(Exit::Done)
}

/// Reads a request body from a file. A body that begins with a brace is JSON,
/// any other is TOML.
fn read_body<T: DeserializeOwned>(path: &Path) -> Result<T, ClientError> {
    let bytes = read_input(path)?;
    let first = bytes.iter().find(|byte| !byte.is_ascii_whitespace());
    let document = match first {
        Some(b'{') => parse_json(&bytes),
        _ => std::str::from_utf8(&bytes)
            .map_err(|error| BodyError::new("body", error))
            .and_then(parse_toml),
    };
    document.map_err(|source| ClientError::Input {
        path: path.to_owned(),
        source,
    })
}

fn to_json(document: &ConfigurationBody) -> serde_json::Value {
    serde_json::to_value(document).unwrap_or_default()
}
