//! JSON bodies of licences.

use configuration::LicenceSettings;
use serde::{Deserialize, Serialize};

/// A licence that limits the number of runs that use it at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LicenceBody {
    /// Number of seats over all pools. Each run that needs the licence takes
    /// one; with 0 seats, work that needs one waits.
    pub seats: u32,
}

impl From<LicenceSettings> for LicenceBody {
    fn from(licence: LicenceSettings) -> Self {
        Self {
            seats: licence.seats,
        }
    }
}

impl From<LicenceBody> for LicenceSettings {
    fn from(body: LicenceBody) -> Self {
        Self { seats: body.seats }
    }
}
