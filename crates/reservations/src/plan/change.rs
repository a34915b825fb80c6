//! What an occurrence's record is to become: the step that is due, by the clock and
//! what is seen, and never a step back.

use super::free_capacity::{lead_s, ms, ramp, unused};
use super::seen::{Clock, Seen};
use crate::record::{Step, WindowRecord, VERSION};
use crate::settings::Window;
use crate::when::Span;

/// How long before warming an occurrence is planned, in seconds: long enough
/// for an operator to act on a shortage.
const PLAN_AHEAD_S: f64 = 300.0;

/// For how long after its end machines may be on their way back, in seconds.
const MAX_RELEASE_S: i64 = 60;

/// How long an occurrence that is over stays known beyond all that clocks
/// within their bound can differ, in seconds: for one that jumps further.
const RECORD_RETENTION_S: i64 = 600;

/// What to do about an occurrence's record, on condition that it is still what
/// was given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Keep,
    /// Write this.
    Write(WindowRecord),
    /// Delete it: no clock can take the occurrence for one to come.
    Delete,
}

/// The step that is due, by the clock and what is seen; `None`: not near.
fn due(
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
    let asked_all = ramp(window, span.start_ms, record, seen, clock) >= record.tasks;
    match record.step {
        Step::Warming if clock.latest_ms() >= span.start_ms && asked_all => Some(Step::Held),
        Step::Held if unused(window, span.start_ms, record.tasks, seen, clock) == 0 => {
            Some(Step::Releasing)
        }
        Step::Planned => Some(Step::Warming),
        step => Some(step),
    }
}

fn fresh(step: Step, span: Span, tasks: u32, clock: Clock) -> WindowRecord {
    WindowRecord {
        version: VERSION,
        end_ms: span.end_ms,
        step,
        since_ms: clock.now_ms,
        tasks,
        removed: false,
    }
}

/// What an occurrence's record is to become; the window is `None` where it was
/// taken out, or doesn't begin at that moment any more.
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
    // Of a later version: what it means by its steps is not known here.
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
            forward(window, at, record, seen, clock)
        }
        (Step::Releasing | Step::Over, Some(window))
            if record.removed && clock.earliest_ms() < at.end_ms =>
        {
            // Taken out and pinned again: an operator's word, not a clock's.
            first_step(window, at, seen, clock)
        }
        (Step::Releasing, _) => released(record, seen, clock),
        (Step::Over, _) => forgotten(at, record, clock),
    }
}

/// What to write of an occurrence that has no record.
fn first_record(window: Option<&Window>, at: Span, seen: &Seen, clock: Clock) -> Change {
    let Some(window) = window else {
        return Change::Keep;
    };
    // Its machines would be up when it is over.
    let useful_ms = at.end_ms.saturating_sub(ms(seen.boot_s + seen.fetch_s));
    if clock.now_ms < useful_ms {
        first_step(window, at, seen, clock)
    } else {
        Change::Keep
    }
}

/// A new record if the occurrence is near or warms.
fn first_step(window: &Window, at: Span, seen: &Seen, clock: Clock) -> Change {
    match due(window, at, None, seen, clock) {
        Some(step @ (Step::Planned | Step::Warming)) => {
            Change::Write(fresh(step, at, window.tasks, clock))
        }
        _ => Change::Keep,
    }
}

/// The record of an occurrence that is not over, with the step that is due.
fn forward(window: &Window, at: Span, record: &WindowRecord, seen: &Seen, clock: Clock) -> Change {
    let due = due(window, at, Some(record), seen, clock);
    // Forward only: what the clock says to be not yet due stays.
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

/// A record whose machines are on their way back: over once they are, or after a while.
fn released(record: &WindowRecord, seen: &Seen, clock: Clock) -> Change {
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

/// A record of an occurrence that is over.
fn forgotten(at: Span, record: &WindowRecord, clock: Clock) -> Change {
    // Deleted only when every clock within the bound is past its end:
    // one that is behind would begin it a second time.
    let known_ms = record.end_ms.max(at.end_ms) + 2 * clock.off_ms + RECORD_RETENTION_S * 1000;
    if clock.earliest_ms() >= known_ms {
        Change::Delete
    } else {
        Change::Keep
    }
}
