//! Settings that all roles share.

use crate::reader::Reader;
use crate::{ClusterSecret, LogSettings};
use std::net::SocketAddr;
use types::ZoneName;

/// Number of seeds in the settings. Some may be down, and one may be the daemon itself.
pub const SEED_COUNT: usize = 3;

/// Settings of any daemon: its place in the cluster, transport and log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Key `zone`: zone of the machine. Machines that may fail together have the same.
    pub zone: ZoneName,
    /// Key `listen`: peer listener, for connections of other daemons.
    pub listen: SocketAddr,
    /// Key `advertise`: address at which other daemons reach `listen`. Default: `listen`.
    pub advertise: SocketAddr,
    /// Key `seeds`: peer addresses of three different daemons of any role.
    pub seeds: Vec<SocketAddr>,
    /// Key `cluster_key_file`: file with the secret that all daemons share.
    pub cluster_key: ClusterSecret,
    /// Key `grace_ms`: maximum time for a graceful shutdown, in milliseconds.
    /// Default 10000.
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
    let configured: Option<SocketAddr> = reader.optional("advertise");
    let advertise = configured.or(listen)?;
    if advertise.ip().is_unspecified() {
        reader.add_problem(
            "advertise",
            format!("other daemons cannot reach {advertise}; set an address that they can reach"),
        );
    }
    if advertise.port() == 0 {
        reader.add_problem("advertise", "other daemons cannot connect to port 0");
    }
    Some(advertise)
}

fn read_seeds(reader: &mut Reader) -> Option<Vec<SocketAddr>> {
    let seeds: Vec<SocketAddr> = reader.required("seeds")?;
    if seeds.len() != SEED_COUNT {
        let found = seeds.len();
        reader.add_problem("seeds", format!("needs {SEED_COUNT} sockets, has {found}"));
    }
    let distinct: std::collections::BTreeSet<_> = seeds.iter().collect();
    if distinct.len() != seeds.len() {
        reader.add_problem("seeds", "contains a socket twice");
    }
    Some(seeds)
}

/// Reads a further listener, which must differ from the peer listener.
pub(crate) fn read_listener(
    reader: &mut Reader,
    key: &str,
    node: Option<&NodeSettings>,
) -> Option<SocketAddr> {
    let listener: SocketAddr = reader.required(key)?;
    if node.is_some_and(|node| node.listen == listener) {
        reader.add_problem(key, "is the same socket as listen");
    }
    Some(listener)
}

/// Table `transport`: limits of the connections between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransportSettings {
    /// Maximum number of queued messages to one destination; a full queue drops its
    /// oldest messages. Default 4096.
    pub queue_length_messages: usize,
    /// Maximum length of a frame, in bytes. Default 8 MiB.
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
