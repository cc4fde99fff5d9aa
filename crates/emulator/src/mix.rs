//! The job mixes of the two example deployments, and their pools.

/// Pool of the media mix.
pub const MEDIA_POOL: &str = "stills";
/// Pool of the documents mix.
pub const DOCUMENTS_POOL: &str = "documents";

/// Which mix to draw from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Contact sheets, catalogue strips, upscale and colour passes, and mostly
    /// hover frames: about 43 jobs a second over three tenants.
    Media,
    /// Completeness checks, price comparisons, document scans, and mostly
    /// status lookups: about 52 jobs a second over three tenants.
    Documents,
}

impl Mix {
    /// The pool its queues are bound to.
    pub fn pool(self) -> &'static str {
        match self {
            Self::Media => MEDIA_POOL,
            Self::Documents => DOCUMENTS_POOL,
        }
    }
}
