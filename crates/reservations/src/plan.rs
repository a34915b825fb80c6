//! One occurrence's steps, and how much capacity is reserved now.
//!
//! What is reserved follows the *recorded* step, never the one that is due: a new
//! owner finds in the record all that its predecessor acted by. Clocks decide
//! only when the next step is due, with edges widened by their bound: begun as
//! early, and ended as late, as any clock within the bound may say. A recorded
//! step is not undone by a clock, wherever that jumps.
//!
//! In parts: what it is made from (`seen`), how much capacity is reserved (`free_capacity`), what a
//! record is to become (`change`), and who gives way (`arbitration`).

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

/// What is due.
#[derive(Clone, Debug, PartialEq)]
pub struct Next {
    /// The record's change.
    pub change: Change,
    /// For how many tasks to reserve capacity now, with what its work uses.
    pub reserved_tasks: u32,
    /// What is lacking of that.
    pub short: Option<Short>,
    /// A line for operators.
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

/// What is due for one occurrence, which begins at `at.start_ms`. The window is
/// `None` where it has been taken out.
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

/// A line for operators: the record, what it lacks, and how much is reserved.
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

/// What is due for all occurrences of a window.
#[derive(Clone, Debug, PartialEq)]
pub struct WindowPlan {
    /// Each occurrence that is near or recorded, by its beginning.
    pub each: BTreeMap<i64, Next>,
    /// For how many tasks to reserve capacity: the most that any of them needs, not the
    /// sum, as one goes over into the next with the same machines.
    pub reserved_tasks: u32,
}

/// Looks at all occurrences of a window: those recorded, by their beginning in
/// milliseconds, and those that come near. The window is `None` where only
/// records are left of it.
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
        // The one under way, and the one that may warm beside it.
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

/// Parts of a number of tasks for `shards` shards: they add up to it, differ by one at
/// most, and none shrinks when it grows.
pub fn divide(tasks: u32, shards: u32) -> Vec<u32> {
    (0..shards)
        .map(|shard| {
            let before = u64::from(shards - 1 - shard);
            ((u64::from(tasks) + before) / u64::from(shards)) as u32
        })
        .collect()
}
