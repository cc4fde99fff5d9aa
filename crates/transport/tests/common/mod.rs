//! Daemons with transports on loopback, and a proxy that records, changes or
//! stalls the connections between them.
#![allow(dead_code, clippy::unwrap_used)]

use consensus::{Message, SnapshotMeta};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use transport::{Bootstrap, ClusterKey, Envelope, PeerMessage, Transport, TransportOptions};
use types::{Address, ClusterId, NodeId, Role, Term, ZoneName};

/// Time after which a test that hangs fails. No other check depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

pub const KEY: &str = "the cluster's secret";
/// Maximum length of an encoded message in the options of the daemons.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Transport and inbox of a daemon without any further logic.
pub struct Daemon {
    pub transport: Transport,
    pub inbox: transport::Inbox,
}

impl Daemon {
    pub async fn start(node: u64, key: &str) -> Self {
        Self::start_at(node, key, "127.0.0.1:0", MAX_FRAME_BYTES).await
    }

    pub async fn start_at(node: u64, key: &str, listen: &str, max_frame_bytes: usize) -> Self {
        let listen: SocketAddr = listen.parse().unwrap();
        let options = TransportOptions {
            listen,
            queue_length: 16,
            max_frame_bytes,
        };
        let own = Address {
            node: NodeId(node),
            role: Role::Agent,
            zone: ZoneName::new("zone-a").unwrap(),
            socket: listen,
        };
        let (transport, inbox) = Transport::start(options, ClusterKey::new(key), own)
            .await
            .unwrap();
        Self { transport, inbox }
    }

    pub fn socket(&self) -> SocketAddr {
        self.transport.own().socket
    }

    pub async fn receive(&mut self) -> Envelope {
        with_timeout(self.inbox.recv()).await.unwrap()
    }

    /// Sends messages until `to` receives one, and returns it. A message may be lost,
    /// so a single one is not enough.
    pub async fn send_until_received(&self, to: &mut Self) -> Envelope {
        loop {
            self.transport.send(to.socket(), numbered_message(0));
            let received = tokio::time::timeout(Duration::from_millis(100), to.inbox.recv());
            if let Ok(envelope) = received.await {
                return envelope.unwrap();
            }
        }
    }
}

/// Waits for `work`. Panics if it does not complete within [`TEST_TIMEOUT`].
pub async fn with_timeout<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, work)
        .await
        .expect("the test hangs")
}

/// Returns a message that carries `number`, so that tests can distinguish messages.
pub fn numbered_message(number: u32) -> PeerMessage {
    PeerMessage::Bootstrap(Bootstrap::Announce { expected: number })
}

/// Returns a message with `bytes` bytes of data, slightly longer when encoded.
pub fn message_of_size(bytes: usize) -> PeerMessage {
    PeerMessage::Raft {
        cluster: ClusterId(1),
        to: NodeId(2),
        message: Message::SnapshotChunk {
            term: Term(1),
            meta: SnapshotMeta::default(),
            offset: 0,
            total: bytes as u64,
            data: vec![0xAB; bytes].into(),
            round: 1,
        },
    }
}

/// A closed connection as recorded by a proxy.
#[derive(Debug, Clone)]
pub struct RecordedConnection {
    /// Socket of the dialling end.
    pub dialled_from: SocketAddr,
    /// Bytes from the dialling end, before any change by the proxy.
    pub bytes: Vec<u8>,
}

/// Change of the bytes from the dialling end by a proxy.
#[derive(Debug, Clone, Copy)]
pub enum Tampering {
    /// Flips one bit of the byte at this offset.
    FlipBitAt(usize),
    /// Forwards each chunk that begins at or after this offset twice.
    RepeatFrom(usize),
}

/// Proxy that forwards connections to a daemon and reports each closed connection.
pub struct Proxy {
    pub socket: SocketAddr,
    closed: mpsc::UnboundedReceiver<RecordedConnection>,
    /// Applied to the next accepted connection, then reset to `None`.
    pub next_tampering: Arc<Mutex<Option<Tampering>>>,
    stalled_below: watch::Sender<usize>,
}

impl Proxy {
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let socket = listener.local_addr().unwrap();
        let (closed_sender, closed) = mpsc::unbounded_channel();
        let next_tampering = Arc::new(Mutex::new(None));
        let tampering_of_next = next_tampering.clone();
        let (stalled_below, stalled_below_receiver) = watch::channel(0);
        tokio::spawn(async move {
            let mut number = 0;
            while let Ok((client, from)) = listener.accept().await {
                let server = TcpStream::connect(to).await.unwrap();
                let tampering = tampering_of_next.lock().unwrap().take();
                let connection = Connection {
                    number,
                    dialled_from: from,
                    tampering,
                    stalled_below: stalled_below_receiver.clone(),
                };
                tokio::spawn(connection.forward(client, server, closed_sender.clone()));
                number += 1;
            }
        });
        Self {
            socket,
            closed,
            next_tampering,
            stalled_below,
        }
    }

    /// Stalls the first connection: discards all further bytes in both directions,
    /// but keeps the connection open.
    pub fn stall_first_connection(&self) {
        self.stalled_below.send_replace(1);
    }

    /// Waits until a connection is closed, and returns its record.
    pub async fn next_closed(&mut self) -> RecordedConnection {
        with_timeout(self.closed.recv()).await.unwrap()
    }
}

/// A connection through the proxy. Connections are numbered from 0 in the order in which
/// they are accepted.
struct Connection {
    number: usize,
    /// Socket of the dialling end.
    dialled_from: SocketAddr,
    tampering: Option<Tampering>,
    /// Connections with a lower number are stalled.
    stalled_below: watch::Receiver<usize>,
}

impl Connection {
    /// Forwards bytes in both directions until one end closes, and then reports the
    /// record of the connection.
    async fn forward(
        self,
        client: TcpStream,
        server: TcpStream,
        closed_sender: mpsc::UnboundedSender<RecordedConnection>,
    ) {
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let mut bytes = Vec::new();
        let client_to_server = async {
            let mut chunk = [0u8; 4096];
            while let Ok(length @ 1..) = from_client.read(&mut chunk).await {
                let forwarded = self.tamper(bytes.len(), &chunk[..length]);
                bytes.extend_from_slice(&chunk[..length]);
                if to_server.write_all(&forwarded).await.is_err() {
                    break;
                }
            }
        };
        let server_to_client = async {
            let mut chunk = [0u8; 4096];
            while let Ok(length @ 1..) = from_server.read(&mut chunk).await {
                if self.is_stalled() {
                    continue;
                }
                if to_client.write_all(&chunk[..length]).await.is_err() {
                    break;
                }
            }
        };
        tokio::select! {
            () = client_to_server => {}
            () = server_to_client => {}
        }
        let dialled_from = self.dialled_from;
        let _ = closed_sender.send(RecordedConnection {
            dialled_from,
            bytes,
        });
    }

    fn is_stalled(&self) -> bool {
        self.number < *self.stalled_below.borrow()
    }

    /// Returns the bytes to forward instead of `chunk`, which begins at
    /// `chunk_offset` of the connection.
    fn tamper(&self, chunk_offset: usize, chunk: &[u8]) -> Vec<u8> {
        let mut forwarded = chunk.to_vec();
        match self.tampering {
            _ if self.is_stalled() => forwarded.clear(),
            Some(Tampering::FlipBitAt(offset))
                if (chunk_offset..chunk_offset + chunk.len()).contains(&offset) =>
            {
                forwarded[offset - chunk_offset] ^= 1;
            }
            Some(Tampering::RepeatFrom(offset)) if chunk_offset >= offset => {
                forwarded.extend_from_slice(chunk);
            }
            _ => {}
        }
        forwarded
    }
}
