//! Handlers by which operators change the configuration and the state of runners.

use crate::shell::http::Server;
use crate::shell::http::answer::{Failure, unexpected};
use crate::shell::http::requester::{Requester, parse_name};
use api::BodyError;
use api::configuration::{ConfigurationBody, ConfigurationUpdateBody};
use api::operator::{AcceptedBody, DrainBody, RunsLostBody};
use api::version::{ConfigurationViewBody, ConfiguredBody};
use axum::Json;
use axum::body::Bytes;
use axum::extract::rejection::BytesRejection;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, header};
use serde::de::DeserializeOwned;
use transport::{Operation, OperationReply};
use types::ConfigurationVersion;

/// Handles `GET /v1/configuration`, from the replica of this gateway.
pub async fn configuration(
    State(server): State<Server>,
    requester: Requester,
) -> Result<Json<ConfigurationViewBody>, Failure> {
    let reply = server
        .execute(&requester, Operation::GetConfiguration)
        .await?;
    let OperationReply::Configuration { version, document } = reply else {
        return Err(unexpected());
    };
    Ok(Json(ConfigurationViewBody {
        version: version.0,
        node: server.node.to_string(),
        configuration: document.into(),
    }))
}

/// Handles `PUT /v1/configuration/{version}`. The body is a whole document in JSON or
/// TOML.
pub async fn put_configuration(
    State(server): State<Server>,
    requester: Requester,
    Path(version): Path<String>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<ConfiguredBody>, Failure> {
    let version = ConfigurationVersion(parse_name("version", &version)?);
    let document: ConfigurationBody = parse_body(&headers, &body?)?;
    let document = document.into_document()?;
    let operation = Operation::PutConfiguration { version, document };
    configure(&server, &requester, operation).await
}

/// Handles `PATCH /v1/configuration/{version}`. The body is an update of named items in
/// JSON or TOML.
pub async fn update_configuration(
    State(server): State<Server>,
    requester: Requester,
    Path(version): Path<String>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<ConfiguredBody>, Failure> {
    let version = ConfigurationVersion(parse_name("version", &version)?);
    let update: ConfigurationUpdateBody = parse_body(&headers, &body?)?;
    let update = update.into_update()?;
    let operation = Operation::UpdateConfiguration { version, update };
    configure(&server, &requester, operation).await
}

async fn configure(
    server: &Server,
    requester: &Requester,
    operation: Operation,
) -> Result<Json<ConfiguredBody>, Failure> {
    let OperationReply::Configured { version, known } =
        server.execute(requester, operation).await?
    else {
        return Err(unexpected());
    };
    Ok(Json(ConfiguredBody {
        version: version.0,
        known,
    }))
}

/// Parses a body as TOML if that is its media type, and as JSON otherwise.
fn parse_body<T: DeserializeOwned>(headers: &HeaderMap, body: &[u8]) -> Result<T, BodyError> {
    let media_type = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split(';').next());
    if media_type.map(str::trim) != Some(api::route::TOML) {
        return api::parse_json(body);
    }
    let text = std::str::from_utf8(body).map_err(|error| BodyError::new("body", error))?;
    api::parse_toml(text)
}

/// Handles `POST /v1/runners/{runner}/drain`, which starts or ends draining.
pub async fn drain_runner(
    State(server): State<Server>,
    requester: Requester,
    Path(runner): Path<String>,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<AcceptedBody>, Failure> {
    let body: DrainBody = api::parse_json(&body?)?;
    let operation = Operation::DrainRunner {
        runner: parse_name("runner", &runner)?,
        draining: body.draining,
    };
    let OperationReply::Accepted = server.execute(&requester, operation).await? else {
        return Err(unexpected());
    };
    Ok(Json(AcceptedBody { accepted: true }))
}

/// Handles `POST /v1/runners/{runner}/lost`. The body of the response lists the runs
/// that are declared lost.
pub async fn declare_runner_lost(
    State(server): State<Server>,
    requester: Requester,
    Path(runner): Path<String>,
) -> Result<Json<RunsLostBody>, Failure> {
    let operation = Operation::DeclareRunnerLost {
        runner: parse_name("runner", &runner)?,
    };
    let OperationReply::RunsLost { runs } = server.execute(&requester, operation).await? else {
        return Err(unexpected());
    };
    let runs = runs.iter().map(ToString::to_string).collect();
    Ok(Json(RunsLostBody { runs }))
}
