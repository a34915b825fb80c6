//! One occurrence's steps, and how much room is held now.
//!
//! What is held follows the *recorded* step, never the one that is due: a new
//! owner finds in the record all that its predecessor acted by. Clocks decide
//! only when the next step is due, with edges widened by their bound: begun as
//! early, and ended as late, as any clock within the bound may say. A recorded
//! step is not undone by a clock, wherever that jumps.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sorrelhinge_protocol::types::Amount;

use crate::record::{span, Step, WindowRecord, VERSION};
use crate::settings::Window;
use crate::when::Span;

/// The time of day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    /// This controller's, in milliseconds.
    pub now_ms: i64,
    /// By how much it may be wrong, in milliseconds (`clock_off_ms`).
    pub off_ms: i64,
}

impl Clock {
    /// The latest that it may be.
    pub fn latest_ms(self) -> i64 {
        self.now_ms.saturating_add(self.off_ms)
    }
    /// The earliest that it may be.
    pub fn earliest_ms(self) -> i64 {
        self.now_ms.saturating_sub(self.off_ms)
    }
}

/// What the owner sees of a window. Room is counted in the window's tasks, over
/// all blocks and all occurrences of the window.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// Room set aside, used by its work, or rented for it and on its way.
    pub asked: u32,
    /// Of it, what is up and has the images, used or not.
    pub ready: u32,
    /// Of it, what its classes' work uses.
    pub used: u32,
    /// Tasks of its classes that wait.
    pub waiting: u32,
    /// The most that it may have: what its team's limit leaves beside the
    /// team's other work, and what [`arbitrate`] gives. With what it has.
    pub fits: u32,
    /// The window that it gives way to, if that is why `fits` is short.
    pub gives_way_to: Option<String>,
    /// For how long none of its work has run or waited, in seconds on the
    /// steady clock, as far as this owner has seen: from its takeover on. So a
    /// takeover makes a hold longer, never shorter.
    pub idle_s: f64,
    /// Usual seconds until a machine is up.
    pub boot_s: f64,
    /// Seconds until a slow machine is up.
    pub slow_boot_s: f64,
    /// Seconds until a machine has the images, on the slowest type allowed.
    pub fetch_s: f64,
    /// How many tasks' room can be rented in a second at most.
    pub rent_per_s: f64,
    /// Why the last request for room brought less, if it did.
    pub refused: Option<Refused>,
}

/// Why a request for room brought less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Refused {
    /// The cloud has no more of any type and zone allowed.
    Capacity,
    /// The controllers' changes or requests are used up.
    Changes,
}

/// What a hold lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Short {
    /// The team's limit has room for so many tasks only.
    Limit(u32),
    /// Another window comes first.
    GivesWay(String),
    /// The cloud has no more.
    Capacity,
    /// Changes or requests are used up.
    Changes,
    /// So many tasks' room is not ready, and there is less time left than it
    /// takes.
    Late(u32),
}

impl fmt::Display for Short {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Limit(tasks) => write!(f, "the team's limit leaves room for {tasks} tasks"),
            Self::GivesWay(name) => write!(f, "window {name} comes first"),
            Self::Capacity => f.write_str("the cloud has no more"),
            Self::Changes => f.write_str("changes or requests are used up"),
            Self::Late(tasks) => write!(f, "room for {tasks} tasks is late"),
        }
    }
}

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

/// What is due.
#[derive(Clone, Debug, PartialEq)]
pub struct Next {
    /// The record's change.
    pub change: Change,
    /// How many tasks' room to hold now, with what its work uses.
    pub hold: u32,
    /// What the hold lacks.
    pub short: Option<Short>,
    /// A line for operators.
    pub why: String,
}

/// Room is asked for in so many steps.
const RAMP_STEPS: u32 = 8;

/// For how long at least, in seconds: the cloud's other customers and our own
/// other work aren't pushed aside at one moment.
const MIN_RAMP_S: f64 = 20.0;

/// How long before warming an occurrence is planned, in seconds: long enough
/// for an operator to act on a shortage.
const PLAN_AHEAD_S: f64 = 300.0;

/// A hold without work shrinks in so many parts.
const SHRINK_PARTS: u32 = 4;

/// The least time from one part to the next, in seconds.
const MIN_SHRINK_INTERVAL_S: f64 = 5.0;

/// For how long after its end room may be on its way back, in seconds.
const MAX_RELEASE_S: i64 = 60;

/// How long an occurrence that is over stays known beyond all that clocks
/// within their bound can differ, in seconds: for one that jumps further.
const RECORD_RETENTION_S: i64 = 600;

fn ms(seconds: f64) -> i64 {
    // Saturates; what is not a number is 0.
    (seconds * 1000.0) as i64
}

/// Seconds over which room for `tasks` is asked for, if there is time.
fn ramp_s(tasks: u32, seen: &Seen) -> f64 {
    pace_s(tasks, seen).max(MIN_RAMP_S)
}

/// Seconds that the cloud's and our own limits make of it anyway.
fn pace_s(tasks: u32, seen: &Seen) -> f64 {
    match seen.rent_per_s > 0.0 {
        true => f64::from(tasks) / seen.rent_per_s,
        false => 0.0,
    }
}

/// How long before its beginning a window's room is asked for, in seconds:
/// asking in steps, a slow boot and the images' fetch are over when it is to
/// be ready.
pub fn lead_s(window: &Window, seen: &Seen) -> f64 {
    f64::from(window.early_s) + seen.slow_boot_s + seen.fetch_s + ramp_s(window.tasks, seen)
}

fn ramp(window: &Window, start_ms: i64, record: &WindowRecord, seen: &Seen, clock: Clock) -> u32 {
    let needs_s = f64::from(window.early_s) + seen.slow_boot_s + seen.fetch_s;
    let left_s = (start_ms - record.since_ms) as f64 / 1000.0 - needs_s;
    // Pinned late, or after an outage: as fast as may be.
    let over_s = ramp_s(record.tasks, seen)
        .min(left_s)
        .max(pace_s(record.tasks, seen));
    // The step may have been recorded by a clock that is ahead, and be read by
    // one that is behind.
    let gone_ms = clock.latest_ms() + clock.off_ms - record.since_ms;
    let gone_s = gone_ms as f64 / 1000.0;
    let steps = match over_s > 0.0 {
        true => {
            (gone_s.max(0.0) / over_s * f64::from(RAMP_STEPS)).min(f64::from(RAMP_STEPS)) as u32 + 1
        }
        false => RAMP_STEPS,
    };
    part(record.tasks, steps.min(RAMP_STEPS), RAMP_STEPS)
}

fn part(tasks: u32, of: u32, parts: u32) -> u32 {
    (u64::from(tasks) * u64::from(of)).div_ceil(u64::from(parts)) as u32
}

/// What is left of a hold that no work has used for a while: nothing at a
/// no-show's end, and after the window's work is done.
fn unused(window: &Window, start_ms: i64, tasks: u32, seen: &Seen, clock: Clock) -> u32 {
    if seen.used > 0 || seen.waiting > 0 {
        return tasks;
    }
    // By the steady clock as well: a time of day that jumps ends no hold.
    let begun_s = (clock.earliest_ms() - start_ms) as f64 / 1000.0;
    let no_show_s = f64::from(window.no_show_s);
    let beyond_s = seen.idle_s.min(begun_s) - no_show_s;
    if beyond_s < 0.0 {
        return tasks;
    }
    let each_s = (no_show_s / f64::from(SHRINK_PARTS)).max(MIN_SHRINK_INTERVAL_S);
    let gone = (beyond_s / each_s).min(f64::from(SHRINK_PARTS)) as u32 + 1;
    part(tasks, SHRINK_PARTS.saturating_sub(gone), SHRINK_PARTS)
}

/// How many tasks' room to hold by a record as it is. For other blocks' owners
/// as well, which don't write it and hold their part, see [`divide`].
pub fn hold(
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
    // Held room counts in the team's limit, never over it.
    wanted.min(seen.fits)
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
fn change(
    window: Option<&Window>,
    at: Span,
    record: Option<&WindowRecord>,
    seen: &Seen,
    clock: Clock,
) -> Change {
    let Some(record) = record else {
        let Some(window) = window else {
            return Change::Keep;
        };
        // Its room would be up when it is over.
        let useful_ms = at.end_ms.saturating_sub(ms(seen.boot_s + seen.fetch_s));
        return match due(window, at, None, seen, clock) {
            Some(step @ (Step::Planned | Step::Warming)) if clock.now_ms < useful_ms => {
                Change::Write(fresh(step, at, window.tasks, clock))
            }
            _ => Change::Keep,
        };
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
            let due = due(window, at, Some(record), seen, clock);
            // Forward only: what the clock says to be not yet due stays.
            let step = due.map_or(record.step, |due| due.max(record.step));
            let changed = WindowRecord {
                step,
                end_ms: at.end_ms,
                tasks: window.tasks,
                since_ms: match step == record.step {
                    true => record.since_ms,
                    false => clock.now_ms,
                },
                ..record.clone()
            };
            match changed == *record {
                true => Change::Keep,
                false => Change::Write(changed),
            }
        }
        (Step::Releasing | Step::Over, Some(window))
            if record.removed && clock.earliest_ms() < at.end_ms =>
        {
            // Taken out and pinned again: an operator's word, not a clock's.
            match due(window, at, None, seen, clock) {
                Some(step @ (Step::Planned | Step::Warming)) => {
                    Change::Write(fresh(step, at, window.tasks, clock))
                }
                _ => Change::Keep,
            }
        }
        (Step::Releasing, _) => {
            let late_ms = record.end_ms.saturating_add(MAX_RELEASE_S * 1000);
            match seen.asked <= seen.used || clock.earliest_ms() >= late_ms {
                true => Change::Write(WindowRecord {
                    step: Step::Over,
                    since_ms: clock.now_ms,
                    ..record.clone()
                }),
                false => Change::Keep,
            }
        }
        (Step::Over, _) => {
            // Deleted only when every clock within the bound is past its end:
            // one that is behind would begin it a second time.
            let known_ms =
                record.end_ms.max(at.end_ms) + 2 * clock.off_ms + RECORD_RETENTION_S * 1000;
            match clock.earliest_ms() >= known_ms {
                true => Change::Delete,
                false => Change::Keep,
            }
        }
    }
}

fn shortage(
    at: Span,
    tasks: u32,
    step: Step,
    hold: u32,
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
    if seen.asked < hold {
        match seen.refused {
            Some(Refused::Capacity) => return Some(Short::Capacity),
            Some(Refused::Changes) => return Some(Short::Changes),
            None => {}
        }
    }
    let needs_ms = ms(seen.boot_s + seen.fetch_s);
    let late = step >= Step::Warming && clock.latest_ms() >= at.start_ms - needs_ms;
    let wanted = match step {
        Step::Held => hold,
        _ => tasks,
    };
    let missing = wanted.saturating_sub(match clock.latest_ms() >= at.start_ms {
        true => seen.ready,
        false => seen.asked,
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
    let held = record.map_or(0, |r| hold(window, at.start_ms, r, seen, clock));
    let shown = record.or(match &change {
        Change::Write(first) => Some(first),
        Change::Keep | Change::Delete => None,
    });
    let short = shown.and_then(|r| shortage(at, r.tasks, r.step, held, seen, clock));
    let why = match (shown, &short) {
        (None, _) => "not near".into(),
        (Some(r), _) if !r.known() => "its record is of a later version".into(),
        (Some(r), Some(short)) => format!("{}: {short}", r.step),
        (Some(r), None) if r.step == Step::Held && held < r.tasks => {
            format!("{}: no work, held for {held} of {} tasks", r.step, r.tasks)
        }
        (Some(r), None) if r.removed => format!("{}: taken out or moved", r.step),
        (Some(r), None) if r.step == Step::Warming => {
            format!("{}: asked for {held} of {} tasks", r.step, r.tasks)
        }
        (Some(r), None) => r.step.to_string(),
    };
    Next {
        change,
        hold: held,
        short,
        why,
    }
}

/// What is due for all occurrences of a window.
#[derive(Clone, Debug, PartialEq)]
pub struct Whole {
    /// Each occurrence that is near or recorded, by its beginning.
    pub each: BTreeMap<i64, Next>,
    /// How many tasks' room to hold: the most that any of them wants, not the
    /// sum, as one goes over into the next with the same room.
    pub hold: u32,
}

/// Looks at all occurrences of a window: those recorded, by their beginning in
/// milliseconds, and those that come near. The window is `None` where only
/// records are left of it.
pub fn steps(
    window: Option<&Window>,
    records: &BTreeMap<i64, WindowRecord>,
    seen: &Seen,
    clock: Clock,
) -> Whole {
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
    let hold = each.values().map(|next| next.hold).max().unwrap_or(0);
    Whole { each, hold }
}

/// Parts of a hold for `blocks` blocks: they add up to it, differ by one at
/// most, and none shrinks when it grows.
pub fn divide(tasks: u32, blocks: u32) -> Vec<u32> {
    (0..blocks)
        .map(|block| {
            let before = u64::from(blocks - 1 - block);
            ((u64::from(tasks) + before) / u64::from(blocks)) as u32
        })
        .collect()
}

/// What a window wants at a moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Want {
    /// The window.
    pub name: String,
    /// Its team.
    pub team: String,
    /// What a task takes.
    pub each: Amount,
    /// How many tasks' room.
    pub tasks: u32,
}

/// What a team's windows may have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamRoom {
    /// Its guarantee, less what its work outside of windows uses.
    pub guarantee: Amount,
    /// Its limit, less the same.
    pub limit: Amount,
}

/// What a window gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Got {
    /// The window.
    pub name: String,
    /// How many tasks' room.
    pub tasks: u32,
    /// Where that is less than it wants: a window that came first.
    pub gives_way_to: Option<String>,
}

/// Divides what windows want at the same time, in the order of `wants`: first
/// what lies within a team's guarantee, by name, then the rest, by name. `pool`
/// is all that machines can be had for, where that is known to be short;
/// memory counts there, not in limits.
pub fn arbitrate(
    wants: &[Want],
    teams: &BTreeMap<String, TeamRoom>,
    pool: Option<Amount>,
) -> Vec<Got> {
    let mut by_name: Vec<usize> = (0..wants.len()).collect();
    by_name.sort_by(|a, b| wants[*a].name.cmp(&wants[*b].name));
    let mut teams = teams.clone();
    let mut pool = pool;
    let mut got: Vec<Got> = wants
        .iter()
        .map(|want| Got {
            name: want.name.clone(),
            tasks: 0,
            gives_way_to: None,
        })
        .collect();
    // Who took something, in order; the last who took of what is short is named.
    let mut taken: Vec<usize> = Vec::new();
    for guaranteed in [true, false] {
        for &i in &by_name {
            let want = &wants[i];
            let room = teams.entry(want.team.clone()).or_default();
            // Memory is in no team's limit.
            let of_team = |amount: Amount| Amount {
                ram: i64::MAX,
                ..amount
            };
            let mut most = want.each.how_many(of_team(room.limit));
            if guaranteed {
                most = most.min(want.each.how_many(of_team(room.guarantee)));
            }
            let by_team = most;
            if let Some(pool) = pool {
                most = most.min(want.each.how_many(pool));
            }
            let takes = most.min(want.tasks - got[i].tasks);
            if takes > 0 {
                let amount = want.each.times(i64::from(takes));
                room.guarantee -= amount;
                room.limit -= amount;
                pool = pool.map(|pool| pool - amount);
                got[i].tasks += takes;
                taken.push(i);
            }
            if !guaranteed && got[i].tasks < want.tasks {
                let rival = |other: &&usize| {
                    **other != i && (most < by_team || wants[**other].team == want.team)
                };
                got[i].gives_way_to = taken
                    .iter()
                    .rev()
                    .find(rival)
                    .map(|other| wants[*other].name.clone());
            }
        }
    }
    got
}
