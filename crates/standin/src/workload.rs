//! Job mixes of the two deployments, drawn from a seed.

use types::JobSpec;

/// Which mix to draw from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Contact sheets, catalogue strips, upscale and colour passes, and mostly
    /// hover frames: about 43 jobs a second over three tenants.
    Stills,
    /// Completeness checks, price comparisons, document scans, and mostly
    /// status lookups: about 52 jobs a second over three tenants.
    Documents,
}

/// Draws jobs of a mix, the same for the same seed.
#[derive(Debug)]
pub struct Workload {
    _mix: Mix,
}

impl Workload {
    /// A workload; `prefix` starts every job identifier.
    pub fn new(mix: Mix, prefix: &str, seed: u64) -> Self {
        let _ = (prefix, seed);
        Self { _mix: mix }
    }

    /// Jobs a second at the ordinary load.
    pub fn jobs_per_second(&self) -> f64 {
        todo!()
    }

    /// The next job.
    pub fn next_job(&mut self) -> JobSpec {
        todo!()
    }
}

/// The configuration both mixes need: two pools of 5 and 6 runners, their
/// queues, six tenants, no keys.
pub fn example_configuration() -> configuration::ClusterConfiguration {
    todo!()
}
