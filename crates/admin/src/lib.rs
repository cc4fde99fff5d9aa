//! The admin listener of every daemon: `/livez`, `/readyz`, `/metrics`.
//!
//! A shell sets [`Readiness`]; the platform and the operators read it here.

pub mod readiness;
pub mod recorder;
pub mod server;

pub use readiness::Readiness;
pub use recorder::{MetricsError, install_metrics};
pub use server::{ServeError, bind, routes, serve, serve_on};
