use godwitspool_types::Millis;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since boot, including the time the machine was suspended. Leases and
/// the age of what a choice rests on are measured by this clock.
pub fn lease_clock() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    Millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
