//! The gateway's core before stand-in coordinators.

mod access;
mod bench;
mod forwarding;
mod overload;
mod readiness;
