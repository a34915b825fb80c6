//! Tests of the plan against model machines. A model machine takes one part after another
//! and uses only the sources that its start named, while generated events remove machines.
//! A checker must reject plans that send all requests to the origin or let machines wait
//! for each other.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use sorrelhinge_image_distribution::fetch_timeout::{
    abandon_cost, evictable, fetch_allowance_s, threshold_s, Cached,
};
use sorrelhinge_image_distribution::plan::{Has, Limits, RecentImages, Rollout, Source, Uploads};
use sorrelhinge_image_distribution::record::RolloutRecord;
use sorrelhinge_protocol::types::{Image, MachineId};

const PARTS: usize = 6;
const ZONES: usize = 3;
/// Number of steps that an agent waits for a part that its source does not have yet.
const SOURCE_WAIT_STEPS: u32 = 60;

fn id(n: usize) -> MachineId {
    MachineId::from(&*format!("vm-{n:04}"))
}
fn zone(machine: &MachineId) -> usize {
    machine.as_str()[3..].parse::<usize>().unwrap() % ZONES
}
fn path(machine: &MachineId) -> Vec<String> {
    let n: usize = machine.as_str()[3..].parse().unwrap();
    vec![format!("z{}", n % ZONES), format!("r{}", n / 7)]
}

/// Rejects a plan that gives a machine more uploads than slots, a zone more copies from
/// outside than `copies`, a source that does not exist, or a cycle.
fn check(
    plan: &BTreeMap<MachineId, Source>,
    there: &BTreeSet<MachineId>,
    slots: usize,
    copies: usize,
) -> Result<(), String> {
    let mut uploads: BTreeMap<&MachineId, usize> = BTreeMap::new();
    let mut outside = [0; ZONES];
    for (machine, source) in plan {
        match source {
            Source::Machine(s) if !there.contains(s) => {
                return Err(format!("source {s} does not exist"))
            }
            Source::Machine(s) => *uploads.entry(s).or_default() += 1,
            Source::Origin => outside[zone(machine)] += 1,
        }
        let mut at = machine;
        for _ in 0..=plan.len() {
            if let Some(Source::Machine(s)) = plan.get(at) {
                at = s;
            }
        }
        if matches!(plan.get(at), Some(Source::Machine(_))) {
            return Err(format!("machine {machine} waits for itself"));
        }
    }
    if let Some((s, n)) = uploads.iter().find(|(_, n)| **n > slots) {
        return Err(format!("source {s} uploads to {n} machines"));
    }
    match outside.iter().find(|n| **n > copies) {
        Some(n) => Err(format!("{n} copies from outside for a zone")),
        None => Ok(()),
    }
}

#[test]
fn the_checker_rejects_wrong_plans() {
    let there: BTreeSet<MachineId> = (0..30).map(id).collect();
    let chain = |n| match n {
        0..3 => Source::Origin,
        _ => Source::Machine(id(n - 3)),
    };
    let plan = |of: &dyn Fn(usize) -> Source| (0..30).map(|n| (id(n), of(n))).collect();
    let check_plan = |of: &dyn Fn(usize) -> Source| check(&plan(of), &there, 2, 3);
    assert_eq!(check_plan(&chain), Ok(()));
    assert!(check_plan(&|_| Source::Origin)
        .unwrap_err()
        .contains("copies"));
    let cycle = |n| Source::Machine(id((n + 3) % 30));
    assert!(check_plan(&cycle).unwrap_err().contains("itself"));
    let star = |n| match n {
        0..3 => Source::Origin,
        _ => Source::Machine(id(n % 3)),
    };
    assert!(check_plan(&star).unwrap_err().contains("uploads to"));
    let gone = |n| match n {
        9 => Source::Machine(id(99)),
        _ => chain(n),
    };
    assert!(check_plan(&gone).unwrap_err().contains("does not exist"));
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Join(usize),
    Lose(usize),
    Evict(usize),
    Slow(usize),
    Refuse,
    Takeover,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (1..12_usize).prop_map(Event::Join),
        any::<usize>().prop_map(Event::Lose),
        any::<usize>().prop_map(Event::Lose),
        any::<usize>().prop_map(Event::Evict),
        any::<usize>().prop_map(Event::Slow),
        Just(Event::Refuse),
        Just(Event::Takeover),
    ]
}

/// Model of a machine's agent, which only knows the sources that its start named.
#[derive(Default)]
struct Agent {
    parts: usize,
    from: Option<Vec<Source>>,
    at: usize,
    waited: u32,
    slow: bool,
}

struct World {
    agents: BTreeMap<MachineId, Agent>,
    rollout: Rollout,
    uploads: Uploads,
    limits: Limits,
    joined: usize,
    /// Machines that were started with the origin as source and still exist. The rollout's
    /// seeds are compared with these machines.
    seeds: BTreeSet<MachineId>,
    /// Machines that left and came back. A machine that started earlier may not move to one
    /// of them, because the one that came back may take from it by now.
    rejoined: BTreeSet<MachineId>,
    /// Number of seeds that a new owner could not know of, because no record named them
    /// yet.
    unrecorded_seeds: usize,
    /// Number of parts that all machines read from the origin.
    origin_parts: usize,
    /// Number of copies from the origin that the plan allows.
    planned_copies: usize,
    no_events: bool,
}

impl World {
    fn new(machines: usize, limits: Limits) -> Self {
        let mut world = Self {
            agents: BTreeMap::new(),
            rollout: Rollout::new(Image::from("weights"), limits),
            uploads: Uploads::default(),
            limits,
            joined: 0,
            seeds: BTreeSet::new(),
            rejoined: BTreeSet::new(),
            unrecorded_seeds: 0,
            origin_parts: 0,
            planned_copies: 0,
            no_events: true,
        };
        world.join(machines);
        world
    }
    fn join(&mut self, machines: usize) {
        for n in self.joined..self.joined + machines {
            self.agents.insert(id(n), Agent::default());
            self.rollout.join(id(n), &path(&id(n)), false);
        }
        self.joined += machines;
    }
    fn pick(&self, n: usize) -> Option<MachineId> {
        let len = self.agents.len().max(1);
        self.agents.keys().nth(n % len).cloned()
    }
    fn sources(&self) -> BTreeMap<MachineId, Source> {
        let of = |m: &MachineId| Some((m.clone(), self.rollout.source(m)?));
        self.agents.keys().filter_map(of).collect()
    }
    /// Checks that a machine moves to the origin only if none of its sources could still
    /// upload to it.
    fn check_moves_to_origin(
        &mut self,
        before: &BTreeMap<MachineId, Source>,
    ) -> Result<(), TestCaseError> {
        let after = self.sources();
        let load = |m: &MachineId| {
            let takes = |s: &&Source| **s == Source::Machine(m.clone());
            after.values().filter(takes).count()
        };
        for (m, source) in &after {
            if *source != Source::Origin || before.get(m) == Some(source) {
                continue;
            }
            let sent = self.agents[m].from.iter().flatten();
            for s in sent {
                let Source::Machine(s) = s else { continue };
                if self.rejoined.contains(s) {
                    continue;
                }
                let there = self.agents.get(s).filter(|a| !a.slow && a.from.is_some());
                prop_assert!(
                    there.is_none() || load(s) >= self.limits.slots as usize,
                    "{m} moves to the origin, although {s} has a free slot"
                );
            }
            self.seeds.insert(m.clone());
            self.planned_copies += 1;
        }
        Ok(())
    }
    fn apply_event(&mut self, event: Event, now: f64) -> Result<(), TestCaseError> {
        self.no_events = false;
        let before = self.sources();
        match event {
            Event::Join(n) => self.join(n),
            Event::Lose(n) => {
                if let Some(m) = self.pick(n) {
                    self.agents.remove(&m);
                    self.seeds.remove(&m);
                    self.rollout.lost(&m, &mut self.uploads);
                }
            }
            Event::Evict(n) => {
                if let Some(m) = self.pick(n) {
                    self.seeds.remove(&m);
                    self.rejoined.insert(m.clone());
                    self.rollout.evicted(&m, &mut self.uploads);
                    self.rollout.join(m.clone(), &path(&m), false);
                    self.agents.insert(m, Agent::default());
                }
            }
            Event::Slow(n) => {
                if let Some(m) = self.pick(n) {
                    self.rollout.slow(&m, &mut self.uploads);
                    self.agents.get_mut(&m).unwrap().slow = true;
                }
            }
            Event::Refuse => self.rollout.origin_refused(now + 5.0),
            Event::Takeover => return self.take_over(now),
        }
        self.check_moves_to_origin(&before)
    }
    /// Replaces the owner by a new one, which has only the record and each machine's state
    /// of the image.
    fn take_over(&mut self, now: f64) -> Result<(), TestCaseError> {
        let Some(record) = self.rollout.record().cloned() else {
            return Ok(());
        };
        let text = serde_json::to_string(&record).unwrap();
        let record: RolloutRecord = serde_json::from_str(&text).unwrap();
        if record.stage > 0 {
            let named: BTreeSet<&MachineId> = record.seeds.iter().collect();
            self.unrecorded_seeds += self.seeds.iter().filter(|m| !named.contains(m)).count();
        }
        let of = |m: &MachineId| (m.clone(), path(m));
        let paths: BTreeMap<MachineId, Vec<String>> = self.agents.keys().map(of).collect();
        let started = self.agents.iter().filter(|(_, a)| a.from.is_some());
        let ran = started.map(|(m, a)| RecentImages {
            machine: m.clone(),
            path: &paths[m],
            has: match a.parts {
                PARTS => Has::Complete,
                n => Has::Part(n as f64 / PARTS as f64),
            },
        });
        self.uploads = Uploads::default();
        self.rollout = Rollout::resume(&record, self.limits, ran, &mut self.uploads, now).unwrap();
        for (m, a) in &self.agents {
            if a.from.is_none() {
                self.rollout.join(m.clone(), &paths[m], false);
            }
        }
        Ok(())
    }
    fn decide(&mut self, now: f64) -> Result<(), TestCaseError> {
        if let Some(record) = self.rollout.next(now) {
            prop_assert!(record.stage <= self.rollout.stage() + 1);
            let there = record.seeds.iter().all(|m| self.agents.contains_key(m));
            prop_assert!(
                there,
                "record names seeds that do not exist: {:?}",
                record.seeds
            );
            self.rollout.written(record, now);
        }
        let all: Vec<MachineId> = self.agents.keys().cloned().collect();
        for m in all {
            if self.agents[&m].from.is_some() || !self.rollout.may_start(&m, &self.uploads, now) {
                continue;
            }
            let from = self.rollout.assign(&m, &mut self.uploads, now);
            prop_assert!(!from.is_empty() && from.len() <= self.limits.sources);
            prop_assert_eq!(&from, &self.rollout.assign(&m, &mut self.uploads, now));
            if from == [Source::Origin] {
                let of_zone = self.seeds.iter().filter(|s| zone(s) == zone(&m)).count();
                let all_slow = self.agents.values().any(|a| a.slow);
                prop_assert!(
                    of_zone < self.limits.per_zone as usize + self.unrecorded_seeds || all_slow,
                    "{} uses the origin, although its zone has {} seeds",
                    m,
                    of_zone
                );
                self.seeds.insert(m.clone());
                self.planned_copies += 1;
            }
            self.agents.get_mut(&m).unwrap().from = Some(from);
        }
        let there = self.agents.keys().cloned().collect();
        let planned = self.limits.per_zone as usize;
        let max = if self.no_events { planned } else { usize::MAX };
        check(&self.sources(), &there, self.limits.slots as usize, max).map_err(TestCaseError::fail)
    }
    /// Transfers one part to each machine that can receive one.
    fn transfer(&mut self, step: u32) {
        let had: BTreeMap<MachineId, (usize, bool)> = self
            .agents
            .iter()
            .map(|(m, a)| (m.clone(), (a.parts, a.slow)))
            .collect();
        let mut uploads: BTreeMap<MachineId, u32> = BTreeMap::new();
        let mut complete = Vec::new();
        for (m, a) in &mut self.agents {
            let Some(from) = a.from.as_ref().filter(|_| a.parts < PARTS) else {
                continue;
            };
            if let Some(Source::Machine(s)) = from.get(a.at) {
                let Some((parts, slow)) = had.get(s) else {
                    a.at += 1;
                    continue;
                };
                let uses = uploads.entry(s.clone()).or_default();
                if *parts <= a.parts || *uses >= self.limits.slots || (*slow && step % 4 != 0) {
                    a.waited += 1;
                    if a.waited > SOURCE_WAIT_STEPS {
                        (a.at, a.waited) = (a.at + 1, 0);
                    }
                    continue;
                }
                *uses += 1;
                a.waited = 0;
            } else {
                self.origin_parts += 1;
            }
            a.parts += 1;
            if a.parts == PARTS {
                complete.push(m.clone());
            }
        }
        for m in complete {
            self.rollout.arrived(&m, &mut self.uploads);
        }
    }
    fn step(&mut self, step: &mut u32) -> Result<(), TestCaseError> {
        prop_assert!(
            *step < 2_000,
            "rollout not complete after 2,000 steps: {:?}",
            self.rollout.counts()
        );
        self.decide(f64::from(*step))?;
        self.transfer(*step);
        *step += 1;
        Ok(())
    }
    fn done(&self) -> bool {
        self.agents.values().all(|a| a.parts == PARTS)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Machines are lost, slow or evict the image, and owners change. Every machine that
    /// stays still gets every part, no machine has more planned uploads than slots, no
    /// machine waits for itself, and the origin receives no more requests than a zone's
    /// copies.
    #[test]
    fn every_remaining_machine_gets_every_part(
        machines in 1..90_usize,
        per_zone in 1..4_u32,
        deep in 1..12_u32,
        slots in 1..4_u32,
        mut events in prop::collection::vec((0..60_u32, event()), 0..14),
    ) {
        events.sort_by_key(|(at, _)| *at);
        let limits = Limits { per_zone, deep, slots, ..Limits::default() };
        let mut world = World::new(machines, limits);
        let mut events = events.into_iter().peekable();
        let mut step = 0;
        while !world.done() || events.peek().is_some() {
            while let Some((_, e)) = events.next_if(|(at, _)| *at <= step) {
                world.apply_event(e, f64::from(step))?;
            }
            world.step(&mut step)?;
        }
        prop_assert!(world.rollout.over());
        if world.no_events {
            prop_assert!(world.origin_parts <= PARTS * world.planned_copies);
            prop_assert!(world.planned_copies <= per_zone as usize * ZONES);
        }
    }

    /// The owner changes after any stage, with the stage's record just written, or in the
    /// first stage before any record names a seed. The new owner requests no more from the
    /// origin than what was left of each zone's copies.
    #[test]
    fn new_owner_requests_no_more_copies(machines in 1..250_usize, stage in 0..4_u32) {
        let mut world = World::new(machines, Limits { deep: 4, ..Limits::default() });
        let mut step = 0;
        while step == 0 || (world.rollout.stage() < stage && step < 30) {
            world.step(&mut step)?;
        }
        prop_assert!(machines <= 12 || stage == 0 || world.rollout.stage() > 0, "rollout did not reach the next stage");
        if let Some(record) = world.rollout.next(f64::from(step)).filter(|_| stage > 0) {
            world.rollout.written(record, f64::from(step));
        }
        world.take_over(f64::from(step))?;
        prop_assert_eq!(world.unrecorded_seeds, 0);
        while !world.done() {
            world.step(&mut step)?;
        }
        prop_assert!(world.planned_copies <= 3 * ZONES);
    }
}

/// Machines take from near sources first, and two images share a machine's link. A zone
/// without the image takes it from the origin, or from another zone while the origin
/// refuses.
#[test]
fn near_sources_first_and_links_are_shared() {
    let place = |z: &str, r: &str| vec![z.to_string(), r.to_string()];
    let mut uploads = Uploads::default();
    let mut rollouts = ["a", "b"].map(|i| Rollout::new(Image::from(i), Limits::default()));
    for rollout in &mut rollouts {
        rollout.join(id(1), &place("z1", "r1"), true);
        rollout.join(id(2), &place("z1", "r2"), true);
        rollout.join(id(3), &place("z1", "r2"), false);
        rollout.join(id(4), &place("z2", "r1"), false);
        let record = rollout.next(0.0).unwrap();
        assert!(
            !rollout.may_start(&id(3), &uploads, 0.0),
            "a start must wait for the first record"
        );
        rollout.written(record, 0.0);
    }
    let first = rollouts[0].assign(&id(3), &mut uploads, 0.0);
    assert_eq!(first, [id(2), id(1)].map(Source::Machine));
    // The nearest source is already uploading the other image.
    let second = rollouts[1].assign(&id(3), &mut uploads, 0.0);
    assert_eq!(second[0], Source::Machine(id(1)));
    assert_eq!(
        rollouts[0].assign(&id(4), &mut uploads, 0.0),
        [Source::Origin]
    );
    rollouts[1].origin_refused(9.0);
    let crossing = rollouts[1].assign(&id(4), &mut uploads, 0.0);
    assert!(matches!(crossing[0], Source::Machine(_)), "{crossing:?}");
    assert_eq!((rollouts[1].copies(), rollouts[1].crossings()), (0, 1));
}

/// A chain repairs itself, and a zone without a seed requests the image from the origin
/// again. Where all sources are too slow, a machine uses the origin rather than wait
/// forever.
#[test]
fn losses_and_slow_sources() {
    let mut uploads = Uploads::default();
    let limits = Limits {
        per_zone: 1,
        ..Limits::default()
    };
    let mut rollout = Rollout::new(Image::from("a"), limits);
    let zone = ["z1".to_string()];
    for n in 0..6 {
        rollout.join(id(n), &zone, false);
    }
    rollout.written(rollout.next(0.0).unwrap(), 0.0);
    for n in 0..5 {
        assert!(rollout.may_start(&id(n), &uploads, 0.0));
        rollout.assign(&id(n), &mut uploads, 0.0);
    }
    rollout.lost(&id(2), &mut uploads);
    assert_eq!(rollout.source(&id(3)), Some(Source::Machine(id(1))));
    assert_eq!((rollout.copies(), uploads.of(&id(1))), (1, 1));
    rollout.lost(&id(0), &mut uploads);
    assert_eq!(rollout.source(&id(1)), Some(Source::Origin));
    assert_eq!((rollout.copies(), uploads.origin()), (2, 1));
    for n in [1, 3, 4] {
        rollout.slow(&id(n), &mut uploads);
    }
    // A machine without another source stays with a slow one, so the origin receives no
    // further request.
    assert_eq!(rollout.source(&id(3)), Some(Source::Machine(id(1))));
    assert_eq!(rollout.copies(), 2);
    assert!(rollout.may_start(&id(5), &uploads, 0.0));
    assert_eq!(rollout.assign(&id(5), &mut uploads, 0.0), [Source::Origin]);
}

/// A record of a later version is not resumed, and the format of this version does not
/// change.
#[test]
fn record_format_is_stable() {
    let text = r#"{"v":1,"i":"img-07","s":2,"m":["vm-1"]}"#;
    let mut record: RolloutRecord = serde_json::from_str(text).unwrap();
    assert_eq!(serde_json::to_string(&record).unwrap(), text);
    record.v = 2;
    let resumed = Rollout::resume(&record, Limits::default(), [], &mut Uploads::default(), 0.0);
    assert!(resumed.is_none());
}

#[test]
fn wait_grows_with_fetch_time() {
    // Images that are fetched in seconds keep the waits that were measured for them.
    for (fetch_s, max_s) in [(20.0, 1.0), (100.0, 5.0), (280.0, 14.0), (4_000.0, 30.0)] {
        assert_eq!(threshold_s(fetch_s), max_s);
    }
    // The slowest fetch that was measured in a rollout is within its allowance.
    assert!(fetch_allowance_s(140.0, 0.5) > 2.0 * 280.0);
    assert_eq!(abandon_cost(0.0, 280.0), 0.0);
    assert!(abandon_cost(0.9, 280.0) > 8.0 * abandon_cost(0.5, 280.0));
    assert!(abandon_cost(1.0, 280.0).is_finite());
}

/// An upgrade must not evict the version that serves tasks, nor one that is being uploaded.
#[test]
fn serving_images_are_not_evicted() {
    let cache = [
        ("v1", 100.0, true, false),
        ("old", 60.0, false, false),
        ("given", 20.0, false, true),
        ("new", 10.0, false, false),
    ];
    let cache = cache.map(|(image, gb, serves, moves)| Cached {
        image: Image::from(image),
        gb,
        serves,
        moves,
    });
    let old = vec![Image::from("old")];
    for (gb, evicted) in [(10.0, Some(vec![])), (50.0, Some(old)), (100.0, None)] {
        assert_eq!(evictable(&cache, gb, 200.0), evicted);
    }
}
