//! Steps of a window's occurrence, and the capacity to reserve for it now.
//!
//! The reserved capacity follows the *recorded* step, never the step that is due. So a new
//! owner finds in the record everything on which its predecessor acted. Clocks decide only
//! when the next step is due, and the bound on the clock error extends the occurrence at
//! both ends. It begins as early and ends as late as any clock within the bound could give.
//! No clock undoes a recorded step, however far the clock jumps.
//!
//! The submodules define the input (`seen`), the capacity to reserve (`free_capacity`), the
//! next change of a record (`change`), and which window gets less when capacity is short
//! (`arbitration`).

mod arbitration;
mod change;
mod free_capacity;
mod seen;

use std::collections::BTreeMap;

pub use self::arbitration::{arbitrate, CapacityRequest, CapacityShare, TeamFreeCapacity};
use self::change::change;
pub use self::change::Change;
use self::free_capacity::ms;
pub use self::free_capacity::{lead_s, reserved_tasks};
pub use self::seen::{Clock, Refused, Seen, Short};
use crate::record::{span, Step, WindowRecord};
use crate::settings::Window;
use crate::when::Span;

/// Result of planning one occurrence of a window.
#[derive(Clone, Debug, PartialEq)]
pub struct Next {
    /// Change of the occurrence's record that the owner makes next.
    pub change: Change,
    /// Number of tasks for which to reserve capacity now, including capacity that the
    /// window's tasks already use.
    pub reserved_tasks: u32,
    /// Reason why the capacity for the occurrence is short, or `None` if it is not.
    pub short: Option<Short>,
    /// One line for operators that describes the step and any shortage.
    pub why: String,
}

fn shortage(
    at: Span,
    tasks: u32,
    step: Step,
    reserved: u32,
    seen: &Seen,
    clock: Clock,
) -> Option<Short> {
    if step > Step::Held {
        return None;
    }
    if seen.fits < tasks {
        return Some(match &seen.gives_way_to {
            Some(name) => Short::GivesWay(name.clone()),
            None => Short::Limit(seen.fits),
        });
    }
    if seen.asked < reserved {
        match seen.refused {
            Some(Refused::Capacity) => return Some(Short::Capacity),
            Some(Refused::Changes) => return Some(Short::Changes),
            None => {}
        }
    }
    let needs_ms = ms(seen.boot_s + seen.fetch_s);
    let late = step >= Step::Warming && clock.latest_ms() >= at.start_ms - needs_ms;
    let wanted = match step {
        Step::Held => reserved,
        _ => tasks,
    };
    let missing = wanted.saturating_sub(if clock.latest_ms() >= at.start_ms {
        seen.ready
    } else {
        seen.asked
    });
    (late && missing > 0).then_some(Short::Late(missing))
}

/// Plans one occurrence of a window, which begins at `at.start_ms`. `window` is `None` if an
/// operator has removed the window from the calendar.
pub fn step(
    window: Option<&Window>,
    at: Span,
    record: Option<&WindowRecord>,
    seen: &Seen,
    clock: Clock,
) -> Next {
    let window = window.filter(|w| w.when.begins_at(at.start_ms));
    let at = match window {
        Some(window) => Span {
            start_ms: at.start_ms,
            end_ms: at.start_ms.saturating_add(i64::from(window.lasts_s) * 1000),
        },
        None => at,
    };
    let change = change(window, at, record, seen, clock);
    let reserved = record.map_or(0, |r| reserved_tasks(window, at.start_ms, r, seen, clock));
    let shown = record.or(match &change {
        Change::Write(first) => Some(first),
        Change::Keep | Change::Delete => None,
    });
    let short = shown.and_then(|r| shortage(at, r.tasks, r.step, reserved, seen, clock));
    let why = explain(shown, short.as_ref(), reserved);
    Next {
        change,
        reserved_tasks: reserved,
        short,
        why,
    }
}

/// Returns one line for operators with the recorded step, the shortage and the reserved
/// capacity.
fn explain(shown: Option<&WindowRecord>, short: Option<&Short>, reserved: u32) -> String {
    match (shown, short) {
        (None, _) => "not near".into(),
        (Some(r), _) if !r.known() => "its record is of a later version".into(),
        (Some(r), Some(short)) => format!("{}: {short}", r.step),
        (Some(r), None) if r.step == Step::Held && reserved < r.tasks => {
            format!(
                "{}: no work, held for {reserved} of {} tasks",
                r.step, r.tasks
            )
        }
        (Some(r), None) if r.removed => format!("{}: taken out or moved", r.step),
        (Some(r), None) if r.step == Step::Warming => {
            format!("{}: asked for {reserved} of {} tasks", r.step, r.tasks)
        }
        (Some(r), None) => r.step.to_string(),
    }
}

/// Plan for all occurrences of a window.
#[derive(Clone, Debug, PartialEq)]
pub struct WindowPlan {
    /// Plan of each occurrence that begins soon or has a record, keyed by its start as Unix
    /// time in milliseconds.
    pub each: BTreeMap<i64, Next>,
    /// Number of tasks for which to reserve capacity. This is the maximum over the
    /// occurrences and not the sum, because consecutive occurrences use the same machines.
    pub reserved_tasks: u32,
}

/// Plans all occurrences of a window that have a record or begin soon. The keys of `records`
/// are the starts of the occurrences as Unix times in milliseconds. `window` is `None` if only
/// records of the window remain.
pub fn steps(
    window: Option<&Window>,
    records: &BTreeMap<i64, WindowRecord>,
    seen: &Seen,
    clock: Clock,
) -> WindowPlan {
    let mut spans: BTreeMap<i64, Span> = records
        .iter()
        .map(|(start, record)| (*start, span(*start, record)))
        .collect();
    if let Some(window) = window {
        // Two occurrences can be active: the current one, and the next one, which may be in
        // the warming step.
        let current = window.current_or_next(clock.earliest_ms());
        let second = current.and_then(|span| window.next(span.start_ms));
        for span in current.into_iter().chain(second) {
            spans.entry(span.start_ms).or_insert(span);
        }
    }
    let each: BTreeMap<i64, Next> = spans
        .into_iter()
        .map(|(start, span)| {
            let next = step(window, span, records.get(&start), seen, clock);
            (start, next)
        })
        .filter(|(start, next)| records.contains_key(start) || next.change != Change::Keep)
        .collect();
    let reserved = each.values().map(|next| next.reserved_tasks).max();
    WindowPlan {
        each,
        reserved_tasks: reserved.unwrap_or(0),
    }
}

/// Divides a number of tasks among `shards` shards. The parts add up to `tasks` and differ by
/// one at most, and no part becomes smaller when `tasks` becomes larger.
pub fn divide(tasks: u32, shards: u32) -> Vec<u32> {
    (0..shards)
        .map(|shard| {
            let before = u64::from(shards - 1 - shard);
            ((u64::from(tasks) + before) / u64::from(shards)) as u32
        })
        .collect()
}
