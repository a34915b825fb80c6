//! A clock that counts while the machine sleeps, and tells one start of the
//! machine from another.

use rustix::time::{clock_gettime, ClockId};
use sorrelhinge_protocol::types::Time;

/// Seconds since the machine started, those that it slept included. A step of
/// the time of day does not move it.
pub fn now() -> Time {
    let since_boot = clock_gettime(ClockId::Boottime);
    Time(since_boot.tv_sec as f64 + since_boot.tv_nsec as f64 / 1e9)
}

/// This start of the machine.
pub fn boot_id() -> String {
    std::fs::read_to_string("/proc/sys/kernel/random/boot_id")
        .map(|id| id.trim().to_owned())
        .unwrap_or_default()
}
