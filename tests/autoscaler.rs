//! What is rented, and what a new owner knows.

#[path = "cluster_states/machine_types.rs"]
mod machine_types;
#[path = "cluster_states/teams.rs"]
mod teams;

use std::rc::Rc;

use serde_json::json;
use sorrelhinge::api::read_job;
use sorrelhinge::autoscaler::{plan, Input};
use sorrelhinge::scheduler::{ClusterState, Job, Machine, Progress, Tasks};
use sorrelhinge::state::history::CachedImage;
use sorrelhinge::state::record::{job_key, JobRecord};
use sorrelhinge::state::view::View;
use sorrelhinge::types::{Image, JobId, JobSpec, MachineId, Revision, TaskId, Time, Zone};
use sorrelhinge_topology::renting::Memory;

use self::machine_types::machine_type;
use self::teams::team;

fn spec(uid: &str, tasks: u32) -> JobSpec {
    let value = json!({"uid": uid, "jobclass": "batch", "crew": "red", "shape": "sweep",
        "rank": "normal", "pieces": tasks, "cpus": 4.0, "cards": 0.0, "ram_gb": 1.0,
        "bundle": "img-1", "pull_gb": 1.0, "builds": null, "rack": null, "together": false,
        "spread": false, "loaners": true, "guess_s": 5.0, "mark_s": 0.0, "stash_s": 0.0,
        "due_s": null});
    read_job(value).expect("a valid job")
}

fn job(uid: &str, tasks: u32, blocked_since: Option<Time>) -> Job {
    let spec = spec(uid, tasks);
    let tasks = Tasks::new(spec.tasks, 64);
    Job {
        late_s: 100.0,
        blocked_since,
        ..Job::new(Rc::new(spec), 0, Time(0.0), tasks)
    }
}

/// Work that just came takes the free capacity of a task that is about to end. Work
/// that has waited for that in vain gets a machine: as much comes as ends.
#[test]
fn a_queue_that_lasts_gets_machines() {
    let kind = Rc::new(machine_type(4.0, 16.0, &["za"]));
    let rented = |waited: f64, now: f64| {
        let mut cluster_state = ClusterState::new(vec![team("red", 100.0, 100.0)]);
        let id = MachineId::from("vm-1");
        let mut machine = Machine::new(kind.clone(), Zone::from("za"), true, Time(0.0));
        machine.usable = true;
        cluster_state.add_machine(id.clone(), machine);
        let (running, waiting) = (JobId::from("run-1"), JobId::from("run-2"));
        cluster_state.add_job(running.clone(), job("run-1", 1, None));
        let task = TaskId {
            job: running,
            index: 0,
        };
        cluster_state.claim(&task, &id, Time(now));
        cluster_state.claim_mut(&task).expect("the claim").progress = Progress::Running(Time(now));
        let blocked = Some(Time(now - waited));
        cluster_state.add_job(waiting, job("run-2", 1, blocked));
        let input = Input {
            cluster_state: &cluster_state,
            types: std::slice::from_ref(&kind),
            pending_machines: &[],
            expected: &[],
            shortfalls: &[],
            patient: &|_| true,
            boot_s: kind.boot_s,
            open: &|_, _, _| true,
            memory: &Memory::default(),
        };
        let wanted = plan(&input, Time(now)).rent;
        wanted.iter().map(|w| w.count).sum::<u32>()
    };
    assert_eq!(rented(1.0, 50.0), 0, "the running task ends before a boot");
    assert_eq!(rented(6.0, 50.0), 1, "it has waited for half a boot");
}

/// Every controller that follows the records learns which jobs came and which
/// images machines ran, also of jobs that are over by now.
#[test]
fn the_records_tell_what_came_and_what_machines_ran() {
    let id = JobId::from("run-1");
    let mut record = JobRecord::accepted(spec("run-1", 2), 77, 4096);
    let mut view = View::default();
    view.replace(Revision(0), Vec::new());
    let mut change = |record: &JobRecord, mod_revision: u64| {
        let value = serde_json::to_value(record).expect("record");
        let events = json!({"ledger": mod_revision, "events": [
            {"write": job_key(&id), "value": value, "stamp": mod_revision}]});
        let events = serde_json::from_str(&events.to_string()).expect("events");
        view.apply(view.store_revision, events);
    };
    change(&record, 1);
    let machine = MachineId::from("vm-9");
    let inline = record
        .inline
        .as_mut()
        .expect("a small job keeps its claims");
    inline.claims = vec![(0, sorrelhinge::types::Attempt(1), machine.clone()).into()];
    inline.next_attempt = 2;
    change(&record, 2);
    change(&record.done(99), 3);
    let images = view.history.images();
    assert_eq!(
        images[&machine],
        [CachedImage {
            image: Image::from("img-1"),
            gb: 1.0
        }]
    );
    let arrivals: Vec<u64> = view
        .history
        .arrivals()
        .map(|arrival| arrival.accepted_ms)
        .collect();
    assert_eq!(arrivals, [77], "once, however often its record changes");
}
