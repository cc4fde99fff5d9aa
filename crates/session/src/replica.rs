//! The configuration replica of a process without a disk.

use configuration::ClusterConfiguration;
use types::{ConfigurationVersion, Milliseconds, Monotonic};

/// The newest configuration that this process received. Its version only
/// increases, and it is valid only for a while after the leader confirmed it.
#[derive(Debug)]
pub struct Replica {
    valid_for: Milliseconds,
    version: ConfigurationVersion,
    document: ClusterConfiguration,
    leader_version: Option<LeaderVersion>,
    confirmed_at: Option<Monotonic>,
}

/// The version in force, as the leader last reported it.
#[derive(Debug, Clone, Copy)]
struct LeaderVersion {
    /// When the keep-alive was sent that the leader answered.
    asked_at: Monotonic,
    version: ConfigurationVersion,
}

impl Replica {
    /// The empty document of version 0, which is not confirmed.
    pub fn new(valid_for: Milliseconds) -> Self {
        Self {
            valid_for,
            version: ConfigurationVersion::default(),
            document: ClusterConfiguration::default(),
            leader_version: None,
            confirmed_at: None,
        }
    }

    /// Version of the document, valid or not.
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// Replaces the document. Returns false if `version` is not newer.
    pub fn update(
        &mut self,
        version: ConfigurationVersion,
        document: ClusterConfiguration,
    ) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.document = document;
        self.confirm();
        true
    }

    /// Records the version in force, as the leader reported it in reply to a
    /// keep-alive sent at `asked_at`. An older report is ignored.
    pub fn record_leader_version(&mut self, asked_at: Monotonic, version: ConfigurationVersion) {
        let last = self.leader_version;
        if last.is_some_and(|last| last.asked_at > asked_at) {
            return;
        }
        self.leader_version = Some(LeaderVersion { asked_at, version });
        self.confirm();
    }

    /// Version and document, while they are valid.
    pub fn valid(&self, now: Monotonic) -> Option<(ConfigurationVersion, &ClusterConfiguration)> {
        let confirmed_at = self.confirmed_at?;
        (now < confirmed_at + self.valid_for).then_some((self.version, &self.document))
    }

    /// Confirms the document, unless the leader reported a newer version.
    fn confirm(&mut self) {
        if let Some(reported) = self.leader_version
            && reported.version <= self.version
        {
            self.confirmed_at = self.confirmed_at.max(Some(reported.asked_at));
        }
    }
}
