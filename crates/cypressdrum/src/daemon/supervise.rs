//! Supervision of a daemon process: runs the role's shell and handles signals.
//!
//! SIGTERM and SIGINT start a graceful shutdown. A second one of them, or the end
//! of the grace period, ends the process immediately. SIGHUP reloads the settings.

use crate::Exit;
use crate::daemon::logging::LogHandle;
use crate::daemon::options::RandomValues;
use crate::daemon::role::{RoleError, RunRole};
use settings::Source;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinError, JoinHandle};

/// Time beyond the grace period that the shell has to end by itself before the
/// process exits.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Signals that start a graceful shutdown.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn listen() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next SIGTERM or SIGINT.
    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// A running role, its settings and its stop channel.
struct Supervisor<S> {
    settings: S,
    source: Source,
    log: LogHandle,
    stop: watch::Sender<bool>,
    role: JoinHandle<Result<(), RoleError>>,
}

/// Runs the role until it ends or a signal stops it, and returns the exit code.
pub async fn run<S: RunRole>(settings: S, source: Source, log: LogHandle) -> Exit {
    abort_on_panic();
    let signals = StopSignals::listen().and_then(|stop| Ok((stop, signal(SignalKind::hangup())?)));
    let (stop_signals, hangup) = match signals {
        Ok(signals) => signals,
        Err(error) => {
            tracing::error!(%error, "installing signal handlers failed");
            return Exit::Rejected;
        }
    };
    let random_values = RandomValues::generate();
    log_start(&settings, random_values);
    let (stop, stopping) = watch::channel(false);
    let role = tokio::spawn(settings.run(random_values, stopping));
    let mut supervisor = Supervisor {
        settings,
        source,
        log,
        stop,
        role,
    };
    supervisor.watch(stop_signals, hangup).await
}

fn log_start<S: RunRole>(settings: &S, random_values: RandomValues) {
    let node = settings.node();
    tracing::info!(
        role = %S::ROLE,
        version = env!("CARGO_PKG_VERSION"),
        zone = %node.zone,
        listen = %node.listen,
        drawn_identity = %random_values.node,
        "starting"
    );
}

/// Installs a panic hook that logs the panic and aborts the process. Without it,
/// a daemon whose task has panicked would keep running and do no work; after an
/// abort the platform restarts it.
fn abort_on_panic() {
    std::panic::set_hook(Box::new(|panic| {
        let location = panic.location().map(ToString::to_string);
        let payload = panic.payload();
        let message = payload
            .downcast_ref::<&str>()
            .copied()
            .or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        tracing::error!(?location, message, "panicked, process exits");
        std::process::abort();
    }));
}

impl<S: RunRole> Supervisor<S> {
    async fn watch(&mut self, mut stop_signals: StopSignals, mut hangup: Signal) -> Exit {
        loop {
            tokio::select! {
                ended = &mut self.role => return log_end(ended),
                () = stop_signals.recv() => return self.drain(stop_signals).await,
                _ = hangup.recv() => self.reload(),
            }
        }
    }

    async fn drain(&mut self, mut stop_signals: StopSignals) -> Exit {
        let grace = Duration::from_millis(self.settings.node().grace_ms);
        tracing::info!(grace_ms = grace.as_millis(), "graceful shutdown started");
        self.stop.send_replace(true);
        tokio::select! {
            ended = &mut self.role => log_end(ended),
            () = stop_signals.recv() => {
                tracing::warn!("second signal received, exiting immediately");
                Exit::Unavailable
            }
            () = tokio::time::sleep(grace + SHUTDOWN_MARGIN) => {
                tracing::warn!("grace period expired, exiting immediately");
                Exit::Unavailable
            }
        }
    }

    /// Reloads the settings. Only the log level takes effect at runtime; invalid
    /// settings change nothing.
    fn reload(&mut self) {
        let reloaded: S = match settings::load(&self.source) {
            Ok(reloaded) => reloaded,
            Err(error) => {
                tracing::error!(%error, "settings reload rejected, previous settings stay in force");
                return;
            }
        };
        let level = reloaded.node().log.level;
        if let Err(error) = self.log.set_level(level) {
            tracing::error!(%error, "settings reload failed, previous settings stay in force");
            return;
        }
        let applied = self.settings.clone().with_log_level(level);
        let needs_restart = applied != reloaded;
        self.settings = applied;
        tracing::info!(%level, needs_restart, "settings reloaded");
        if needs_restart {
            tracing::warn!("settings other than log.level changed, restart required");
        }
    }
}

fn log_end(ended: Result<Result<(), RoleError>, JoinError>) -> Exit {
    match ended {
        Ok(Ok(())) => {
            tracing::info!("stopped");
            Exit::Done
        }
        Ok(Err(error)) => {
            tracing::error!(%error, "exiting after an error");
            Exit::Rejected
        }
        Err(error) => {
            tracing::error!(%error, "exiting after a panic");
            Exit::Rejected
        }
    }
}
