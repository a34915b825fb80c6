//! Commands that are late, unanswered or sent by way of others.

use serde_json::{json, Value};
use sorrelhinge::agent_client::{Command, Sending};
use sorrelhinge::api::read_job;
use sorrelhinge::control::core::{Core, MachineZones, RecoveryInput, ShardGrant, Source};
use sorrelhinge::scheduler::Sent;
use sorrelhinge::state::record::{job_key, JobRecord};
use sorrelhinge::types::{JobId, MachineId, Time};

use crate::*;

/// Owners that change faster than workers heartbeat: every heartbeat carries a fencing token
/// that the present owner has not raised, so it proves nothing. Each answer
/// renews the lease all the same, so each must take the kill along
/// (`docs/incidents/fleet-x3-cancelled.md`).
#[test]
fn whoever_renews_the_lease_of_a_cancelled_task_kills_it() {
    let mut world = World::new(7);
    let (at, task_name) = cancelled_task(&mut world);
    for _ in 0..5 {
        world.begin_leadership();
        let heartbeat = world.workers[at].heartbeat();
        let Owner { core, view, .. } = world.owners.last_mut().expect("an owner");
        assert!(core.heartbeat(&heartbeat, Source::Heartbeat, Time(world.now)));
        let reply = core.reply(&heartbeat.machine, view, Time(world.now));
        let reply = serde_json::to_value(&reply).expect("reply");
        assert!(heartbeat.fencing_token.0 < reply["baton"].as_u64().expect("a token"));
        let commands = reply["orders"].as_array().expect("orders");
        let verbs: Vec<&Value> = commands
            .iter()
            .filter(|o| o["piece"] == json!(task_name))
            .map(|o| &o["verb"])
            .collect();
        assert_eq!(verbs, ["kill"], "{commands:?}");
        assert!(
            commands.iter().all(|o| o["verb"] == "kill"),
            "nothing else follows from an old token: {commands:?}"
        );
    }
}

/// A job that runs is cancelled in the record; where one of its tasks is, and the job.
fn cancelled_task(world: &mut World) -> (usize, String) {
    let (at, task_name) = loop {
        world.step(true);
        assert!(world.now < 600.0, "nothing ever ran");
        let runs = world.on_machines().find(|(_, task_name)| {
            let id = job_of(task_name);
            world.store.keys[&job_key(&JobId::from(id.as_str()))].1["p"] == "l"
        });
        let Some((worker, task_name)) = runs else {
            continue;
        };
        let at = world.workers.iter().position(|w| w.id == worker.id);
        break (at.expect("the worker"), task_name.clone());
    };
    let key = job_key(&JobId::from(job_of(&task_name).as_str()));
    let mut record = world.store.keys[&key].1.clone();
    record["p"] = json!("c");
    world.store.write(&key, record);
    (at, task_name)
}

/// What commands tell a worker to do with a task.
fn verbs_for(commands: &[Command], task_name: &str) -> Vec<Value> {
    let commands = serde_json::to_value(commands).expect("orders");
    let commands = commands.as_array().expect("a list").iter();
    let commands = commands.filter(|o| o["piece"] == json!(task_name));
    commands.map(|o| o["verb"].clone()).collect()
}

/// The cloud's machine types are not known yet, as the cloud is away and the
/// controller has just begun: the owner has no link to any machine, and answers
/// heartbeats all the same. Its answers renewed the leases of cancelled jobs' tasks
/// without a kill, for as long as the cloud was away.
#[test]
fn an_owner_that_knows_no_machine_types_kills_cancelled_tasks_all_the_same() {
    let mut world = World::new(7);
    let (at, task_name) = cancelled_task(&mut world);
    world.begin_leadership();
    let heartbeat = world.workers[at].heartbeat();
    let running = heartbeat.tasks.iter().any(|p| p.task_name == task_name);
    assert!(running, "{task_name} is reported");
    let now = Time(world.now);
    let view = &world.owners.last().expect("an owner").view;
    let grant = ShardGrant::whole(world.grants, view.grant.mod_revision);
    let input = RecoveryInput {
        cfg: world.config(),
        types: &[],
        view,
        topology: None,
        now,
        wall_ms: 0,
    };
    let mut core = Core::recover(&input, grant, MachineZones::default());
    assert!(core.heartbeat(&heartbeat, Source::Heartbeat, now));
    let reply = core.answer(&heartbeat, view, now);
    assert_eq!(verbs_for(&reply.commands, &task_name), ["kill"]);
    for other in heartbeat.tasks.iter().filter(|p| p.task_name != task_name) {
        let key = job_key(&JobId::from(job_of(&other.task_name).as_str()));
        let live = world.store.keys[&key].1["p"] == "l";
        let kept = verbs_for(&reply.commands, &other.task_name).is_empty();
        assert_eq!(kept, live, "{other:?}");
    }
}

/// A kill that was sent directly may be lost, and the answer to the next heartbeat
/// renews the lease: it has the kill however lately it was sent before.
#[test]
fn an_answer_has_the_kill_though_a_direct_command_had_it_a_moment_ago() {
    let mut world = World::new(7);
    let (at, task_name) = cancelled_task(&mut world);
    world.begin_leadership();
    let heartbeat = world.workers[at].heartbeat();
    let now = Time(world.now);
    let Owner { core, view, .. } = world.owners.last_mut().expect("an owner");
    assert!(core.heartbeat(&heartbeat, Source::Heartbeat, now));
    let sends = core.dispatch(view, now);
    let send = sends.iter().find(|s| s.machine == heartbeat.machine);
    let direct = &send.expect("a direct command").commands.commands;
    assert_eq!(verbs_for(direct, &task_name), ["kill"]);
    core.dispatched(&heartbeat.machine, Sending::Unknown, now);
    let later = Time(now.0 + 0.5);
    let heartbeat = world.workers[at].heartbeat();
    let Owner { core, view, .. } = world.owners.last_mut().expect("an owner");
    assert!(core.heartbeat(&heartbeat, Source::Heartbeat, later));
    let reply = core.answer(&heartbeat, view, later);
    assert_eq!(verbs_for(&reply.commands, &task_name), ["kill"]);
}

/// A job of one task, claimed and recorded at 2 s, its start not yet sent.
fn claim_recorded(world: &mut World) {
    let mut value = job_json(0, &mut world.rng);
    for (field, to) in [
        ("shape", "sweep"),
        ("jobclass", "batch"),
        ("rank", "normal"),
    ] {
        value[field] = json!(to);
    }
    value["pieces"] = json!(1);
    let spec = read_job(value).expect("a valid job");
    let record = JobRecord::accepted(spec, 0, 1024);
    world.store.write(
        "h/job/run-000000",
        serde_json::to_value(&record).expect("record"),
    );
    let World {
        store,
        workers,
        owners,
        ..
    } = world;
    let Owner { core, view, .. } = &mut owners[0];
    store.follow(view);
    let changed = view.take_changed();
    core.jobs_changed(view, &changed, Time(1.0), 0);
    for w in workers.iter_mut() {
        core.heartbeat(&w.heartbeat(), Source::Heartbeat, Time(1.0));
        w.fencing_token = core
            .reply(&MachineId::from(w.id.as_str()), view, Time(1.0))
            .fencing_token
            .0;
        core.heartbeat(&w.heartbeat(), Source::Heartbeat, Time(1.5));
    }
    core.dispatch(view, Time(1.5));
    regular(core, Time(2.0));
    assert!(
        core.dispatch(view, Time(2.0)).is_empty(),
        "nothing starts before it is recorded"
    );
    let batch = core
        .next_batch(view, 4, false, Time(2.0))
        .expect("a claim to record");
    commit(store, core, view, batch, Time(2.0));
}

/// A view that was not renewed for long may lack a cancellation that another
/// controller confirmed. An incarnation begins with a full lease although no heartbeat is
/// answered, so what is started then is on its machine for long after `cancel_s`:
/// nothing is started until the view is renewed, and then at once.
#[test]
fn nothing_is_started_by_a_view_that_is_too_old() {
    let mut world = World::new(1);
    claim_recorded(&mut world);
    let Owner { core, view, .. } = &mut world.owners[0];
    core.allow_starts_until(Time(2.0), Time(2.0));
    assert!(core.dispatch(view, Time(2.0)).is_empty());
    assert!(core.dispatch(view, Time(60.0)).is_empty());
    core.allow_starts_until(Time(66.0), Time(60.0));
    let sends = core.dispatch(view, Time(60.0));
    let commands = sends.iter().flat_map(|s| &s.commands.commands);
    assert_eq!(
        commands
            .filter(|o| matches!(o, Command::Start { .. }))
            .count(),
        1
    );
}

/// A start that was not answered may be carried out minutes later. Until a
/// heartbeat carries the raised fencing token, its absence proves nothing.
#[test]
fn an_unanswered_start_is_settled_only_under_the_raised_fencing_token() {
    let mut world = World::new(1);
    claim_recorded(&mut world);
    let World {
        store,
        workers,
        owners,
        ..
    } = &mut world;
    let Owner { core, view, .. } = &mut owners[0];
    let sends = core.dispatch(view, Time(2.0));
    assert_eq!(sends.len(), 1);
    let id = sends[0].machine.clone();
    core.dispatched(&id, Sending::Unknown, Time(4.0));
    let sent = |core: &Core| {
        let job = core.cluster_state.jobs().values().next().expect("the job");
        job.tasks.claims().values().next().map(|c| c.sent)
    };
    let w = workers
        .iter_mut()
        .find(|w| w.id == id.as_str())
        .expect("the worker");
    core.heartbeat(&w.heartbeat(), Source::Heartbeat, Time(5.0));
    assert_eq!(
        sent(core),
        Some(Sent::Flying),
        "absent, but the start may still come"
    );
    let fencing_reply = core
        .dispatch(view, Time(9.0))
        .pop()
        .expect("the raised token goes out");
    assert!(
        fencing_reply.commands.fencing_token.0 > w.fencing_token
            && fencing_reply.commands.commands.is_empty()
    );
    w.fencing_token = fencing_reply.commands.fencing_token.0;
    core.dispatched(&id, Sending::NotSent, Time(9.0));
    core.heartbeat(&w.heartbeat(), Source::Heartbeat, Time(10.0));
    assert_eq!(
        sent(core),
        Some(Sent::No),
        "fenced and absent: it never started"
    );

    // Its result is forgotten at the worker only once it is recorded.
    let sends = core.dispatch(view, Time(20.0));
    assert_eq!(sends.len(), 1, "the same attempt is sent again");
    let (phase, exit_reason) = ("ended", Some("done"));
    let ended = Running {
        units: Vec::new(),
        attempt: 1,
        phase,
        exit_reason,
        left: 0.0,
    };
    w.tasks.insert("run-000000/0".into(), ended);
    core.dispatched(&id, Sending::Executed(Box::new(w.heartbeat())), Time(20.0));
    assert!(
        core.reply(&id, view, Time(20.0)).commands.is_empty(),
        "not recorded yet"
    );
    let batch = core
        .next_batch(view, 4, false, Time(20.0))
        .expect("a result to record");
    commit(store, core, view, batch, Time(20.0));
    assert!(
        core.reply(&id, view, Time(20.0)).commands.is_empty(),
        "recorded, but a copy of its start would still be executed"
    );
    let started_by = core.reply(&id, view, Time(20.0)).fencing_token;
    let reply = core.reply(&id, view, Time(20.0 + LEASE_S));
    assert!(reply.fencing_token > started_by);
    assert_eq!(reply.commands.len(), 1, "fenced: forget it");
}

/// While two zones are apart, heartbeats come over another controller, and the
/// commands go back the same way: none is sent directly, to hang.
#[test]
fn commands_go_in_the_answers_to_heartbeats_that_were_passed_on() {
    let mut world = World::new(1);
    one_job(&mut world);
    let World {
        workers,
        store,
        owners,
        ..
    } = &mut world;
    let Owner { core, view, .. } = &mut owners[0];
    for w in workers.iter_mut() {
        core.heartbeat(&w.heartbeat(), Source::Forwarded, Time(2.0));
    }
    regular(core, Time(2.0));
    let batch = core.next_batch(view, 4, false, Time(2.0)).expect("a claim");
    commit(store, core, view, batch, Time(2.0));
    assert!(core.dispatch(view, Time(2.5)).is_empty());
    let mut starts = 0;
    for w in workers.iter_mut() {
        let id = MachineId::from(w.id.as_str());
        core.heartbeat(&w.heartbeat(), Source::Forwarded, Time(3.0));
        starts += core.reply(&id, view, Time(3.0)).commands.len();
    }
    assert_eq!(starts, 1);
}
