//! How much capacity is reserved now, by an occurrence's recorded step: asked for in steps
//! before the window begins, and given back in parts while no work comes.

use super::seen::{Clock, Seen};
use crate::record::{Step, WindowRecord};
use crate::settings::Window;

/// Machines are asked for in so many steps.
const RAMP_STEPS: u32 = 8;

/// For how long at least, in seconds: the cloud's other customers and our own
/// other work aren't pushed aside at one moment.
const MIN_RAMP_S: f64 = 20.0;

/// What is reserved shrinks in so many parts while no work comes.
const SHRINK_PARTS: u32 = 4;

/// The least time from one part to the next, in seconds.
const MIN_SHRINK_INTERVAL_S: f64 = 5.0;

pub(super) fn ms(seconds: f64) -> i64 {
    // Saturates; what is not a number is 0.
    (seconds * 1000.0) as i64
}

/// Seconds over which capacity for `tasks` is asked for, if there is time.
fn ramp_s(tasks: u32, seen: &Seen) -> f64 {
    pace_s(tasks, seen).max(MIN_RAMP_S)
}

/// Seconds that the cloud's and our own limits make of it anyway.
fn pace_s(tasks: u32, seen: &Seen) -> f64 {
    if seen.rent_per_s > 0.0 {
        f64::from(tasks) / seen.rent_per_s
    } else {
        0.0
    }
}

/// How long before its beginning a window's machines are asked for, in seconds:
/// asking in steps, a slow boot and the images' fetch are over when it is to
/// be ready.
pub fn lead_s(window: &Window, seen: &Seen) -> f64 {
    f64::from(window.early_s) + seen.slow_boot_s + seen.fetch_s + ramp_s(window.tasks, seen)
}

pub(super) fn ramp(
    window: &Window,
    start_ms: i64,
    record: &WindowRecord,
    seen: &Seen,
    clock: Clock,
) -> u32 {
    let needs_s = f64::from(window.early_s) + seen.slow_boot_s + seen.fetch_s;
    let left_s = (start_ms - record.since_ms) as f64 / 1000.0 - needs_s;
    // Pinned late, or after an outage: as fast as may be.
    let over_s = ramp_s(record.tasks, seen)
        .min(left_s)
        .max(pace_s(record.tasks, seen));
    // The step may have been recorded by a clock that is ahead, and be read by
    // one that is behind.
    let elapsed_ms = clock.latest_ms() + clock.off_ms - record.since_ms;
    let elapsed_s = elapsed_ms as f64 / 1000.0;
    let steps = if over_s > 0.0 {
        (elapsed_s.max(0.0) / over_s * f64::from(RAMP_STEPS)).min(f64::from(RAMP_STEPS)) as u32 + 1
    } else {
        RAMP_STEPS
    };
    part(record.tasks, steps.min(RAMP_STEPS), RAMP_STEPS)
}

fn part(tasks: u32, of: u32, parts: u32) -> u32 {
    (u64::from(tasks) * u64::from(of)).div_ceil(u64::from(parts)) as u32
}

/// What stays reserved of what no work has used for a while: nothing at a
/// no-show's end, and after the window's work is done.
pub(super) fn unused(window: &Window, start_ms: i64, tasks: u32, seen: &Seen, clock: Clock) -> u32 {
    if seen.used > 0 || seen.waiting > 0 {
        return tasks;
    }
    // By the steady clock as well: a time of day that jumps ends nothing.
    let begun_s = (clock.earliest_ms() - start_ms) as f64 / 1000.0;
    let no_show_s = f64::from(window.no_show_s);
    let beyond_s = seen.idle_s.min(begun_s) - no_show_s;
    if beyond_s < 0.0 {
        return tasks;
    }
    let each_s = (no_show_s / f64::from(SHRINK_PARTS)).max(MIN_SHRINK_INTERVAL_S);
    let released = (beyond_s / each_s).min(f64::from(SHRINK_PARTS)) as u32 + 1;
    part(tasks, SHRINK_PARTS.saturating_sub(released), SHRINK_PARTS)
}

/// For how many tasks to reserve capacity by a record as it is. For other shards'
/// owners as well, which don't write it and reserve their part, see [`super::divide`].
pub fn reserved_tasks(
    window: Option<&Window>,
    start_ms: i64,
    record: &WindowRecord,
    seen: &Seen,
    clock: Clock,
) -> u32 {
    let wanted = match (record.step, window) {
        (Step::Planned | Step::Releasing | Step::Over, _) => 0,
        // Taken out, which is not yet recorded.
        (Step::Warming | Step::Held, None) => seen.asked.min(record.tasks),
        (Step::Warming, Some(window)) => {
            // A clock that jumps back returns nothing that was asked for.
            ramp(window, start_ms, record, seen, clock).max(seen.asked.min(record.tasks))
        }
        (Step::Held, Some(window)) => unused(window, start_ms, record.tasks, seen, clock),
    };
    // What is reserved counts in the team's limit, never over it.
    wanted.min(seen.fits)
}
