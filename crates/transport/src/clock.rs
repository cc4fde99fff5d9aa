//! Monotonic clock and wall clock of the machine.
//!
//! The shell of a daemon reads them and passes the time to its core.

use nix::time::{ClockId, clock_gettime};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use types::{Monotonic, Now, WallTime};

/// Reads the monotonic clock and the wall clock, in milliseconds.
///
/// The monotonic clock is `CLOCK_BOOTTIME`, which also counts the time during
/// which the machine is suspended.
pub fn now() -> Now {
    Now {
        monotonic: Monotonic(milliseconds(monotonic())),
        wall: WallTime(milliseconds(wall())),
    }
}

fn monotonic() -> Duration {
    // The fallback, for a kernel without the boot clock, does not count the
    // time during which the machine is suspended.
    static START: OnceLock<Instant> = OnceLock::new();
    read(ClockId::CLOCK_BOOTTIME).unwrap_or_else(|| START.get_or_init(Instant::now).elapsed())
}

fn wall() -> Duration {
    read(ClockId::CLOCK_REALTIME)
        .or_else(|| SystemTime::now().duration_since(UNIX_EPOCH).ok())
        .unwrap_or_default()
}

/// Reads a clock. Returns `None` on an error or for a negative time.
fn read(clock: ClockId) -> Option<Duration> {
    let time = clock_gettime(clock).ok()?;
    let seconds = u64::try_from(time.tv_sec()).ok()?;
    let nanoseconds = u32::try_from(time.tv_nsec()).ok()?;
    Some(Duration::new(seconds, nanoseconds))
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
