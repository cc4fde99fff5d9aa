//! The agent's shell between a hand-made leader and stand-in runners, over
//! loopback sockets.

mod bench;
mod delivery;
mod http;
