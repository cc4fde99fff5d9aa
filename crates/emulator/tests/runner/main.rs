//! Core of the emulated runner.

mod bench;
mod lease;
mod orders;
mod work;
