//! Tests of the gateway's HTTP interface over loopback, with an emulated leader.

mod decisions;
mod fixture;
mod jobs;
mod lifecycle;
mod operator;
