//! What the settings of every role have.

use crate::reader::Reader;
use crate::{ClusterSecret, LogSettings};
use std::net::SocketAddr;
use types::ZoneName;

/// Seeds a daemon is given; some may be dead, or the daemon itself.
pub const SEEDS: usize = 3;

/// Place of one daemon among the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Key `zone`: machines that fail together share one.
    pub zone: ZoneName,
    /// Key `listen`: socket for other daemons.
    pub listen: SocketAddr,
    /// Key `advertise`: where other daemons reach `listen`. Default: `listen`.
    pub advertise: SocketAddr,
    /// Key `seeds`: peer sockets of three processes of any role.
    pub seeds: Vec<SocketAddr>,
    /// Key `cluster_key_file`: file with the secret all daemons share.
    pub cluster_key: ClusterSecret,
    /// Key `grace_ms`: longest time to end after a polite stop. Default 10000.
    pub grace_ms: u64,
    /// Table `transport`.
    pub transport: TransportSettings,
    /// Table `log`.
    pub log: LogSettings,
}

impl NodeSettings {
    pub(crate) fn read(reader: &mut Reader) -> Option<Self> {
        let zone = reader.required("zone");
        let listen = reader.required("listen");
        let advertise = read_advertise(reader, listen);
        let seeds = read_seeds(reader);
        let cluster_key = ClusterSecret::read(reader, "cluster_key_file");
        let grace_ms = reader.ranged("grace_ms", 10_000, 100..=600_000);
        let transport = TransportSettings::read(reader);
        let log = LogSettings::read(reader);
        Some(Self {
            zone: zone?,
            listen: listen?,
            advertise: advertise?,
            seeds: seeds?,
            cluster_key: cluster_key?,
            grace_ms,
            transport,
            log,
        })
    }
}

fn read_advertise(reader: &mut Reader, listen: Option<SocketAddr>) -> Option<SocketAddr> {
    let given: Option<SocketAddr> = reader.optional("advertise");
    let advertise = given.or(listen)?;
    if advertise.ip().is_unspecified() {
        reader.message(
            "advertise",
            format!("others cannot reach {advertise}; give the address they dial"),
        );
    }
    if advertise.port() == 0 {
        reader.message("advertise", "port 0 cannot be dialled");
    }
    Some(advertise)
}

fn read_seeds(reader: &mut Reader) -> Option<Vec<SocketAddr>> {
    let seeds: Vec<SocketAddr> = reader.required("seeds")?;
    if seeds.len() != SEEDS {
        let found = seeds.len();
        reader.message("seeds", format!("needs {SEEDS} sockets, has {found}"));
    }
    let distinct: std::collections::BTreeSet<_> = seeds.iter().collect();
    if distinct.len() != seeds.len() {
        reader.message("seeds", "names a socket twice");
    }
    Some(seeds)
}

/// Reads a second listener, which must not be the peer listener.
pub(crate) fn read_listener(
    reader: &mut Reader,
    key: &str,
    node: Option<&NodeSettings>,
) -> Option<SocketAddr> {
    let listener: SocketAddr = reader.required(key)?;
    if node.is_some_and(|node| node.listen == listener) {
        reader.message(key, "is the same socket as listen");
    }
    Some(listener)
}

/// Table `transport`: bounds of the connections between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransportSettings {
    /// Messages held for one destination; the oldest go first when it is
    /// full. Default 4096.
    pub queue_length_messages: usize,
    /// Longest frame. Default 8 MiB.
    pub max_frame_bytes: usize,
}

impl TransportSettings {
    fn read(reader: &mut Reader) -> Self {
        Self {
            queue_length_messages: reader.ranged(
                "transport.queue_length_messages",
                4_096,
                16..=1_000_000,
            ),
            max_frame_bytes: reader.ranged(
                "transport.max_frame_bytes",
                8 * 1024 * 1024,
                64 * 1024..=256 * 1024 * 1024,
            ),
        }
    }
}
