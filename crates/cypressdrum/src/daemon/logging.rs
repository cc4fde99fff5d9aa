//! Structured logs on standard error, with a level that may change at runtime.

use settings::{LogFormat, LogLevel, LogSettings};
use thiserror::Error;
use tracing::level_filters::LevelFilter;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{Layer, Registry, fmt, reload};

/// Libraries whose finer lines are of no use to operators.
const QUIET_LIBRARIES: [&str; 3] = ["hyper", "hyper_util", "reqwest"];

/// Why logging cannot start, or its level cannot change.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// This process has a subscriber already.
    #[error("cannot start logging: {0}")]
    Start(#[from] TryInitError),
    /// The subscriber is gone.
    #[error("cannot change the log level: {0}")]
    Level(#[from] reload::Error),
}

/// Changes the log level of this process.
#[derive(Debug, Clone)]
pub struct LogHandle {
    filter: reload::Handle<Targets, Registry>,
}

impl LogHandle {
    /// Takes another level.
    ///
    /// # Errors
    ///
    /// Fails if the log filter is gone.
    pub fn set_level(&self, level: LogLevel) -> Result<(), LoggingError> {
        self.filter.reload(targets(level))?;
        Ok(())
    }
}

/// Starts logging for the whole process.
///
/// # Errors
///
/// Fails if a logger is installed already.
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
    let own = level_filter(level);
    let quiet = own.min(LevelFilter::WARN);
    Targets::new()
        .with_default(own)
        .with_targets(QUIET_LIBRARIES.map(|library| (library, quiet)))
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
