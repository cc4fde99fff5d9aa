//! Tests of the gateway's core with emulated coordinators.

mod access;
mod bench;
mod forwarding;
mod overload;
mod readiness;
