//! Tests of the planner over generated days. The clocks of controllers differ, drift and
//! jump, owners crash between any two steps, writes are lost, operators pin and unpin the
//! window, and capacity is short. A checker that has the true time judges each plan. The
//! checker must reject faulty planners.

use std::collections::{BTreeMap, BTreeSet};

use jiff::SignedDuration;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::json;
use sorrelhinge_protocol::types::Amount;
use sorrelhinge_reservations::lend::{may_lend, Borrower, Lend};
use sorrelhinge_reservations::plan::{
    arbitrate, divide, lead_s, steps, CapacityRequest, Change, Clock, Refused, Seen, Short,
    TeamFreeCapacity, WindowPlan,
};
use sorrelhinge_reservations::record::{Step, WindowRecord, VERSION};
use sorrelhinge_reservations::settings::Window;
use sorrelhinge_reservations::when::{Every, When};

/// Start of the window as true Unix time in milliseconds.
const START_MS: i64 = 1_796_083_200_000;

/// Maximum time in milliseconds between two runs of the owner's planner.
const TICK_MS: i64 = 2_000;

fn window(tasks: u32, lasts_s: u32) -> Window {
    let window = json!({"name": "drop", "team": "play", "when": {"once": "2026-12-01T00:00:00Z"},
        "lasts_s": lasts_s, "tasks": tasks, "cpus": 4.0, "ram_gb": 8.0, "early_s": 10,
        "no_show_s": 40});
    serde_json::from_value(window).expect("a window")
}

fn seen() -> Seen {
    Seen {
        asked: 0,
        ready: 0,
        used: 0,
        waiting: 0,
        fits: u32::MAX,
        gives_way_to: None,
        idle_s: 0.0,
        boot_s: 30.0,
        slow_boot_s: 60.0,
        fetch_s: 15.0,
        rent_per_s: 5.0,
        refused: None,
    }
}

fn clock(now_ms: i64, off_ms: i64) -> Clock {
    Clock { now_ms, off_ms }
}

fn with(seen: &Seen, change: impl Fn(&mut Seen)) -> Seen {
    let mut seen = seen.clone();
    change(&mut seen);
    seen
}

/// Event of a generated day, in addition to the passing of time.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The owner crashes, and another controller takes over, whose clock has this error in
    /// milliseconds.
    Owner(i64),
    /// The owner's clock jumps to this error in milliseconds, within its bound.
    Jump(i64),
    /// The owner's clock jumps beyond its bound, by this many milliseconds for this number of
    /// ticks. Two such clocks differ by less than the retention time of ended occurrences.
    JumpBeyondBound(i64, u32),
    /// The owner can write no record for this number of ticks.
    Outage(u32),
    /// The team's limit leaves capacity for this number of tasks.
    Fits(u32),
    /// The cloud has machines for no more than this number of tasks.
    Capacity(u32),
    /// Reserved capacity for this number of tasks is lost at once.
    Lost(u32),
    /// An operator pins the window with this number of tasks, or removes the window.
    Pin(Option<u32>),
    /// Tasks of the window arrive (`true`) or end (`false`).
    Work(bool),
}

#[derive(Clone, Debug)]
struct Day {
    off_ms: i64,
    tasks: u32,
    lasts_s: u32,
    /// Events in order, each with its time in milliseconds after the start of the day.
    events: Vec<(i64, Event)>,
    ticks_ms: Vec<i64>,
}

/// Time in milliseconds from the start of the day to the start of the window.
const BEFORE_MS: i64 = 700_000;
/// Time in milliseconds from the end of the window to the end of the day.
const AFTER_MS: i64 = 1_000_000;

fn day() -> impl Strategy<Value = Day> {
    (0i64..3_000, 1u32..80, 30u32..200).prop_flat_map(|(off_ms, tasks, lasts_s)| {
        let event = prop_oneof![
            6 => (-off_ms..=off_ms).prop_map(Event::Owner),
            3 => (-off_ms..=off_ms).prop_map(Event::Jump),
            1 => (-290_000i64..290_000, 1u32..4).prop_map(|(by, n)| Event::JumpBeyondBound(by, n)),
            1 => (1u32..150).prop_map(Event::Outage),
            1 => (0u32..100).prop_map(Event::Fits),
            1 => (0u32..100).prop_map(Event::Capacity),
            1 => (1u32..40).prop_map(Event::Lost),
            2 => proptest::option::of(1u32..80).prop_map(Event::Pin),
            2 => any::<bool>().prop_map(Event::Work),
        ];
        let whole = BEFORE_MS + i64::from(lasts_s) * 1000 + AFTER_MS;
        // Most events happen near the window itself.
        let moment = prop_oneof![3 => 500_000..BEFORE_MS + 300_000, 1 => 0..whole];
        (
            proptest::collection::vec((moment, event), 0..14),
            proptest::collection::vec(200i64..=TICK_MS, 40),
        )
            .prop_map(move |(mut events, ticks_ms)| {
                events.sort_by_key(|(at, _)| *at);
                Day {
                    off_ms,
                    tasks,
                    lasts_s,
                    events,
                    ticks_ms,
                }
            })
    })
}

type Records = BTreeMap<i64, WindowRecord>;
type Planner = fn(Option<&Window>, &Records, &Seen, Clock) -> WindowPlan;

/// State of the checker, which no controller can read.
#[derive(Default)]
struct Checker {
    writes: u32,
    pins: u32,
    deleted: BTreeSet<i64>,
    /// Whether an event happened that excuses an incomplete reservation.
    troubled: bool,
    worked: bool,
}

impl Checker {
    /// Checks one change of an occurrence's record.
    fn written(
        &mut self,
        start: i64,
        old: Option<&WindowRecord>,
        change: &Change,
    ) -> Result<(), String> {
        let new = match change {
            Change::Keep => return Ok(()),
            Change::Delete => {
                self.deleted.insert(start);
                self.writes += 1;
                return match old.map(|r| r.step) {
                    Some(Step::Over) => Ok(()),
                    step => Err(format!("deleted while {step:?}")),
                };
            }
            Change::Write(new) => new,
        };
        self.writes += 1;
        if self.deleted.contains(&start) {
            return Err("begun a second time".into());
        }
        let again = old.is_some_and(|r| r.removed && !new.removed);
        if old.is_some_and(|r| r.step > new.step) && !again {
            return Err(format!("undone: {old:?} to {new:?}"));
        }
        // An occurrence needs one write for each of planned, warming, held, releasing and
        // over, and one for its deletion. A change by an operator adds one write, and a pin of a
        // removed window repeats all steps of the window.
        if self.writes > 6 + 6 * self.pins {
            return Err(format!("{} writes with {} pins", self.writes, self.pins));
        }
        Ok(())
    }

    /// Checks the reserved capacity against the record on which it is based.
    fn held(
        &self,
        true_ms: i64,
        day: &Day,
        record: Option<&WindowRecord>,
        hold: u32,
        seen: &Seen,
    ) -> Result<(), String> {
        if hold > seen.fits {
            return Err(format!("{hold} held, the limit leaves {}", seen.fits));
        }
        let holds = record.filter(|r| matches!(r.step, Step::Warming | Step::Held));
        if hold > holds.map_or(0, |r| r.tasks) {
            return Err(format!("{hold} held by {record:?}"));
        }
        if self.troubled {
            return Ok(());
        }
        let end_ms = START_MS + i64::from(day.lasts_s) * 1000;
        // The owner must request all capacity early enough for slow boots and fetches. The
        // interval between two runs of the planner is tolerated.
        let needs_ms = ((10.0 + seen.slow_boot_s + seen.fetch_s) * 1000.0) as i64;
        let full_ms = START_MS - needs_ms + 3 * TICK_MS;
        let held = format!("{hold} of {} held at {} ms", day.tasks, true_ms - START_MS);
        if (full_ms..end_ms).contains(&true_ms) && self.worked && hold < day.tasks {
            return Err(format!("too late: {held}"));
        }
        // The owner must reserve nothing earlier than necessary and nothing long after the end.
        let lead_ms = (lead_s(&window(day.tasks, day.lasts_s), seen) * 1000.0) as i64;
        let slack_ms = 2 * day.off_ms + 3 * TICK_MS;
        if hold > 0 && (true_ms < START_MS - lead_ms - slack_ms || true_ms > end_ms + slack_ms) {
            return Err(format!("for nothing: {held}"));
        }
        // The owner must request capacity in steps, so at first at most half of it.
        let first = true_ms < START_MS - lead_ms + slack_ms;
        if first && hold > day.tasks.div_ceil(2) && day.off_ms < 300 {
            return Err(format!("at once: {held}"));
        }
        Ok(())
    }
}

fn apply(records: &mut Records, start: i64, change: &Change) {
    match change {
        Change::Keep => {}
        Change::Write(record) => drop(records.insert(start, record.clone())),
        Change::Delete => drop(records.remove(&start)),
    }
}

/// Runs a generated day with a planner. The error is the first fault that the checker finds.
fn run(day: &Day, planner: Planner) -> Result<(), String> {
    let mut records = Records::new();
    let mut checker = Checker {
        worked: true,
        ..Checker::default()
    };
    let mut pinned = Some(window(day.tasks, day.lasts_s));
    let mut seen = seen();
    let mut error_ms = 0;
    let (mut jump_beyond_bound, mut outage) = ((0, 0), 0u32);
    let mut capacity = u32::MAX;
    let mut work = true;
    let first_ms = START_MS - BEFORE_MS;
    let end_ms = START_MS + i64::from(day.lasts_s) * 1000;
    let mut true_ms = first_ms;
    let mut events = day.events.iter().peekable();
    let mut ticks = day.ticks_ms.iter().cycle();
    while true_ms < end_ms + AFTER_MS {
        let tick_ms = *ticks.next().unwrap_or(&TICK_MS);
        true_ms += tick_ms;
        seen.idle_s += tick_ms as f64 / 1000.0;
        let due = |(at, _): &&(i64, Event)| first_ms + at <= true_ms;
        while let Some((at, event)) = events.next_if(due) {
            checker.troubled |= match event {
                Event::JumpBeyondBound(..) | Event::Outage(_) | Event::Pin(_) => true,
                Event::Fits(_) => first_ms + at < end_ms,
                _ => false,
            };
            match *event {
                Event::Owner(error) => {
                    error_ms = error;
                    seen.idle_s = 0.0;
                }
                Event::Jump(error) => error_ms = error,
                Event::JumpBeyondBound(by, n) => jump_beyond_bound = (by, n),
                Event::Outage(n) => outage = n,
                Event::Fits(max) => seen.fits = max,
                Event::Capacity(max) => capacity = max,
                Event::Lost(n) => seen.asked = seen.asked.saturating_sub(n),
                Event::Pin(tasks) => {
                    pinned = tasks.map(|tasks| window(tasks, day.lasts_s));
                    checker.pins += 1;
                }
                Event::Work(on) => {
                    work = on;
                    checker.worked &= on;
                }
            }
        }
        let begun = (START_MS..end_ms).contains(&true_ms);
        seen.waiting = u32::from(work && begun);
        seen.used = seen.waiting * seen.asked.min(1 + day.tasks / 2);
        if seen.waiting > 0 {
            seen.idle_s = 0.0;
        }
        let wrong_ms = if jump_beyond_bound.1 > 0 {
            jump_beyond_bound.0
        } else {
            error_ms
        };
        jump_beyond_bound.1 = jump_beyond_bound.1.saturating_sub(1);
        let clock = clock(true_ms + wrong_ms, day.off_ms);
        let whole = planner(pinned.as_ref(), &records, &seen, clock);
        let held_by = records.get(&START_MS).cloned();
        checker.held(true_ms, day, held_by.as_ref(), whole.reserved_tasks, &seen)?;
        // Machines are rented or released to match the plan. Capacity that tasks of the window
        // use is not released.
        seen.asked = whole
            .reserved_tasks
            .min(capacity)
            .max(seen.used.min(seen.asked));
        seen.ready = seen.asked;
        seen.refused = (whole.reserved_tasks > capacity).then_some(Refused::Capacity);
        if whole.reserved_tasks > seen.asked {
            let looked = planner(pinned.as_ref(), &records, &seen, clock);
            if looked.each.values().all(|next| next.short.is_none()) {
                return Err(format!(
                    "nothing said: {} of {}",
                    seen.asked, whole.reserved_tasks
                ));
            }
        }
        if outage > 0 {
            outage -= 1;
            continue;
        }
        for (start, next) in &whole.each {
            checker.written(*start, records.get(start), &next.change)?;
            apply(&mut records, *start, &next.change);
        }
    }
    if !records.is_empty() {
        return Err(format!("left for ever: {records:?}"));
    }
    Ok(())
}

proptest! {
    #![proptest_config(Config::with_cases(200))]

    #[test]
    fn windows_are_held_whatever_ends_and_whatever_clocks_say(day in day()) {
        let outcome = run(&day, steps);
        prop_assert!(outcome.is_ok(), "{:?}", outcome.err());
    }

    /// The parts of the shards add up, differ by one at most, and never decrease when the
    /// total increases. So a shard owner never releases capacity because the reservation grows.
    #[test]
    fn parts_of_shards_add_up(tasks in 0u32..100_000, shards in 1u32..6) {
        let parts = divide(tasks, shards);
        prop_assert_eq!(parts.iter().sum::<u32>(), tasks);
        prop_assert!(parts.iter().max().unwrap_or(&0) - parts.iter().min().unwrap_or(&0) <= 1);
        let more = divide(tasks + 1, shards);
        prop_assert!(parts.iter().zip(&more).all(|(a, b)| a <= b));
    }

    /// Shares never exceed a team's limit or the pool. Requests beyond a guarantee never take
    /// capacity that another team's guarantee covers.
    #[test]
    fn what_windows_get_fits(
        wants in proptest::collection::vec((0usize..3, 1i64..5, 1u32..20), 1..6),
        free_capacities in proptest::collection::vec((0i64..40, 0i64..60), 3),
        pool in proptest::option::of(0i64..120),
    ) {
        let teams = ["a", "b", "c"];
        let cpus = |cpu: i64| Amount { cpu, ..Amount::default() };
        let wants: Vec<CapacityRequest> = wants.iter().enumerate().map(|(i, (team, cpu, tasks))| CapacityRequest {
            name: format!("w{i}"),
            team: teams[*team].into(),
            each: cpus(*cpu),
            tasks: *tasks,
        }).collect();
        let free_capacity: BTreeMap<String, TeamFreeCapacity> = teams.iter().zip(&free_capacities).map(|(team, (guarantee, limit))| {
            let free_capacity = TeamFreeCapacity { guarantee: cpus(*guarantee.min(limit)), limit: cpus(*limit) };
            (team.to_string(), free_capacity)
        }).collect();
        let got = arbitrate(&wants, &free_capacity, pool.map(cpus));
        let cpus = |of: &dyn Fn(&CapacityRequest) -> bool| -> i64 {
            let of = wants.iter().zip(&got).filter(|(w, _)| of(w));
            of.map(|(w, g)| w.each.cpu * i64::from(g.tasks)).sum()
        };
        for team in teams {
            let used = cpus(&|w| w.team == team);
            prop_assert!(used <= free_capacity[team].limit.cpu);
            // If the pool covers all guarantees, a team whose windows together fit its
            // guarantee gets all that they request.
            let asked: i64 = wants.iter().filter(|w| w.team == team).map(|w| w.each.cpu * i64::from(w.tasks)).sum();
            let guarantees: i64 = free_capacity.values().map(|r| r.guarantee.cpu).sum();
            if asked <= free_capacity[team].guarantee.cpu && pool.is_none_or(|p| p >= guarantees) {
                prop_assert_eq!(used, asked);
            }
        }
        prop_assert!(pool.is_none_or(|p| cpus(&|_| true) <= p));
        // No capacity that a window could use remains undistributed.
        for (w, g) in wants.iter().zip(&got) {
            let left = free_capacity[&w.team].limit.cpu - cpus(&|o| o.team == w.team);
            let free = pool.map_or(left, |p| left.min(p - cpus(&|_| true)));
            prop_assert!(g.tasks == w.tasks || free < w.each.cpu);
        }
    }
}

/// Returns the plan with the changes of all records in step `at` replaced.
fn altered(
    mut whole: WindowPlan,
    r: &Records,
    at: Step,
    to: impl Fn(i64, &WindowRecord) -> Change,
) -> WindowPlan {
    for (start, next) in &mut whole.each {
        if let Some(old) = r.get(start).filter(|old| old.step == at) {
            next.change = to(*start, old);
        }
    }
    whole
}

fn rewritten(old: &WindowRecord, step: Step, since_ms: i64) -> Change {
    let mut new = old.clone();
    (new.step, new.since_ms) = (step, since_ms);
    Change::Write(new)
}

/// Faulty planner: requests all capacity as soon as the warming step begins.
fn all_at_once(w: Option<&Window>, r: &Records, s: &Seen, c: Clock) -> WindowPlan {
    let mut whole = steps(w, r, s, c);
    let warming = r.values().find(|o| o.step == Step::Warming);
    whole.reserved_tasks = warming.map_or(whole.reserved_tasks, |o| o.tasks.min(s.fits));
    whole
}

/// Faulty planner: reserves capacity for the warming step before this step is recorded.
fn acts_first(w: Option<&Window>, r: &Records, s: &Seen, c: Clock) -> WindowPlan {
    let mut whole = steps(w, r, s, c);
    for next in whole.each.values() {
        if let Change::Write(new) = &next.change {
            if new.step == Step::Warming {
                whole.reserved_tasks = whole.reserved_tasks.max(new.tasks.min(s.fits));
            }
        }
    }
    whole
}

/// The checker rejects each faulty planner because of the planner's own fault.
#[test]
fn wrong_planners_are_rejected() {
    let wrong: [(Planner, &str); 9] = [
        (all_at_once, "at once"),
        (acts_first, "held by"),
        // This planner follows its clock instead of the record.
        (
            |w, r, s, c| {
                altered(steps(w, r, s, c), r, Step::Held, |start, old| {
                    let early = c.now_ms < start;
                    let step = if early { Step::Warming } else { Step::Held };
                    rewritten(old, step, c.now_ms)
                })
            },
            "undone",
        ),
        // This planner writes the warming record at each run.
        (
            |w, r, s, c| {
                altered(steps(w, r, s, c), r, Step::Warming, |start, old| {
                    let held = c.now_ms >= start;
                    rewritten(old, if held { Step::Held } else { old.step }, c.now_ms)
                })
            },
            "writes with",
        ),
        // This planner deletes the record of an occurrence as soon as the occurrence is over.
        (
            |w, r, s, c| altered(steps(w, r, s, c), r, Step::Over, |_, _| Change::Delete),
            "begun a second time",
        ),
        // This planner reserves the window's full capacity and ignores the team's limit.
        (
            |w, r, s, c| steps(w, r, &with(s, |s| s.fits = u32::MAX), c),
            "the limit leaves",
        ),
        // This planner ignores the error of its clock.
        (
            |w, r, s, c| steps(w, r, s, Clock { off_ms: 0, ..c }),
            "too late",
        ),
        // This planner ignores the time for boots and image fetches.
        (
            |w, r, s, c| {
                let hasty = with(s, |s| (s.slow_boot_s, s.fetch_s) = (0.0, 0.0));
                steps(w, r, &hasty, c)
            },
            "too late",
        ),
        // This planner reports no shortage.
        (
            |w, r, s, c| {
                let mut whole = steps(w, r, s, c);
                whole.each.values_mut().for_each(|next| next.short = None);
                whole
            },
            "nothing said",
        ),
    ];
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let days: Vec<Day> = (0..300)
        .map(|_| day().new_tree(&mut runner).expect("a day").current())
        .collect();
    for (n, (planner, why)) in wrong.into_iter().enumerate() {
        let mut found = days.iter().filter_map(|day| run(day, planner).err());
        assert!(
            found.any(|error| error.contains(why)),
            "planner {n} passes, or is rejected for another reason than {why:?}"
        );
    }
}

// ---- Single cases ---------------------------------------------------------

fn at(seconds: i64) -> Clock {
    clock(START_MS + seconds * 1000, 500)
}

fn record(step: Step, since: i64, tasks: u32) -> WindowRecord {
    WindowRecord {
        version: VERSION,
        end_ms: START_MS + 600_000,
        step,
        since_ms: START_MS + since * 1000,
        tasks,
        removed: false,
    }
}

fn one(record: WindowRecord) -> Records {
    BTreeMap::from([(START_MS, record)])
}

fn written(whole: &WindowPlan) -> Option<(Step, u32)> {
    match &whole.each.get(&START_MS)?.change {
        Change::Write(record) => Some((record.step, record.tasks)),
        Change::Keep | Change::Delete => None,
    }
}

/// Without tasks the reservation shrinks by quarters and then ends. If tasks arrive in the
/// meantime, the full capacity is reserved again. A new owner, which has no idle time yet,
/// keeps the full capacity.
#[test]
fn a_no_show_shrinks_the_hold_and_ends_it() {
    let (window, held) = (window(40, 600), one(record(Step::Held, 0, 40)));
    let idle = |idle_s: f64, waiting, seconds| {
        let seen = with(&seen(), |s| {
            (s.asked, s.ready, s.idle_s, s.waiting) = (40, 40, idle_s, waiting);
        });
        steps(Some(&window), &held, &seen, at(seconds))
    };
    let holds = [39, 41, 51, 61, 71].map(|s| idle(s as f64, 0, s).reserved_tasks);
    assert_eq!(holds, [40, 30, 20, 10, 0]);
    assert_eq!(written(&idle(71.0, 0, 71)), Some((Step::Releasing, 40)));
    assert_eq!(idle(0.0, 1, 61).reserved_tasks, 40);
    // Wall clock time since the start does not count as idle time either.
    assert_eq!(idle(1.0, 0, 500).reserved_tasks, 40, "a new owner");
}

/// One write copies the sizes of a changed window into the record. The capacity of a removed
/// or moved window is released. If the window is pinned again, the occurrence goes back to
/// the warming step.
#[test]
fn windows_changed_while_held() {
    let busy = with(&seen(), |s| (s.asked, s.ready, s.used) = (40, 40, 40));
    let held = one(record(Step::Held, 0, 40));
    let larger = window(60, 700);
    let whole = steps(Some(&larger), &held, &busy, at(10));
    assert_eq!(
        (written(&whole), whole.reserved_tasks),
        (Some((Step::Held, 60)), 40)
    );
    let Change::Write(changed) = &whole.each[&START_MS].change else {
        panic!("{whole:?}");
    };
    assert_eq!(changed.end_ms, START_MS + 700_000);
    let gone = steps(None, &held, &busy, at(10));
    let releasing = Some((Step::Releasing, 40));
    assert_eq!((written(&gone), gone.reserved_tasks), (releasing, 40));
    let mut moved = window(40, 600);
    moved.when = When::Once("2026-12-01T00:01:00Z".parse().expect("a moment"));
    let whole = steps(Some(&moved), &held, &busy, at(10));
    assert_eq!(written(&whole), releasing);
    assert_eq!(whole.each.len(), 2, "the new one warms: {whole:?}");
    let mut removed = record(Step::Releasing, 10, 40);
    removed.removed = true;
    let again = steps(Some(&larger), &one(removed), &busy, at(20));
    assert_eq!(written(&again), Some((Step::Warming, 60)));
    let over = one(record(Step::Over, 10, 40));
    let over = steps(Some(&larger), &over, &busy, at(20));
    assert_eq!(written(&over), None, "ended by itself");
}

/// The planner changes no record of a later version, because the meaning of its steps is
/// unknown.
#[test]
fn a_later_versions_occurrence_is_left_alone() {
    let mut later = record(Step::Held, 0, 40);
    later.version = VERSION + 1;
    let later = one(later);
    for window in [None, Some(&window(40, 600))] {
        for seconds in [-10, 10, 700, 10_000] {
            let each = steps(window, &later, &seen(), at(seconds)).each;
            let kept = each.values().all(|next| next.change == Change::Keep);
            assert!(kept, "{each:?}");
        }
    }
}

/// A window begins every two minutes and lasts two minutes. The next occurrence is in the
/// warming step while the current one is held, and no capacity is released or requested
/// twice between them.
#[test]
fn one_occurrence_goes_over_into_the_next() {
    let mut window = window(40, 120);
    window.when = When::Every(Every {
        period: SignedDuration::from_secs(120),
        offset: SignedDuration::ZERO,
    });
    let (mut records, mut seen, mut writes) = (Records::new(), seen(), 0);
    for second in 0..3_600 {
        let whole = steps(Some(&window), &records, &seen, at(second));
        let right = whole.reserved_tasks == 40 || (second <= 60 && whole.reserved_tasks < 40);
        assert!(
            right,
            "{} after {second} s: {records:?}",
            whole.reserved_tasks
        );
        (seen.asked, seen.ready, seen.used) = (
            whole.reserved_tasks,
            whole.reserved_tasks,
            whole.reserved_tasks / 2,
        );
        for (start, next) in &whole.each {
            writes += u32::from(next.change != Change::Keep);
            apply(&mut records, *start, &next.change);
        }
        // The records of ended occurrences are kept for ten minutes.
        assert!(records.len() <= 10, "{records:?}");
    }
    assert!(writes <= 6 * 31, "{writes} writes in 30 occurrences");
}

/// The plan reports a shortage while an operator still has time to act on it.
#[test]
fn shortage_is_said_early() {
    let said = |step, seconds, change: fn(&mut Seen)| {
        let records = one(record(step, -100, 40));
        let seen = with(&seen(), change);
        let whole = steps(Some(&window(40, 600)), &records, &seen, at(seconds));
        whole.each[&START_MS].short.clone()
    };
    let limit = said(Step::Planned, -300, |s| s.fits = 30);
    assert_eq!(limit, Some(Short::Limit(30)));
    let rival = said(Step::Planned, -300, |s| {
        (s.fits, s.gives_way_to) = (30, Some("cup".into()));
    });
    assert_eq!(rival, Some(Short::GivesWay("cup".into())));
    let refused = said(Step::Warming, -70, |s| {
        (s.asked, s.refused) = (5, Some(Refused::Capacity));
    });
    assert_eq!(refused, Some(Short::Capacity));
    let slow = said(Step::Warming, -20, |s| s.asked = 35);
    assert_eq!(slow, Some(Short::Late(5)));
    let fine = said(Step::Warming, -20, |s| (s.asked, s.ready) = (40, 20));
    assert_eq!(fine, None);
}

/// Requests within a guarantee are served first, and then the rest by name. The share of a
/// window that gets too little names the window that was served before.
#[test]
fn windows_that_want_the_same_give_way_by_guarantee_and_name() {
    let cpus = |cpus| Amount::new(cpus, 0.0, 0.0);
    let free_capacity = |guarantee, limit| TeamFreeCapacity {
        guarantee: cpus(guarantee),
        limit: cpus(limit),
    };
    let teams = BTreeMap::from([
        ("a".into(), free_capacity(0.0, 15.0)),
        ("b".into(), free_capacity(8.0, 20.0)),
    ]);
    // The requests are pairs of window name and team. The results are pairs of the number of
    // tasks and the name of the window that was served before.
    let got = |wants: [(&str, &str); 2], pool| {
        let wants = wants.map(|(name, team)| CapacityRequest {
            name: name.into(),
            team: team.into(),
            each: Amount::new(1.0, 0.0, 1.0),
            tasks: 10,
        });
        let got = arbitrate(&wants, &teams, pool).into_iter();
        got.map(|g| (g.tasks, g.gives_way_to.unwrap_or_default()))
            .collect::<Vec<_>>()
    };
    let limited = got([("late", "a"), ("early", "a")], None);
    assert_eq!(limited, [(5, "early".to_string()), (10, String::new())]);
    // There are machines for twelve tasks. The eight guaranteed tasks are served first, although
    // the name of their window is the last.
    let scarce = got(
        [("cup", "a"), ("drop", "b")],
        Some(Amount::new(12.0, 0.0, 1e3)),
    );
    assert_eq!(scarce, [(4, "drop".to_string()), (8, "cup".to_string())]);
}

#[test]
fn held_free_capacity_is_lent_only_to_work_that_is_gone_in_time() {
    let cases = [
        (Some(30.0), false, 0.0, 60.0, Lend::Ends),
        // The time left is shorter than twice the estimate.
        (Some(30.0), false, 0.0, 59.0, Lend::No),
        // An estimate of 0 belongs to a service, which never ends.
        (Some(0.0), false, 0.0, 59.0, Lend::No),
        (None, false, 0.0, 1e9, Lend::No),
        (None, true, 8.0, -5.0, Lend::Stop),
        // The task takes too long to save its state.
        (None, true, 9.0, 1e9, Lend::No),
    ];
    for (ends_in_s, stoppable, stash_s, left_s, lent) in cases {
        let work = Borrower {
            ends_in_s,
            stoppable,
            stash_s,
        };
        assert_eq!(may_lend(&work, left_s, 2.0, 10.0), lent, "{work:?}");
    }
}
