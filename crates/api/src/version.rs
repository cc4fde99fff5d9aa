//! JSON bodies of configuration versions and of the members that use them.

use crate::configuration::ConfigurationBody;
use serde::{Deserialize, Serialize};

/// Response to `PUT` and `PATCH /v1/configuration/{version}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfiguredBody {
    /// Version that the request put into force.
    pub version: u64,
    /// Whether the same request had been applied before.
    pub known: bool,
}

/// Response to `GET /v1/configuration`, from the replica of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationViewBody {
    /// Version in force on the gateway.
    pub version: u64,
    /// Identity of the gateway, in decimal. A string, since it uses all 64 bits.
    pub node: String,
    /// Configuration document of that version.
    pub configuration: ConfigurationBody,
}

/// Response to `GET /v1/configuration/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatusBody {
    /// Newest version that any member reports, or 0 if none has reported.
    pub newest: u64,
    /// Whether every member reports `newest`. `false` while a member has
    /// reported no version to this leader. A dead coordinator counts as a member
    /// until it is replaced.
    pub everywhere: bool,
    /// Reported version of each member.
    pub members: Vec<MemberVersionBody>,
}

/// Configuration version that one member reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberVersionBody {
    /// Identity of the member, in decimal. A string, since it uses all 64 bits.
    pub node: String,
    /// Role of the member: `coordinator`, `gateway` or `agent`.
    pub role: String,
    /// Zone that the member runs in. `unknown` for a coordinator before its first
    /// message.
    pub zone: String,
    /// Version last reported to the leader. `null` before the first report.
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
