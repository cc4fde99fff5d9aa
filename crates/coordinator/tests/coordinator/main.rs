//! Tests of the coordinator core, in a cluster with virtual time.

mod faults;
mod first_start;
mod golden_data;
mod hidden_jobs;
mod interrupted_start;
mod lost_runs;
mod mutations;
mod relay;
mod requests;
mod runs;
mod snapshots;
mod stops;
mod test_cluster;
