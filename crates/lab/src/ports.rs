//! Loopback addresses: one for each machine of a fleet, with free ports.

use crate::LabError;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// First second-byte used, so that common loopback addresses stay free.
const FIRST_BLOCK: u32 = 16;
/// Blocks to share among lab processes.
const BLOCKS: u32 = 200;

/// Gives each machine of one fleet a loopback address of its own.
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
    /// Addresses of one lab process; another process most likely has others.
    pub fn of_process(process: u32) -> Self {
        let block = FIRST_BLOCK + process % BLOCKS;
        Self {
            block: u8::try_from(block).unwrap_or(u8::MAX),
        }
    }

    /// `127.<block>.<group>.<machine>`.
    pub fn machine(&self, group: u8, machine: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.block, group, machine))
    }
}

/// Several different free ports on this address.
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
