//! Tokio shell of the coordinator: sockets, disk thread and clock.
//!
//! One task owns the core. In each step it passes the core the inputs that have
//! arrived, with the clock read just before. A separate thread writes to the
//! disk in order and joins queued writes into one sync. A failed write or sync
//! ends the process, since later acknowledgements would not be durable.

mod disk;
mod load;

use crate::core::Coordinator;
use crate::effect::{Effect, Input};
use crate::options::CoordinatorOptions;
use crate::readiness::Readiness;
use crate::shell::disk::{DiskJob, DiskThread};
use crate::shell::load::{Load, as_milliseconds};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use storage::{Opened, RealDisk, StorageError, Store};
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use transport::{Arrival, Inbox, Lane, PeerMessage, Transport, clock};
use types::{Milliseconds, NodeId, Now};

/// Age after which a message is dropped instead of sent: the process was frozen
/// after the core produced it, so its content may be outdated.
const MAX_SEND_AGE: Milliseconds = Milliseconds(250);

/// Limit of inputs per step of the core: the effects of a step are carried out
/// only after its last input.
const MAX_STEP_INPUTS: usize = 64;
/// Duration from which on a step is logged as slow: no lease is renewed during a
/// step.
const SLOW_STEP: Duration = Duration::from_millis(100);
/// Longest wait of a request for the core. A request that waited longer is
/// rejected: the gateway resends it soon anyway, and answering every copy would
/// make later requests wait even longer.
const MAX_REQUEST_WAIT: Milliseconds = Milliseconds(300);

/// Settings of a coordinator process.
#[derive(Debug, Clone)]
pub struct ShellOptions {
    /// Settings of the core. [`run`] replaces the identity in the address.
    pub core: CoordinatorOptions,
    /// Settings of the peer listener and its connections.
    pub transport: transport::TransportOptions,
    /// Key shared by all processes of the cluster.
    pub cluster_key: transport::ClusterKey,
    /// Socket of the admin listener.
    pub admin_listen: SocketAddr,
    /// Folder of the log, the snapshots and the identity.
    pub data: PathBuf,
    /// Longest duration of a graceful shutdown.
    pub grace: types::Milliseconds,
}

/// Error that ends a coordinator.
#[derive(Debug, Error)]
pub enum CoordinatorError {
    /// Reading or writing the data folder failed.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// Starting the peer listener failed.
    #[error(transparent)]
    Transport(#[from] transport::TransportError),
    /// Starting the admin listener failed.
    #[error("cannot listen on {listen}: {source}")]
    Admin {
        /// Socket to listen on.
        listen: SocketAddr,
        /// Error of the bind.
        source: std::io::Error,
    },
    /// Starting the disk thread failed.
    #[error("cannot start the disk thread: {source}")]
    Thread {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Runs a coordinator until `stop` becomes true and the graceful shutdown is
/// complete.
///
/// # Errors
///
/// Returns an error if the data folder cannot be read, a listener or the disk
/// thread cannot be started, or a write fails.
pub async fn run(
    options: ShellOptions,
    stop: watch::Receiver<bool>,
) -> Result<(), CoordinatorError> {
    let opened = open_store(&options.data)?;
    let mut core_options = options.core;
    core_options.address.node = match &opened.identity {
        Some(identity) => identity.node,
        None => NodeId(rand::random()),
    };
    let own = core_options.address.clone();
    let admin_routes = serve_admin(options.admin_listen).await?;
    let (transport, incoming) =
        Transport::start(options.transport, options.cluster_key, own).await?;
    core_options.address = transport.own().clone();
    let core = Coordinator::new(
        core_options,
        opened.identity,
        opened.recovered,
        clock::now(),
    );
    let mut shell = Shell {
        core,
        transport,
        incoming,
        disk: DiskThread::start(opened.store)
            .map_err(|source| CoordinatorError::Thread { source })?,
        readiness: admin_routes.readiness.clone(),
        stop,
        grace: Duration::from_millis(options.grace.0),
        stopped: false,
        load: Load::new(),
    };
    let result = shell.serve().await;
    shell.transport.shutdown().await;
    admin_routes.server.abort();
    let disk_result = shell.disk.finish().await;
    result?;
    Ok(disk_result?)
}

fn open_store(data: &Path) -> Result<Opened<RealDisk>, StorageError> {
    let started_at = clock::now().monotonic;
    let opened = Store::open(RealDisk::open(data)?)?;
    let elapsed = clock::now().monotonic.since(started_at);
    let entries = opened.recovered.entries.len();
    tracing::info!(elapsed_ms = elapsed.0, entries, "opened store");
    if opened.truncated_bytes > 0 {
        tracing::warn!(
            bytes = opened.truncated_bytes,
            "truncated torn tail of the log"
        );
    }
    Ok(opened)
}

struct AdminRoutes {
    readiness: admin::Readiness,
    server: JoinHandle<()>,
}

async fn serve_admin(listen: SocketAddr) -> Result<AdminRoutes, CoordinatorError> {
    let listener = tokio::net::TcpListener::bind(listen)
        .await
        .map_err(|source| CoordinatorError::Admin { listen, source })?;
    let readiness = admin::Readiness::starting();
    let routes = admin::routes(readiness.clone());
    let server = tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, routes).await {
            tracing::error!(%error, "admin listener failed");
        }
    });
    Ok(AdminRoutes { readiness, server })
}

struct Shell {
    core: Coordinator,
    transport: Transport,
    incoming: Inbox,
    disk: DiskThread,
    readiness: admin::Readiness,
    stop: watch::Receiver<bool>,
    grace: Duration,
    stopped: bool,
    load: Load,
}

impl Shell {
    async fn serve(&mut self) -> Result<(), CoordinatorError> {
        let mut deadline = None;
        self.handle(Input::Tick);
        while !self.stopped {
            let until_wakeup = self.until_wakeup();
            let sleep_started_at = Instant::now();
            let input = tokio::select! {
                biased;
                completed = self.disk.next_completed() => match completed {
                    Some(completed) => completed?,
                    None => return Ok(()),
                },
                () = stop_requested(&mut self.stop), if deadline.is_none() => {
                    deadline = Some(tokio::time::Instant::now() + self.grace);
                    Input::Stop
                }
                () = sleep_until(deadline), if deadline.is_some() => return Ok(()),
                arrival = self.incoming.recv_arrival() => match arrival {
                    Some(arrival) => self.receive_arrival(arrival),
                    None => return Ok(()),
                },
                () = tokio::time::sleep(until_wakeup) => {
                    let delay = sleep_started_at.elapsed().saturating_sub(until_wakeup);
                    self.load.record_wakeup(delay);
                    Input::Tick
                }
            };
            self.handle(input);
        }
        Ok(())
    }

    /// Records the wait of a message and converts it to an input of the core.
    fn receive_arrival(&mut self, arrival: Arrival) -> Input {
        let waited = arrival.queue_time();
        self.load.record_arrival(&arrival, waited);
        let is_overdue = arrival.lane == Lane::Requests && waited > MAX_REQUEST_WAIT;
        if is_overdue {
            Input::Overdue(arrival.envelope)
        } else {
            Input::Peer(arrival.envelope)
        }
    }

    fn until_wakeup(&self) -> Duration {
        let now = clock::now().monotonic;
        Duration::from_millis(self.core.next_wakeup().since(now).0)
    }

    /// Runs one step of the core: handles an input together with messages that have
    /// arrived, then carries out the effects.
    fn handle(&mut self, input: Input) {
        let started_at = Instant::now();
        let mut inputs = vec![input];
        while inputs.len() < MAX_STEP_INPUTS
            && let Some(arrival) = self.incoming.try_recv_arrival()
        {
            inputs.push(self.receive_arrival(arrival));
        }
        let count = inputs.len();
        let now = clock::now();
        let mut effects = Vec::new();
        self.core.record_lag(self.load.lag());
        self.core.handle_all(now, inputs, &mut effects);
        for effect in effects {
            self.execute(now, effect);
        }
        let elapsed = started_at.elapsed();
        if elapsed >= SLOW_STEP {
            tracing::warn!(
                elapsed_ms = as_milliseconds(elapsed),
                inputs = count,
                "slow core step"
            );
        }
        self.load.record_step(count, elapsed, &self.incoming);
    }

    fn execute(&mut self, decided_at: Now, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(decided_at, to, message),
            Effect::Persist { number, batch } => self.disk.submit(DiskJob::Batch { number, batch }),
            Effect::SaveIdentity(identity) => self.disk.submit(DiskJob::Identity(identity)),
            Effect::Ready(readiness) => self.report_readiness(&readiness),
            Effect::Decision(entry) => tracing::debug!(target: "decisions", ?entry),
            Effect::Stopped => self.stopped = true,
        }
    }

    fn report_readiness(&self, readiness: &Readiness) {
        match readiness {
            Readiness::Ready => self.readiness.set_ready(),
            Readiness::NotReady(reason) => self.readiness.set_not_ready(&reason.to_string()),
        }
    }

    /// Sends a message, or drops it if it is older than [`MAX_SEND_AGE`]. Senders
    /// tolerate lost messages.
    fn send(&self, decided_at: Now, to: SocketAddr, message: PeerMessage) {
        let age = clock::now().monotonic.since(decided_at.monotonic);
        if age <= MAX_SEND_AGE {
            self.transport.send(to, message);
        } else {
            tracing::warn!(
                age_ms = age.0,
                "dropped stale message after a process freeze"
            );
        }
    }
}

/// Waits until a stop is requested; forever if the sender has been dropped.
async fn stop_requested(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|requested| *requested).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn sleep_until(deadline: Option<tokio::time::Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
