//! Loopback addresses and free ports: one address for each machine of a fleet.

use crate::LabError;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Lowest second byte of the addresses, above that of the commonly used 127.0.0.1.
const FIRST_BLOCK: u32 = 16;
/// Number of second bytes; a lab process takes one by its process id.
const BLOCKS: u32 = 200;

/// Allocator of loopback addresses, one for each machine of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    block: u8,
}

impl Default for Addresses {
    fn default() -> Self {
        Self::of_process(std::process::id())
    }
}

impl Addresses {
    /// Returns the allocator of one lab process. Process ids that differ by a
    /// multiple of 200 share their addresses.
    pub fn of_process(process: u32) -> Self {
        let block = FIRST_BLOCK + process % BLOCKS;
        Self {
            block: u8::try_from(block).unwrap_or(u8::MAX),
        }
    }

    /// Returns `127.<block>.<group>.<machine>`.
    pub fn machine(&self, group: u8, machine: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.block, group, machine))
    }
}

/// Returns sockets on the address with distinct free ports. The ports are released
/// again, so another process can bind one before it is used.
///
/// # Errors
///
/// Fails if the system has no free port.
pub fn free_sockets<const COUNT: usize>(address: IpAddr) -> Result<[SocketAddr; COUNT], LabError> {
    let bind = || TcpListener::bind((address, 0)).map_err(LabError::Address);
    let mut listeners = Vec::with_capacity(COUNT);
    for _ in 0..COUNT {
        listeners.push(bind()?);
    }
    let mut sockets = [SocketAddr::new(address, 0); COUNT];
    for (socket, listener) in sockets.iter_mut().zip(&listeners) {
        *socket = listener.local_addr().map_err(LabError::Address)?;
    }
    Ok(sockets)
}
