//! Structured logs on standard error, with a level that can change at runtime.

use settings::{LogFormat, LogLevel, LogSettings};
use thiserror::Error;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{Layer, Registry, fmt, reload};

/// Libraries that log at `warn` and above only: their finer levels do not help
/// operators.
const WARN_ONLY_LIBRARIES: [&str; 3] = ["hyper", "hyper_util", "reqwest"];

/// Error of starting the logger or of changing its level.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The process already has a tracing subscriber.
    #[error("cannot start logging: {0}")]
    Start(#[from] TryInitError),
    /// The tracing subscriber no longer exists.
    #[error("cannot change the log level: {0}")]
    Level(#[from] reload::Error),
}

/// Handle that changes the log level of this process.
#[derive(Debug, Clone)]
pub struct LogHandle {
    filter: reload::Handle<Targets, Registry>,
}

impl LogHandle {
    /// Sets the log level, effective immediately.
    ///
    /// # Errors
    ///
    /// Fails if the tracing subscriber no longer exists.
    pub fn set_level(&self, level: LogLevel) -> Result<(), LoggingError> {
        self.filter.reload(targets(level))?;
        Ok(())
    }
}

/// Starts logging for the whole process.
///
/// # Errors
///
/// Fails if the process already has a tracing subscriber.
pub fn start(log: LogSettings) -> Result<LogHandle, LoggingError> {
    let (filter, handle) = reload::Layer::new(targets(log.level));
    let lines = fmt::layer().with_writer(std::io::stderr);
    let lines = match log.format {
        LogFormat::Json => lines.json().flatten_event(true).boxed(),
        LogFormat::Plain => lines.with_ansi(false).boxed(),
    };
    tracing_subscriber::registry()
        .with(lines.with_filter(filter))
        .try_init()?;
    Ok(LogHandle { filter: handle })
}

fn targets(level: LogLevel) -> Targets {
    let default = level_filter(level);
    let capped = default.min(LevelFilter::WARN);
    Targets::new()
        .with_default(default)
        .with_targets(WARN_ONLY_LIBRARIES.map(|library| (library, capped)))
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
        LogLevel::Trace => LevelFilter::TRACE,
    }
}
