//! Setup that every trial shares: folder, first configuration, known runners.

use crate::fleet::timed_out;
use crate::{Fleet, History, LabError};
use api::configuration::ConfigurationBody;
use api::operator::RunnersBody;
use api::route;
use api::version::ConfiguredBody;
use checker::Event;
use configuration::ClusterConfiguration;
use cypressdrum::client::ClientError;
use reqwest::Method;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use types::ConfigurationVersion;

/// Name of the operator as an observer in the history.
const OPERATOR: &str = "operator";
/// Timeout until the first configuration is accepted.
const PUT_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before a retry.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Folder of a trial, removed on drop unless it is kept.
#[derive(Debug)]
pub struct TrialFolder {
    path: PathBuf,
    keep: bool,
}

impl TrialFolder {
    /// Creates a folder with a random name in the system's temporary folder.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be created.
    pub fn create(keep: bool) -> Result<Self, LabError> {
        let name = format!(
            "cypressdrum-lab-{}-{:08x}",
            std::process::id(),
            rand::random::<u32>()
        );
        Self::create_at(std::env::temp_dir().join(name), keep)
    }

    /// Creates the folder at this path.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be created.
    pub fn create_at(path: PathBuf, keep: bool) -> Result<Self, LabError> {
        std::fs::create_dir_all(&path).map_err(LabError::file(&path))?;
        Ok(Self { path, keep })
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TrialFolder {
    fn drop(&mut self) {
        if !self.keep {
            // A failure leaves only a temporary folder behind.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// Puts the first configuration through the gateways, with retries until it is
/// accepted, and records it in the history.
///
/// # Errors
///
/// Fails if the configuration is not accepted in time.
pub async fn put_configuration(
    fleet: &Fleet,
    history: &History,
    document: ClusterConfiguration,
) -> Result<(), LabError> {
    let version = ConfigurationVersion(1);
    let digest = "first".to_owned();
    for (tenant, settings) in &document.tenants {
        history.record(
            OPERATOR,
            Event::ResourceLimitSent {
                tenant: tenant.clone(),
                resource_limit: settings.resource_limit,
            },
        );
    }
    let sent = Event::ConfigurationSent {
        version,
        digest: digest.clone(),
    };
    history.record(OPERATOR, sent);
    put_until_accepted(fleet, version, document.clone()).await?;
    history.record(
        OPERATOR,
        Event::ConfigurationAcknowledged { version, digest },
    );
    for (tenant, settings) in &document.tenants {
        let (tenant, resource_limit) = (tenant.clone(), settings.resource_limit);
        history.record(
            OPERATOR,
            Event::ResourceLimitInForce {
                tenant,
                resource_limit,
            },
        );
    }
    for (licence, settings) in &document.licences {
        let (licence, seats) = (licence.clone(), settings.seats);
        history.record(OPERATOR, Event::SeatsInForce { licence, seats });
    }
    Ok(())
}

async fn put_until_accepted(
    fleet: &Fleet,
    version: ConfigurationVersion,
    document: ClusterConfiguration,
) -> Result<(), LabError> {
    let client = fleet.client()?;
    let body = ConfigurationBody::from(document);
    let path = route::CONFIGURATION_VERSION.replace("{version}", &version.to_string());
    let started = Instant::now();
    loop {
        let answer = client.send::<_, ConfiguredBody>(Method::PUT, &path, Some(&body));
        match answer.await {
            Ok(_) => return Ok(()),
            Err(ClientError::Unavailable(_)) if started.elapsed() < PUT_TIMEOUT => {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            Err(error) => return Err(error.into()),
        }
    }
}

/// Waits until at least this many runners are registered with the leader.
///
/// # Errors
///
/// Fails if the runners are not registered in time.
pub async fn wait_for_runners(
    fleet: &Fleet,
    count: usize,
    timeout: Duration,
) -> Result<(), LabError> {
    let client = fleet.client()?;
    let started = Instant::now();
    loop {
        let known = client.get::<RunnersBody>(route::RUNNERS, Vec::new()).await;
        match known {
            Ok(known) if known.runners.len() >= count => return Ok(()),
            Ok(_) | Err(ClientError::Unavailable(_)) if started.elapsed() < timeout => {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            Ok(_) => return Err(timed_out(format!("{count} runners to be known"), timeout)),
            Err(error) => return Err(error.into()),
        }
    }
}
