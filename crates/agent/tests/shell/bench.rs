//! A leader that does what a test says, and an agent that runs.

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

/// Ends a test that hangs; no verdict depends on it otherwise.
const HANG_GUARD: Duration = Duration::from_secs(60);
pub const TERM: Term = Term(3);

pub async fn guarded<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(HANG_GUARD, work)
        .await
        .expect("the test hangs")
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

pub struct Leader {
    transport: Transport,
    arriving: transport::Inbox,
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
        let (transport, arriving) = started.await.unwrap();
        Self {
            transport,
            arriving,
            document,
            version: ConfigurationVersion(1),
        }
    }

    /// Serves the agent's session until a message has what is looked for.
    pub async fn until<T>(&mut self, find: impl Fn(&Envelope) -> Option<T>) -> T {
        guarded(async {
            loop {
                let envelope = self.arriving.recv().await.expect("a message");
                self.serve(&envelope);
                if let Some(found) = find(&envelope) {
                    return found;
                }
            }
        })
        .await
    }

    /// Serves the agent's session while something else goes on.
    pub async fn during<T>(&mut self, work: impl Future<Output = T>) -> T {
        guarded(async {
            tokio::pin!(work);
            loop {
                tokio::select! {
                    done = &mut work => return done,
                    Some(envelope) = self.arriving.recv() => self.serve(&envelope),
                }
            }
        })
        .await
    }

    pub async fn report(&mut self) -> (Address, RunnerReport) {
        self.report_with(|_| true).await
    }

    pub async fn report_with(
        &mut self,
        wanted: impl Fn(&RunnerReport) -> bool,
    ) -> (Address, RunnerReport) {
        self.until(|envelope| match &envelope.body {
            PeerMessage::AgentReport(report) => {
                let found = report.reports.iter().find(|report| wanted(report));
                found.map(|report| (envelope.from.clone(), report.clone()))
            }
            _ => None,
        })
        .await
    }

    pub async fn result(&mut self) -> transport::OrderResult {
        self.until(|envelope| match &envelope.body {
            PeerMessage::OrderResults { results } => results.first().cloned(),
            _ => None,
        })
        .await
    }

    pub fn order(&self, agent: &Address, order: RunnerOrder) {
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

    fn serve(&self, envelope: &Envelope) {
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

/// A running agent.
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
                // Tests may run on a busy machine; nothing here is frozen.
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
        let task = tokio::spawn(agent::shell::run_on(listener, options, stopping));
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

    /// Waits until the agent counts as ready.
    pub async fn ready(&self, leader: &mut Leader) {
        let polling = async {
            while !self.is_ready().await {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        leader.during(polling).await;
    }

    pub fn ask_to_stop(&self) {
        self.stop.send_replace(true);
    }

    pub async fn ended(self) -> Result<(), AgentError> {
        guarded(self.task).await.expect("no panic")
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

/// A start of a run that takes 10 ms, from the room of `report`.
pub fn start(report: &RunnerReport) -> RunnerOrder {
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

/// Keys `operator.o`, `runner.r` and `caller.c`.
pub fn with_keys() -> ClusterConfiguration {
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
