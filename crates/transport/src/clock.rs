//! The daemons' clocks, read by their shells and handed to the cores.

use nix::time::{ClockId, clock_gettime};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use types::{Monotonic, Now, WallTime};

/// Both clocks. The monotonic one counts through a freeze of the machine.
pub fn now() -> Now {
    Now {
        monotonic: Monotonic(milliseconds(monotonic())),
        wall: WallTime(milliseconds(wall())),
    }
}

fn monotonic() -> Duration {
    // Where the kernel rejects the boot clock, time since the first call does
    // for everything but a freeze.
    static START: OnceLock<Instant> = OnceLock::new();
    read(ClockId::CLOCK_BOOTTIME).unwrap_or_else(|| START.get_or_init(Instant::now).elapsed())
}

fn wall() -> Duration {
    read(ClockId::CLOCK_REALTIME)
        .or_else(|| SystemTime::now().duration_since(UNIX_EPOCH).ok())
        .unwrap_or_default()
}

/// A clock's reading; none on an error or before its zero.
fn read(clock: ClockId) -> Option<Duration> {
    let time = clock_gettime(clock).ok()?;
    let seconds = u64::try_from(time.tv_sec()).ok()?;
    let nanoseconds = u32::try_from(time.tv_nsec()).ok()?;
    Some(Duration::new(seconds, nanoseconds))
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
