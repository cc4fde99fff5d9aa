//! Handshake in which both ends prove possession of the cluster key.
//!
//! ```text
//! client: magic version hello(nonce, address)
//! server: magic version hello(nonce, address)
//! client: HMAC(key, "client proof", both hellos)
//! server: HMAC(key, "server proof", both hellos)
//! ```
//!
//! Fresh nonces prevent the replay of a proof. Different labels prevent the
//! reflection of a proof to its sender. The server sends its proof last, so a
//! client without the key receives no data that was computed with it.

use super::frame::Channel;
use super::key::{ClusterKey, MAC_BYTES, labelled_mac};
use hmac::Mac;
use serde::{Deserialize, Serialize};
use std::io;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use types::Address;

/// Version of the handshake, the frames and the messages.
///
/// Daemons of different versions reject each other's connections.
pub const PROTOCOL_VERSION: u32 = 3;

const MAGIC: [u8; 4] = *b"CYPD";
const NONCE_BYTES: usize = 32;
/// Maximum length of an encoded hello in bytes, well above that of any address.
const MAX_HELLO_BYTES: usize = 1024;

const CLIENT_PROOF: &str = "client proof";
const SERVER_PROOF: &str = "server proof";
const CLIENT_FRAMES: &str = "client frames";
const SESSION_KEY: &str = "session";
const SERVER_FRAMES: &str = "server frames";

/// Reason for which a handshake failed.
#[derive(Debug, Error)]
pub(super) enum HandshakeError {
    #[error(transparent)]
    Closed(#[from] io::Error),
    #[error("the peer uses a different protocol")]
    UnknownProtocol,
    #[error("the peer uses protocol version {peer_version}, this daemon uses {PROTOCOL_VERSION}")]
    VersionMismatch { peer_version: u32 },
    #[error("the hello is malformed or too long")]
    InvalidHello,
    #[error("the peer's proof does not match the cluster key")]
    WrongKey,
    #[error(
        "the connection closed before the peer's proof; the peer may have a different cluster key"
    )]
    Aborted,
}

#[derive(Serialize, Deserialize)]
struct Hello {
    nonce: [u8; NONCE_BYTES],
    address: Address,
}

/// Result of a successful handshake: the peer, and the frame keys of each
/// direction.
#[derive(Debug)]
pub(super) struct Authenticated {
    /// Address in the hello of the peer, covered by the peer's proof.
    pub peer: Address,
    /// Frames from the dialling end to the listening end.
    pub client_frames: Channel,
    /// Frames from the listening end to the dialling end.
    pub server_frames: Channel,
}

/// Performs the handshake of the dialling end.
pub(super) async fn connect(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &ClusterKey,
    own: &Address,
) -> Result<Authenticated, HandshakeError> {
    let client_hello = encode_hello(own)?;
    write_hello(stream, &client_hello).await?;
    let server_hello = read_hello(stream).await?;
    let transcript = Transcript::new(key, &client_hello, &server_hello);
    stream.write_all(&transcript.proof(CLIENT_PROOF)).await?;
    match transcript.check_proof(stream, SERVER_PROOF).await {
        Err(HandshakeError::Closed(_)) => return Err(HandshakeError::Aborted),
        result => result?,
    }
    transcript.authenticated(&server_hello)
}

/// Performs the handshake of the listening end.
pub(super) async fn accept(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &ClusterKey,
    own: &Address,
) -> Result<Authenticated, HandshakeError> {
    let server_hello = encode_hello(own)?;
    let client_hello = match read_hello(stream).await {
        Err(HandshakeError::VersionMismatch { peer_version }) => {
            // The hello contains the version of this daemon, so the peer can log
            // both versions.
            write_hello(stream, &server_hello).await?;
            return Err(HandshakeError::VersionMismatch { peer_version });
        }
        result => result?,
    };
    write_hello(stream, &server_hello).await?;
    let transcript = Transcript::new(key, &client_hello, &server_hello);
    transcript.check_proof(stream, CLIENT_PROOF).await?;
    stream.write_all(&transcript.proof(SERVER_PROOF)).await?;
    transcript.authenticated(&client_hello)
}

/// Both hellos of a handshake. Proofs and session keys are computed over them.
struct Transcript<'a> {
    key: &'a ClusterKey,
    bytes: Vec<u8>,
}

impl<'a> Transcript<'a> {
    fn new(key: &'a ClusterKey, client_hello: &[u8], server_hello: &[u8]) -> Self {
        let mut bytes = PROTOCOL_VERSION.to_le_bytes().to_vec();
        for hello in [client_hello, server_hello] {
            bytes.extend_from_slice(&(hello.len() as u64).to_le_bytes());
            bytes.extend_from_slice(hello);
        }
        Self { key, bytes }
    }

    fn proof(&self, label: &str) -> [u8; MAC_BYTES] {
        let mut mac = self.key.labelled_mac(label);
        mac.update(&self.bytes);
        mac.finalize().into_bytes().into()
    }

    async fn check_proof(
        &self,
        stream: &mut (impl AsyncRead + Unpin),
        label: &str,
    ) -> Result<(), HandshakeError> {
        let mut proof = [0u8; MAC_BYTES];
        stream.read_exact(&mut proof).await?;
        let mut mac = self.key.labelled_mac(label);
        mac.update(&self.bytes);
        mac.verify_slice(&proof)
            .map_err(|_| HandshakeError::WrongKey)
    }

    /// Derives the keys of the connection and decodes the hello of the peer.
    fn authenticated(&self, peer_hello: &[u8]) -> Result<Authenticated, HandshakeError> {
        let hello: Hello =
            postcard::from_bytes(peer_hello).map_err(|_| HandshakeError::InvalidHello)?;
        let session_key = self.proof(SESSION_KEY);
        let channel = |label| {
            let secret = labelled_mac(&session_key, label).finalize().into_bytes();
            Channel::new(&secret)
        };
        Ok(Authenticated {
            peer: hello.address,
            client_frames: channel(CLIENT_FRAMES),
            server_frames: channel(SERVER_FRAMES),
        })
    }
}

fn encode_hello(own: &Address) -> Result<Vec<u8>, HandshakeError> {
    let hello = Hello {
        nonce: rand::random(),
        address: own.clone(),
    };
    postcard::to_stdvec(&hello).map_err(|_| HandshakeError::InvalidHello)
}

async fn write_hello(
    stream: &mut (impl AsyncWrite + Unpin),
    hello: &[u8],
) -> Result<(), HandshakeError> {
    let length = u16::try_from(hello.len()).map_err(|_| HandshakeError::InvalidHello)?;
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&PROTOCOL_VERSION.to_le_bytes());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(hello);
    stream.write_all(&bytes).await?;
    Ok(())
}

async fn read_hello(stream: &mut (impl AsyncRead + Unpin)) -> Result<Vec<u8>, HandshakeError> {
    let mut magic = [0u8; MAGIC.len()];
    stream.read_exact(&mut magic).await?;
    if magic != MAGIC {
        return Err(HandshakeError::UnknownProtocol);
    }
    let peer_version = stream.read_u32_le().await?;
    if peer_version != PROTOCOL_VERSION {
        return Err(HandshakeError::VersionMismatch { peer_version });
    }
    let length = usize::from(stream.read_u16_le().await?);
    if length > MAX_HELLO_BYTES {
        return Err(HandshakeError::InvalidHello);
    }
    let mut hello = vec![0u8; length];
    stream.read_exact(&mut hello).await?;
    Ok(hello)
}
