//! Command-line flags of the daemons. A flag overrides the settings key of the
//! same meaning in the file; `--set` overrides keys that have no flag.

use crate::daemon::RunRole;
use clap::Args;
use settings::{
    AgentSettings, CoordinatorSettings, GatewaySettings, Override, OverrideError, Source,
};
use std::path::PathBuf;

/// Flags of a daemon role.
pub trait DaemonFlags {
    /// Settings of the same role.
    type Settings: RunRole;

    /// Returns the settings file and the overrides from the flags.
    ///
    /// # Errors
    ///
    /// Fails if a value of `--set` is malformed.
    fn source(&self) -> Result<Source, OverrideError>;

    /// Returns whether the settings are only to be checked (`--check`).
    fn check_only(&self) -> bool;
}

/// Flags that all daemon roles have.
#[derive(Debug, Clone, Default, Args)]
pub struct NodeFlags {
    /// The settings file, TOML.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Only check the settings, and tell every problem.
    #[arg(long)]
    check: bool,
    /// Zone of the machine.
    #[arg(long)]
    zone: Option<String>,
    /// Socket for other daemons.
    #[arg(long, value_name = "IP:PORT")]
    listen: Option<String>,
    /// Where other daemons reach it, if not at --listen.
    #[arg(long, value_name = "IP:PORT")]
    advertise: Option<String>,
    /// Peer sockets of three processes, separated by commas.
    #[arg(long, value_name = "IP:PORT,...", value_delimiter = ',')]
    seeds: Vec<String>,
    /// File with the secret that all daemons share.
    #[arg(long, value_name = "FILE")]
    cluster_key_file: Option<String>,
    /// json or plain.
    #[arg(long, value_name = "FORMAT")]
    log_format: Option<String>,
    /// error, warn, info, debug or trace.
    #[arg(long, value_name = "LEVEL")]
    log_level: Option<String>,
    /// Any other key, such as timings.session_lease_ms=3000.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    set: Vec<String>,
}

impl NodeFlags {
    /// Returns the settings file and the overrides from the flags: the common
    /// flags first, then `role_flags`, `--seeds` and `--set`.
    fn source(
        &self,
        role_flags: &[(&str, &str, &Option<String>)],
    ) -> Result<Source, OverrideError> {
        let common = [
            ("--zone", "zone", &self.zone),
            ("--listen", "listen", &self.listen),
            ("--advertise", "advertise", &self.advertise),
            (
                "--cluster-key-file",
                "cluster_key_file",
                &self.cluster_key_file,
            ),
            ("--log-format", "log.format", &self.log_format),
            ("--log-level", "log.level", &self.log_level),
        ];
        let mut overrides = Vec::new();
        for (flag, key, value) in common.iter().chain(role_flags) {
            overrides.extend(value.as_ref().map(|text| Override::text(flag, key, text)));
        }
        if !self.seeds.is_empty() {
            overrides.push(Override::list("--seeds", "seeds", self.seeds.clone()));
        }
        for text in &self.set {
            overrides.push(Override::parse("--set", text)?);
        }
        Ok(Source {
            file: self.settings.clone(),
            overrides,
        })
    }
}

/// Flags of the `coordinator` command.
#[derive(Debug, Clone, Default, Args)]
pub struct CoordinatorFlags {
    #[command(flatten)]
    node: NodeFlags,
    /// Socket for livez, readyz and metrics.
    #[arg(long, value_name = "IP:PORT")]
    admin_listen: Option<String>,
    /// The folder for its files.
    #[arg(long, value_name = "FOLDER")]
    data: Option<String>,
}

impl DaemonFlags for CoordinatorFlags {
    type Settings = CoordinatorSettings;

    fn source(&self) -> Result<Source, OverrideError> {
        self.node.source(&[
            ("--admin-listen", "admin_listen", &self.admin_listen),
            ("--data", "data", &self.data),
        ])
    }

    fn check_only(&self) -> bool {
        self.node.check
    }
}

/// Flags of the `gateway` command.
#[derive(Debug, Clone, Default, Args)]
pub struct GatewayFlags {
    #[command(flatten)]
    node: NodeFlags,
    /// Socket for callers and operators.
    #[arg(long, value_name = "IP:PORT")]
    http_listen: Option<String>,
}

impl DaemonFlags for GatewayFlags {
    type Settings = GatewaySettings;

    fn source(&self) -> Result<Source, OverrideError> {
        let http_listen = ("--http-listen", "http_listen", &self.http_listen);
        self.node.source(&[http_listen])
    }

    fn check_only(&self) -> bool {
        self.node.check
    }
}

/// Flags of the `agent` command.
#[derive(Debug, Clone, Default, Args)]
pub struct AgentFlags {
    #[command(flatten)]
    node: NodeFlags,
    /// Socket for the runner's heartbeats.
    #[arg(long, value_name = "IP:PORT")]
    http_listen: Option<String>,
}

impl DaemonFlags for AgentFlags {
    type Settings = AgentSettings;

    fn source(&self) -> Result<Source, OverrideError> {
        let http_listen = ("--http-listen", "http_listen", &self.http_listen);
        self.node.source(&[http_listen])
    }

    fn check_only(&self) -> bool {
        self.node.check
    }
}
