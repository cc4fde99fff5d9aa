//! Daemon of a fleet: its id, sockets, files and process.

use crate::LabError;
use crate::process::Process;
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use types::{Role, ZoneName};

/// Id of a daemon in a fleet, printed as `<role>-<ordinal>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// Role of the daemon.
    pub role: Role,
    /// Number of the daemon among those of its role, from 1.
    pub ordinal: u8,
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.role, self.ordinal)
    }
}

/// Daemon of a fleet, running or not.
#[derive(Debug)]
pub struct Member {
    /// Id of the daemon in the fleet.
    pub id: MemberId,
    /// Zone in the daemon's settings.
    pub zone: ZoneName,
    /// Socket for other daemons.
    pub peer: SocketAddr,
    /// HTTP socket: for admin at a coordinator, callers at a gateway, runners at
    /// an agent.
    pub http: SocketAddr,
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Path of the data folder; only coordinators use one.
    pub data: PathBuf,
    /// Path of the log file.
    pub log: PathBuf,
    pub(super) process: Option<Process>,
}

/// Content of a daemon's settings file.
#[derive(Serialize)]
struct SettingsFile<'a> {
    zone: &'a ZoneName,
    listen: SocketAddr,
    seeds: &'a [SocketAddr],
    cluster_key_file: &'a Path,
    #[serde(skip_serializing_if = "Option::is_none")]
    admin_listen: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    http_listen: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    data: Option<&'a Path>,
}

impl Member {
    /// Returns the base URL of the HTTP socket.
    pub fn http_url(&self) -> String {
        format!("http://{}", self.http)
    }

    /// Returns the URL of the readiness check.
    pub fn ready_url(&self) -> String {
        format!("http://{}/readyz", self.http)
    }

    /// Returns the process id, or `None` while the daemon is not started.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Process::id)
    }

    /// Returns the program's arguments for this daemon.
    pub(super) fn arguments(&self) -> Vec<String> {
        vec![
            self.id.role.to_string(),
            "--settings".to_owned(),
            self.settings.display().to_string(),
        ]
    }

    pub(super) fn write_settings(&self, seeds: &[SocketAddr], key: &Path) -> Result<(), LabError> {
        let is_coordinator = self.id.role == Role::Coordinator;
        let file = SettingsFile {
            zone: &self.zone,
            listen: self.peer,
            seeds,
            cluster_key_file: key,
            admin_listen: is_coordinator.then_some(self.http),
            http_listen: (!is_coordinator).then_some(self.http),
            data: is_coordinator.then_some(&self.data),
        };
        let text = toml::to_string(&file).map_err(std::io::Error::other);
        text.and_then(|text| std::fs::write(&self.settings, text))
            .map_err(LabError::file(&self.settings))
    }
}
