//! Local settings of a daemon.
//!
//! A daemon reads its settings from a TOML file, from flags, or from both; flags
//! override the file. Reading returns either settings whose values are all validated,
//! or all problems at once, each with its location. Unknown keys are rejected. This crate
//! does not depend on the crates of the roles; the binary converts the settings for
//! them.

pub mod agent;
pub mod coordinator;
pub mod error;
pub mod gateway;
pub mod log;
pub mod node;
pub mod reader;
pub mod secret;
mod session;
pub mod source;

pub use agent::{AgentSettings, AgentTimings};
pub use coordinator::{
    CoordinatorLimits, CoordinatorSettings, CoordinatorTimings, DrawSetting, PolicySettings,
    SchedulerSettings,
};
pub use error::{InvalidSetting, SettingsError};
pub use gateway::{GatewayLimits, GatewaySettings, GatewayTimings};
pub use log::{LogFormat, LogLevel, LogSettings};
pub use node::{NodeSettings, TransportSettings};
pub use secret::ClusterSecret;
pub use source::{Override, OverrideError, Source, load};

use reader::Reader;

/// Settings of one role, read key by key.
pub trait RoleSettings: Sized + Clone + PartialEq {
    /// Reads and validates every key. Returns `None` if a value without a default is
    /// missing or invalid; the reader then holds at least one problem.
    fn read(reader: &mut Reader) -> Option<Self>;

    /// Returns the settings that all roles share.
    fn node(&self) -> &NodeSettings;

    /// Returns the settings with another log level, the only setting that may change
    /// while the daemon runs.
    fn with_log_level(self, level: LogLevel) -> Self;
}
