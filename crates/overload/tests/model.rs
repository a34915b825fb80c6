//! The decisions against slow plain models, over generated orders of events.

use proptest::prelude::*;
use sorrelhinge_overload::admission::{AdmissionQueue, Class, CLASSES};
use sorrelhinge_overload::claim_rate::ClaimRate;
use sorrelhinge_overload::fleet_limit::FleetLimit;
use sorrelhinge_overload::heartbeat_offload::{HeartbeatLoad, HeartbeatOffload};
use sorrelhinge_overload::pace::Pace;
use sorrelhinge_overload::poll_shedding::{
    Poll, PollShedding, Verdict, POLL_MEMORY_S, STALE_ANSWER_S,
};
use sorrelhinge_overload::pressure::{Level, Pressure, Resource, Sample};
use sorrelhinge_overload::relief::Relief;
use sorrelhinge_overload::sockets::{ConnId, Limits, Opened, Sockets};
use sorrelhinge_protocol::types::{JobId, MachineId, NodeId, Time};

/// A connection as the model keeps it: all of them in one list.
#[derive(Clone, Debug)]
struct Plain {
    id: ConnId,
    class: Class,
    /// Idle since this event and time.
    idle: Option<(u64, f64)>,
    kept: bool,
    /// Chosen to end for another.
    ending: bool,
}

/// The connections, looked through one by one for every decision.
struct Model {
    limits: Limits,
    all: Vec<Plain>,
    events: u64,
}

impl Model {
    fn opened(&mut self, id: ConnId, now: f64) -> Opened {
        self.events += 1;
        let mut told = Opened::Taken;
        if self.all.len() >= self.limits.max {
            let rank = |p: &Plain| match p.class {
                // One that connected just now did so to ask something.
                Class::New if p.idle.is_some_and(|(_, since)| now - since < 1.0) => None,
                Class::New => Some(0),
                Class::Idle => Some(1),
                Class::Busy => Some(2),
                Class::User => Some(3),
            };
            // The silent ones stand in the order of their coming, so the first
            // of them tells whether any is old enough.
            let idle = self.all.iter_mut().filter(|p| !p.ending);
            let best = idle
                .filter_map(|p| Some((rank(p)?, p.idle?.0, p)))
                .min_by_key(|(rank, at, _)| (*rank, *at));
            match best {
                Some((_, _, p)) => {
                    (p.ending, p.idle) = (true, None);
                    told = Opened::InPlaceOf(p.id);
                }
                None => return Opened::Full,
            }
        }
        self.all.push(Plain {
            id,
            class: Class::New,
            idle: Some((self.events, now)),
            kept: false,
            ending: false,
        });
        told
    }

    fn asked(&mut self, id: ConnId, class: Class) {
        if let Some(p) = self.all.iter_mut().find(|p| p.id == id) {
            (p.class, p.idle) = (class, None);
        }
    }

    fn answered(&mut self, id: ConnId, now: f64) -> bool {
        self.events += 1;
        let workers = self
            .all
            .iter()
            .filter(|p| matches!(p.class, Class::Busy | Class::Idle))
            .count();
        let crowded = self.all.len() > self.limits.users;
        let events = self.events;
        let Some(p) = self.all.iter_mut().find(|p| p.id == id) else {
            return false;
        };
        let over = match p.class {
            Class::New | Class::User => false,
            Class::Idle => workers > self.limits.idle_workers,
            Class::Busy => workers > self.limits.workers,
        };
        if p.ending || p.class != Class::New && (crowded || over && !p.kept) {
            return false;
        }
        (p.idle, p.kept) = (Some((events, now)), true);
        true
    }
}

/// A turn of the queue: nobody passes too late, or is turned away too early. How
/// many were told one of both.
fn take_turn(
    queue: &mut AdmissionQueue<usize>,
    waiting: &mut Vec<(usize, f64)>,
    now: f64,
) -> usize {
    let turn = queue.admit_next(Time(now));
    assert!(turn.admitted.len() <= 6);
    let mut waited = |who: &usize| {
        let at = waiting
            .iter()
            .position(|(w, _)| w == who)
            .expect("it waits");
        now - waiting.swap_remove(at).1
    };
    for who in &turn.admitted {
        assert!(waited(who) <= 4.0, "reading it would be in vain");
    }
    for who in &turn.expired {
        assert!(waited(who) > 4.0);
    }
    turn.admitted.len() + turn.expired.len()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// The index of idle connections gives what a look at all of them gives,
    /// and there are never more than the bound allows.
    #[test]
    fn sockets_are_shared_as_a_look_at_all_of_them_shares(
        sockets in 8_usize..40,
        events in prop::collection::vec((0_u8..4, 0_usize..50, 0_usize..4), 1..400),
    ) {
        let limits = Limits::of(sockets, 2, 4);
        let mut real = Sockets::new(limits);
        let mut model = Model { limits, all: Vec::new(), events: 0 };
        let mut next = 0;
        for (step, (what, at, class)) in events.into_iter().enumerate() {
            let now = step as f64 * 0.13;
            let some = (!model.all.is_empty()).then(|| model.all[at % model.all.len()].clone());
            match (what, some) {
                (0, _) => {
                    let id = ConnId(next);
                    next += 1;
                    let told = real.opened(id, Time(now));
                    prop_assert_eq!(told, model.opened(id, now));
                }
                (1, Some(p)) => {
                    let class = CLASSES[1 + class % 3];
                    real.asked(p.id, class);
                    model.asked(p.id, class);
                }
                (2, Some(p)) if p.idle.is_none() => {
                    let stays = real.answered(p.id, Time(now));
                    prop_assert_eq!(stays, model.answered(p.id, now));
                }
                (_, Some(p)) => {
                    real.closed(p.id);
                    model.all.retain(|other| other.id != p.id);
                }
                _ => {}
            }
            prop_assert_eq!(real.open(), model.all.len());
            let workers = model.all.iter().filter(|p| matches!(p.class, Class::Busy | Class::Idle));
            prop_assert_eq!(real.workers(), workers.count());
            // Those that were chosen to end are still counted until they do.
            let ending = model.all.iter().filter(|p| p.ending).count();
            prop_assert!(real.open() <= limits.max + ending);
        }
    }

    /// Everybody who waits passes or is told that it is too late, once; nobody
    /// is passed by for ever, and no turn lets in more than its number.
    #[test]
    fn everybody_is_admitted_once_or_expires(
        arrivals in prop::collection::vec((0_usize..4, 0_u8..6), 1..300),
    ) {
        let mut queue: AdmissionQueue<usize> = AdmissionQueue::new(6, 4.0);
        let mut now = 0.0;
        let mut waiting: Vec<(usize, f64)> = Vec::new();
        let (mut told, mut direct) = (0, 0);
        for (who, (class, pause)) in arrivals.iter().enumerate() {
            if queue.try_admit() {
                direct += 1;
                prop_assert!(waiting.is_empty(), "ahead of somebody who waits");
            } else {
                queue.enqueue(CLASSES[*class], who, Time(now));
                waiting.push((who, now));
            }
            prop_assert_eq!(queue.waiting(), waiting.len());
            if *pause == 5 {
                now += 0.5;
                told += take_turn(&mut queue, &mut waiting, now);
            }
        }
        while queue.waiting() > 0 {
            now += 0.3;
            told += take_turn(&mut queue, &mut waiting, now);
        }
        prop_assert_eq!(direct + told, arrivals.len());
    }
}

/// Each class has a place in each turn, however many of a better class wait.
#[test]
fn no_class_starves_in_the_admission_queue() {
    let mut queue = AdmissionQueue::new(8, 60.0);
    while queue.try_admit() {}
    for n in 0..400 {
        queue.enqueue(Class::New, ("new", n), Time(0.0));
    }
    queue.enqueue(Class::Idle, ("idle", 0), Time(0.0));
    queue.enqueue(Class::User, ("user", 0), Time(0.0));
    let turn = queue.admit_next(Time(0.1));
    assert!(turn.admitted.contains(&("idle", 0)) && turn.admitted.contains(&("user", 0)));
    assert_eq!(turn.admitted.len(), 8);
    // Once the wait is long, whoever came last is still waited for.
    assert_eq!(queue.admit_next(Time(3.0)).admitted[0], ("new", 399));
}

/// Room is set aside for the service's own connections whatever the bound is.
#[test]
fn free_capacity_is_set_aside_for_the_services_own_connections() {
    for sockets in [100, 500, 2514, 2867, 100_000] {
        let limits = Limits::of(sockets, 4, 48);
        assert!(limits.max < sockets && limits.max >= sockets * 2 / 3);
        assert!(limits.idle_workers < limits.workers && limits.workers < limits.users);
        assert!(limits.users < limits.max);
    }
    assert!(2867 - Limits::of(2867, 4, 48).max >= 48 + 48 + 4 * 4);
}

/// A duty that costs more is done less often, within its bound.
#[test]
fn a_duty_takes_no_more_than_its_part() {
    let mut pace = Pace::new(0.5, 5.0, 0.1);
    assert!(pace.due(Time(0.0)));
    pace.done(0.001, 0.0, Time(0.0));
    assert!(
        !pace.due(Time(0.4)) && pace.due(Time(0.5)),
        "its usual pause"
    );
    pace.done(0.2, 0.0, Time(1.0));
    assert!(
        !pace.due(Time(2.9)) && pace.due(Time(3.0)),
        "ten times its cost"
    );
    pace.done(0.1, 0.5, Time(5.0));
    assert!(
        !pace.due(Time(7.9)) && pace.due(Time(8.0)),
        "a third of its part while requests wait"
    );
    pace.done(600.0, 0.0, Time(10.0));
    assert!(
        pace.due(Time(15.0)),
        "the process stood still: not for ever"
    );
}

fn wait(wait_s: f64) -> Sample {
    Sample {
        wait_s,
        ..Sample::default()
    }
}

/// The levels that pressure goes through while a sample lasts, the present one first.
fn levels_for(pressure: &mut Pressure, sample: Sample, now: &mut f64, seconds: f64) -> Vec<Level> {
    let end = *now + seconds;
    let mut levels = vec![pressure.level()];
    while *now < end {
        *now += 0.5;
        pressure.take(sample, Time(*now));
        if levels.last() != Some(&pressure.level()) {
            levels.push(pressure.level());
        }
    }
    levels
}

/// Overload is entered after seconds, level by level, and left more slowly; a
/// single long wait enters nothing.
#[test]
fn overload_is_entered_by_levels_and_left_late() {
    let mut pressure = Pressure::default();
    let mut now = 0.0;
    let mut run = |pressure: &mut Pressure, sample: Sample, seconds: f64| {
        levels_for(pressure, sample, &mut now, seconds)
    };
    run(&mut pressure, wait(0.0), 10.0);
    assert_eq!(run(&mut pressure, wait(30.0), 0.5), [Level::None]);
    // Claims that wait bind the changes long before users are turned away.
    let claims = |change_wait_s: f64| Sample {
        change_wait_s,
        ..Sample::default()
    };
    assert_eq!(run(&mut pressure, claims(6.0), 20.0), [Level::None]);
    assert!(pressure.binds(Resource::Changes));
    assert_eq!(run(&mut pressure, wait(0.0), 10.0), [Level::None]);
    let up = [
        Level::None,
        Level::Polls,
        Level::Submissions,
        Level::Placements,
    ];
    assert_eq!(run(&mut pressure, wait(1.5), 20.0), up);
    assert!(pressure.binds(Resource::Processor));
    // Between the bounds nothing changes.
    assert_eq!(run(&mut pressure, wait(0.4), 30.0), [Level::Placements]);
    let down = run(&mut pressure, wait(0.0), 30.0);
    assert_eq!(down, up.iter().rev().copied().collect::<Vec<_>>());
    assert_eq!(pressure.binding().count(), 0);
    // Sockets and the cloud bind, and turning users away would not help.
    let full = Sample {
        sockets: 1.0,
        cloud_wait_s: 60.0,
        ..Sample::default()
    };
    assert_eq!(run(&mut pressure, full, 30.0), [Level::None]);
    let binding: Vec<Resource> = pressure.binding().collect();
    assert_eq!(binding, [Resource::Sockets, Resource::Cloud]);
    // A measurement that is no number counts as nothing.
    run(&mut pressure, wait(f64::NAN), 5.0);
    assert_eq!(pressure.level(), Level::None);
}

/// The bound on machines falls while requests wait, a step at a time, rises
/// with processor time to spare, and is forgotten once the fleet is far below it.
#[test]
fn the_bound_on_machines_is_found_and_forgotten() {
    let mut fleet_limit = FleetLimit::default();
    fleet_limit.take(5000, 0.0, false, Time(0.0));
    assert_eq!(fleet_limit.max(), None);
    for half in 0..12 {
        fleet_limit.take(5000, 1.5, true, Time(f64::from(half) * 0.5));
    }
    let max = fleet_limit.max().expect("a bound");
    assert!((4400..4800).contains(&max), "two steps: {max}");
    // What is claimed is bounded too: room for more than that is enough.
    let mut claim_rate = ClaimRate::default();
    for second in 0..60 {
        claim_rate.take(50_000, Time(f64::from(second)));
    }
    assert!(claim_rate.lasts(2_000_000, 20.0) && !claim_rate.lasts(1_000_000, 20.0));
    fleet_limit.take(5000, 0.4, false, Time(10.0));
    assert_eq!(
        fleet_limit.max(),
        Some(max),
        "it still waits: no more are rented"
    );
    for second in 0..60 {
        fleet_limit.take(4500, 0.0, false, Time(10.0 + f64::from(second)));
    }
    assert!(fleet_limit.max().is_some_and(|m| m > max));
    for second in 0..60 {
        fleet_limit.take(300, 0.0, false, Time(80.0 + f64::from(second)));
    }
    assert_eq!(fleet_limit.max(), None);
}

/// Workers are sent elsewhere before the sockets are full, always the same
/// ones first, evenly over the helpers, and come back once the owner has time.
#[test]
fn workers_are_spread_before_the_sockets_are_full() {
    let heartbeat_load = |machines: usize, wait_s: f64, helpers: usize| HeartbeatLoad {
        machines,
        free_capacity: 2000,
        wait_s,
        helpers,
    };
    let helpers: Vec<NodeId> = ["n-1", "n-2", "n-3"].map(NodeId::from).to_vec();
    let machines: Vec<MachineId> = (0..6000)
        .map(|n| MachineId::from(format!("vm-{n:06}").as_str()))
        .collect();
    let homes = |offload: &HeartbeatOffload, helpers: &[NodeId]| -> Vec<Option<NodeId>> {
        let home = |m| offload.home(m, helpers.iter()).cloned();
        machines.iter().map(home).collect()
    };
    let mut offload = HeartbeatOffload::default();
    offload.take(heartbeat_load(1500, 0.0, 3), Time(0.0));
    assert_eq!(offload.share(), 0.0, "one controller is enough");
    assert!(homes(&offload, &helpers).iter().all(Option::is_none));
    offload.take(heartbeat_load(6000, 0.0, 0), Time(1.0));
    assert_eq!(offload.share(), 0.0, "nobody helps");
    offload.take(heartbeat_load(6000, 0.0, 3), Time(2.0));
    let first = homes(&offload, &helpers);
    let here = first.iter().filter(|h| h.is_none()).count();
    assert!(here <= 1700, "{here} stay, of room for 2,000");
    for helper in &helpers {
        let there = first.iter().filter(|h| h.as_ref() == Some(helper)).count();
        assert!((1200..1800).contains(&there), "{there} at {helper}");
    }
    for second in 3..10 {
        offload.take(heartbeat_load(6000, 0.5, 3), Time(f64::from(second)));
    }
    let more = homes(&offload, &helpers);
    for (before, after) in first.iter().zip(&more) {
        assert!(before.is_none() || before == after, "nobody is moved about");
    }
    // One helper goes: only its workers have a new home.
    let fewer = homes(&offload, &helpers[..2]);
    for (before, after) in more.iter().zip(&fewer) {
        let lost = before.as_ref() == Some(&helpers[2]);
        assert!(lost || before == after);
    }
    for second in 10..600 {
        offload.take(heartbeat_load(800, 0.0, 3), Time(f64::from(second)));
    }
    assert_eq!(offload.share(), 0.0, "all are back");
}

proptest! {
    /// Relief is asked for only once all workers heartbeat elsewhere, and ends
    /// only after a while without any wait.
    #[test]
    fn relief_ends_late(waits in prop::collection::vec((0.0..0.6_f64, any::<bool>()), 1..200)) {
        let mut relief = Relief::default();
        let mut last_wait = None;
        for (n, (wait, spread)) in waits.into_iter().enumerate() {
            let (now, before) = (n as f64 * 0.5, relief.asked());
            relief.take(spread, wait, Time(now));
            if wait > 0.08 {
                last_wait = Some(now);
            }
            if !before && relief.asked() {
                prop_assert!(spread && wait > 0.25);
            }
            if before && !relief.asked() && spread {
                prop_assert!(now - last_wait.unwrap_or(0.0) >= 20.0);
            }
        }
    }
}

fn run(n: usize) -> JobId {
    JobId::from(format!("run-{n:06}").as_str())
}

/// Polls: which job, seconds since the one before, whether polls are shed, and
/// whether one that passes can be answered.
fn polls(jobs: usize) -> impl Strategy<Value = Vec<(usize, f64, bool, bool)>> {
    let mostly = || prop::bool::weighted(0.8);
    prop::collection::vec((0..jobs, 0.0..2.0_f64, mostly(), mostly()), 1..400)
}

proptest! {
    /// Against the whole history, with slots for all: a poll is refused only if
    /// the last one was answered, and lately. The first six jobs are recorded,
    /// the others are not, and their second poll is the first to be answered.
    #[test]
    fn polls_are_shed_by_what_came_of_earlier_ones(polls in polls(9)) {
        let mut asked = PollShedding::default();
        // Whether the last poll was answered, and when.
        let mut last = std::collections::BTreeMap::new();
        let mut now = 1.0;
        for (n, pause, shed, can) in polls {
            now += (pause * 10.0_f64).round() / 10.0;
            let (job, known) = (run(n), n < 6);
            let verdict = asked.poll(Poll { job: &job, known, shed }, Time(now));
            let age = |at: f64| now - at - STALE_ANSWER_S;
            let expected = match last.get(&n) {
                _ if !shed => Verdict::Answer,
                None if known => Verdict::Answer,
                Some((false, _)) => Verdict::Answer,
                // To the tenth of a second.
                Some((true, at)) if known && (age(*at) * 10.0).round() >= 0.0 => Verdict::Answer,
                _ => Verdict::Refuse,
            };
            if !last.get(&n).is_some_and(|(_, at)| age(*at).abs() < 0.15) {
                prop_assert_eq!(verdict, expected);
            }
            let can = can && verdict == Verdict::Answer;
            match verdict {
                Verdict::Refuse => {}
                Verdict::Answer if can => asked.answered(&job, known, Time(now)),
                Verdict::Answer => asked.failed(&job, known, Time(now)),
            }
            last.insert(n, (can, now));
        }
    }

    /// With few slots, and a flood of ids that nobody submitted: never more is
    /// kept than there are slots for, nobody is refused twice in a row, and the
    /// flood changes nothing for recorded jobs.
    #[test]
    fn a_flood_pushes_nobody_out(polls in polls(12), flood in 0_usize..40) {
        let (mut asked, mut calm) = (PollShedding::new(8, 5), PollShedding::new(8, 5));
        let mut last = std::collections::BTreeMap::new();
        let mut now = 1.0;
        for (turn, (n, pause, shed, can)) in polls.into_iter().enumerate() {
            now += pause;
            for made_up in 0..flood {
                let job = run(1000 + turn * 40 + made_up);
                let poll = Poll { job: &job, known: false, shed: true };
                if asked.poll(poll, Time(now)) == Verdict::Answer {
                    asked.answered(&job, false, Time(now));
                }
            }
            let job = run(n);
            let poll = Poll { job: &job, known: true, shed };
            let verdict = asked.poll(poll, Time(now));
            prop_assert_eq!(verdict, calm.poll(poll, Time(now)));
            let refused = verdict == Verdict::Refuse;
            prop_assert!(!(refused && last.insert(n, refused) == Some(true)), "twice in a row");
            last.insert(n, refused);
            for asked in [&mut asked, &mut calm].into_iter().filter(|_| !refused) {
                if can { asked.answered(&job, true, Time(now)) } else { asked.failed(&job, true, Time(now)) }
            }
            prop_assert!(asked.known_count() <= 8 && asked.unknown_count() <= 5);
        }
    }
}

/// A full table answers whom it can't remember; who has not asked for long makes
/// room, and a job that is over does at once.
#[test]
fn who_can_t_be_remembered_is_answered() {
    let mut asked = PollShedding::new(2, 2);
    let poll = |asked: &mut PollShedding, n: usize, now: f64| {
        let poll = Poll {
            job: &run(n),
            known: true,
            shed: true,
        };
        let verdict = asked.poll(poll, Time(now));
        if verdict == Verdict::Answer {
            asked.answered(&run(n), true, Time(now));
        }
        verdict
    };
    let later = 6.0 + POLL_MEMORY_S;
    let (answer, refuse) = (Verdict::Answer, Verdict::Refuse);
    for (n, at, verdict) in [
        (0, 1.0, answer),
        (1, 1.0, answer),
        (2, 1.0, answer),
        (2, 3.0, answer),
        (0, 3.0, refuse),
        // After job 1 is over there is a free slot.
        (2, 4.0, answer),
        (2, 5.0, refuse),
        (7, later, answer),
        (7, later + 1.0, refuse),
    ] {
        if at == 4.0 {
            asked.over(&run(1));
        }
        assert_eq!(poll(&mut asked, n, at), verdict, "run {n} at {at}");
    }
}
