//! Capacity to reserve now, according to the recorded step of an occurrence. The owner
//! requests the capacity in steps before the window begins, and releases it in parts while no
//! task of the window arrives.

use super::seen::{Clock, Seen};
use crate::record::{Step, WindowRecord};
use crate::settings::Window;

/// Number of steps in which the owner requests machines for an occurrence.
const RAMP_STEPS: u32 = 8;

/// Minimum time in seconds over which the owner requests machines. The time prevents a
/// window from displacing other customers of the cloud and other jobs of the cluster all at
/// once.
const MIN_RAMP_S: f64 = 20.0;

/// Number of parts in which reserved capacity is released while no task of the window
/// arrives.
const SHRINK_PARTS: u32 = 4;

/// Minimum time in seconds between the release of one part of the reserved capacity and the
/// next.
const MIN_SHRINK_INTERVAL_S: f64 = 5.0;

pub(super) fn ms(seconds: f64) -> i64 {
    // The conversion saturates, and NaN becomes 0.
    (seconds * 1000.0) as i64
}

/// Returns the time in seconds over which the owner requests capacity for `tasks` tasks if
/// the window begins late enough.
fn ramp_s(tasks: u32, seen: &Seen) -> f64 {
    min_rental_s(tasks, seen).max(MIN_RAMP_S)
}

/// Returns the minimum time in seconds to rent machines for `tasks` tasks, as the rate limits
/// of the cloud and of the controllers allow.
fn min_rental_s(tasks: u32, seen: &Seen) -> f64 {
    if seen.rent_per_s > 0.0 {
        f64::from(tasks) / seen.rent_per_s
    } else {
        0.0
    }
}

/// Returns how many seconds before a window begins the owner starts to request machines. The
/// time covers the requests in steps, a slow boot and the fetch of the images, so that all
/// machines are ready `early_s` before the window begins.
pub fn lead_s(window: &Window, seen: &Seen) -> f64 {
    f64::from(window.early_s) + seen.slow_boot_s + seen.fetch_s + ramp_s(window.tasks, seen)
}

pub(super) fn requested_tasks(
    window: &Window,
    start_ms: i64,
    record: &WindowRecord,
    seen: &Seen,
    clock: Clock,
) -> u32 {
    let needs_s = f64::from(window.early_s) + seen.slow_boot_s + seen.fetch_s;
    let left_s = (start_ms - record.since_ms) as f64 / 1000.0 - needs_s;
    // If the window was pinned late or an outage delayed the requests, the owner requests
    // machines as fast as the rate limits allow.
    let over_s = ramp_s(record.tasks, seen)
        .min(left_s)
        .max(min_rental_s(record.tasks, seen));
    // One controller may have recorded the step by a fast clock, and another may read it by a
    // slow clock.
    let elapsed_ms = clock.latest_ms() + clock.off_ms - record.since_ms;
    let elapsed_s = elapsed_ms as f64 / 1000.0;
    let steps = if over_s > 0.0 {
        (elapsed_s.max(0.0) / over_s * f64::from(RAMP_STEPS)).min(f64::from(RAMP_STEPS)) as u32 + 1
    } else {
        RAMP_STEPS
    };
    fraction(record.tasks, steps.min(RAMP_STEPS), RAMP_STEPS)
}

fn fraction(tasks: u32, of: u32, parts: u32) -> u32 {
    (u64::from(tasks) * u64::from(of)).div_ceil(u64::from(parts)) as u32
}

/// Returns the number of tasks for which capacity stays reserved while none of the window's
/// tasks runs or waits. The number decreases in parts to 0 once this lasts longer than the
/// window's `no_show_s`, both if no task ever arrived and after all tasks are done.
pub(super) fn kept_while_idle(
    window: &Window,
    start_ms: i64,
    tasks: u32,
    seen: &Seen,
    clock: Clock,
) -> u32 {
    if seen.used > 0 || seen.waiting > 0 {
        return tasks;
    }
    // The idle time comes from the monotonic clock, so a jump of the wall clock alone
    // releases nothing.
    let begun_s = (clock.earliest_ms() - start_ms) as f64 / 1000.0;
    let no_show_s = f64::from(window.no_show_s);
    let beyond_s = seen.idle_s.min(begun_s) - no_show_s;
    if beyond_s < 0.0 {
        return tasks;
    }
    let each_s = (no_show_s / f64::from(SHRINK_PARTS)).max(MIN_SHRINK_INTERVAL_S);
    let released = (beyond_s / each_s).min(f64::from(SHRINK_PARTS)) as u32 + 1;
    fraction(tasks, SHRINK_PARTS.saturating_sub(released), SHRINK_PARTS)
}

/// Returns the number of tasks for which to reserve capacity according to an occurrence's
/// record. The owners of other shards, which don't write the record, call this function too
/// and reserve their part of the result, see [`super::divide`].
pub fn reserved_tasks(
    window: Option<&Window>,
    start_ms: i64,
    record: &WindowRecord,
    seen: &Seen,
    clock: Clock,
) -> u32 {
    let wanted = match (record.step, window) {
        (Step::Planned | Step::Releasing | Step::Over, _) => 0,
        // The window was removed, but the record doesn't show that yet.
        (Step::Warming | Step::Held, None) => seen.asked.min(record.tasks),
        (Step::Warming, Some(window)) => {
            // Capacity that was already requested is kept, even if a clock jumps back.
            requested_tasks(window, start_ms, record, seen, clock).max(seen.asked.min(record.tasks))
        }
        (Step::Held, Some(window)) => kept_while_idle(window, start_ms, record.tasks, seen, clock),
    };
    // Reserved capacity counts toward the team's limit and never exceeds it.
    wanted.min(seen.fits)
}
