//! Compares the overload decisions with slow, simple models over generated event sequences.

use proptest::prelude::*;
use sorrelhinge_overload::admission::{AdmissionQueue, Class, CLASSES};
use sorrelhinge_overload::claim_rate::ClaimRate;
use sorrelhinge_overload::fleet_limit::{shard_limit, FleetLimit, LEAST_LIMIT};
use sorrelhinge_overload::heartbeat_offload::{HeartbeatLoad, HeartbeatOffload};
use sorrelhinge_overload::pace::Pace;
use sorrelhinge_overload::poll_shedding::{
    Poll, PollShedding, Verdict, POLL_RETENTION_S, STALE_ANSWER_S,
};
use sorrelhinge_overload::pressure::{Level, Pressure, Resource, Sample};
use sorrelhinge_overload::relief::Relief;
use sorrelhinge_overload::sockets::{ConnId, Limits, Opened, Sockets};
use sorrelhinge_protocol::types::{JobId, MachineId, NodeId, Time};

/// Connection of the model, which keeps all connections in one list.
#[derive(Clone, Debug)]
struct ModelConnection {
    id: ConnId,
    class: Class,
    /// Event number and time since which the connection is idle. `None` while it is busy.
    idle: Option<(u64, f64)>,
    answered_before: bool,
    /// Whether the connection was chosen to be closed for a new one.
    closing: bool,
}

/// Model of the open connections, which searches the whole list for every decision.
struct Model {
    limits: Limits,
    all: Vec<ModelConnection>,
    events: u64,
}

impl Model {
    fn opened(&mut self, id: ConnId, now: f64) -> Opened {
        self.events += 1;
        let mut opened = Opened::Taken;
        if self.all.len() >= self.limits.max {
            let rank = |p: &ModelConnection| match p.class {
                // A client that has just connected is about to send a request.
                Class::New if p.idle.is_some_and(|(_, since)| now - since < 1.0) => None,
                Class::New => Some(0),
                Class::Idle => Some(1),
                Class::Busy => Some(2),
                Class::User => Some(3),
            };
            // Connections without a request are in order of arrival, so if the first one is not
            // past its grace period, no other is.
            let idle = self.all.iter_mut().filter(|p| !p.closing);
            let best = idle
                .filter_map(|p| Some((rank(p)?, p.idle?.0, p)))
                .min_by_key(|(rank, at, _)| (*rank, *at));
            match best {
                Some((_, _, p)) => {
                    (p.closing, p.idle) = (true, None);
                    opened = Opened::InPlaceOf(p.id);
                }
                None => return Opened::Full,
            }
        }
        self.all.push(ModelConnection {
            id,
            class: Class::New,
            idle: Some((self.events, now)),
            answered_before: false,
            closing: false,
        });
        opened
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
        if p.closing || p.class != Class::New && (crowded || over && !p.answered_before) {
            return false;
        }
        (p.idle, p.answered_before) = (Some((events, now)), true);
        true
    }
}

/// Runs one turn of the admission queue, and checks that no connection is admitted too late or
/// expires too early. Returns how many connections left the queue.
fn run_turn(queue: &mut AdmissionQueue<usize>, waiting: &mut Vec<(usize, f64)>, now: f64) -> usize {
    let turn = queue.admit_next(Time(now));
    assert!(turn.admitted.len() <= 6);
    let mut waited = |who: &usize| {
        let at = waiting
            .iter()
            .position(|(w, _)| w == who)
            .expect("the connection is in the queue");
        now - waiting.swap_remove(at).1
    };
    for who in &turn.admitted {
        assert!(waited(who) <= 4.0, "an expired connection was admitted");
    }
    for who in &turn.expired {
        assert!(waited(who) > 4.0);
    }
    turn.admitted.len() + turn.expired.len()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Checks that [`Sockets`] decides like a linear search over all connections, and that the
    /// number of open connections never exceeds the limit.
    #[test]
    fn sockets_decide_like_a_linear_search(
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
                    let opened = real.opened(id, Time(now));
                    prop_assert_eq!(opened, model.opened(id, now));
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
            // Connections that were chosen to be closed still count until they are closed.
            let closing = model.all.iter().filter(|p| p.closing).count();
            prop_assert!(real.open() <= limits.max + closing);
        }
    }

    /// Checks that each queued connection is admitted or expires exactly once, that none starves,
    /// and that no turn admits more connections than its limit.
    #[test]
    fn each_connection_is_admitted_or_expires_once(
        arrivals in prop::collection::vec((0_usize..4, 0_u8..6), 1..300),
    ) {
        let mut queue: AdmissionQueue<usize> = AdmissionQueue::new(6, 4.0);
        let mut now = 0.0;
        let mut waiting: Vec<(usize, f64)> = Vec::new();
        let (mut left, mut direct) = (0, 0);
        for (who, (class, pause)) in arrivals.iter().enumerate() {
            if queue.try_admit() {
                direct += 1;
                prop_assert!(waiting.is_empty(), "admitted ahead of a queued connection");
            } else {
                queue.enqueue(CLASSES[*class], who, Time(now));
                waiting.push((who, now));
            }
            prop_assert_eq!(queue.waiting(), waiting.len());
            if *pause == 5 {
                now += 0.5;
                left += run_turn(&mut queue, &mut waiting, now);
            }
        }
        while queue.waiting() > 0 {
            now += 0.3;
            left += run_turn(&mut queue, &mut waiting, now);
        }
        prop_assert_eq!(direct + left, arrivals.len());
    }
}

/// Each turn admits at least one connection of each class, even if many of an earlier class wait.
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
    // Once the wait is long, the newest connection reads first, because its client still waits for
    // an answer.
    assert_eq!(queue.admit_next(Time(3.0)).admitted[0], ("new", 399));
}

/// Sockets are reserved for the controller's own connections at any socket limit.
#[test]
fn sockets_are_reserved_for_the_controllers_own_connections() {
    for sockets in [100, 500, 2514, 2867, 100_000] {
        let limits = Limits::of(sockets, 4, 48);
        assert!(limits.max < sockets && limits.max >= sockets * 2 / 3);
        assert!(limits.idle_workers < limits.workers && limits.workers < limits.users);
        assert!(limits.users < limits.max);
    }
    assert!(2867 - Limits::of(2867, 4, 48).max >= 48 + 48 + 4 * 4);
}

/// A duty with a higher cost runs less often, but its pause stays within the limit.
#[test]
fn a_duty_takes_no_more_than_its_share() {
    let mut pace = Pace::new(0.5, 5.0, 0.1);
    assert!(pace.due(Time(0.0)));
    pace.done(0.001, 0.0, Time(0.0));
    assert!(
        !pace.due(Time(0.4)) && pace.due(Time(0.5)),
        "the usual pause"
    );
    pace.done(0.2, 0.0, Time(1.0));
    assert!(
        !pace.due(Time(2.9)) && pace.due(Time(3.0)),
        "a pause of ten times the cost"
    );
    pace.done(0.1, 0.5, Time(5.0));
    assert!(
        !pace.due(Time(7.9)) && pace.due(Time(8.0)),
        "a third of the share while requests wait"
    );
    pace.done(600.0, 0.0, Time(10.0));
    assert!(
        pace.due(Time(15.0)),
        "a suspended process does not stop the duty forever"
    );
}

fn wait(wait_s: f64) -> Sample {
    Sample {
        wait_s,
        ..Sample::default()
    }
}

/// Returns the shedding levels of `pressure` while `sample` lasts, the present level first.
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

/// Shedding starts after a few seconds, rises level by level, and ends slowly. A single long wait
/// does not start it.
#[test]
fn shedding_levels_rise_step_by_step_and_fall_slowly() {
    let mut pressure = Pressure::default();
    let mut now = 0.0;
    let mut run = |pressure: &mut Pressure, sample: Sample, seconds: f64| {
        levels_for(pressure, sample, &mut now, seconds)
    };
    run(&mut pressure, wait(0.0), 10.0);
    assert_eq!(run(&mut pressure, wait(30.0), 0.5), [Level::None]);
    // Delayed claims make the write rate bind long before the controller refuses users.
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
    // Between the two thresholds the shedding level does not change.
    assert_eq!(run(&mut pressure, wait(0.4), 30.0), [Level::Placements]);
    let down = run(&mut pressure, wait(0.0), 30.0);
    assert_eq!(down, up.iter().rev().copied().collect::<Vec<_>>());
    assert_eq!(pressure.binding().count(), 0);
    // Sockets and the cloud bind, but the controller sheds nothing, because refusing users would
    // not help.
    let full = Sample {
        sockets: 1.0,
        cloud_wait_s: 60.0,
        ..Sample::default()
    };
    assert_eq!(run(&mut pressure, full, 30.0), [Level::None]);
    let binding: Vec<Resource> = pressure.binding().collect();
    assert_eq!(binding, [Resource::Sockets, Resource::Cloud]);
    // A NaN measurement counts as 0.
    run(&mut pressure, wait(f64::NAN), 5.0);
    assert_eq!(pressure.level(), Level::None);
}

/// The fleet limit falls step by step while requests wait, rises while processor time is free, and
/// is dropped once the fleet is far below it.
#[test]
fn the_fleet_limit_is_measured_and_dropped() {
    let mut fleet_limit = FleetLimit::default();
    fleet_limit.take(5000, 0.0, false, Time(0.0));
    assert_eq!(fleet_limit.max(), None);
    for half in 0..12 {
        fleet_limit.take(5000, 1.5, true, Time(f64::from(half) * 0.5));
    }
    let max = fleet_limit.max().expect("a fleet limit");
    assert!((4400..4800).contains(&max), "two steps: {max}");
    // The claim rate is bounded too, so free capacity for more than these claims is enough.
    let mut claim_rate = ClaimRate::default();
    for second in 0..60 {
        claim_rate.take(50_000, Time(f64::from(second)));
    }
    assert!(claim_rate.lasts(2_000_000, 20.0) && !claim_rate.lasts(1_000_000, 20.0));
    fleet_limit.take(5000, 0.4, false, Time(10.0));
    assert_eq!(
        fleet_limit.max(),
        Some(max),
        "requests still wait, so the limit does not rise"
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

/// Guards against a fleet limit that stops all renting for good: it fell to 0 after an overload of
/// one moment while no machine was up, and rose only by a factor (`review/4`). From one to ten
/// machines it rose by less than a machine in minutes.
#[test]
fn an_overload_of_a_small_fleet_stops_no_renting() {
    for machines in 0..=10 {
        let mut fleet_limit = FleetLimit::default();
        for half in 0..240 {
            fleet_limit.take(machines, 1.5, true, Time(f64::from(half) * 0.5));
            let max = fleet_limit.max();
            assert_eq!(max, None, "{machines} machines, overload for {half} halves");
        }
    }
}

/// Guards against a fleet limit near 0 that a large fleet leaves behind: an overload that lasts
/// until all machines are gone, and a limit that a fleet of up to ten machines then has to raise.
#[test]
fn a_fleet_limit_at_its_least_lets_a_small_fleet_grow_and_ends() {
    for machines in 0..=10 {
        let mut fleet_limit = FleetLimit::default();
        let mut now = 0.0;
        for _ in 0..2000 {
            now += 0.5;
            fleet_limit.take(LEAST_LIMIT, 1.5, true, Time(now));
        }
        assert_eq!(fleet_limit.max(), Some(LEAST_LIMIT), "the least limit");
        fleet_limit.take(machines, 1.5, true, Time(now + 4.0));
        assert_eq!(fleet_limit.max(), Some(LEAST_LIMIT), "still overload");
        let calm = (0..).take_while(|half| {
            let at = now + 4.5 + f64::from(*half) * 0.5;
            fleet_limit.take(machines, 0.0, false, Time(at));
            fleet_limit.max().is_some()
        });
        let calm_s = calm.count() as f64 * 0.5;
        assert!(calm_s <= 60.0, "{machines} machines: {calm_s} s");
    }
}

/// Guards against limits of shards that are rounded down to 0 although the limit of the fleet is
/// not reached: no shard could rent a machine then.
#[test]
fn every_shard_can_grow_until_the_fleet_limit_is_reached() {
    for max in [1, 2, 3, 7, 100, 1000] {
        for sizes in [&[0, 0, 0, 0][..], &[1, 0, 0], &[90, 5, 0, 3], &[500, 600]] {
            let total: usize = sizes.iter().sum();
            let limits = sizes
                .iter()
                .map(|own| shard_limit(max, total, *own, sizes.len()));
            let limits: Vec<usize> = limits.collect();
            let grows = sizes.iter().zip(&limits).all(|(own, limit)| limit > own);
            assert_eq!(grows, total < max, "{max} for {sizes:?}: {limits:?}");
            let sum: usize = limits.iter().sum();
            assert!(sum < max + sizes.len(), "{max} for {sizes:?}: {limits:?}");
        }
    }
    assert_eq!(
        shard_limit(70, 60, 60, 1),
        70,
        "one shard has the whole limit"
    );
    assert_eq!(shard_limit(50, 60, 60, 1), 50, "and gives machines back");
    assert_eq!(shard_limit(usize::MAX, 60, 60, 1), usize::MAX, "no limit");
}

/// Workers are offloaded before the sockets of the owner are full, the same workers first, and
/// evenly over the helpers. They return once the owner has free processor time.
#[test]
fn workers_are_offloaded_before_the_sockets_are_full() {
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
    assert_eq!(offload.share(), 0.0, "there is no helper");
    offload.take(heartbeat_load(6000, 0.0, 3), Time(2.0));
    let first = homes(&offload, &helpers);
    let here = first.iter().filter(|h| h.is_none()).count();
    assert!(
        here <= 1700,
        "{here} workers stay at the owner, with 2,000 connections"
    );
    for helper in &helpers {
        let there = first.iter().filter(|h| h.as_ref() == Some(helper)).count();
        assert!((1200..1800).contains(&there), "{there} at {helper}");
    }
    for second in 3..10 {
        offload.take(heartbeat_load(6000, 0.5, 3), Time(f64::from(second)));
    }
    let more = homes(&offload, &helpers);
    for (before, after) in first.iter().zip(&more) {
        assert!(
            before.is_none() || before == after,
            "an offloaded worker changed its helper"
        );
    }
    // When one helper leaves, only its workers get a new home controller.
    let fewer = homes(&offload, &helpers[..2]);
    for (before, after) in more.iter().zip(&fewer) {
        let lost = before.as_ref() == Some(&helpers[2]);
        assert!(lost || before == after);
    }
    for second in 10..600 {
        offload.take(heartbeat_load(800, 0.0, 3), Time(f64::from(second)));
    }
    assert_eq!(offload.share(), 0.0, "all workers returned");
}

proptest! {
    /// The owner asks for relief only once all workers send heartbeats to other controllers. Relief
    /// ends only after a while without delayed requests.
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

/// Generates polls. Each has the index of its job, the seconds since the poll before, whether polls
/// are shed, and whether an accepted poll can be answered.
fn polls(jobs: usize) -> impl Strategy<Value = Vec<(usize, f64, bool, bool)>> {
    let mostly = || prop::bool::weighted(0.8);
    prop::collection::vec((0..jobs, 0.0..2.0_f64, mostly(), mostly()), 1..400)
}

proptest! {
    /// With free slots for all jobs, a poll is refused only if the last poll of the job was
    /// answered recently. The first six jobs are recorded. The first poll of each other id is
    /// refused, and the second is answered.
    #[test]
    fn polls_are_shed_by_earlier_decisions(polls in polls(9)) {
        let mut asked = PollShedding::default();
        // Whether the last poll of each job was answered, and the time of that poll.
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
                // The table stores times in tenths of a second, so the age is rounded.
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

    /// With few slots and a flood of unknown ids, the tables never exceed their size, no job is
    /// refused twice in a row, and the decisions on recorded jobs don't change.
    #[test]
    fn a_flood_of_unknown_ids_evicts_no_recorded_job(polls in polls(12), flood in 0_usize..40) {
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
            prop_assert!(!(refused && last.insert(n, refused) == Some(true)), "a job was refused twice in a row");
            last.insert(n, refused);
            for asked in [&mut asked, &mut calm].into_iter().filter(|_| !refused) {
                if can { asked.answered(&job, true, Time(now)) } else { asked.failed(&job, true, Time(now)) }
            }
            prop_assert!(asked.recorded_count() <= 8 && asked.unrecorded_count() <= 5);
        }
    }
}

/// Polls of jobs that find no slot in a full table are answered. A job without a recent poll frees
/// its slot, and a job that ended frees its slot at once.
#[test]
fn polls_without_a_free_slot_are_answered() {
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
    let later = 6.0 + POLL_RETENTION_S;
    let (answer, refuse) = (Verdict::Answer, Verdict::Refuse);
    for (n, at, verdict) in [
        (0, 1.0, answer),
        (1, 1.0, answer),
        (2, 1.0, answer),
        (2, 3.0, answer),
        (0, 3.0, refuse),
        // Job 1 has ended, so its slot is free.
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
