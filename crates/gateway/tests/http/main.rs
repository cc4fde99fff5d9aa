//! The gateway's shell over loopback, before a stand-in leader.

mod decisions;
mod fixture;
mod jobs;
mod lifecycle;
mod operator;
