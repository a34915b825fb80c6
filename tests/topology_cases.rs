//! The hard cases of placing by failure domains and devices, one by one, on a
//! cluster state or with the shard owner's core.

#[path = "cluster_states/machine_types.rs"]
mod machine_types;
#[path = "cluster_states/teams.rs"]
mod teams;

mod settings;

use std::collections::BTreeSet;
use std::rc::Rc;

use serde_json::{json, Value};
use sorrelhinge::autoscaler;
use sorrelhinge::control::core::{Core, MachineZones, RecoveryInput, ShardGrant, Source};
use sorrelhinge::scheduler::{
    ActiveDrain, Claim, ClusterState, DelayRule, Job, Launch, Machine, MachineExclusion, Move,
    Moving, Progress, Sent, Tasks, WaitingReason,
};
use sorrelhinge::state::record::{job_key, JobRecord, GRANT};
use sorrelhinge::state::view::View;
use sorrelhinge::types::{
    JobId, JobSpec, MachineId, MachineType, Revision, TaskId, Time, TypeName, Zone,
};
use sorrelhinge_protocol::placement::PlacementRules;
use sorrelhinge_protocol::users::read_job;
use sorrelhinge_topology::drain::{Drain, Target};
use sorrelhinge_topology::policy::ExclusionRule;
use sorrelhinge_topology::renting::{Arrival, MachinePool, Memory};
use sorrelhinge_topology::repair::Stability;
use sorrelhinge_topology::Topology;

use self::machine_types::machine_type;
use self::teams::team;

const RULE: DelayRule = DelayRule {
    fetches: 0.0,
    max_s: 0.0,
};

fn kind() -> Rc<MachineType> {
    Rc::new(MachineType {
        cache_gb: 20.0,
        spot_price: 0.5,
        ..machine_type(4.0, 16.0, &["za", "zb"])
    })
}

/// `vm-ZSN` is machine N behind switch S of zone `zZ`.
fn topology(zones: &str, switches: u32, more: &str) -> Rc<Topology> {
    let mut text = String::from("version = 1\nlevels = [\"zone\", \"switch\", \"machine\"]\n");
    for zone in zones.chars() {
        for s in 0..switches {
            text +=
                &format!("[[place]]\ndomain = \"z{zone}/s{s}\"\npatterns = [\"vm-{zone}{s}*\"]\n");
        }
    }
    Rc::new(Topology::parse(&(text + more)).expect("a valid file"))
}

fn spec(more: Value) -> JobSpec {
    let mut body = json!({"jobclass": "c", "crew": "red", "shape": "standing", "rank": "critical",
        "pieces": 3, "cpus": 1.0, "cards": 0.0, "ram_gb": 1.0, "bundle": "i", "pull_gb": 0.1,
        "builds": null, "rack": null, "together": false, "spread": false, "loaners": true,
        "guess_s": 5.0, "mark_s": 0.0, "stash_s": 0.0, "due_s": null});
    for (key, value) in more.as_object().expect("an object") {
        body[key] = value.clone();
    }
    let wishes = PlacementRules::read(&body).expect("valid wishes");
    let mut spec = read_job(body).expect("a valid job");
    spec.placement = wishes.map(Box::new);
    spec
}

/// A cluster state with two machines behind each switch.
struct World {
    cluster_state: ClusterState,
    stability: Stability,
    now: f64,
}

impl World {
    fn new(topology: &Rc<Topology>, zones: &str, switches: u32, machines: u32) -> Self {
        let mut cluster_state = ClusterState::new(vec![team("t", 100.0, 1000.0)]);
        for zone in zones.chars() {
            for s in 0..switches {
                for n in 0..machines {
                    let zone_name = Zone::from(format!("z{zone}").as_str());
                    let mut m = Machine::new(kind(), zone_name, false, Time(0.0));
                    m.usable = true;
                    cluster_state
                        .add_machine(MachineId::from(format!("vm-{zone}{s}{n}").as_str()), m);
                }
            }
        }
        cluster_state.set_topology(Some(topology.clone()), |_| None);
        Self {
            cluster_state,
            stability: Stability::default(),
            now: 0.0,
        }
    }

    fn add(&mut self, id: &str, spec: JobSpec) -> JobId {
        let id = JobId::from(id);
        let policy = ClusterState::policy_of(self.cluster_state.topology().map(|t| &**t), &spec);
        let tasks = Tasks::new(spec.tasks, 64);
        let job = Job {
            policy,
            ..Job::new(Rc::new(spec), 0, Time(self.now), tasks)
        };
        self.cluster_state.add_job(id.clone(), job);
        id
    }

    /// Places what can be placed, and has it run.
    fn place(&mut self) -> Vec<Launch> {
        let launches = self.cluster_state.place(RULE, Time(self.now));
        for l in &launches {
            let now = Time(self.now);
            if let Some(c) = self.cluster_state.claim_mut(&l.task) {
                (c.committed, c.sent) = (true, Sent::Answered);
                c.progress = Progress::Running(now);
            }
            self.cluster_state.ran(&l.task);
        }
        launches
    }

    /// Tasks that are being stopped are gone.
    fn settle(&mut self) {
        let stopping: Vec<TaskId> = self
            .claims()
            .into_iter()
            .filter(|(_, c)| c.stop.is_some())
            .map(|(t, _)| t)
            .collect();
        for task in stopping {
            self.cluster_state.release(&task, Time(self.now));
        }
    }

    fn claims(&self) -> Vec<(TaskId, Claim)> {
        let jobs = self.cluster_state.jobs().iter();
        jobs.flat_map(|(id, j)| {
            j.tasks.claims().iter().map(|(&index, c)| {
                let job = id.clone();
                (TaskId { job, index }, c.clone())
            })
        })
        .collect()
    }

    /// Switches of a job's tasks, by the machines' names.
    fn switches(&self, id: &JobId) -> Vec<String> {
        let claims = self.cluster_state.job(id).expect("the job").tasks.claims();
        let mut out: Vec<String> = claims
            .values()
            .map(|c| c.machine.as_str()[3..5].to_owned())
            .collect();
        out.sort();
        out
    }

    fn usable(&mut self, prefix: &str, usable: bool) {
        let ids: Vec<MachineId> = self.cluster_state.machines().keys().cloned().collect();
        for id in ids.iter().filter(|id| id.as_str().starts_with(prefix)) {
            self.cluster_state.edit_machine(id, |m| m.usable = usable);
            if !usable {
                let (t, m) = (
                    self.cluster_state.topology(),
                    &self.cluster_state.machines()[id],
                );
                let tree = &t.expect("topology").tree;
                self.stability.lost(tree, m.place, Time(self.now));
            }
        }
    }

    /// A domain is lost for good: its machines and their tasks are gone.
    fn lose(&mut self, prefix: &str) {
        self.usable(prefix, false);
        let ids: Vec<MachineId> = self.cluster_state.machines().keys().cloned().collect();
        for id in ids.iter().filter(|id| id.as_str().starts_with(prefix)) {
            for task in self.cluster_state.claims_on(id) {
                self.cluster_state.release(&task, Time(self.now));
            }
        }
    }

    fn repair(&mut self) -> Option<TaskId> {
        let moving = Moving {
            drains: &[],
            stability: &self.stability,
        };
        self.cluster_state
            .repair(&moving, Time(self.now))
            .map(|m| m.task)
    }
}

fn spread(max: u32, must: bool) -> Value {
    json!({"spread": [{"level": "switch", "most": max, "must": must}]})
}

/// Fewer domains are left than a policy needs: what is required waits and says
/// why, what is preferred goes on.
#[test]
fn required_waits_and_preferred_goes_on() {
    let t = topology("ab", 2, "");
    let mut w = World::new(&t, "ab", 2, 2);
    w.usable("vm-b", false);
    let hard = w.add("run-1", spec(json!({"topology": spread(1, true)})));
    let soft = w.add("run-2", spec(json!({"topology": spread(1, false)})));
    w.place();
    assert_eq!(w.switches(&hard), ["a0", "a1"]);
    assert_eq!(w.switches(&soft).len(), 3);
    w.cluster_state.edit_job(&soft, |j| j.cancelled = true);
    w.now = 1.0;
    w.place();
    let why = w
        .cluster_state
        .why_waits(&hard, Time(1.0))
        .expect("a reason")
        .to_string();
    assert!(why.contains("at most 1 in a switch"), "{why}");
    // A domain comes back, and the third goes there.
    w.usable("vm-b1", true);
    w.place();
    assert_eq!(w.switches(&hard), ["a0", "a1", "b1"]);
    // One is lost for good: its copy is placed again where the rules allow.
    w.lose("vm-a0");
    assert_eq!(w.place(), [], "there are two domains for three copies");
    w.usable("vm-b0", true);
    w.place();
    assert_eq!(w.switches(&hard), ["a1", "b0", "b1"]);
}

/// What piled up while a domain was away is spread again one by one, not while
/// its switch flaps, and never with more than one replica away.
#[test]
fn what_piled_up_is_spread_again_once_the_switch_is_quiet() {
    let t = topology("a", 3, "[repair]\nevery_s = 10.0\nsettle_s = 60.0\n");
    let mut w = World::new(&t, "a", 3, 2);
    w.usable("vm-a1", false);
    w.usable("vm-a2", false);
    let id = w.add("run-1", spec(json!({"topology": spread(1, false)})));
    w.place();
    assert_eq!(w.switches(&id), ["a0", "a0", "a0"]);
    w.now = 10.0;
    assert_eq!(w.repair(), None, "there is no better place");
    // It flaps: back for a moment, away, back.
    for _ in 0..3 {
        w.usable("vm-a1", true);
        w.now += 20.0;
        assert_eq!(w.repair(), None, "it was lost a moment ago");
        w.usable("vm-a1", false);
    }
    w.usable("vm-a1", true);
    w.usable("vm-a2", true);
    w.now += 61.0;
    let first = w.repair().expect("one task moves");
    assert_eq!(w.repair(), None, "one at a time: it is away");
    w.settle();
    w.place();
    assert_eq!(w.switches(&id).len(), 3);
    assert_ne!(w.switches(&id), ["a0", "a0", "a0"], "{first} moved");
    w.now += 10.0;
    w.repair().expect("and the next");
    w.settle();
    w.place();
    assert_eq!(w.switches(&id), ["a0", "a1", "a2"]);
    w.now += 10.0;
    assert_eq!(w.repair(), None, "all is spread");
}

/// Labels change under running tasks: nothing is stopped at once, nothing is
/// added to a domain that has too many now, and repair takes them apart.
#[test]
fn labels_change_under_running_tasks() {
    let t = topology("a", 3, "");
    let mut w = World::new(&t, "a", 3, 2);
    let id = w.add("run-1", spec(json!({"topology": spread(1, true)})));
    w.place();
    assert_eq!(w.switches(&id), ["a0", "a1", "a2"]);
    // Switch 1 turns out to hang behind switch 0, and there is a fourth.
    let text = "version = 1\nlevels = [\"zone\", \"switch\", \"machine\"]\nplace = [\
        {domain = \"za/s0\", patterns = [\"vm-a0*\", \"vm-a1*\"]},\
        {domain = \"za/s2\", patterns = [\"vm-a2*\"]},\
        {domain = \"za/s3\", patterns = [\"vm-a3*\"]}]";
    let changed = Rc::new(Topology::parse(text).expect("valid"));
    w.cluster_state.set_topology(Some(changed), |_| None);
    assert!(w.claims().iter().all(|(_, c)| c.stop.is_none()));
    w.now = 200.0;
    assert_eq!(w.repair(), None, "no place that the rules allow");
    let mut m = Machine::new(kind(), Zone::from("za"), false, Time(0.0));
    m.usable = true;
    let new = MachineId::from("vm-a30");
    w.cluster_state.add_machine(new.clone(), m);
    w.cluster_state.locate(&new, None);
    let moved = w.repair().expect("now there is one");
    w.settle();
    let launches = w.place();
    assert_eq!(launches[0].task, moved);
    assert_eq!(launches[0].machine, new);
    // A label that is gone makes a machine's place unknown: it could be
    // anywhere, so a required spread adds nothing.
    let text = "version = 1\nlevels = [\"zone\", \"switch\", \"machine\"]\nplace = [\
        {domain = \"za/s0\", patterns = [\"vm-a0*\"]}]";
    let gone = Rc::new(Topology::parse(text).expect("valid"));
    w.cluster_state.set_topology(Some(gone), |_| None);
    w.cluster_state.release(&moved, Time(w.now));
    assert_eq!(w.place(), []);
    assert_eq!(w.switches(&id).len(), 2);
}

/// A device that is there but taken is not given out until its task's end is
/// proven, and one that vanished from the file stays held.
#[test]
fn a_taken_device_is_freed_only_by_proof() {
    let device = "[[device]]\nkind = \"enc\"\npatterns = [\"vm-a00\"]\nunits = [\"x\"]\n";
    let t = topology("a", 1, device);
    let mut w = World::new(&t, "a", 1, 2);
    let need = json!({"shape": "sweep", "pieces": 1,
        "topology": {"devices": [{"kind": "enc"}]}});
    let first = w.add("run-1", spec(need.clone()));
    let second = w.add("run-2", spec(need));
    assert_eq!(w.place().len(), 1);
    let task = TaskId {
        job: first.clone(),
        index: 0,
    };
    // Told to stop is not gone.
    w.cluster_state.stop(&task, true);
    assert_eq!(w.place(), []);
    w.now = 1.0;
    w.place();
    let why = w
        .cluster_state
        .why_waits(&second, Time(1.0))
        .expect("a reason")
        .to_string();
    assert!(why.contains("its devices are in use"), "{why}");
    // The file names another unit: it is free. The old one comes back: held.
    w.cluster_state
        .set_topology(Some(topology("a", 1, "")), |_| None);
    assert_eq!(w.place(), []);
    w.cluster_state.set_topology(Some(t.clone()), |_| None);
    assert_eq!(w.place(), []);
    w.cluster_state.edit_job(&first, |j| j.cancelled = true);
    w.cluster_state.release(&task, Time(1.0));
    let launches = w.place();
    assert_eq!(launches.len(), 1);
    assert_eq!(launches[0].task.job, second);
}

/// PROTOCOL's own rules and a policy hold together, whatever they are.
#[test]
fn protocols_rules_and_a_policy_hold_together() {
    let t = topology("ab", 3, "");
    let cases = [
        json!({"spread": true, "pieces": 4}),
        json!({"together": true}),
        json!({"rack": "zb"}),
        json!({"rack": "za", "spread": true, "pieces": 2}),
        json!({"together": true, "shape": "ensemble"}),
        json!({"spread": true, "shape": "ensemble", "pieces": 4}),
    ];
    for (case, must) in cases
        .into_iter()
        .flat_map(|c| [(c.clone(), true), (c, false)])
    {
        let mut body = case.clone();
        body["topology"] = spread(1, must);
        let wanted = spec(body);
        let mut w = World::new(&t, "ab", 3, 1);
        let id = w.add("run-1", wanted.clone());
        w.place();
        let at = w.switches(&id);
        let zones: BTreeSet<char> = at.iter().filter_map(|s| s.chars().next()).collect();
        let max = zones
            .iter()
            .map(|z| at.iter().filter(|s| s.starts_with(*z)).count());
        let max = max.max().unwrap_or(0);
        if wanted.one_zone {
            assert!(zones.len() <= 1, "{case}: {at:?}");
        }
        if wanted.spread {
            assert!(max <= wanted.tasks.div_ceil(2) as usize, "{case}: {at:?}");
        }
        if let Some(zone) = &wanted.zone {
            assert!(zones.iter().all(|z| zone.as_str().ends_with(*z)), "{case}");
        }
        let apart: BTreeSet<&String> = at.iter().collect();
        assert!(!must || apart.len() == at.len(), "{case}: {at:?}");
        // Of two replicas in one zone half may be there: the other waits.
        let fits = if wanted.zone.is_some() && wanted.spread {
            1
        } else {
            at.len()
        };
        assert_eq!(at.len(), fits, "{case}: {at:?}");
        assert!(!at.is_empty(), "{case}");
    }
}

/// Two gangs that each fit alone: one is placed whole, the other not in part;
/// and what falls free is held for one of them, within its turn.
#[test]
fn two_gangs_never_hold_each_other_up() {
    let t = topology("a", 2, "[gangs]\nhold_s = 30.0\nheld = 0.9\n");
    let mut w = World::new(&t, "a", 2, 2);
    let gang = json!({"shape": "ensemble", "pieces": 10, "cpus": 1.0});
    let a = w.add("run-a", spec(gang.clone()));
    let b = w.add("run-b", spec(gang));
    assert_eq!(w.place().len(), 10);
    assert_eq!(w.switches(&a).len(), 10);
    assert_eq!(w.switches(&b).len(), 0, "six places are free, but not ten");
    assert!(w
        .cluster_state
        .reserved_for_gangs()
        .all(|(_, job)| *job == b));
    assert!(w.cluster_state.reserved_for_gangs().count() > 0);
    // A single task must not take what is held; what is beyond it may.
    let small = w.add(
        "run-c",
        spec(json!({"shape": "sweep", "pieces": 8, "cpus": 1.0})),
    );
    w.now = 5.0;
    w.place();
    assert!(w.switches(&small).len() <= 6);
    let took = w.switches(&small).len();
    // The first ends bit by bit, and the second starts whole.
    for index in 0..10 {
        let task = TaskId {
            job: a.clone(),
            index,
        };
        w.cluster_state.release(&task, Time(w.now));
        w.cluster_state.edit_job(&a, |j| j.tasks.set_done(index));
        w.now += 0.6;
        let launched = w.place();
        let of_b = launched.iter().filter(|l| l.task.job == b).count();
        assert!(of_b == 0 || of_b == 10, "{of_b} of a gang of ten");
    }
    assert_eq!(w.switches(&b).len(), 10, "beside {took} single tasks");
    // All its tasks have one attempt, later than any before.
    let attempts: BTreeSet<u64> = w
        .claims()
        .iter()
        .filter(|(t, _)| t.job == b)
        .map(|(_, c)| c.attempt.0)
        .collect();
    assert_eq!(attempts.len(), 1);
    assert_eq!(w.cluster_state.reserved_for_gangs().count(), 0);
}

/// A gang that fits behind one switch is placed behind one.
#[test]
fn a_gang_stays_behind_one_switch_if_it_can() {
    let t = topology("ab", 2, "");
    let mut w = World::new(&t, "ab", 2, 2);
    let other = w.add(
        "run-0",
        spec(json!({"shape": "sweep", "pieces": 3, "rack": "za"})),
    );
    w.place();
    assert_eq!(w.switches(&other).len(), 3);
    let gang = json!({"shape": "ensemble", "pieces": 8, "cpus": 1.0});
    let id = w.add("run-1", spec(gang));
    assert_eq!(w.place().len(), 8);
    let at: BTreeSet<String> = w.switches(&id).into_iter().collect();
    assert_eq!(at.len(), 1, "{at:?}");
    assert_eq!(
        w.cluster_state
            .gang_domain(&id, &t.tree)
            .expect("a domain")
            .len(),
        "za/s0".len()
    );
}

/// What a drain of the first two switches moves now, `left_s` seconds before its deadline;
/// one replica of a service may be away at a time.
fn drain_step(w: &mut World, left_s: f64) -> Vec<Move> {
    let drain = Drain {
        version: 1,
        target: Target::Domain("za".into()),
        started_ms: 0,
        deadline_ms: 0,
        away: 1,
        keep: false,
    };
    let ids: Vec<MachineId> = w.cluster_state.machines().keys().cloned().collect();
    for id in ids.iter().filter(|id| id.as_str() < "vm-a2") {
        w.cluster_state
            .edit_machine(id, |m| (m.draining, m.usable) = (true, false));
    }
    let drains = [ActiveDrain { drain, left_s }];
    let moving = Moving {
        drains: &drains,
        stability: &w.stability,
    };
    w.cluster_state.drain(&moving, Time(w.now))
}

/// The deadline and the limit of replicas away, task by task.
#[test]
fn drains_wait_move_and_stop() {
    let t = topology("a", 3, "");
    let mut w = World::new(&t, "a", 3, 2);
    let live = w.add(
        "run-1",
        spec(json!({"pieces": 4, "topology": spread(2, true)})),
    );
    let short = json!({"shape": "sweep", "pieces": 1, "guess_s": 5.0, "rank": "normal"});
    let long = json!({"shape": "sweep", "pieces": 1, "guess_s": 500.0, "rank": "normal"});
    let saves = json!({"shape": "sweep", "pieces": 1, "guess_s": 500.0, "rank": "normal",
        "mark_s": 5.0, "stash_s": 2.0});
    let brief = w.add("run-2", spec(short));
    let endless = w.add("run-3", spec(long));
    let saver = w.add("run-4", spec(saves));
    w.place();
    let on_drained = |w: &World, id: &JobId| {
        let drained = |s: &&String| s.as_str() < "a2";
        w.switches(id).iter().filter(drained).count()
    };
    let before = on_drained(&w, &live);
    assert!(before >= 2, "the rules put two of four there at least");
    let moves = drain_step(&mut w, 60.0);
    let of = |id: &JobId| moves.iter().filter(|m| m.task.job == *id).count();
    assert!(of(&live) <= 1, "one replica away at a time");
    assert!(moves.iter().all(|m| m.task.job != live || m.to.is_some()));
    assert_eq!(of(&brief), 0, "it ends by itself in time");
    // Those that can't end in time are stopped at once, with time to save.
    let hopeless = on_drained(&w, &endless) + on_drained(&w, &saver);
    assert_eq!(of(&endless) + of(&saver), hopeless);
    if on_drained(&w, &saver) == 1 {
        let claim = w.claims().into_iter().find(|(t, _)| t.job == saver);
        assert_eq!(claim.and_then(|(_, c)| c.stop), Some(3.0));
    }
    w.settle();
    w.place();
    // Where there is no place for a replica it stays, until the deadline.
    w.now = 10.0;
    w.usable("vm-a2", false);
    let moves = drain_step(&mut w, 50.0);
    assert!(moves.iter().all(|m| m.task.job != live), "{moves:?}");
    w.now = 60.0;
    let left = on_drained(&w, &live);
    let moves = drain_step(&mut w, 0.0);
    assert_eq!(moves.iter().filter(|m| m.task.job == live).count(), left);
}

/// Sets what is known of all replicas of a job on their machines.
fn set_progress(w: &mut World, job: &JobId, sent: Sent, progress: Progress) {
    for (task, _) in w.claims().into_iter().filter(|(t, _)| t.job == *job) {
        let claim = w.cluster_state.claim_mut(&task).expect("a claim");
        (claim.sent, claim.progress) = (sent, progress);
    }
}

/// How many replicas of a job a drain moves now, long before its deadline.
fn drained_replicas(w: &mut World, job: &JobId) -> usize {
    let moves = drain_step(w, 60.0);
    moves.iter().filter(|m| m.task.job == *job).count()
}

/// A replica that was moved is away until its replacement is known to run: being claimed,
/// told to start or fetching its image is not enough.
#[test]
fn a_replacement_is_away_until_it_runs() {
    let t = topology("a", 3, "");
    let mut w = World::new(&t, "a", 3, 2);
    let live = w.add(
        "run-1",
        spec(json!({"pieces": 4, "topology": spread(4, true)})),
    );
    assert_eq!(w.place().len(), 4);
    assert_eq!(drained_replicas(&mut w, &live), 1);
    assert_eq!(drained_replicas(&mut w, &live), 0, "it is being stopped");
    w.settle();
    assert_eq!(drained_replicas(&mut w, &live), 0, "it is not placed");
    let launches = w.cluster_state.place(RULE, Time(w.now));
    assert_eq!(launches.len(), 1);
    let replacement = &launches[0].task;
    for (sent, progress) in [
        (Sent::No, Progress::Unseen),
        (Sent::Flying, Progress::Unseen),
        (Sent::InReply, Progress::Unseen),
        (Sent::Answered, Progress::Unseen),
        (Sent::Answered, Progress::Fetching),
    ] {
        let claim = w.cluster_state.claim_mut(replacement).expect("a claim");
        (claim.sent, claim.progress) = (sent, progress);
        assert_eq!(drained_replicas(&mut w, &live), 0, "{sent:?}, {progress:?}");
    }
    let claim = w.cluster_state.claim_mut(replacement).expect("a claim");
    claim.progress = Progress::Running(Time(w.now));
    assert_eq!(drained_replicas(&mut w, &live), 1, "it runs");
}

/// After a failover nothing of a service is moved until each of its replicas was named in
/// a heartbeat: which of them run is not known before.
#[test]
fn a_drain_waits_for_the_replicas_found_at_a_failover() {
    let t = topology("a", 3, "");
    let mut w = World::new(&t, "a", 3, 2);
    let live = w.add(
        "run-1",
        spec(json!({"pieces": 4, "topology": spread(2, true)})),
    );
    assert_eq!(w.place().len(), 4);
    set_progress(&mut w, &live, Sent::Found, Progress::Unseen);
    assert_eq!(drained_replicas(&mut w, &live), 0, "none was named");
    let (unnamed, _) = w.claims().pop().expect("a claim");
    let now = Time(w.now);
    set_progress(&mut w, &live, Sent::Answered, Progress::Running(now));
    let claim = w.cluster_state.claim_mut(&unnamed).expect("a claim");
    (claim.sent, claim.progress) = (Sent::Found, Progress::Unseen);
    assert_eq!(drained_replicas(&mut w, &live), 0, "one was not named");
    set_progress(&mut w, &live, Sent::Answered, Progress::Running(now));
    assert_eq!(drained_replicas(&mut w, &live), 1, "all run");
}

/// What is rented for a cluster state.
fn rent(
    w: &World,
    memory: &Memory,
    pending_machines: &[autoscaler::PendingMachine],
) -> Vec<autoscaler::ScaleOutRequest> {
    let types = [kind()];
    let input = autoscaler::Input {
        cluster_state: &w.cluster_state,
        types: &types,
        pending_machines,
        expected: &[],
        shortfalls: &[],
        patient: &|_| true,
        boot_s: 10.0,
        open: &|_, _, _| true,
        memory,
    };
    autoscaler::plan(&input, Time(w.now)).rent
}

fn pool(zone: &str, spot: bool) -> MachinePool {
    MachinePool {
        kind: TypeName::from("t"),
        zone: Zone::from(zone),
        spot,
    }
}

/// Guards against a device that is never rented for again once all machines that have it are gone:
/// no domain counted as one with devices any more, and what else came up there made every pool too
/// unlikely for 15 minutes.
#[test]
fn a_device_is_rented_for_again_after_all_machines_with_it_are_gone() {
    let device = "[[device]]\nkind = \"enc\"\npatterns = [\"vm-a00\"]\nunits = [\"x\"]\n";
    let t = topology("ab", 1, device);
    let mut w = World::new(&t, "ab", 0, 0);
    let devices = json!({"pieces": 1, "topology": {"devices": [{"kind": "enc"}]}});
    w.add("run-1", spec(devices));
    let equipped = Rc::new(t.device_inventory("vm-a00", None, &TypeName::from("t")));
    let place = t.tree.find("za/s0").expect("a domain");
    let came = |with_device: u32| {
        let mut memory = Memory::default();
        for zone in ["za", "zb"] {
            for spot in [true, false] {
                for n in 0..20 {
                    let devices = if n < with_device {
                        equipped.clone()
                    } else {
                        Rc::default()
                    };
                    let at = Time(0.0);
                    memory.came(pool(zone, spot), Arrival { at, place, devices });
                }
            }
        }
        memory
    };
    let count = |requests: Vec<autoscaler::ScaleOutRequest>| -> u32 {
        requests.iter().map(|request| request.count).sum()
    };
    w.now = 1.0;
    assert_eq!(count(rent(&w, &came(4), &[])), 1, "a fifth had the device");
    assert_eq!(
        count(rent(&w, &came(0), &[])),
        0,
        "none had it a moment ago"
    );
    w.now = 61.0;
    assert_eq!(
        count(rent(&w, &came(0), &[])),
        1,
        "no machine came for 60 s"
    );
}

/// Rented in hope: at most so many at a time, where it is likely, and not at
/// all where it never helped.
#[test]
fn renting_for_rules_is_bounded_and_learns() {
    let t = topology("ab", 2, "[renting]\novershoot = 2\n");
    let mut w = World::new(&t, "a", 1, 2);
    let id = w.add(
        "run-1",
        spec(json!({"pieces": 4, "topology": spread(1, true)})),
    );
    w.place();
    assert_eq!(w.switches(&id), ["a0"]);
    let arrival = |place| Arrival {
        at: Time(0.0),
        place,
        devices: Rc::default(),
    };
    let mut memory = Memory::default();
    let wanted = rent(&w, &memory, &[]);
    assert_eq!(wanted.iter().map(|r| r.count).sum::<u32>(), 2, "{wanted:?}");
    let pending_machine = autoscaler::PendingMachine {
        kind: kind(),
        zone: Zone::from("za"),
        spot: true,
    };
    let two = [pending_machine.clone(), pending_machine];
    assert_eq!(rent(&w, &memory, &two), [], "two are on their way");
    // Zone a's spot machines all come up behind the switch that has one.
    let used = t.tree.find("za/s0").expect("a domain");
    for _ in 0..20 {
        memory.came(pool("za", true), arrival(used));
    }
    let wanted = rent(&w, &memory, &[]);
    assert!(
        wanted.iter().all(|r| !r.spot || r.zone.as_str() == "zb"),
        "{wanted:?}"
    );
    for zone in ["za", "zb"] {
        for spot in [true, false] {
            for _ in 0..20 {
                memory.came(pool(zone, spot), arrival(used));
            }
        }
    }
    assert_eq!(rent(&w, &memory, &[]), [], "nothing brings what is wanted");
    memory.tidy(900.0, Time(901.0));
    assert_ne!(rent(&w, &memory, &[]), [], "until that is long ago");
}

// ---- with the owner's core ----------------------------------------------

/// An owner with a job in its record, and what its machines report.
struct Owner {
    core: Core,
    view: View,
    revision: u64,
    ticks: u64,
}

impl Owner {
    fn new(topology: &Rc<Topology>, spec: JobSpec) -> Self {
        let mut view = View::default();
        view.replace(Revision(0), Vec::new());
        let record = JobRecord::accepted(spec, 0, 1024);
        let events = json!({"ledger": 2, "events": [
            {"write": GRANT, "value": {"owner": "n-0", "term": 1, "number": 1}, "stamp": 1},
            {"write": job_key(&JobId::from("run-1")), "value": record, "stamp": 2}]});
        view.apply(Revision(0), serde_json::from_value(events).expect("events"));
        let types = [(*kind()).clone()];
        let grant = ShardGrant::whole(1, view.grant.mod_revision);
        let input = RecoveryInput {
            cfg: settings::config(100.0),
            types: &types,
            view: &view,
            topology: Some(topology.clone()),
            now: Time(0.0),
            wall_ms: 0,
        };
        let core = Core::recover(&input, grant, MachineZones::default());
        Self {
            core,
            view,
            revision: 2,
            ticks: 0,
        }
    }

    /// A machine heartbeats, with these tasks.
    fn heartbeat(&mut self, machine: &str, fencing_token: u64, tasks: Value, now: f64) -> Value {
        self.ticks += 1;
        let zone = format!("z{}", &machine[3..4]);
        let heartbeat = json!({"box": machine, "addr": "127.0.0.1:9", "build": "t", "rack": zone,
            "loaners": false, "shift": 1, "tick": self.ticks, "baton": fencing_token, "warning_s": null,
            "pieces": tasks});
        let heartbeat = serde_json::from_value(heartbeat).expect("a report");
        self.core
            .heartbeat(&heartbeat, Source::Heartbeat, Time(now));
        let id = MachineId::from(machine);
        let reply = self.core.reply(&id, &self.view, Time(now));
        serde_json::to_value(reply).expect("a reply")
    }

    /// All machines learn the fencing token, so that they may be used.
    fn all_up(&mut self, machines: &[&str], now: f64) {
        for m in machines {
            let reply = self.heartbeat(m, 0, json!([]), now);
            let fencing_token = reply["baton"].as_u64().expect("a token");
            self.heartbeat(m, fencing_token, json!([]), now);
        }
    }

    fn record(&mut self, now: f64) -> bool {
        let batch = self.core.next_batch(&self.view, 4, true, Time(now));
        let Some(batch) = batch else { return false };
        self.revision += 1;
        let revision = Revision(self.revision);
        self.core
            .transaction_committed(batch, revision, &mut self.view, Time(now));
        true
    }

    fn tick(&mut self, now: Time) {
        self.core.tick(now);
        self.core.place_all(now);
    }

    /// Starts that go out now.
    fn starts(&mut self, now: f64) -> Vec<String> {
        let sends = self.core.dispatch(&self.view, Time(now));
        let all = sends.iter().flat_map(|s| {
            let commands = serde_json::to_value(&s.commands).expect("orders");
            let list = commands["orders"].as_array().cloned().unwrap_or_default();
            list.into_iter()
        });
        all.filter(|o| o["verb"] == "start")
            .map(|o| o["piece"].as_str().expect("a piece").to_owned())
            .collect()
    }

    fn claimed(&self) -> Vec<String> {
        let job = self.core.cluster_state.job(&JobId::from("run-1"));
        let claims = job.expect("the job").tasks.claims().values();
        claims.map(|c| c.machine.to_string()).collect()
    }
}

const SIX: [&str; 6] = ["vm-a00", "vm-a01", "vm-a10", "vm-a11", "vm-b00", "vm-b01"];

/// A gang starts only once all its claims are recorded; one that loses a
/// machine between claim and start is placed anew, whole, and nothing of the
/// first placement ever starts.
#[test]
fn a_gang_that_loses_a_machine_before_its_start_is_placed_anew() {
    let t = topology("ab", 2, "");
    let gang = json!({"shape": "ensemble", "pieces": 12, "cpus": 1.0, "rank": "normal"});
    let mut o = Owner::new(&t, spec(gang));
    o.all_up(&SIX, 0.1);
    o.tick(Time(0.2));
    let first = o.claimed();
    assert_eq!(first.len(), 12);
    assert_eq!(o.starts(0.2), [] as [&str; 0], "no claim is recorded yet");
    // A machine is to be taken: its claim is dropped, so the gang is broken.
    let lost = first[0].clone();
    o.core.heartbeat(
        &serde_json::from_value(json!({"box": lost, "addr": "127.0.0.1:9", "build": "t",
            "rack": format!("z{}", &lost[3..4]), "loaners": false, "shift": 1, "tick": 999,
            "baton": u64::from(1_u32 << 20), "warning_s": 5.0, "pieces": []}))
        .expect("a report"),
        Source::Heartbeat,
        Time(0.3),
    );
    while o.record(0.4) {}
    assert_eq!(o.starts(0.4), [] as [&str; 0], "it is not whole");
    o.tick(Time(0.6));
    assert!(o.claimed().is_empty() || !o.claimed().contains(&lost));
    o.tick(Time(1.4));
    let second = o.claimed();
    assert_eq!(second.len(), 12, "whole again");
    assert!(!second.contains(&lost));
    while o.record(1.5) {}
    let mut started = o.starts(1.6);
    started.sort();
    started.dedup();
    assert_eq!(started.len(), 12, "and started as one");
}

/// A rack drains while a job is half placed: claims that were not sent are
/// dropped and placed elsewhere, those that run stay until they have a place.
#[test]
fn a_rack_drains_while_a_job_is_half_placed() {
    let t = topology("ab", 2, "");
    let service = json!({"pieces": 4, "topology": spread(2, true), "cpus": 4.0});
    let mut o = Owner::new(&t, spec(service));
    // Only two machines are there: half of the job finds a place.
    o.all_up(&["vm-a00", "vm-a01"], 0.1);
    o.tick(Time(0.2));
    assert_eq!(o.claimed().len(), 2);
    while o.record(0.3) {}
    // One is started and runs, the other's start has not gone out.
    let starts = o.starts(0.3);
    assert_eq!(starts.len(), 2);
    let fencing_token = 1_u64 << 20;
    let task_name = "run-1/0";
    let machine = o.claimed()[0].clone();
    let other = o.claimed()[1].clone();
    o.core.dispatched(
        &MachineId::from(machine.as_str()),
        sorrelhinge::agent_client::Sending::Executed(Box::new(
            serde_json::from_value(json!({"box": machine, "addr": "127.0.0.1:9", "build": "t",
                "rack": "za", "loaners": false, "shift": 1, "tick": 500, "baton": fencing_token,
                "warning_s": null, "pieces": [{"piece": task_name, "try": 1, "phase": "running"}]}))
            .expect("a report"),
        )),
        Time(0.4),
    );
    o.core.dispatched(
        &MachineId::from(other.as_str()),
        sorrelhinge::agent_client::Sending::NotSent,
        Time(0.4),
    );
    let drain = json!({"v": 1, "what": {"domain": "za/s0"}, "t": 0, "end": 60_000, "away": 4});
    let events = json!({"ledger": 50, "events": [
        {"write": "h/drain/1", "value": drain, "stamp": 50}]});
    let since = o.view.store_revision;
    o.view
        .apply(since, serde_json::from_value(events).expect("events"));
    o.revision = 50;
    o.core.set_drains(&o.view, Time(0.5));
    o.tick(Time(1.6));
    assert!(
        o.claimed().iter().eq([&machine]),
        "what was not sent is dropped"
    );
    let claim = |o: &Owner| {
        let task = TaskId::parse(task_name).expect("a task");
        o.core
            .cluster_state
            .claim_of(&task)
            .cloned()
            .expect("its claim")
    };
    assert_eq!(claim(&o).stop, None, "there is no other place yet");
    // The others come up: everything goes there, and none to the rack.
    o.all_up(&["vm-b00", "vm-b01", "vm-b10", "vm-b11"], 2.0);
    o.tick(Time(2.2));
    o.tick(Time(3.4));
    assert!(o
        .claimed()
        .iter()
        .all(|m| *m == machine || m.starts_with("vm-b")));
    assert_eq!(claim(&o).stop, Some(0.0), "its place is ready, so it moves");
}

/// Users and the log read these texts: they are part of what the software promises.
#[test]
fn exclusions_have_their_texts() {
    let text = |why: MachineExclusion| {
        let (machines, with_free_capacity) = (2, 3);
        let excluded = WaitingReason::Excluded {
            why,
            machines,
            with_free_capacity,
        };
        excluded.to_string()
    };
    assert_eq!(
        text(MachineExclusion::DevicesTaken),
        "its devices are in use (2 of 3 machines with free capacity)"
    );
    assert_eq!(
        text(MachineExclusion::NoSuchDevice),
        "it has no such device (2 of 3 machines with free capacity)"
    );
    let level = "rack".into();
    assert_eq!(
        text(MachineExclusion::Rule(ExclusionRule::Together { level })),
        "all in one rack (2 of 3 machines with free capacity)"
    );
}

/// The same of what else a job waits for.
#[test]
fn reasons_to_wait_have_their_texts() {
    let with_free_capacity = 3;
    let reasons = [
        (WaitingReason::TeamAtLimit, "the job's team is at its limit"),
        (
            WaitingReason::GangStopping,
            "the gang restarts once all its tasks have ended",
        ),
        (WaitingReason::NoTopology, "this controller has no topology"),
        (
            WaitingReason::NoFreeCapacity { suitable: 3 },
            "none of 3 suitable machines has free capacity",
        ),
        (
            WaitingReason::NoFreeCapacityForGang { with_free_capacity },
            "too little free capacity for the whole gang; 3 machines have some",
        ),
        (WaitingReason::OthersFirst, "other jobs come first"),
    ];
    for (why, text) in reasons {
        assert_eq!(why.to_string(), text);
    }
}
