//! Server around an emulated runner.
//!
//! It sends heartbeats to its agent and accepts orders, both as JSON over HTTP.

mod driver;
mod heartbeat;
mod lease;
mod orders;

use crate::runner::{Behaviour, RunnerEvent, RunnerOptions};
use api::runner::{OrdersUrl, OrdersUrlError};
use driver::Driver;
use heartbeat::AgentClient;
pub use lease::LeaseClock;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Capacity of the command channel of a runner.
const MAX_COMMANDS: usize = 16;

/// Error that prevents a runner from starting.
#[derive(Debug, Error)]
pub enum RunnerServerError {
    /// The listener for orders cannot be opened.
    #[error("cannot listen on {listen}: {source}")]
    Listen {
        /// Socket address that was requested.
        listen: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The URL of the bound socket is not valid for orders.
    #[error("the URL for orders is not valid: {0}")]
    OrdersUrl(#[from] OrdersUrlError),
    /// The HTTP client for heartbeats cannot be created.
    #[error("cannot create the HTTP client for heartbeats: {0}")]
    Client(#[from] reqwest::Error),
}

/// Command from a [`RunnerHandle`] to the task of its runner.
#[derive(Debug)]
enum Command {
    Drain,
    Behave(Behaviour),
    Kill,
}

/// Entry point that starts emulated runners as servers.
#[derive(Debug)]
pub struct RunnerServer;

impl RunnerServer {
    /// Starts a runner that accepts orders on `listen` (port 0 for any) and sends
    /// heartbeats to the agent at `agent_url`, such as `http://127.0.0.1:7400`,
    /// with `key` as bearer token. The receiver yields every event inside the
    /// runner, for the history, and is closed when the runner ends.
    ///
    /// # Errors
    ///
    /// Fails if the socket for orders cannot be bound, if its URL is not valid for
    /// orders, or if the HTTP client cannot be created.
    pub async fn start(
        options: RunnerOptions,
        agent_url: &str,
        key: Option<String>,
        listen: SocketAddr,
    ) -> Result<(RunnerHandle, mpsc::UnboundedReceiver<RunnerEvent>), RunnerServerError> {
        let bound = TcpListener::bind(listen).await;
        let listen_error = |source| RunnerServerError::Listen { listen, source };
        let listener = bound.map_err(listen_error)?;
        let socket = listener.local_addr().map_err(listen_error)?;
        let orders_url = OrdersUrl::new(&format!("http://{socket}{}", orders::PATH))?;
        let agent = AgentClient::new(agent_url, &options.runner, key, orders_url)?;

        let (commands, command_receiver) = mpsc::channel(MAX_COMMANDS);
        let (events, history) = mpsc::unbounded_channel();
        let (orders, order_receiver) = orders::channel();
        let lease = LeaseClock::default();
        let driver = Driver::new(options, agent, events, lease.clone());
        let task = tokio::spawn(async move {
            tokio::select! {
                () = orders::serve(listener, orders) => {}
                () = driver.run(command_receiver, order_receiver) => {}
            }
        });
        let handle = RunnerHandle {
            commands,
            socket,
            lease,
            task,
        };
        Ok((handle, history))
    }
}

/// Handle of a running runner. The runner keeps running after the handle is
/// dropped, until the runtime ends.
#[derive(Debug)]
pub struct RunnerHandle {
    commands: mpsc::Sender<Command>,
    socket: SocketAddr,
    lease: LeaseClock,
    task: JoinHandle<()>,
}

impl RunnerHandle {
    /// Returns the bound socket address for orders.
    pub fn socket(&self) -> SocketAddr {
        self.socket
    }

    /// Returns a clock of the run lease, for the history.
    pub fn lease(&self) -> LeaseClock {
        self.lease.clone()
    }

    /// Puts the runner into draining. Active runs continue.
    pub async fn drain(&self) {
        self.command(Command::Drain).await;
    }

    /// Changes the behaviour for runs that start from now on.
    pub async fn behave(&self, behaviour: Behaviour) {
        self.command(Command::Behave(behaviour)).await;
    }

    /// Ends the runner without a graceful shutdown. Its active runs end with it, and
    /// the history reports them as stopped. No order is accepted after this returns.
    pub async fn kill(self) {
        self.command(Command::Kill).await;
        // The command ends the task. An error means that it had already ended.
        let _ = self.task.await;
    }

    async fn command(&self, command: Command) {
        // Sending fails only if the runner has already ended, which is no error.
        let _ = self.commands.send(command).await;
    }
}
