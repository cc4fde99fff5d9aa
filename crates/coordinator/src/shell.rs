//! The coordinator's tokio shell: sockets, disk thread, clock.
//!
//! One task owns the core and feeds it one input at a time, with the clock
//! read just before. The disk has a thread of its own, which writes in order
//! and joins what has piled up meanwhile into one sync. A failed write or sync
//! ends the process: nothing may be promised after it.

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

/// Sends that were decided longer ago than this are dropped: the process was
/// frozen in between, and what it held may no longer be true.
const MAX_SEND_AGE: Milliseconds = Milliseconds(250);

/// Inputs that share one step of the core at most: what follows from them waits
/// for the last of them.
const MAX_STEP_INPUTS: usize = 64;
/// A step that takes this long is logged: no lease is renewed meanwhile.
const SLOW_STEP: Duration = Duration::from_millis(100);
/// A request that waited this long for the core is rejected, not answered late.
/// Gateways send again soon after, and each sending would come to wait longer.
const MAX_REQUEST_WAIT: Milliseconds = Milliseconds(300);

/// Settings of the shell, with those of the core.
#[derive(Debug, Clone)]
pub struct ShellOptions {
    /// Settings of the core.
    pub core: CoordinatorOptions,
    /// Peer listener.
    pub transport: transport::TransportOptions,
    /// Shared key of the cluster.
    pub cluster_key: transport::ClusterKey,
    /// Admin listener.
    pub admin_listen: SocketAddr,
    /// Data folder.
    pub data: PathBuf,
    /// Longest time to hand over after a polite stop.
    pub grace: types::Milliseconds,
}

/// Why a coordinator ended.
#[derive(Debug, Error)]
pub enum CoordinatorError {
    /// The data folder cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The peer listener cannot be used.
    #[error(transparent)]
    Transport(#[from] transport::TransportError),
    /// The admin listener cannot be used.
    #[error("cannot listen on {listen}: {source}")]
    Admin {
        /// The socket.
        listen: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The disk's thread cannot be started.
    #[error("cannot start the thread of the disk: {source}")]
    Thread {
        /// Why.
        source: std::io::Error,
    },
}

/// Runs a coordinator until `stop` turns true and leadership is handed over.
///
/// # Errors
///
/// Returns an error if the data folder or a listener cannot be used, the thread of
/// the disk cannot be started, or a write fails.
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
    let finished = shell.disk.finish().await;
    result?;
    Ok(finished?)
}

fn open_store(data: &Path) -> Result<Opened<RealDisk>, StorageError> {
    let begun = clock::now().monotonic;
    let opened = Store::open(RealDisk::open(data)?)?;
    let took = clock::now().monotonic.since(begun);
    let entries = opened.recovered.entries.len();
    tracing::info!(elapsed_ms = took.0, entries, "opened store");
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
            let slept_at = Instant::now();
            let input = tokio::select! {
                biased;
                done = self.disk.done() => match done {
                    Some(done) => done?,
                    None => return Ok(()),
                },
                () = stop_wanted(&mut self.stop), if deadline.is_none() => {
                    deadline = Some(tokio::time::Instant::now() + self.grace);
                    Input::Stop
                }
                () = sleep_until(deadline), if deadline.is_some() => return Ok(()),
                arrival = self.incoming.arrival() => match arrival {
                    Some(arrival) => self.receive_arrival(arrival),
                    None => return Ok(()),
                },
                () = tokio::time::sleep(until_wakeup) => {
                    let late = slept_at.elapsed().saturating_sub(until_wakeup);
                    self.load.record_wakeup(late);
                    Input::Tick
                }
            };
            self.handle(input);
        }
        Ok(())
    }

    /// Records the wait of a message and turns it into an input of the core.
    fn receive_arrival(&mut self, arrival: Arrival) -> Input {
        let waited = arrival.waited();
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

    /// Gives the core an input together with all messages that have arrived.
    fn handle(&mut self, input: Input) {
        let begun = Instant::now();
        let mut inputs = vec![input];
        while inputs.len() < MAX_STEP_INPUTS
            && let Some(arrival) = self.incoming.try_arrival()
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
        let took = begun.elapsed();
        if took >= SLOW_STEP {
            tracing::warn!(
                elapsed_ms = as_milliseconds(took),
                inputs = count,
                "slow core step"
            );
        }
        self.load.record_step(count, took, &self.incoming);
    }

    fn execute(&mut self, decided: Now, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(decided, to, message),
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

    /// Messages may be lost, so one that a freeze made old is not sent.
    fn send(&self, decided: Now, to: SocketAddr, message: PeerMessage) {
        let age = clock::now().monotonic.since(decided.monotonic);
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

/// Returns when the process is asked to stop; never if the sender is gone.
async fn stop_wanted(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|wanted| *wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn sleep_until(deadline: Option<tokio::time::Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
