//! The agent's shell between a hand-made leader and emulated runners, over
//! loopback sockets.

mod bench;
mod delivery;
mod http;
