//! The daemons of the three roles: settings, logs, signals and the role's shell.

pub mod flags;
pub mod logging;
pub mod options;
pub mod role;
pub mod supervise;

pub use flags::{AgentFlags, CoordinatorFlags, DaemonFlags, GatewayFlags};
pub use role::{RoleError, RunRole};

use crate::Exit;
use settings::Source;

/// Runs a daemon until it stops, or with `--check` only checks its settings.
pub fn run<F: DaemonFlags>(flags: &F) -> Exit {
    let source = match flags.source() {
        Ok(source) => source,
        Err(error) => return usage_error(&error),
    };
    let settings: F::Settings = match settings::load(&source) {
        Ok(settings) => settings,
        Err(error) => return usage_error(&error),
    };
    if flags.check_only() {
        println!("the settings are fine");
        return Exit::Done;
    }
    run_daemon(settings, source)
}

fn usage_error(error: &dyn std::error::Error) -> Exit {
    eprintln!("{error}");
    Exit::Usage
}

fn run_daemon<S: RunRole>(settings: S, source: Source) -> Exit {
    let log = match logging::start(settings.node().log) {
        Ok(log) => log,
        Err(error) => return usage_error(&error),
    };
    if let Err(error) = admin::install_metrics() {
        tracing::error!(%error, "installing the metrics recorder failed");
        return Exit::Rejected;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(supervise::run(settings, source, log)),
        Err(error) => {
            tracing::error!(%error, "starting the async runtime failed");
            Exit::Rejected
        }
    }
}
