//! One daemon of a fleet.

use crate::LabError;
use crate::process::Process;
use serde::Serialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use types::{Role, ZoneName};

/// Which daemon of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// Its role.
    pub role: Role,
    /// Its place among those of the role, from 1.
    pub ordinal: u8,
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.role, self.ordinal)
    }
}

/// One daemon of a fleet.
#[derive(Debug)]
pub struct Member {
    /// Which one.
    pub id: MemberId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its socket for other daemons.
    pub peer: SocketAddr,
    /// Its HTTP socket: admin, callers or runners, by role.
    pub http: SocketAddr,
    /// Its settings file.
    pub settings: PathBuf,
    /// Its data folder; coordinators alone use it.
    pub data: PathBuf,
    /// Its log file.
    pub log: PathBuf,
    pub(super) process: Option<Process>,
}

/// The settings file of a daemon.
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
    /// Base URL of its HTTP socket.
    pub fn http_url(&self) -> String {
        format!("http://{}", self.http)
    }

    /// Where it says whether it is ready.
    pub fn ready_url(&self) -> String {
        format!("http://{}/readyz", self.http)
    }

    /// Process id, while it runs.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Process::id)
    }

    /// Arguments of the program for this daemon.
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
