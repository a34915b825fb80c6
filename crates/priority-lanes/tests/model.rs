//! Tests of priority lanes against a simple model, which is one queue in the order of first
//! writes. The generated histories have crashes, preemptions, failed attempts and an older
//! program version that drops the copied place.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use sorrelhinge_priority_lanes::order::{arrange, may_wait_ms, Key, Waits, AGED_S, PRESSING_S};
use sorrelhinge_priority_lanes::part::{Bound, SharedCapacity, Turn};
use sorrelhinge_priority_lanes::shown::{LaneShown, LanesShown, WaitShown};
use sorrelhinge_priority_lanes::{place, LaneId, Lanes};
use sorrelhinge_protocol::types::{JobId, Priority, Revision};

// ---- Places and order of jobs ---------------------------------------------

/// Error of each controller's clock in milliseconds.
const CLOCKS: [i64; 3] = [0, 2_500, -2_500];
const OFF_MS: u64 = 2_500;

/// A job's record in the state service. Only the model reads `first`, the revision and time
/// of the first write.
#[derive(Clone)]
struct Record {
    mod_revision: Revision,
    copied: Option<Revision>,
    accepted_ms: u64,
    may_wait_ms: Option<u64>,
    waits: bool,
    first: (Revision, u64),
}

/// Functions under test. A test replaces one of them with a faulty function.
#[derive(Clone, Copy)]
struct Implementation {
    known: fn(Option<Revision>, Option<Revision>, Revision) -> Revision,
    arrange: fn(Vec<Waits>, u64) -> Vec<Key>,
}

const CORRECT: Implementation = Implementation {
    known: place::known,
    arrange,
};

/// Simulation of the state service and three controllers.
struct World {
    code: Implementation,
    now_ms: u64,
    writes: u64,
    records: BTreeMap<JobId, Record>,
    /// Places of the jobs that each controller stores in memory.
    memories: [BTreeMap<JobId, Revision>; 3],
    /// Jobs of each controller whose true place it can't compute, because an older program
    /// version dropped the copied place before this controller started.
    unknown_places: [BTreeSet<JobId>; 3],
    owner: usize,
}

#[derive(Clone, Debug)]
enum Op {
    /// Submits a job to a controller, with one of three deadlines. The fields are the indexes of
    /// both.
    Submit(usize, usize),
    /// The owner places the first job of the order.
    Claim,
    /// A placed job becomes pending again, because it was preempted, its machine was lost or its
    /// attempt failed.
    Requeue(usize),
    /// A controller of an older program version writes a job's record without the place.
    OldVersionWrites(usize),
    /// A controller restarts with an empty memory and reads all records.
    Crash(usize),
    TakeOver(usize),
    Advance(u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let n = || 0usize..64;
    let one = prop_oneof![
        5 => (0usize..3, 0usize..3).prop_map(|(at, due)| Op::Submit(at, due)),
        4 => Just(Op::Claim),
        3 => n().prop_map(Op::Requeue),
        1 => n().prop_map(Op::OldVersionWrites),
        1 => (0usize..3).prop_map(Op::Crash),
        1 => (0usize..3).prop_map(Op::TakeOver),
        4 => (1u64..12_000).prop_map(Op::Advance),
    ];
    prop::collection::vec(one, 1..80)
}

impl World {
    fn clock(&self, who: usize) -> u64 {
        self.now_ms.saturating_add_signed(CLOCKS[who])
    }

    /// Writes a job's record to the state service. Every controller reads it.
    fn write(&mut self, id: &JobId, mut record: Record) {
        self.writes += 1;
        record.mod_revision = Revision(self.writes);
        for memory in &mut self.memories {
            let before = memory.get(id).copied();
            let now = (self.code.known)(before, record.copied, record.mod_revision);
            memory.insert(id.clone(), now);
        }
        self.records.insert(id.clone(), record);
    }

    /// Makes the owner write a job's record again, for a reason other than the place.
    fn rewrite(&mut self, id: Option<JobId>, waits: bool) {
        let Some(id) = id else { return };
        let mut record = self.records[&id].clone();
        record.copied = place::to_write(true, record.copied, self.memories[self.owner][&id]);
        record.waits = waits;
        self.write(&id, record);
        if !self.unknown_places[self.owner].contains(&id) {
            self.unknown_places
                .iter_mut()
                .for_each(|u| u.retain(|x| *x != id));
        }
    }

    fn nth(&self, nth: usize, waits: bool) -> Option<JobId> {
        let found = self.records.iter().filter(|(_, r)| r.waits == waits);
        let all: Vec<_> = found.map(|(id, _)| id.clone()).collect();
        (!all.is_empty()).then(|| all[nth % all.len()].clone())
    }

    /// Returns the order in which the owner offers free capacity to jobs.
    fn order(&self) -> Vec<JobId> {
        let waiting = self.records.iter().filter(|(_, r)| r.waits);
        let waits = waiting.map(|(id, r)| Waits {
            lane: LaneId(0),
            place: self.memories[self.owner][id],
            id: id.clone(),
            accepted_ms: r.accepted_ms,
            may_wait_ms: r.may_wait_ms,
        });
        let keys = (self.code.arrange)(waits.collect(), self.clock(self.owner));
        keys.into_iter().map(|k| k.id).collect()
    }

    /// Checks the order of pending jobs. A job may overtake a job whose first write was
    /// earlier only if the overtaking job is pressing or has waited for long, by the true
    /// time. If both have the same deadline, the overtaken job must also be too late for it.
    fn check(&self) -> Result<(), String> {
        let order = self.order();
        for (n, later) in order.iter().enumerate() {
            for earlier in &order[n + 1..] {
                let (b, a) = (&self.records[later], &self.records[earlier]);
                // A job whose true place the owner can't compute may only go later.
                if b.first < a.first || self.unknown_places[self.owner].contains(earlier) {
                    continue;
                }
                // Two clocks are involved, so the measured waiting time may be longer than the
                // true one by twice the clock error.
                let waited = |r: &Record| self.now_ms - r.first.1 + 2 * OFF_MS;
                let pressing = |m: u64| waited(b) + (PRESSING_S * 1000.0) as u64 >= m;
                let aged = waited(b) >= (AGED_S * 1000.0) as u64;
                let late = a.may_wait_ms.is_some_and(|max| waited(a) >= max);
                let same = a.may_wait_ms == b.may_wait_ms;
                if !(aged || b.may_wait_ms.is_some_and(pressing)) || same && !late {
                    return Err(format!("{later} overtook {earlier}"));
                }
            }
        }
        Ok(())
    }

    fn run(&mut self, op: &Op) {
        match *op {
            Op::Submit(at, due) => {
                // Later jobs get smaller ids, so that no job goes first only because of its id.
                let id = JobId::from(&*format!("j{:04}", 9999 - self.writes));
                let record = Record {
                    mod_revision: Revision(0),
                    copied: None,
                    accepted_ms: self.clock(at),
                    may_wait_ms: [None, Some(15_000), Some(600_000)][due],
                    waits: true,
                    first: (Revision(self.writes + 1), self.now_ms),
                };
                self.write(&id, record);
            }
            Op::Claim => self.rewrite(self.order().first().cloned(), false),
            Op::Requeue(nth) => self.rewrite(self.nth(nth, false), true),
            Op::OldVersionWrites(nth) => {
                if let Some(id) = self.nth(nth, true) {
                    let mut record = self.records[&id].clone();
                    record.copied = None;
                    self.write(&id, record);
                }
            }
            Op::Crash(who) => {
                let of = |r: &Record| (self.code.known)(None, r.copied, r.mod_revision);
                let all = self.records.iter();
                self.memories[who] = all.clone().map(|(id, r)| (id.clone(), of(r))).collect();
                let lost = all.filter(|(_, r)| r.copied.unwrap_or(r.mod_revision) != r.first.0);
                self.unknown_places[who] = lost.map(|(id, _)| id.clone()).collect();
            }
            Op::TakeOver(who) => self.owner = who,
            Op::Advance(ms) => self.now_ms += ms,
        }
    }
}

/// Runs all operations. Returns the first fault that the checker finds in the order of jobs.
fn check(code: Implementation, ops: &[Op]) -> Result<(), String> {
    let mut world = World {
        code,
        now_ms: 1_000_000,
        writes: 0,
        records: BTreeMap::new(),
        memories: Default::default(),
        unknown_places: Default::default(),
        owner: 0,
    };
    ops.iter().try_for_each(|op| {
        world.run(op);
        let checked = world.check();
        checked.map_err(|why| format!("after {op:?}: {why}"))
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// No crash, takeover, preemption, retry, clock error or older program version lets a
    /// later job overtake an earlier one, except for a deadline that can still be met.
    #[test]
    fn places_stay(ops in ops()) {
        prop_assert_eq!(check(CORRECT, &ops), Ok(()));
    }
}

fn sorted_by(mut waits: Vec<Waits>, now_ms: u64, by: fn(&Waits) -> u64) -> Vec<Key> {
    waits.sort_by_key(by);
    let one = |w| arrange(vec![w], now_ms).remove(0);
    waits.into_iter().map(one).collect()
}

/// The checker rejects faulty implementations, each of which has one fault.
#[test]
fn mistaken_orders_are_rejected() {
    let arranged = |arrange| Implementation { arrange, ..CORRECT };
    let knowing = |known| Implementation { known, ..CORRECT };
    // A controller whose clock is slow accepts the second job.
    let two = vec![Op::Submit(1, 0), Op::Submit(2, 0)];
    let then = |more: &[Op]| [&two, more].concat();
    let by_clock = arranged(|w, now| sorted_by(w, now, |w| w.accepted_ms));
    let by_deadline = |w, now| sorted_by(w, now, |w| w.may_wait_ms.unwrap_or(u64::MAX));
    let last_write = knowing(|_, _, mod_revision| mod_revision);
    let without_memory = knowing(|_, copied, mod_revision| copied.unwrap_or(mod_revision));
    let none_is_first = knowing(|before, copied, _| before.or(copied).unwrap_or_default());
    for (code, ops) in [
        (by_clock, two.clone()),
        (arranged(by_deadline), then(&[Op::Submit(0, 2)])),
        // This implementation moves a preempted job to the end of the order.
        (last_write, then(&[Op::Claim, Op::Requeue(0)])),
        // This implementation loses a place that an older program version drops, although the
        // controller read it before.
        (without_memory, then(&[Op::OldVersionWrites(1)])),
        (none_is_first, two.clone()),
    ] {
        assert_eq!(check(CORRECT, &ops), Ok(()));
        assert!(check(code, &ops).is_err(), "passed: {ops:?}");
    }
}

/// A pressing job goes first, a job that is too late for its deadline gains no precedence,
/// and no job overtakes a job that has waited for a minute.
#[test]
fn deadlines_go_first_while_they_can_be_met() {
    let first = |now_ms, b: (u64, u64)| {
        let job = |place, id: &str, accepted_ms, may_wait_ms| Waits {
            lane: LaneId(0),
            place: Revision(place),
            id: JobId::from(id),
            accepted_ms,
            may_wait_ms,
        };
        let waits = vec![job(1, "a", 0, None), job(2, "b", b.0, Some(b.1))];
        arrange(waits, now_ms)[0].id.to_string()
    };
    for (job, at) in [
        ((1_000, 20_000), [(21_000, "b"), (21_001, "a")]),
        ((1_000, 100_000), [(55_999, "a"), (56_000, "b")]),
        ((1_000, 100_000), [(59_999, "b"), (60_000, "a")]),
        ((54_000, 10_000), [(59_999, "b"), (60_000, "a")]),
    ] {
        for (now_ms, is) in at {
            assert_eq!(first(now_ms, job), is, "at {now_ms}");
        }
    }
    assert_eq!(may_wait_ms(Some(5.0), 9.0), None, "it never could be met");
    assert_eq!(may_wait_ms(Some(f64::NAN), 9.0), None);
}

// ---- Limits of a lane's part ------------------------------------------------

proptest! {
    /// A lane with many jobs holds no more than its part ahead of other jobs, except that its
    /// first job may exceed the part.
    #[test]
    fn a_flood_takes_its_part(sizes in prop::collection::vec(1i64..40, 1..60), part in 0.0f64..=1.0) {
        let (total, bound, mut lane) = (100, Bound::new(part), 0);
        for size in &sizes {
            if bound.allows(SharedCapacity { total, used_by_lane: lane, others_wait: true }, *size) {
                lane += size;
            }
        }
        prop_assert!(lane <= bound.of(total).max(sizes[0]));
        prop_assert!(lane > 0, "the lane can't run its first job");
        let alone = SharedCapacity { total, used_by_lane: 90, others_wait: false };
        prop_assert!(bound.allows(alone, 10), "no other job waits");
    }

    /// A lane gets its part of the turns, but at least one turn in twenty, and other jobs get
    /// at least one in ten. A time without jobs of the lane or of others changes little.
    #[test]
    fn turns_follow_the_part(part in 0.0f64..=1.0, quiet in 0u32..100, busy in 0u32..100) {
        let bound = Bound::new(part);
        let mut turn = Turn::default();
        (0..quiet).for_each(|_| turn.taken(bound, false));
        for _ in 0..busy {
            prop_assert!(turn.allows(false), "no other job waits");
            turn.taken(bound, true);
        }
        let mut took = 0.0;
        for _ in 0..1000 {
            let lane = turn.allows(true);
            turn.taken(bound, lane);
            took += f64::from(u8::from(lane));
        }
        let fair = 1000.0 * part.clamp(0.05, 0.9);
        prop_assert!((took - fair).abs() <= 6.0, "{took} turns of 1000 at a part of {part}");
    }
}

// ---- Properties and operators' output -------------------------------------

fn read(text: &str) -> Result<Lanes, String> {
    let pairs = java_properties::read(text.as_bytes()).map_err(|e| e.to_string())?;
    Lanes::read(pairs.iter().map(|(k, v)| (k.as_str(), v.as_str()))).map_err(|e| e.to_string())
}

/// Reads the properties file in `deploy`, and checks that the error for a faulty file names
/// the key.
#[test]
fn properties_are_read_or_refused_by_key() {
    let lanes = read(include_str!("../../../deploy/lanes.properties")).expect("the file");
    let of = |class| lanes.of(class, Priority::Normal, true);
    assert_eq!(of("hotfix-check"), Some(LaneId(0)));
    assert_eq!(of("rating-fix"), of("hotfix-check"));
    assert_eq!(of("level-bake"), None);
    let urgent = lanes.get(LaneId(0)).expect("a lane");
    assert_eq!((&*urgent.name, urgent.bound.part()), ("urgent", 0.5));

    let two = "fleet.idle.s=1\nlane.b.classes=x-*,y\nlane.a.high=true\nlane.a.order=1\n";
    let lanes = read(two).expect("two lanes");
    let names: Vec<_> = lanes.iter().map(|(id, l)| (id.0, &*l.name)).collect();
    assert_eq!(names, [(0, "b"), (1, "a")], "by order, then by name");
    let high = |class| lanes.of(class, Priority::High, true);
    assert_eq!((high("x-1"), high("z")), (Some(LaneId(0)), Some(LaneId(1))));
    assert_eq!(lanes.of("z", Priority::High, false), None);
    assert_eq!(lanes.of("z", Priority::Critical, true), None);
    assert!(read("preempt=true").expect("none").is_empty());

    let (x, part) = ("lane.a.classes=x\n", "not a number within 0 to 1");
    let lane_b = "lane.b.classes=y\nlane.b.part=0.6";
    for (before, key, value, why) in [
        ("", "lane.a.order", "1", "lane.a.classes: missing"),
        ("", "lane.a.classes", "x,,y", "an empty pattern"),
        (x, "lane.a.order", "1.5", "not a whole"),
        (x, "lane.a.part", "1.1", part),
        (x, "lane.a.part", "NaN", part),
        ("", "lane.a.high", "perhaps", "neither true nor false"),
        ("", "lane.a.class", "x", "no such property"),
        ("", "lane.classes", "x", "no such property"),
        ("", "lane.a b.classes", "x", "lane.a: no such property"),
        ("", "lane.a$.classes", "x", "a lane's name"),
        (
            lane_b,
            "\nlane.a.part",
            "0.6\nlane.a.classes=x",
            "lane.*.part: 1.2 of all",
        ),
    ] {
        let text = format!("{before}{key}={value}");
        let told = read(&text).expect_err(&text);
        let by_key = format!("{key}: {why}");
        assert!(
            told.starts_with(&by_key) || told.starts_with(why),
            "{text:?}: {told}"
        );
    }
}

#[test]
fn operators_see_who_waits_in_which_place() {
    let waiting = [6.8, -1.0].map(|left_s| WaitShown {
        job: "fix-7".into(),
        place: 4711,
        waited_s: 3.2,
        left_s: Some(left_s),
        why: "the team is at its limit".into(),
        ..WaitShown::default()
    });
    let lane = LaneShown {
        waiting: waiting.into(),
        ..LaneShown::default()
    };
    let text = LanesShown { lanes: vec![lane] }.render();
    let lines = [
        "1. fix-7 (, ), place 4711, waits 3 s, must begin within 7 s: the team is",
        "2. fix-7 (, ), place 4711, waits 3 s, too late",
    ];
    assert!(lines.iter().all(|line| text.contains(line)), "{text}");
}
