//! The gateway's core before emulated coordinators.

mod access;
mod bench;
mod forwarding;
mod overload;
mod readiness;
