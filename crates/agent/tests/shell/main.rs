//! Tests of the agent's shell with a scripted leader and emulated runners, over
//! loopback sockets.

mod delivery;
mod harness;
mod http;
