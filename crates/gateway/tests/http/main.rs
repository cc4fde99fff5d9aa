//! The gateway's shell over loopback, before an emulated leader.

mod decisions;
mod fixture;
mod jobs;
mod lifecycle;
mod operator;
