//! How many daemons a fleet has, and where they stand.

use super::{Member, MemberId};
use crate::LabError;
use crate::ports::{Addresses, free_sockets};
use std::net::SocketAddr;
use std::path::Path;
use types::{Role, ZoneName};

/// Zones of a fleet; daemons of a role are spread over them in turn.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Seeds each daemon is given.
const SEEDS: usize = 3;

/// How many daemons a fleet has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetPlan {
    /// Coordinators; 3 start a cluster.
    pub coordinators: u8,
    /// Gateways.
    pub gateways: u8,
    /// Agents, one for each runner.
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

/// Third byte of the addresses of a role.
fn address_group(role: Role) -> u8 {
    match role {
        Role::Coordinator => 1,
        Role::Gateway => 2,
        Role::Agent => 3,
    }
}

/// A daemon with a machine, and so an address, of its own.
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

/// Peer sockets every daemon is given: the first of each role, so that each
/// role is found through any of the others.
pub(super) fn seeds(members: &[Member]) -> Vec<SocketAddr> {
    let mut first: Vec<_> = members
        .iter()
        .filter(|member| member.id.ordinal == 1)
        .collect();
    let others = members.iter().filter(|member| member.id.ordinal != 1);
    first.extend(others);
    first.iter().take(SEEDS).map(|member| member.peer).collect()
}
