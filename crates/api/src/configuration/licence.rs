//! Licences with seats.

use configuration::LicenceSettings;
use serde::{Deserialize, Serialize};

/// A licence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LicenceBody {
    /// Runs that may take a seat of it at once, over all pools.
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
