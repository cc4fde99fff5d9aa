//! Three coordinators with real sockets, disks and clocks on loopback: bootstrap,
//! a configuration change, a graceful shutdown of all, and recovery from disk.

#[path = "coordinator/test_cluster/document.rs"]
mod document;

use consensus::Options;
use coordinator::{CoordinatorError, CoordinatorOptions, ShellOptions};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use transport::{
    ClusterKey, Operation, OperationReply, PeerMessage, Reply, Request, RequestId, Transport,
    TransportOptions,
};
use types::{Address, ConfigurationVersion, Milliseconds, NodeId, Role, ZoneName};

/// Time after which the test counts as hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns free sockets. Their listeners are closed again, so another process may
/// take one of them.
fn free_sockets(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let sockets = listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap());
    sockets.collect()
}

fn address(role: Role, socket: SocketAddr) -> Address {
    Address {
        node: NodeId(99),
        role,
        zone: ZoneName::new("a").unwrap(),
        socket,
    }
}

fn transport_options(listen: SocketAddr) -> TransportOptions {
    TransportOptions {
        listen,
        queue_length: 256,
        max_frame_bytes: 4 << 20,
    }
}

fn shell_options(peer: SocketAddr, seeds: &[SocketAddr], data: PathBuf) -> ShellOptions {
    ShellOptions {
        core: CoordinatorOptions {
            address: address(Role::Coordinator, peer),
            seeds: seeds.to_vec(),
            bootstrap_rule: coordinator::BootstrapRule::Exact,
            stalled_after: None,
            move_slow: true,
            initial_coordinators: 3,
            consensus: Options::default(),
            scheduler: scheduler::SchedulerOptions::default(),
            session_lease: Milliseconds(2_000),
            replace_voter_after: Milliseconds(3_000),
            runner_wait: Milliseconds(2_000),
            snapshot_every: 100,
            max_waiting_requests: 100,
            decision_log_capacity: 100,
            seed: 1,
            mutation: None,
        },
        transport: transport_options(peer),
        cluster_key: ClusterKey::new("test cluster key"),
        admin_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        data,
        grace: Milliseconds(5_000),
    }
}

struct Cluster {
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<Result<(), CoordinatorError>>>,
}

fn start_cluster(peers: &[SocketAddr], folder: &Path) -> Cluster {
    let (stop, stopped) = watch::channel(false);
    let tasks = peers.iter().enumerate().map(|(number, peer)| {
        let data = folder.join(number.to_string());
        let options = shell_options(*peer, peers, data);
        tokio::spawn(coordinator::run(options, stopped.clone()))
    });
    Cluster {
        tasks: tasks.collect(),
        stop,
    }
}

impl Cluster {
    async fn shut_down(self) {
        self.stop.send_replace(true);
        for task in self.tasks {
            task.await.unwrap().unwrap();
        }
    }
}

struct Client {
    transport: Transport,
    inbox: transport::Inbox,
    next: u64,
}

impl Client {
    async fn start() -> Self {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let options = transport_options(listen);
        let key = ClusterKey::new("test cluster key");
        let (transport, inbox) = Transport::start(options, key, address(Role::Gateway, listen))
            .await
            .unwrap();
        Self {
            transport,
            inbox,
            next: 0,
        }
    }

    /// Sends a request to all coordinators, repeatedly, until the leader accepts it.
    async fn request(&mut self, peers: &[SocketAddr], operation: Operation) -> OperationReply {
        loop {
            self.next += 1;
            for peer in peers {
                let request = Request {
                    id: RequestId(self.next),
                    time_left: Milliseconds(5_000),
                    operation: operation.clone(),
                };
                self.transport.send(*peer, PeerMessage::Request(request));
            }
            let attempt = tokio::time::timeout(Duration::from_millis(300), self.accepted_reply());
            if let Ok(reply) = attempt.await {
                return reply;
            }
        }
    }

    async fn accepted_reply(&mut self) -> OperationReply {
        loop {
            let envelope = self.inbox.recv().await.unwrap();
            if let PeerMessage::Reply(Reply {
                result: Ok(reply), ..
            }) = envelope.body
            {
                return reply;
            }
        }
    }
}

async fn configure_and_restart(folder: &Path) {
    let peers = free_sockets(3);
    let mut client = Client::start().await;
    let cluster = start_cluster(&peers, folder);
    let version = ConfigurationVersion(1);
    let put = Operation::PutConfiguration {
        version,
        document: document::document(),
    };
    let reply = client.request(&peers, put).await;
    assert!(matches!(reply, OperationReply::Configured { .. }));
    cluster.shut_down().await;

    let cluster = start_cluster(&peers, folder);
    let reply = client.request(&peers, Operation::GetConfiguration).await;
    let document = document::document();
    assert_eq!(reply, OperationReply::Configuration { version, document });
    cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn configuration_survives_a_restart_of_three_real_coordinators() {
    let name = format!("coordinator-shell-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    // The platform creates the parent of the data folders, the coordinator does not.
    std::fs::create_dir_all(&folder).unwrap();
    let run = configure_and_restart(&folder);
    let result = tokio::time::timeout(TEST_TIMEOUT, run).await;
    std::fs::remove_dir_all(&folder).unwrap();
    result.expect("the test exceeded its time limit");
}
