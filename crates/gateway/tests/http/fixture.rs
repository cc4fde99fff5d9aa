//! A gateway that runs in a task, with an emulated leader and an HTTP client.

use configuration::ClusterConfiguration;
use gateway::shell::{GatewayError, ShellOptions, run_with_listener};
use reqwest::header::{HeaderMap, HeaderValue};
use reqwest::{Method, RequestBuilder, Response};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use transport::{
    ClusterKey, Operation, OperationReply, PeerMessage, Rejection, RejectionCode, Reply,
    SessionLease, Transport, TransportOptions,
};
use types::{Address, ClusterId, ConfigurationVersion, Milliseconds, NodeId, Role, Term};

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Pause between two reads of `/readyz`.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout long enough that it does not expire during a test on a busy machine.
const LONG_TIMEOUT: Milliseconds = Milliseconds(30_000);
const TERM: Term = Term(1);
pub const GATEWAY_NODE: u64 = u64::MAX;

/// Function that returns the leader's result for an operation, or `None` for no reply.
pub type Script = dyn FnMut(&Operation) -> Option<Result<OperationReply, Rejection>> + Send;

/// Emulated leader that replies to session messages and forwarded requests.
struct Leader {
    document: ClusterConfiguration,
    script: Box<Script>,
}

/// Options of the gateway that a test may change.
pub struct Setup {
    pub max_waiting_requests: usize,
    pub document: ClusterConfiguration,
    pub grace: Milliseconds,
    pub resend_after: Milliseconds,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            max_waiting_requests: 64,
            document: ClusterConfiguration::default(),
            grace: LONG_TIMEOUT,
            resend_after: LONG_TIMEOUT,
        }
    }
}

/// Running gateway with an emulated leader and an HTTP client.
pub struct Fixture {
    pub http: SocketAddr,
    pub stop: watch::Sender<bool>,
    pub gateway: JoinHandle<Result<(), GatewayError>>,
    client: reqwest::Client,
}

fn key() -> ClusterKey {
    ClusterKey::new(*b"a key of enough bytes for a test")
}

fn transport_options() -> TransportOptions {
    TransportOptions {
        listen: LOOPBACK,
        queue_length: 256,
        max_frame_bytes: 1 << 20,
    }
}

fn address(node: u64, role: Role) -> Address {
    Address {
        node: NodeId(node),
        role,
        zone: "z-1".parse().unwrap(),
        socket: LOOPBACK,
    }
}

impl Fixture {
    /// Starts a gateway whose leader replies by `script`, and waits until it is ready.
    pub async fn start(
        script: impl FnMut(&Operation) -> Option<Result<OperationReply, Rejection>> + Send + 'static,
    ) -> Self {
        Self::start_with(Setup::default(), Box::new(script)).await
    }

    /// Starts a gateway as [`Fixture::start`] does, with the options in `setup`.
    pub async fn start_with(setup: Setup, script: Box<Script>) -> Self {
        let leader = Leader {
            document: setup.document.clone(),
            script,
        };
        let started = Transport::start(transport_options(), key(), address(1, Role::Coordinator));
        let (transport, incoming) = started.await.unwrap();
        let leader_socket = transport.own().socket;
        tokio::spawn(run_leader(leader, transport, incoming));

        let listener = TcpListener::bind(LOOPBACK).await.unwrap();
        let http = listener.local_addr().unwrap();
        let (stop, stop_receiver) = watch::channel(false);
        let options = gateway_options(http, leader_socket, &setup);
        let fixture = Self {
            http,
            stop,
            gateway: tokio::spawn(run_with_listener(listener, options, stop_receiver)),
            client: client_with_long_deadline(),
        };
        fixture.wait_for_readiness(200).await;
        fixture
    }

    /// Waits until `/readyz` returns this status.
    pub async fn wait_for_readiness(&self, status: u16) {
        while self.get("/readyz").await.status() != status {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Creates a request without a body, which the test completes and sends.
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.http);
        self.client.request(method, url)
    }

    /// Sends a `GET` request, and returns the response.
    pub async fn get(&self, path: &str) -> Response {
        self.request(Method::GET, path).send().await.unwrap()
    }

    /// Sends a `POST` request with a JSON body, and returns the response.
    pub async fn post(&self, path: &str, body: &str) -> Response {
        let request = self.request(Method::POST, path).body(body.to_owned());
        request.send().await.unwrap()
    }
}

/// Returns the status and the JSON body of a response.
pub async fn read(response: Response) -> (u16, Value) {
    let status = response.status().as_u16();
    (status, response.json().await.unwrap())
}

/// Returns a rejection by the leader, with the retry time in milliseconds.
pub fn rejected(
    code: RejectionCode,
    retry_after: Option<u64>,
) -> Option<Result<OperationReply, Rejection>> {
    Some(Err(Rejection {
        code,
        message: "rejected by the leader".to_owned(),
        retry_after: retry_after.map(Milliseconds),
        problems: Vec::new(),
    }))
}

/// Creates a client whose requests have a long deadline unless they set their own.
fn client_with_long_deadline() -> reqwest::Client {
    let mut headers = HeaderMap::new();
    headers.insert("deadline-ms", HeaderValue::from(LONG_TIMEOUT.0));
    let builder = reqwest::Client::builder().default_headers(headers);
    builder.build().unwrap()
}

fn gateway_options(http: SocketAddr, seed: SocketAddr, setup: &Setup) -> ShellOptions {
    ShellOptions {
        core: gateway::GatewayOptions {
            address: address(GATEWAY_NODE, Role::Gateway),
            seeds: vec![seed],
            session_interval: Milliseconds(50),
            replica_valid: LONG_TIMEOUT,
            max_waiting_requests: setup.max_waiting_requests,
            resend_after: setup.resend_after,
            seed: 1,
        },
        transport: transport_options(),
        cluster_key: key(),
        http_listen: http,
        grace: setup.grace,
    }
}

async fn run_leader(mut leader: Leader, transport: Transport, mut incoming: transport::Inbox) {
    while let Some(envelope) = incoming.recv().await {
        let replies = leader.receive(transport.own(), envelope.body);
        for reply in replies {
            transport.send(envelope.from.socket, reply);
        }
    }
}

impl Leader {
    fn receive(&mut self, own: &Address, message: PeerMessage) -> Vec<PeerMessage> {
        match message {
            PeerMessage::Discover => vec![PeerMessage::Members(transport::Members {
                members: vec![own.clone()],
                leader: Some(own.clone()),
                term: TERM,
                cluster: Some(ClusterId(1)),
            })],
            PeerMessage::KeepAlive(keep_alive) => vec![
                PeerMessage::Lease(SessionLease {
                    term: TERM,
                    leader: own.clone(),
                    cluster: ClusterId(1),
                    sequence: keep_alive.sequence,
                    lease: LONG_TIMEOUT,
                    configuration: ConfigurationVersion(1),
                    coordinators: vec![own.clone()],
                    others: Vec::new(),
                }),
                PeerMessage::Configuration {
                    version: ConfigurationVersion(1),
                    document: self.document.clone(),
                },
            ],
            PeerMessage::Request(request) => (self.script)(&request.operation)
                .map(|result| {
                    PeerMessage::Reply(Reply {
                        id: request.id,
                        result,
                    })
                })
                .into_iter()
                .collect(),
            _ => Vec::new(),
        }
    }
}
