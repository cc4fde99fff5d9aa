//! Authorization of heartbeats by the keys of the cluster configuration.

use super::handle::rejection;
use configuration::{ClusterConfiguration, KeyRole, authenticate, requires_keys};
use transport::{Rejection, RejectionCode};
use types::Milliseconds;

/// Time after which a runner should retry while the configuration is not known.
const RETRY_AFTER: Milliseconds = Milliseconds(500);

/// Checks whether a token allows sending heartbeats.
///
/// `configuration` is `None` while the replica is missing or no longer valid. Every token is
/// rejected then, since the key may have been revoked.
pub fn authorize(
    configuration: Option<&ClusterConfiguration>,
    token: Option<&str>,
) -> Result<(), Rejection> {
    let Some(configuration) = configuration else {
        return Err(rejection(
            RejectionCode::Unavailable,
            "the configuration is not known now, so no key can be checked",
            Some(RETRY_AFTER),
        ));
    };
    if !requires_keys(configuration) {
        return Ok(());
    }
    let key = token.and_then(|token| authenticate(configuration, token));
    match key.map(|key| &key.role) {
        Some(KeyRole::Runner | KeyRole::Operator) => Ok(()),
        Some(KeyRole::Caller(_)) => Err(rejection(
            RejectionCode::Forbidden,
            "this key is a caller's; heartbeats need a runner's",
            None,
        )),
        None => Err(rejection(
            RejectionCode::Unauthenticated,
            "a bearer key of a runner is needed",
            None,
        )),
    }
}
