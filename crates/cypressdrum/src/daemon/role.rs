//! What differs between the roles when a daemon runs.

use crate::daemon::options::{self, Draws};
use settings::{AgentSettings, CoordinatorSettings, GatewaySettings, RoleSettings};
use std::future::Future;
use thiserror::Error;
use tokio::sync::watch;
use types::Role;

/// Why a daemon ended.
#[derive(Debug, Error)]
pub enum RoleError {
    /// A coordinator.
    #[error(transparent)]
    Coordinator(#[from] coordinator::CoordinatorError),
    /// A gateway.
    #[error(transparent)]
    Gateway(#[from] gateway::GatewayError),
    /// An agent.
    #[error(transparent)]
    Agent(#[from] agent::AgentError),
}

/// Settings that a daemon can be run from.
pub trait RunRole: RoleSettings + Send + Sync + 'static {
    /// The role.
    const ROLE: Role;

    /// Runs the daemon until `stop` turns true and all is handed over.
    fn run(
        &self,
        draws: Draws,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = Result<(), RoleError>> + Send + 'static;
}

impl RunRole for CoordinatorSettings {
    const ROLE: Role = Role::Coordinator;

    fn run(
        &self,
        draws: Draws,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = Result<(), RoleError>> + Send + 'static {
        let options = options::coordinator(self, draws);
        async move { Ok(coordinator::run(options, stop).await?) }
    }
}

impl RunRole for GatewaySettings {
    const ROLE: Role = Role::Gateway;

    fn run(
        &self,
        draws: Draws,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = Result<(), RoleError>> + Send + 'static {
        let options = options::gateway(self, draws);
        async move { Ok(gateway::run(options, stop).await?) }
    }
}

impl RunRole for AgentSettings {
    const ROLE: Role = Role::Agent;

    fn run(
        &self,
        draws: Draws,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = Result<(), RoleError>> + Send + 'static {
        let options = options::agent(self, draws);
        async move { Ok(agent::run(options, stop).await?) }
    }
}
