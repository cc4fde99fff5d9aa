//! Stands in until the transport's crate reads the clocks for all shells.

use nix::time::{ClockId, clock_gettime};
use types::{Monotonic, Now, WallTime};

/// Both clocks; the monotonic one counts through a freeze of the machine.
pub(crate) fn now() -> Now {
    Now {
        monotonic: Monotonic(milliseconds(ClockId::CLOCK_BOOTTIME)),
        wall: WallTime(milliseconds(ClockId::CLOCK_REALTIME)),
    }
}

fn milliseconds(clock: ClockId) -> u64 {
    let Ok(time) = clock_gettime(clock) else {
        return 0;
    };
    let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec()).unwrap_or(0);
    seconds * 1_000 + nanoseconds / 1_000_000
}
