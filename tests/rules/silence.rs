//! Machines that are silent, hang, or hear nothing.

use std::collections::BTreeSet;

use sorrelhinge::agent_client::{Heartbeat, Sending};
use sorrelhinge::control::core::Source;
use sorrelhinge::state::view::View;
use sorrelhinge::types::{JobId, MachineId, SequenceNumber, Time};

use crate::*;

/// A machine that never answers again keeps its claims until it is deleted:
/// only that proves that its tasks are gone.
#[test]
fn a_silent_machine_keeps_its_claims_until_deleted() {
    let mut world = World::new(7);
    for _ in 0..60 {
        world.step(true);
    }
    let (id, task) = world
        .on_machines()
        .map(|(w, p)| (w.id.clone(), p.clone()))
        .next()
        .expect("something runs");
    let job = JobId::from(task.rsplit_once('/').expect("piece").0);
    let claimed = |o: &Owner| {
        o.core.cluster_state.job(&job).is_some_and(|j| {
            j.tasks
                .claims()
                .values()
                .any(|c| c.machine == MachineId::from(id.as_str()))
        })
    };
    let owner = world.owners.last_mut().expect("an owner");
    assert!(claimed(owner));
    for s in 1..600 {
        owner
            .core
            .apply_machine_list(&[], Time(world.now + f64::from(s)));
        regular(&mut owner.core, Time(world.now + f64::from(s)));
    }
    assert!(claimed(owner), "the machine list proves nothing");
    owner
        .core
        .apply_deletions(&[MachineId::from(id.as_str())], Time(world.now + 700.0));
    assert!(!claimed(owner));
}

/// A silent machine may be cut off, with tasks that run on until their lease
/// ends: it is not given back before, unless the list shows it no more.
#[test]
fn a_silent_machine_stays_until_its_lease_ends() {
    let mut world = World::new(1);
    one_job(&mut world);
    let World {
        workers, owners, ..
    } = &mut world;
    let core = &mut owners[0].core;
    let silent = MachineId::from(workers[0].id.as_str());
    let mut gone_at = None;
    for step in 4..100 {
        let now = Time(f64::from(step) / 2.0);
        for w in &mut workers[1..] {
            core.heartbeat(&w.heartbeat(), Source::Heartbeat, now);
        }
        regular(core, now);
        if core.plan_scaling(now).to_delete.contains(&silent) {
            gone_at.get_or_insert(now.0);
        }
    }
    let gone_at = gone_at.expect("given back at last");
    assert!(
        (LEASE_S..LEASE_S + 3.0).contains(&(gone_at - 1.0)),
        "{gone_at}"
    );
    // The next silent one is missing from the list, twice.
    let silent = MachineId::from(workers[1].id.as_str());
    for step in 0..8 {
        let now = Time(50.0 + f64::from(step));
        for w in &mut workers[2..] {
            core.heartbeat(&w.heartbeat(), Source::Heartbeat, now);
        }
        core.apply_machine_list(&[], now);
    }
    assert!(core.plan_scaling(Time(58.0)).to_delete.contains(&silent));
}

/// A machine that takes the connection and does not answer hangs, and its tasks
/// with it: it is given back long before the lease ends. One that can't be
/// reached may only be cut off, and one without tasks does no harm.
#[test]
fn a_machine_that_hangs_is_given_back_before_its_lease_ends() {
    for (outcome, early) in
        [(|| Sending::Unknown, true), (|| Sending::NotSent, false)] as [(fn() -> Sending, bool); 2]
    {
        let mut world = World::new(1);
        one_job(&mut world);
        let World {
            workers,
            owners,
            store,
            ..
        } = &mut world;
        let Owner { core, view, .. } = &mut owners[0];
        regular(core, Time(2.0));
        let batch = core.next_batch(view, 4, false, Time(2.0)).expect("a claim");
        commit(store, core, view, batch, Time(2.0));
        let silent = core.dispatch(view, Time(2.0))[0].machine.clone();
        core.dispatched(&silent, outcome(), Time(2.5));
        let mut gone_at = None;
        for step in 6..100 {
            let now = Time(f64::from(step) / 2.0);
            for w in workers.iter_mut().filter(|w| w.id != silent.as_str()) {
                core.heartbeat(&w.heartbeat(), Source::Heartbeat, now);
            }
            regular(core, now);
            for send in core.dispatch(view, now) {
                let sent = if send.machine == silent {
                    outcome()
                } else {
                    Sending::NotSent
                };
                core.dispatched(&send.machine, sent, now);
            }
            let gone = core.plan_scaling(now).to_delete;
            if gone.contains(&silent) {
                gone_at.get_or_insert(now.0);
            }
            // Whatever is silent without tasks waits for its lease, see above.
        }
        let gone_at = gone_at.expect("given back at last");
        let hearing = 20.5;
        assert_eq!(gone_at <= hearing + 1.0, early, "at {gone_at}");
    }
}

/// Machines heartbeat with the present fencing token, and no direct command reaches them:
/// each heartbeat made them usable again, so that one task was claimed 279 times in
/// 280 s, and they were never given back. One alone, one of a zone, and all.
#[test]
fn machines_that_heartbeat_and_hear_nothing_cost_few_claims_and_are_given_back() {
    for deaf in [1_usize, 4, 8] {
        let mut world = World::new(1);
        one_job(&mut world);
        let (workers, store) = (&mut world.workers, &mut world.store);
        let o = &mut world.owners[0];
        let mut claims = 0;
        let mut gone = BTreeSet::new();
        let is_deaf = |id: &str| *id < *format!("vm-{deaf:06}");
        for step in 0..560 {
            let now = Time(2.0 + f64::from(step) / 2.0);
            for w in workers.iter_mut() {
                let id = MachineId::from(w.id.as_str());
                if gone.contains(&id) {
                    continue;
                }
                o.core.heartbeat(&w.heartbeat(), Source::Heartbeat, now);
                let reply = o.core.reply(&id, &o.view, now);
                if !is_deaf(&w.id) {
                    w.fencing_token = reply.fencing_token.0;
                }
            }
            regular(&mut o.core, now);
            claims += record_claims(o, store, now);
            for send in o.core.dispatch(&o.view, now) {
                let w = workers.iter_mut().find(|w| w.id == send.machine.as_str());
                let w = w.expect("a worker");
                if is_deaf(&w.id) {
                    o.core.dispatched(&send.machine, Sending::NotSent, now);
                    continue;
                }
                let commands = serde_json::to_value(&send.commands.commands).expect("orders");
                for order in commands.as_array().into_iter().flatten() {
                    let task_name = order["piece"].as_str().expect("piece").to_owned();
                    let running = Running {
                        units: Vec::new(),
                        attempt: order["try"].as_u64().expect("try"),
                        phase: "running",
                        exit_reason: None,
                        left: f64::INFINITY,
                    };
                    w.tasks.insert(task_name, running);
                }
                w.fencing_token = send.commands.fencing_token.0;
                let outcome = Sending::Executed(Box::new(w.heartbeat()));
                o.core.dispatched(&send.machine, outcome, now);
            }
            for id in o.core.plan_scaling(now).to_delete {
                o.core.apply_deletions(std::slice::from_ref(&id), now);
                gone.insert(id);
            }
        }
        let runs = workers.iter().filter(|w| !w.tasks.is_empty()).count();
        assert_eq!(runs, usize::from(deaf < 8), "it runs where it is heard");
        // Two at each that is deaf, as the first failure proves nothing right after it
        // took a fencing token up, and the one that is carried out.
        assert!(claims <= 2 * deaf + 1, "{claims} claims with {deaf} deaf");
        for n in 0..deaf {
            let id = MachineId::from(&*format!("vm-{n:06}"));
            assert!(gone.contains(&id), "{id} is kept: {gone:?}");
        }
    }
}

/// Copies of heartbeats, from seconds to several leases late: they keep no dead
/// machine, make none of one that was given back, and prove nothing at the next
/// owner, whose list does not know the machine.
#[test]
fn copies_of_heartbeats_bring_no_machine_back_and_keep_none() {
    let mut world = World::new(1);
    one_job(&mut world);
    let dead = MachineId::from("vm-000000");
    let copies: Vec<Heartbeat> = (0..6).map(|_| world.workers[0].heartbeat()).collect();
    let o = &mut world.owners[0];
    for copy in &copies {
        o.core.heartbeat(copy, Source::Heartbeat, Time(2.0));
    }
    // It died then; its last heartbeat comes every few seconds, and another controller
    // tells of it.
    let mut gone_at = None;
    for step in 0..120 {
        let now = Time(3.0 + f64::from(step) / 2.0);
        for w in &mut world.workers[1..] {
            o.core.heartbeat(&w.heartbeat(), Source::Heartbeat, now);
        }
        let last = copies.last().expect("one");
        o.core.heartbeat(last, Source::Offloaded, now);
        o.core.relayed_contact(
            &dead,
            last.incarnation,
            SequenceNumber(last.sequence.0 + 1),
            now,
        );
        regular(&mut o.core, now);
        if o.core.plan_scaling(now).to_delete.contains(&dead) {
            gone_at.get_or_insert(now.0);
        }
    }
    let gone_at = gone_at.expect("given back");
    assert!(gone_at < 3.0 + LEASE_S + 2.0, "kept until {gone_at}");
    o.core
        .apply_deletions(std::slice::from_ref(&dead), Time(70.0));
    let machines = o.core.machine_count();
    for late in [1.0, 60.0, 200.0] {
        o.core.apply_machine_list(&[], Time(70.0 + late));
        for copy in &copies {
            o.core.heartbeat(copy, Source::Heartbeat, Time(70.0 + late));
            assert_eq!(o.core.machine_count(), machines, "{late} s after");
        }
    }
    // The next owner reads a list without it, and is not told that it is gone.
    world.begin_leadership();
    let core = &mut world.owners[1].core;
    core.apply_machine_list(&[], Time(300.0));
    for copy in &copies {
        assert!(
            core.heartbeat(copy, Source::Heartbeat, Time(300.0)),
            "deposed"
        );
        assert_eq!(core.machine_count(), 0, "a copy from before the takeover");
    }
    // A machine that is there learns the fencing token by its answer, and is known then.
    let w = &mut world.workers[1];
    core.heartbeat(&w.heartbeat(), Source::Heartbeat, Time(300.0));
    let id = MachineId::from(w.id.as_str());
    w.fencing_token = core
        .reply(&id, &View::default(), Time(300.0))
        .fencing_token
        .0;
    core.heartbeat(&w.heartbeat(), Source::Heartbeat, Time(301.0));
    assert_eq!(core.machine_count(), 1);
}

/// Guards against machines that hang or are cut off for good and keep their tasks for good, because
/// not more than half of all machines report: a single machine, one of two, or all of ten.
#[test]
fn silent_machines_are_replaced_also_if_they_are_most_of_the_fleet() {
    for machines in 1..=10 {
        for reporting in 0..=machines / 2 {
            replace_silent(machines, reporting, false);
        }
    }
}

/// Guards against a silent machine that keeps its tasks for as long as an overload lasts.
#[test]
fn silent_machines_are_replaced_also_during_an_overload() {
    for machines in 1..=10 {
        for reporting in 0..machines {
            replace_silent(machines, reporting, true);
        }
    }
}

fn replace_silent(machines: usize, reporting: usize, overload: bool) {
    let mut world = World::new(1);
    world.workers = (0..machines).map(Worker::new).collect();
    one_job(&mut world);
    let mut silent: BTreeSet<MachineId> = world.workers[reporting..]
        .iter()
        .map(|worker| MachineId::from(worker.id.as_str()))
        .collect();
    let core = &mut world.owners[0].core;
    let mut now = 1.0;
    while !silent.is_empty() {
        now += STEP_S;
        for worker in &mut world.workers[..reporting] {
            core.heartbeat(&worker.heartbeat(), Source::Heartbeat, Time(now));
        }
        if overload {
            core.ignore_silence(Time(now));
        }
        regular(core, Time(now));
        let deleted = core.plan_scaling(Time(now)).to_delete;
        assert!(deleted.is_empty() || now > LEASE_S, "{now} s: {deleted:?}");
        core.apply_deletions(&deleted, Time(now));
        silent.retain(|id| !deleted.contains(id));
        assert!(
            now < 7.0 * LEASE_S,
            "{reporting} of {machines} report: {silent:?} stay"
        );
    }
}
