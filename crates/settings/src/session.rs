//! Settings of the sessions of gateways and agents with the leader.

use crate::reader::Reader;

/// Keys of table `timings` that gateways and agents share.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SessionTimings {
    /// Key `timings.session_interval_ms`: interval between keep-alives to the
    /// leader, in milliseconds.
    pub interval_ms: u64,
    /// Key `timings.replica_valid_ms`: time for which the configuration replica
    /// stays valid after the leader confirmed it, in milliseconds.
    pub replica_valid_ms: u64,
}

impl SessionTimings {
    /// Reads the keys, and checks that one lost keep-alive does not end the
    /// validity of the replica.
    pub fn read(reader: &mut Reader) -> Self {
        let interval_ms = reader.ranged("timings.session_interval_ms", 400_u64, 20..=10_000);
        let replica_valid_ms = reader.ranged("timings.replica_valid_ms", 1_800, 100..=60_000);
        if interval_ms.saturating_mul(2) > replica_valid_ms {
            reader.add_problem(
                "timings.session_interval_ms",
                "must be at most half of timings.replica_valid_ms, or one lost keep-alive ends it",
            );
        }
        Self {
            interval_ms,
            replica_valid_ms,
        }
    }
}
