//! JSON bodies: configuration versions, and where each is in force.

use crate::configuration::ConfigurationBody;
use serde::{Deserialize, Serialize};
use types::Role;

/// Answer to `PUT /v1/configuration/{version}`.
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
    /// True when every gateway and agent reports it. Coordinators hold it in
    /// their log and serve from there, so theirs does not count.
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
    /// Version last reported.
    pub version: u64,
}

impl From<Vec<peer::MemberView>> for ConfigurationStatusBody {
    fn from(members: Vec<peer::MemberView>) -> Self {
        let newest = members.iter().map(|member| member.configuration.0).max();
        let newest = newest.unwrap_or(0);
        Self {
            newest,
            everywhere: members
                .iter()
                .filter(|member| member.address.role != Role::Coordinator)
                .all(|member| member.configuration.0 == newest),
            members: members
                .into_iter()
                .map(|member| MemberVersionBody {
                    node: member.address.node.to_string(),
                    role: member.address.role.to_string(),
                    zone: member.address.zone.to_string(),
                    version: member.configuration.0,
                })
                .collect(),
        }
    }
}
