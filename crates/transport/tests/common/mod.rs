//! Transports on loopback, and a proxy between them that records and spoils.
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

/// Ends a test that hangs; no verdict depends on it otherwise.
const HANG_GUARD: Duration = Duration::from_secs(60);

pub const KEY: &str = "the cluster's secret";
pub const MAX_FRAME_BYTES: usize = 64 * 1024;

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
        guarded(self.inbox.recv()).await.unwrap()
    }

    /// Sends until the receiver has something from this daemon.
    pub async fn reach(&self, to: &mut Self) -> Envelope {
        loop {
            self.transport.send(to.socket(), numbered(0));
            let waiting = tokio::time::timeout(Duration::from_millis(100), to.inbox.recv());
            if let Ok(envelope) = waiting.await {
                return envelope.unwrap();
            }
        }
    }
}

pub async fn guarded<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(HANG_GUARD, work)
        .await
        .expect("the test hangs")
}

/// A message that can be told from others.
pub fn numbered(number: u32) -> PeerMessage {
    PeerMessage::Bootstrap(Bootstrap::Announce { expected: number })
}

/// A message of some size.
pub fn sized(bytes: usize) -> PeerMessage {
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

/// What a proxy saw of one connection.
#[derive(Debug, Clone)]
pub struct Recorded {
    pub dialled_from: SocketAddr,
    /// Bytes from the dialling end.
    pub bytes: Vec<u8>,
}

/// What a proxy does to bytes from the dialling end.
#[derive(Debug, Clone, Copy)]
pub enum Spoil {
    /// Flips a bit of the byte at this offset.
    Flip(usize),
    /// Passes each piece that begins at or behind this offset twice.
    Repeat(usize),
}

/// Passes connections on, one after another, and tells of each when it ends.
pub struct Proxy {
    pub socket: SocketAddr,
    ended: mpsc::UnboundedReceiver<Recorded>,
    /// Done to the next connection.
    pub spoil: Arc<Mutex<Option<Spoil>>>,
    silent: watch::Sender<usize>,
}

impl Proxy {
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let socket = listener.local_addr().unwrap();
        let (tell, ended) = mpsc::unbounded_channel();
        let spoil = Arc::new(Mutex::new(None));
        let next_spoil = spoil.clone();
        let (silent, silent_before) = watch::channel(0);
        tokio::spawn(async move {
            let mut number = 0;
            while let Ok((client, from)) = listener.accept().await {
                let server = TcpStream::connect(to).await.unwrap();
                let spoil = next_spoil.lock().unwrap().take();
                let connection = Connection {
                    number,
                    dialled_from: from,
                    spoil,
                    silent_before: silent_before.clone(),
                };
                tokio::spawn(connection.pass(client, server, tell.clone()));
                number += 1;
            }
        });
        Self {
            socket,
            ended,
            spoil,
            silent,
        }
    }

    /// Swallows what goes through the first connection, and keeps it open.
    pub fn silence_first(&self) {
        self.silent.send_replace(1);
    }

    pub async fn ended(&mut self) -> Recorded {
        guarded(self.ended.recv()).await.unwrap()
    }
}

struct Connection {
    number: usize,
    dialled_from: SocketAddr,
    spoil: Option<Spoil>,
    /// Connections with a lower number pass nothing on.
    silent_before: watch::Receiver<usize>,
}

impl Connection {
    async fn pass(
        self,
        client: TcpStream,
        server: TcpStream,
        tell: mpsc::UnboundedSender<Recorded>,
    ) {
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let mut bytes = Vec::new();
        let forth = async {
            let mut piece = [0u8; 4096];
            while let Ok(length @ 1..) = from_client.read(&mut piece).await {
                let passed = self.spoiled(bytes.len(), &piece[..length]);
                bytes.extend_from_slice(&piece[..length]);
                if to_server.write_all(&passed).await.is_err() {
                    break;
                }
            }
        };
        let back = async {
            let mut piece = [0u8; 4096];
            while let Ok(length @ 1..) = from_server.read(&mut piece).await {
                if self.is_silent() {
                    continue;
                }
                if to_client.write_all(&piece[..length]).await.is_err() {
                    break;
                }
            }
        };
        tokio::select! {
            () = forth => {}
            () = back => {}
        }
        let dialled_from = self.dialled_from;
        let _ = tell.send(Recorded {
            dialled_from,
            bytes,
        });
    }

    fn is_silent(&self) -> bool {
        self.number < *self.silent_before.borrow()
    }

    fn spoiled(&self, offset: usize, piece: &[u8]) -> Vec<u8> {
        let mut passed = piece.to_vec();
        match self.spoil {
            _ if self.is_silent() => passed.clear(),
            Some(Spoil::Flip(place)) if (offset..offset + piece.len()).contains(&place) => {
                passed[place - offset] ^= 1;
            }
            Some(Spoil::Repeat(place)) if offset >= place => passed.extend_from_slice(piece),
            _ => {}
        }
        passed
    }
}
