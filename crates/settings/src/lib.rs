//! Local settings of one daemon: file, flags, checked values.
//!
//! A daemon learns its place from a TOML file, from flags, or from both; flags
//! win. Reading gives either settings whose every value is checked, or all
//! problems at once, each with its place. Unknown keys are rejected. Settings
//! know nothing of the roles' crates: the binary converts them.

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
    /// Reads and checks every key. None when a value without a default is
    /// missing or wrong; the reader then holds at least one problem.
    fn read(reader: &mut Reader) -> Option<Self>;

    /// What all roles have.
    fn node(&self) -> &NodeSettings;

    /// The same settings with another log level: the part that may change
    /// while the daemon runs.
    fn with_log_level(self, level: LogLevel) -> Self;
}
