//! Role-specific part of running a daemon.

use crate::daemon::options::{self, RandomValues};
use settings::{AgentSettings, CoordinatorSettings, GatewaySettings, RoleSettings};
use std::future::Future;
use thiserror::Error;
use tokio::sync::watch;
use types::Role;

/// Error that ended a daemon.
#[derive(Debug, Error)]
pub enum RoleError {
    /// The coordinator failed.
    #[error(transparent)]
    Coordinator(#[from] coordinator::CoordinatorError),
    /// The gateway failed.
    #[error(transparent)]
    Gateway(#[from] gateway::GatewayError),
    /// The agent failed.
    #[error(transparent)]
    Agent(#[from] agent::AgentError),
}

/// Settings of a role that can run a daemon.
pub trait RunRole: RoleSettings + Send + Sync + 'static {
    /// Role that these settings configure.
    const ROLE: Role;

    /// Runs the daemon until `stop` becomes true and its graceful shutdown is
    /// complete, or until it fails.
    fn run(
        &self,
        random_values: RandomValues,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = Result<(), RoleError>> + Send + 'static;
}

impl RunRole for CoordinatorSettings {
    const ROLE: Role = Role::Coordinator;

    fn run(
        &self,
        random_values: RandomValues,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = Result<(), RoleError>> + Send + 'static {
        let options = options::coordinator(self, random_values);
        async move { Ok(coordinator::run(options, stop).await?) }
    }
}

impl RunRole for GatewaySettings {
    const ROLE: Role = Role::Gateway;

    fn run(
        &self,
        random_values: RandomValues,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = Result<(), RoleError>> + Send + 'static {
        let options = options::gateway(self, random_values);
        async move { Ok(gateway::run(options, stop).await?) }
    }
}

impl RunRole for AgentSettings {
    const ROLE: Role = Role::Agent;

    fn run(
        &self,
        random_values: RandomValues,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = Result<(), RoleError>> + Send + 'static {
        let options = options::agent(self, random_values);
        async move { Ok(agent::run(options, stop).await?) }
    }
}
