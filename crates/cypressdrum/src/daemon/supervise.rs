//! One daemon's incarnation: the role's shell, watched over by signals.
//!
//! SIGTERM and SIGINT ask for a polite stop; a second one, or the end of the
//! grace time, ends the process at once. SIGHUP reads the settings again.

use crate::Exit;
use crate::daemon::logging::LogHandle;
use crate::daemon::options::Draws;
use crate::daemon::role::{RoleError, RunRole};
use settings::Source;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinError, JoinHandle};

/// What the shell gets beyond its own grace time before it is given up.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// The signals that stop a daemon.
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

    /// Waits for one of them.
    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// A running role and what steers it.
struct Supervisor<S> {
    settings: S,
    source: Source,
    log: LogHandle,
    stop: watch::Sender<bool>,
    role: JoinHandle<Result<(), RoleError>>,
}

/// Runs the role to its end.
pub async fn run<S: RunRole>(settings: S, source: Source, log: LogHandle) -> Exit {
    abort_on_panic();
    let listening =
        StopSignals::listen().and_then(|stop| Ok((stop, signal(SignalKind::hangup())?)));
    let (stop_signals, hang_up) = match listening {
        Ok(signals) => signals,
        Err(error) => {
            tracing::error!(%error, "installing signal handlers failed");
            return Exit::Rejected;
        }
    };
    let draws = Draws::fresh();
    log_start(&settings, draws);
    let (stop, stopping) = watch::channel(false);
    let role = tokio::spawn(settings.run(draws, stopping));
    let mut supervisor = Supervisor {
        settings,
        source,
        log,
        stop,
        role,
    };
    supervisor.watch(stop_signals, hang_up).await
}

fn log_start<S: RunRole>(settings: &S, draws: Draws) {
    let node = settings.node();
    tracing::info!(
        role = %S::ROLE,
        version = env!("CARGO_PKG_VERSION"),
        zone = %node.zone,
        listen = %node.listen,
        drawn_identity = %draws.node,
        "starting"
    );
}

/// A daemon with a dead task would look alive and do nothing: it ends whole,
/// and the platform starts it again.
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
    async fn watch(&mut self, mut stop_signals: StopSignals, mut hang_up: Signal) -> Exit {
        loop {
            tokio::select! {
                ended = &mut self.role => return log_end(ended),
                () = stop_signals.recv() => return self.drain(stop_signals).await,
                _ = hang_up.recv() => self.reload(),
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
            () = tokio::time::sleep(grace + GRACE_MARGIN) => {
                tracing::warn!("grace period expired, exiting immediately");
                Exit::Unavailable
            }
        }
    }

    /// Reads the settings again. Only the log level may change at runtime; bad
    /// settings change nothing.
    fn reload(&mut self) {
        let fresh: S = match settings::load(&self.source) {
            Ok(fresh) => fresh,
            Err(error) => {
                tracing::error!(%error, "settings reload rejected, previous settings stay in force");
                return;
            }
        };
        let level = fresh.node().log.level;
        if let Err(error) = self.log.set_level(level) {
            tracing::error!(%error, "settings reload failed, previous settings stay in force");
            return;
        }
        let applied = self.settings.clone().with_log_level(level);
        let needs_restart = applied != fresh;
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
