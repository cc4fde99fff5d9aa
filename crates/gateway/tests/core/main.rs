//! Tests of the gateway's core with emulated coordinators.

mod access;
mod forwarding;
mod harness;
mod overload;
mod readiness;
