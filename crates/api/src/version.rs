//! JSON bodies: configuration versions, and where each is in force.

use crate::configuration::ConfigurationBody;
use serde::{Deserialize, Serialize};

/// Answer to `PUT` and `PATCH /v1/configuration/{version}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfiguredBody {
    /// The version in force.
    pub version: u64,
    /// True for a resent order.
    pub known: bool,
}

/// Answer to `GET /v1/configuration`, from the replica of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationViewBody {
    /// The version in force there.
    pub version: u64,
    /// Identity of the gateway, in decimal.
    pub node: String,
    /// The document.
    pub configuration: ConfigurationBody,
}

/// Answer to `GET /v1/configuration/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatusBody {
    /// Newest version any member reports.
    pub newest: u64,
    /// Whether every member reports it; one that has reported nothing to
    /// this leader does not. A dead coordinator counts until it is replaced.
    pub everywhere: bool,
    /// Version by member.
    pub members: Vec<MemberVersionBody>,
}

/// The version one member reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberVersionBody {
    /// Identity, in decimal.
    pub node: String,
    /// `coordinator`, `gateway` or `agent`.
    pub role: String,
    /// Zone.
    pub zone: String,
    /// Version last reported to the leader; `null` while it has not reported.
    pub version: Option<u64>,
}

impl From<Vec<transport::MemberView>> for ConfigurationStatusBody {
    fn from(members: Vec<transport::MemberView>) -> Self {
        let reported = members.iter().map(|member| member.configuration);
        let newest = reported.clone().max().flatten().unwrap_or_default();
        Self {
            newest: newest.0,
            everywhere: reported.into_iter().all(|version| version == Some(newest)),
            members: members
                .into_iter()
                .map(|member| MemberVersionBody {
                    node: member.address.node.to_string(),
                    role: member.address.role.to_string(),
                    zone: member.address.zone.to_string(),
                    version: member.configuration.map(|version| version.0),
                })
                .collect(),
        }
    }
}
