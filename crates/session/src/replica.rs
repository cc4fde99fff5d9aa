//! The configuration replica of a process without a disk.

use configuration::ClusterConfiguration;
use types::{ConfigurationVersion, Milliseconds, Monotonic};

/// The newest configuration seen. Its version only rises, and it counts only
/// for a while after a leader under its lease confirmed it.
#[derive(Debug)]
pub struct Replica {
    valid_for: Milliseconds,
    version: ConfigurationVersion,
    document: ClusterConfiguration,
    last_version: Option<LeaderVersion>,
    confirmed_at: Option<Monotonic>,
}

/// What the leader said last about the version in force.
#[derive(Debug, Clone, Copy)]
struct LeaderVersion {
    asked_at: Monotonic,
    version: ConfigurationVersion,
}

impl Replica {
    /// The empty document of version 0, not confirmed by anyone.
    pub fn new(valid_for: Milliseconds) -> Self {
        Self {
            valid_for,
            version: ConfigurationVersion::default(),
            document: ClusterConfiguration::default(),
            last_version: None,
            confirmed_at: None,
        }
    }

    /// Version held, valid or not.
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// Takes a document; false when it is not newer than the one held.
    pub fn take(&mut self, version: ConfigurationVersion, document: ClusterConfiguration) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.document = document;
        self.confirm();
        true
    }

    /// The leader, asked at `asked_at`, said that `version` is in force.
    pub fn leader_said(&mut self, asked_at: Monotonic, version: ConfigurationVersion) {
        if self
            .last_version
            .is_some_and(|word| word.asked_at > asked_at)
        {
            return;
        }
        self.last_version = Some(LeaderVersion { asked_at, version });
        self.confirm();
    }

    /// Version and document, while confirmed lately enough.
    pub fn valid(&self, now: Monotonic) -> Option<(ConfigurationVersion, &ClusterConfiguration)> {
        let confirmed_at = self.confirmed_at?;
        (now < confirmed_at + self.valid_for).then_some((self.version, &self.document))
    }

    /// A word about a newer version than the one held confirms nothing: the
    /// document held is known to be old.
    fn confirm(&mut self) {
        if let Some(word) = self.last_version
            && word.version <= self.version
        {
            self.confirmed_at = self.confirmed_at.max(Some(word.asked_at));
        }
    }
}
