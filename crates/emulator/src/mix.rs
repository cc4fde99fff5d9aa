//! Job mixes of the two example deployments, and their pools.

/// Name of the pool that runs the media mix.
pub const MEDIA_POOL: &str = "stills";
/// Name of the pool that runs the documents mix.
pub const DOCUMENTS_POOL: &str = "documents";

/// Job mix that a [`Workload`](crate::workload::Workload) draws from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Contact sheets, catalogue strips, upscale and colour passes, and mostly
    /// hover frames. About 43 jobs per second from three tenants.
    Media,
    /// Completeness checks, price comparisons, document scans, and mostly
    /// status lookups. About 52 jobs per second from three tenants.
    Documents,
}

impl Mix {
    /// Returns the name of the pool that the queues of the mix are bound to.
    pub fn pool(self) -> &'static str {
        match self {
            Self::Media => MEDIA_POOL,
            Self::Documents => DOCUMENTS_POOL,
        }
    }
}
