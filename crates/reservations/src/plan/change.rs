//! Next change of an occurrence's record. The clock and the owner's observations determine
//! the step that is due. A recorded step never goes back.

use super::free_capacity::{kept_while_idle, lead_s, ms, requested_tasks};
use super::seen::{Clock, Seen};
use crate::record::{Step, WindowRecord, VERSION};
use crate::settings::Window;
use crate::when::Span;

/// Time in seconds by which the planned step precedes the warming step. The time is long
/// enough for an operator to act on a shortage.
const PLAN_AHEAD_S: f64 = 300.0;

/// Maximum time in seconds after an occurrence's end during which its machines may still be
/// in release. Then the occurrence counts as over.
const MAX_RELEASE_S: i64 = 60;

/// Time in seconds for which the record of an ended occurrence is kept, in addition to the
/// largest difference of clocks within their bound. The extra time covers a clock that jumps
/// beyond the bound.
const RECORD_RETENTION_S: i64 = 600;

/// Change to make to an occurrence's record, on condition that the stored record is still the
/// one that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Leave the occurrence's record unchanged.
    Keep,
    /// Write this record for the occurrence.
    Write(WindowRecord),
    /// Delete the record, because no clock can make the occurrence appear to be in the
    /// future.
    Delete,
}

/// Returns the step that is due by the clock and the owner's observations, or `None` if the
/// occurrence is too far in the future.
fn due_step(
    window: &Window,
    span: Span,
    record: Option<&WindowRecord>,
    seen: &Seen,
    clock: Clock,
) -> Option<Step> {
    let before_ms = |s: f64| span.start_ms.saturating_sub(ms(s));
    let lead_s = lead_s(window, seen);
    if clock.earliest_ms() >= span.end_ms {
        return Some(Step::Releasing);
    }
    if clock.latest_ms() < before_ms(lead_s + PLAN_AHEAD_S) {
        return None;
    }
    if clock.latest_ms() < before_ms(lead_s) {
        return Some(Step::Planned);
    }
    let Some(record) = record else {
        return Some(Step::Warming);
    };
    let asked_all = requested_tasks(window, span.start_ms, record, seen, clock) >= record.tasks;
    match record.step {
        Step::Warming if clock.latest_ms() >= span.start_ms && asked_all => Some(Step::Held),
        Step::Held if kept_while_idle(window, span.start_ms, record.tasks, seen, clock) == 0 => {
            Some(Step::Releasing)
        }
        Step::Planned => Some(Step::Warming),
        step => Some(step),
    }
}

fn new_record(step: Step, span: Span, tasks: u32, clock: Clock) -> WindowRecord {
    WindowRecord {
        version: VERSION,
        end_ms: span.end_ms,
        step,
        since_ms: clock.now_ms,
        tasks,
        removed: false,
    }
}

/// Returns the next change of an occurrence's record. `window` is `None` if the window was
/// removed or no longer has an occurrence that begins at that time.
pub(super) fn change(
    window: Option<&Window>,
    at: Span,
    record: Option<&WindowRecord>,
    seen: &Seen,
    clock: Clock,
) -> Change {
    let Some(record) = record else {
        return first_record(window, at, seen, clock);
    };
    // A later version wrote the record, and this version doesn't know what its steps mean.
    if !record.known() {
        return Change::Keep;
    }
    let ended = |removed| {
        Change::Write(WindowRecord {
            step: Step::Releasing,
            since_ms: clock.now_ms,
            removed,
            ..record.clone()
        })
    };
    match (record.step, window) {
        (Step::Planned | Step::Warming | Step::Held, None) => ended(true),
        (Step::Planned | Step::Warming | Step::Held, Some(window)) => {
            advance(window, at, record, seen, clock)
        }
        (Step::Releasing | Step::Over, Some(window))
            if record.removed && clock.earliest_ms() < at.end_ms =>
        {
            // An operator removed the window and pinned it again. The step goes back because
            // of the operator and not because of a clock.
            first_step(window, at, seen, clock)
        }
        (Step::Releasing, _) => change_releasing(record, seen, clock),
        (Step::Over, _) => change_over(at, record, clock),
    }
}

/// Returns the change for an occurrence that has no record.
fn first_record(window: Option<&Window>, at: Span, seen: &Seen, clock: Clock) -> Change {
    let Some(window) = window else {
        return Change::Keep;
    };
    // After this time new machines would be ready only when the occurrence is over.
    let useful_ms = at.end_ms.saturating_sub(ms(seen.boot_s + seen.fetch_s));
    if clock.now_ms < useful_ms {
        first_step(window, at, seen, clock)
    } else {
        Change::Keep
    }
}

/// Returns a new record if the planned or the warming step of the occurrence is due.
fn first_step(window: &Window, at: Span, seen: &Seen, clock: Clock) -> Change {
    match due_step(window, at, None, seen, clock) {
        Some(step @ (Step::Planned | Step::Warming)) => {
            Change::Write(new_record(step, at, window.tasks, clock))
        }
        _ => Change::Keep,
    }
}

/// Returns the change of a record in the planned, warming or held step to the step that is
/// due and to the window's present size.
fn advance(window: &Window, at: Span, record: &WindowRecord, seen: &Seen, clock: Clock) -> Change {
    let due = due_step(window, at, Some(record), seen, clock);
    // Steps only go forward. The recorded step stays if the clock shows an earlier one as
    // due.
    let step = due.map_or(record.step, |due| due.max(record.step));
    let changed = WindowRecord {
        step,
        end_ms: at.end_ms,
        tasks: window.tasks,
        since_ms: if step == record.step {
            record.since_ms
        } else {
            clock.now_ms
        },
        ..record.clone()
    };
    if changed == *record {
        Change::Keep
    } else {
        Change::Write(changed)
    }
}

/// Returns the change of a record in the releasing step. The occurrence is over once its
/// machines are released, or at the latest [`MAX_RELEASE_S`] after its end.
fn change_releasing(record: &WindowRecord, seen: &Seen, clock: Clock) -> Change {
    let late_ms = record.end_ms.saturating_add(MAX_RELEASE_S * 1000);
    if seen.asked <= seen.used || clock.earliest_ms() >= late_ms {
        Change::Write(WindowRecord {
            step: Step::Over,
            since_ms: clock.now_ms,
            ..record.clone()
        })
    } else {
        Change::Keep
    }
}

/// Returns the change of a record in the over step, which is deleted after a retention time.
fn change_over(at: Span, record: &WindowRecord, clock: Clock) -> Change {
    // The record is deleted only when every clock within the bound is past the end of the
    // occurrence. Otherwise a controller with a slow clock would begin it a second time.
    let known_ms = record.end_ms.max(at.end_ms) + 2 * clock.off_ms + RECORD_RETENTION_S * 1000;
    if clock.earliest_ms() >= known_ms {
        Change::Delete
    } else {
        Change::Keep
    }
}
