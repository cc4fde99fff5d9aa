//! Admin listener of every daemon: `/livez`, `/readyz` and `/metrics`.
//!
//! The shell of a daemon sets [`Readiness`]; the platform and operators read it
//! at `/readyz`.

pub mod readiness;
pub mod recorder;
pub mod server;

pub use readiness::Readiness;
pub use recorder::{MetricsError, install_metrics};
pub use server::{ServeError, bind, routes, serve, serve_on};
