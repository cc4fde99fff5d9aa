//! A leader controlled by the test, and an agent that runs on loopback sockets.

use agent::{AgentError, AgentOptions, ShellOptions};
use configuration::{ClusterConfiguration, Key, KeyHash, KeyRole};
use emulator::runner::{Behaviour, RunnerOptions};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use transport::{ClusterKey, Envelope, PeerMessage, SessionLease, Transport, TransportOptions};
use types::{
    Address, ClusterId, ConfigurationVersion, JobId, JobKey, KeyId, Labels, Milliseconds, NodeId,
    OrderKind, OrderSequence, PoolName, RackName, Resources, Role, RunId, RunSpec, RunnerId,
    RunnerIncarnation, RunnerOrder, RunnerReport, StepName, TenantId, Term, ZoneName,
};

/// Timeout that fails a test that hangs. No other result depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
pub const TERM: Term = Term(3);

pub async fn with_timeout<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, work)
        .await
        .expect("the test timed out")
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn address(node: u64, role: Role) -> Address {
    Address {
        node: NodeId(node),
        role,
        zone: ZoneName::new("zone-a").unwrap(),
        socket: loopback(),
    }
}

fn transport_options() -> TransportOptions {
    TransportOptions {
        listen: loopback(),
        queue_length: 64,
        max_frame_bytes: 1024 * 1024,
    }
}

/// A leader that renews the agent's session and otherwise sends what the test asks for.
pub struct Leader {
    transport: Transport,
    inbox: transport::Inbox,
    document: ClusterConfiguration,
    version: ConfigurationVersion,
}

impl Leader {
    pub async fn start(document: ClusterConfiguration) -> Self {
        let started = Transport::start(
            transport_options(),
            ClusterKey::new("secret"),
            address(1, Role::Coordinator),
        );
        let (transport, inbox) = started.await.unwrap();
        Self {
            transport,
            inbox,
            document,
            version: ConfigurationVersion(1),
        }
    }

    /// Serves the agent's session until `find` returns a value for a message, and returns
    /// the value.
    pub async fn receive_until<T>(&mut self, find: impl Fn(&Envelope) -> Option<T>) -> T {
        with_timeout(async {
            loop {
                let envelope = self.inbox.recv().await.expect("the transport was closed");
                self.serve_session(&envelope);
                if let Some(found) = find(&envelope) {
                    return found;
                }
            }
        })
        .await
    }

    /// Serves the agent's session until `work` completes, and returns its output.
    pub async fn serve_while<T>(&mut self, work: impl Future<Output = T>) -> T {
        with_timeout(async {
            tokio::pin!(work);
            loop {
                tokio::select! {
                    output = &mut work => return output,
                    Some(envelope) = self.inbox.recv() => self.serve_session(&envelope),
                }
            }
        })
        .await
    }

    pub async fn next_report(&mut self) -> (Address, RunnerReport) {
        self.next_report_where(|_| true).await
    }

    /// Returns the next heartbeat that matches, with the address of the agent.
    pub async fn next_report_where(
        &mut self,
        matches: impl Fn(&RunnerReport) -> bool,
    ) -> (Address, RunnerReport) {
        self.receive_until(|envelope| match &envelope.body {
            PeerMessage::AgentReport(report) => {
                let found = report.reports.iter().find(|report| matches(report));
                found.map(|report| (envelope.from.clone(), report.clone()))
            }
            _ => None,
        })
        .await
    }

    pub async fn next_result(&mut self) -> transport::OrderResult {
        self.receive_until(|envelope| match &envelope.body {
            PeerMessage::OrderResults { results } => results.first().cloned(),
            _ => None,
        })
        .await
    }

    pub fn send_order(&self, agent: &Address, order: RunnerOrder) {
        let message = PeerMessage::Orders {
            term: order.term,
            agent: agent.node,
            orders: vec![order],
        };
        self.send(agent.socket, message);
    }

    pub fn send(&self, to: SocketAddr, message: PeerMessage) {
        self.transport.send(to, message);
    }

    /// Answers discovery and keep-alive messages.
    fn serve_session(&self, envelope: &Envelope) {
        let own = self.transport.own().clone();
        let to = envelope.from.socket;
        match &envelope.body {
            PeerMessage::Discover => self.send(
                to,
                PeerMessage::Members(transport::Members {
                    members: vec![own.clone()],
                    leader: Some(own),
                    term: TERM,
                    cluster: Some(ClusterId(9)),
                }),
            ),
            PeerMessage::KeepAlive(keep_alive) => {
                let lease = PeerMessage::Lease(SessionLease {
                    term: TERM,
                    leader: own.clone(),
                    cluster: ClusterId(9),
                    sequence: keep_alive.sequence,
                    lease: Milliseconds(20_000),
                    configuration: self.version,
                    coordinators: vec![own],
                    others: Vec::new(),
                });
                self.send(to, lease);
                if keep_alive.configuration < self.version {
                    self.send(
                        to,
                        PeerMessage::Configuration {
                            version: self.version,
                            document: self.document.clone(),
                        },
                    );
                }
            }
            _ => {}
        }
    }
}

/// An agent that runs as a task, with its HTTP URL.
pub struct RunningAgent {
    pub url: String,
    stop: watch::Sender<bool>,
    task: JoinHandle<Result<(), AgentError>>,
}

impl RunningAgent {
    pub async fn start(leader: &Leader) -> Self {
        let listener = TcpListener::bind(loopback()).await.unwrap();
        let http_listen = listener.local_addr().unwrap();
        let options = ShellOptions {
            core: AgentOptions {
                address: address(50, Role::Agent),
                seeds: vec![leader.transport.own().socket],
                session_interval: Milliseconds(100),
                order_timeout: Milliseconds(20_000),
                // Long enough that no delay of a busy machine counts as a suspend.
                freeze_after: Milliseconds(30_000),
                replica_valid: Milliseconds(30_000),
                seed: 1,
            },
            transport: transport_options(),
            cluster_key: ClusterKey::new("secret"),
            http_listen,
            grace: Milliseconds(8_000),
        };
        let (stop, stopping) = watch::channel(false);
        let task = tokio::spawn(agent::shell::run_with_listener(listener, options, stopping));
        Self {
            url: format!("http://{http_listen}"),
            stop,
            task,
        }
    }

    pub async fn is_ready(&self) -> bool {
        let answer = reqwest::get(format!("{}/readyz", self.url)).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Waits until `/readyz` reports the agent as ready.
    pub async fn wait_until_ready(&self, leader: &mut Leader) {
        let polling = async {
            while !self.is_ready().await {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        leader.serve_while(polling).await;
    }

    pub fn request_stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits for the agent to end, and returns its result.
    pub async fn wait_for_end(self) -> Result<(), AgentError> {
        with_timeout(self.task).await.expect("the agent panicked")
    }
}

pub fn runner_id() -> RunnerId {
    RunnerId::new("runner-1").unwrap()
}

pub fn runner_options() -> RunnerOptions {
    RunnerOptions {
        runner: runner_id(),
        incarnation: RunnerIncarnation(4),
        pool: PoolName::new("stills").unwrap(),
        rack: RackName::new("rack-1").unwrap(),
        labels: Labels::new(),
        capacity: slots(2),
        behaviour: Behaviour::Healthy,
        mutation: None,
        seed: 3,
    }
}

pub fn slots(slots: u32) -> Resources {
    Resources {
        slots,
        ..Resources::ZERO
    }
}

pub fn run_id() -> RunId {
    RunId {
        term: TERM,
        sequence: 7,
    }
}

/// Returns an order to start a run that takes 10 ms, based on the free resources of
/// `report`.
pub fn start_order(report: &RunnerReport) -> RunnerOrder {
    RunnerOrder {
        name: None,
        term: TERM,
        sequence: OrderSequence(1),
        runner: report.runner.clone(),
        incarnation: report.incarnation,
        kind: OrderKind::Start {
            run: RunSpec {
                attempt: 1,
                checkpoint: None,
                run: run_id(),
                job: JobKey {
                    tenant: TenantId::new("tenant").unwrap(),
                    job: JobId::new("job").unwrap(),
                },
                step: StepName::new("step").unwrap(),
                task: 0,
                resources: slots(1),
                time_limit: Milliseconds(60_000),
                payload: r#"{"duration_ms": 10}"#.to_owned(),
            },
            based_on: report.sequence,
            lease: Milliseconds(60_000),
        },
    }
}

/// Returns a configuration with the keys `operator.o`, `runner.r` and `caller.c`.
pub fn configuration_with_keys() -> ClusterConfiguration {
    let key = |id: &str, secret: &str, role| Key {
        id: KeyId::new(id).unwrap(),
        role,
        hash: KeyHash::new([1; 16], secret.as_bytes()),
    };
    let tenant = TenantId::new("tenant").unwrap();
    ClusterConfiguration {
        keys: vec![
            key("operator", "o", KeyRole::Operator),
            key("runner", "r", KeyRole::Runner),
            key("caller", "c", KeyRole::Caller(tenant)),
        ],
        ..ClusterConfiguration::default()
    }
}
