//! Replica of the cluster's configuration in a process without a disk.

use configuration::ClusterConfiguration;
use types::{ConfigurationVersion, Milliseconds, Monotonic};

/// Newest configuration that this process received.
///
/// The version only increases. The document is valid for a limited time after
/// the leader last confirmed that no newer version exists.
#[derive(Debug)]
pub struct Replica {
    valid_for: Milliseconds,
    version: ConfigurationVersion,
    document: ClusterConfiguration,
    /// Last report of the leader; `None` before the first one.
    leader_version: Option<LeaderVersion>,
    /// Time from which the document is valid; `None` before the leader first
    /// confirmed it.
    confirmed_at: Option<Monotonic>,
}

/// Current version of the configuration, as the leader reported it.
#[derive(Debug, Clone, Copy)]
struct LeaderVersion {
    /// Time at which the keep-alive was sent to which the leader replied.
    requested_at: Monotonic,
    version: ConfigurationVersion,
}

impl Replica {
    /// Creates a replica with an empty document of version 0 that is not yet
    /// confirmed. `valid_for` is the time for which a confirmation holds.
    pub fn new(valid_for: Milliseconds) -> Self {
        Self {
            valid_for,
            version: ConfigurationVersion::default(),
            document: ClusterConfiguration::default(),
            leader_version: None,
            confirmed_at: None,
        }
    }

    /// Returns the version of the document, whether it is valid or not.
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// Replaces the document if `version` is newer. Returns whether it was
    /// replaced.
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

    /// Records the current version, as the leader reported it in reply to a
    /// keep-alive sent at `requested_at`. Ignores the reply to an earlier
    /// keep-alive than the last one recorded.
    pub fn record_leader_version(
        &mut self,
        requested_at: Monotonic,
        version: ConfigurationVersion,
    ) {
        let last = self.leader_version;
        if last.is_some_and(|last| last.requested_at > requested_at) {
            return;
        }
        self.leader_version = Some(LeaderVersion {
            requested_at,
            version,
        });
        self.confirm();
    }

    /// Returns version and document, or `None` if they are not valid at `now`.
    pub fn valid(&self, now: Monotonic) -> Option<(ConfigurationVersion, &ClusterConfiguration)> {
        let confirmed_at = self.confirmed_at?;
        (now < confirmed_at + self.valid_for).then_some((self.version, &self.document))
    }

    /// Extends the validity of the document according to the leader's last report,
    /// unless the leader reported a newer version.
    fn confirm(&mut self) {
        if let Some(reported) = self.leader_version
            && reported.version <= self.version
        {
            self.confirmed_at = self.confirmed_at.max(Some(reported.requested_at));
        }
    }
}
