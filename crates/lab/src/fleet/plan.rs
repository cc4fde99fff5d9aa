//! Size of a fleet, and the zones and addresses of its daemons.

use super::{Member, MemberId};
use crate::LabError;
use crate::ports::{Addresses, free_sockets};
use std::net::SocketAddr;
use std::path::Path;
use types::{Role, ZoneName};

/// Zones of a fleet; the daemons of a role are assigned to them in round robin.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Number of seeds in each daemon's settings.
const SEED_COUNT: usize = 3;

/// Number of daemons of each role in a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetPlan {
    /// Number of coordinators; a cluster starts with 3.
    pub coordinators: u8,
    /// Number of gateways.
    pub gateways: u8,
    /// Number of agents, one for each runner.
    pub agents: u8,
}

impl FleetPlan {
    /// Today's size: 3 coordinators, 3 gateways, 11 agents.
    pub const TODAY: Self = Self {
        coordinators: 3,
        gateways: 3,
        agents: 11,
    };

    pub(super) fn members(
        &self,
        addresses: &Addresses,
        folder: &Path,
    ) -> Result<Vec<Member>, LabError> {
        let mut members = Vec::new();
        for (role, count) in [
            (Role::Coordinator, self.coordinators),
            (Role::Gateway, self.gateways),
            (Role::Agent, self.agents),
        ] {
            for ordinal in 1..=count {
                members.push(member(MemberId { role, ordinal }, addresses, folder)?);
            }
        }
        Ok(members)
    }
}

/// Returns the third byte of the addresses of a role.
fn address_group(role: Role) -> u8 {
    match role {
        Role::Coordinator => 1,
        Role::Gateway => 2,
        Role::Agent => 3,
    }
}

/// Returns a daemon with its own address and two free sockets on it.
pub(super) fn member(
    id: MemberId,
    addresses: &Addresses,
    folder: &Path,
) -> Result<Member, LabError> {
    let machine = addresses.machine(address_group(id.role), id.ordinal);
    let [peer, http] = free_sockets(machine)?;
    let zone = ZONES[usize::from(id.ordinal - 1) % ZONES.len()];
    let zone = ZoneName::new(zone).map_err(std::io::Error::other);
    Ok(Member {
        id,
        zone: zone.map_err(LabError::file(folder))?,
        peer,
        http,
        settings: folder.join(format!("{id}.toml")),
        data: folder.join(format!("{id}.data")),
        log: folder.join(format!("{id}.log")),
        process: None,
    })
}

/// Returns the peer sockets in every daemon's settings: those of the first daemon
/// of each role, so that each role can be discovered through any other.
pub(super) fn seeds(members: &[Member]) -> Vec<SocketAddr> {
    let mut first: Vec<_> = members
        .iter()
        .filter(|member| member.id.ordinal == 1)
        .collect();
    let others = members.iter().filter(|member| member.id.ordinal != 1);
    first.extend(others);
    first
        .iter()
        .take(SEED_COUNT)
        .map(|member| member.peer)
        .collect()
}
