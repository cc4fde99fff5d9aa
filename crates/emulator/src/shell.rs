//! An emulated runner as a server: it sends heartbeats to its agent and takes
//! orders, both as JSON over HTTP.

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

/// Commands that may wait for the runner.
const MAX_COMMANDS: usize = 16;

/// Why a runner could not start.
#[derive(Debug, Error)]
pub enum RunnerServerError {
    /// The socket for orders cannot be listened on.
    #[error("cannot listen on {listen}: {source}")]
    Listen {
        /// The socket.
        listen: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// No agent could send orders to this socket.
    #[error("cannot take orders there: {0}")]
    OrdersUrl(#[from] OrdersUrlError),
    /// The HTTP client for heartbeats cannot be made.
    #[error("cannot make the client for heartbeats: {0}")]
    Client(#[from] reqwest::Error),
}

/// Commands to a running server.
#[derive(Debug)]
enum Command {
    Drain,
    Behave(Behaviour),
    Kill,
}

/// Starts runners.
#[derive(Debug)]
pub struct RunnerServer;

impl RunnerServer {
    /// Starts a runner that takes orders on `listen` (port 0 for any) and
    /// sends heartbeats to the agent at `agent_url`, such as
    /// `http://127.0.0.1:7400`, with `key` as its bearer token. The receiver
    /// gets everything that happens inside the runner, for the history; it
    /// ends with the runner.
    ///
    /// # Errors
    ///
    /// Fails if the socket for orders cannot be bound.
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

        let (commands, commanded) = mpsc::channel(MAX_COMMANDS);
        let (events, history) = mpsc::unbounded_channel();
        let (orders, ordered) = orders::channel();
        let lease = LeaseClock::default();
        let driver = Driver::new(options, agent, events, lease.clone());
        let task = tokio::spawn(async move {
            tokio::select! {
                () = orders::serve(listener, orders) => {}
                () = driver.run(commanded, ordered) => {}
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

/// A running runner. Dropping it leaves the runner running until it is killed
/// or the runtime ends.
#[derive(Debug)]
pub struct RunnerHandle {
    commands: mpsc::Sender<Command>,
    socket: SocketAddr,
    lease: LeaseClock,
    task: JoinHandle<()>,
}

impl RunnerHandle {
    /// Where it takes orders.
    pub fn socket(&self) -> SocketAddr {
        self.socket
    }

    /// Its run lease, for the history.
    pub fn lease(&self) -> LeaseClock {
        self.lease.clone()
    }

    /// Makes it say that it leaves; what it holds goes on.
    pub async fn drain(&self) {
        self.command(Command::Drain).await;
    }

    /// Changes how it behaves towards runs that start from now on.
    pub async fn behave(&self, behaviour: Behaviour) {
        self.command(Command::Behave(behaviour)).await;
    }

    /// Ends it without a goodbye. Its runs die with it and are reported in the
    /// history as stopped. No order is taken after this returns.
    pub async fn kill(self) {
        self.command(Command::Kill).await;
        // It ends by the command; an error means that it had ended before.
        let _ = self.task.await;
    }

    async fn command(&self, command: Command) {
        // A runner that has ended takes no commands, which is no error.
        let _ = self.commands.send(command).await;
    }
}
