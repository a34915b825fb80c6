//! A day whose troubles are scripted: the world's steps, with each trouble switched
//! on and off by the test, and the service invariants once they are over.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use serde_json::{json, Value};
use sorrelhinge::agent_client::Sending;
use sorrelhinge::control::core::{Dispatch, Source};
use sorrelhinge::state::record::job_key;
use sorrelhinge::types::{JobId, MachineId, Time};

use crate::service::Waiting;
use crate::*;

/// What becomes of a direct command.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Open,
    /// No connection can be made.
    Closed,
    /// It is held up, without an answer, for so many seconds.
    Held(f64),
}

pub(crate) struct Day {
    pub(crate) world: World,
    /// Transactions that each owner may make in a step.
    pub(crate) writes: usize,
    /// This part of all direct commands is held up for 2 to 16 s.
    pub(crate) late_commands: f64,
    /// This part of the answers to direct commands and to heartbeats is lost.
    pub(crate) lost_answers: f64,
    /// Machines that execute nothing until then, and go on.
    pub(crate) hung: BTreeMap<String, f64>,
    /// Machines whose heartbeats reach nobody until then, while commands reach them.
    pub(crate) mute: BTreeMap<String, f64>,
    /// A zone that is apart from the others; the former owner is in it.
    pub(crate) apart: Option<&'static str>,
    /// How long the tasks of a job run, in the order of their numbers.
    pub(crate) lasting: BTreeMap<String, Vec<f64>>,
    /// Commands that wait at machines that hang.
    held: Vec<(String, Value)>,
    timed: BTreeSet<(String, u64)>,
    waiting: Waiting,
}

impl Day {
    pub(crate) fn new(seed: u64, shards: u32) -> Self {
        let mut world = World::of_shards(seed, false, shards);
        world.calm = true;
        Self {
            world,
            writes: 3,
            late_commands: 0.0,
            lost_answers: 0.0,
            hung: BTreeMap::new(),
            mute: BTreeMap::new(),
            apart: None,
            lasting: BTreeMap::new(),
            held: Vec::new(),
            timed: BTreeSet::new(),
            waiting: Waiting::default(),
        }
    }

    /// The first owners, so many, stand still for so many seconds.
    pub(crate) fn pause_first(&mut self, owners: usize, for_s: f64) {
        let until = self.world.now + for_s;
        for o in self.world.owners.iter_mut().take(owners) {
            o.paused_until = until;
        }
    }

    /// An array of the blue team that may run anywhere, but for `fields`.
    pub(crate) fn submit(&mut self, tasks: u32, fields: Value) -> String {
        let number = u32::try_from(self.world.jobs.len()).expect("few jobs");
        let mut job = job_json(number, &mut self.world.rng);
        let plain = json!({"shape": "sweep", "jobclass": "batch", "rank": "normal",
            "crew": "blue", "pieces": tasks, "cpus": 1.0, "ram_gb": 1.0, "spread": false,
            "together": false, "loaners": true});
        for changes in [plain, fields] {
            let changes = changes.as_object().cloned().expect("an object");
            job.as_object_mut().expect("an object").extend(changes);
        }
        let id = job["uid"].as_str().expect("uid").to_owned();
        self.world.accept(job);
        id
    }

    pub(crate) fn phase(&self, id: &str) -> &str {
        let (_, record) = &self.world.store.keys[&job_key(&JobId::from(id))];
        record["p"].as_str().expect("a phase")
    }

    /// Its user asks to cancel the job, and is told what the record says then.
    pub(crate) fn cancel(&mut self, id: &str) {
        let key = job_key(&JobId::from(id));
        let mut record = self.world.store.keys[&key].1.clone();
        if record["p"] == "l" {
            record["p"] = json!("c");
            self.world.store.write(&key, record);
            self.world.cancelled.insert(id.into(), self.world.now);
        }
    }

    /// The machines on which tasks of the job are.
    pub(crate) fn machines_of(&self, id: &str) -> Vec<String> {
        let of = self.world.on_machines().filter(|(_, p)| job_of(p) == id);
        of.map(|(w, _)| w.id.clone()).collect()
    }

    pub(crate) fn is_hung(&self, id: &str) -> bool {
        self.hung.get(id).is_some_and(|t| *t > self.world.now)
    }

    pub(crate) fn run(&mut self, seconds: f64) {
        let until = self.world.now + seconds;
        while self.world.now < until {
            self.step();
        }
    }

    /// All troubles are over; for so long nothing more happens, and then every array
    /// has ended.
    pub(crate) fn settle(&mut self, seconds: f64) {
        (self.writes, self.late_commands, self.lost_answers) = (3, 0.0, 0.0);
        self.apart = None;
        self.hung.clear();
        self.mute.clear();
        for w in &mut self.world.workers {
            (w.silent_until, w.silence_ignored_until) = (0.0, 0.0);
        }
        let until = self.world.now + seconds;
        while self.world.now < until {
            self.step();
            self.waiting.check(&self.world);
        }
        service::all_arrays_ended(&self.world);
    }

    pub(crate) fn step(&mut self) {
        self.world.now += STEP_S;
        self.deliver();
        for at in 0..self.world.workers.len() {
            self.run_tasks(at);
            self.world.end_lease(at);
            if self.world.rng.random_bool(0.5) {
                self.heartbeat(at);
            }
        }
        if self.world.of > 1 {
            self.world.between_shards();
        }
        for owner in (0..self.world.owners.len()).rev() {
            self.act(owner);
        }
        self.world.check();
    }

    /// Commands that were held up, or wait at machines that go on now.
    fn deliver(&mut self) {
        let now = self.world.now;
        let late = std::mem::take(&mut self.world.late);
        for (at, id, commands) in late {
            if at <= now {
                self.held.push((id, commands));
            } else {
                self.world.late.push((at, id, commands));
            }
        }
        for (id, commands) in std::mem::take(&mut self.held) {
            if self.is_hung(&id) {
                self.held.push((id, commands));
            } else {
                drop(self.world.carry_out(&id, &commands));
            }
        }
    }

    fn run_tasks(&mut self, at: usize) {
        if self.is_hung(&self.world.workers[at].id) {
            return;
        }
        for (task_name, running) in &mut self.world.workers[at].tasks {
            let (job, number) = task_name.rsplit_once('/').expect("piece");
            let number: usize = number.parse().expect("a number");
            let lasts = self.lasting.get(job).and_then(|all| all.get(number));
            if let Some(lasts) = lasts {
                if self.timed.insert((task_name.clone(), running.attempt)) {
                    running.left = *lasts;
                }
            }
            running.left -= STEP_S;
            if running.phase == "running" && running.left <= 0.0 {
                running.phase = "ended";
                running.exit_reason = Some("done");
                self.world.done_tasks.insert(task_name.clone());
            }
        }
    }

    /// Whom a machine of the zone reaches: the last owner of its shard, or the former
    /// one while both are apart from the rest.
    fn owner_of(&self, machine: &MachineId, zone: &str) -> Option<usize> {
        let covers = |o: &Owner| o.core.scope.covers(machine);
        if self.apart == Some(zone) {
            self.world.owners.iter().position(covers)
        } else {
            self.world.owners.iter().rposition(covers)
        }
    }

    fn heartbeat(&mut self, at: usize) {
        let (id, zone) = (&self.world.workers[at].id, self.world.workers[at].zone);
        let muted = self.mute.get(id).is_some_and(|t| *t > self.world.now);
        let machine = MachineId::from(id.as_str());
        if muted || self.is_hung(id) || self.world.workers[at].silent_until > self.world.now {
            return;
        }
        let Some(owner) = self.owner_of(&machine, zone) else {
            return;
        };
        let now = Time(self.world.now);
        if self.world.owners[owner].paused_until > now.0 {
            return;
        }
        let heartbeat = self.world.workers[at].heartbeat();
        let o = &mut self.world.owners[owner];
        if !o.core.heartbeat(&heartbeat, Source::Heartbeat, now) {
            return;
        }
        o.core.place_on(&machine, now);
        let reply = serde_json::to_value(o.core.reply(&machine, &o.view, now)).expect("reply");
        let fencing_token = reply["baton"].as_u64().expect("baton");
        let lost = self.world.rng.random_bool(self.lost_answers);
        let w = &mut self.world.workers[at];
        if lost || w.silence_ignored_until > now.0 || fencing_token < w.fencing_token {
            return;
        }
        (w.fencing_token, w.renewed) = (fencing_token, now.0);
        self.world.commands(at, &reply["orders"]);
    }

    /// What an owner does in a step. A former one follows the records now and then;
    /// one that is apart from the rest does not, and writes nothing.
    fn act(&mut self, owner: usize) {
        let now = Time(self.world.now);
        if self.world.owners[owner].paused_until > now.0 {
            return;
        }
        let scope = self.world.owners[owner].core.scope;
        let same = |o: &Owner| o.core.scope == scope;
        let last = self.world.owners.iter().rposition(same) == Some(owner);
        let alone = self.apart.is_some() && !last;
        if !alone && (last || self.world.rng.random_bool(0.1)) {
            let o = &mut self.world.owners[owner];
            self.world.store.follow(&mut o.view);
            let changed = o.view.take_changed();
            o.core.jobs_changed(&o.view, &changed, now, 0);
            if scope.is_part() {
                o.core.refresh_quotas(&o.view);
                o.core.still_granted(&o.view);
            }
        }
        regular(&mut self.world.owners[owner].core, now);
        if !alone && self.world.rng.random_bool(0.25) {
            self.world.fleet(owner);
        }
        let writes = if alone { 0 } else { self.writes };
        for _ in 0..writes {
            if self.world.owners.get(owner).is_some_and(same) {
                self.world.record(owner);
            }
        }
        let Some(o) = self.world.owners.get_mut(owner).filter(|o| same(o)) else {
            return;
        };
        for send in o.core.dispatch(&o.view, now) {
            self.send(owner, alone, send);
        }
    }

    fn way(&mut self, id: &str, alone: bool) -> Way {
        let now = self.world.now;
        let Some(w) = self.world.workers.iter().find(|w| w.id == id) else {
            return Way::Closed;
        };
        let other_side = self.apart.is_some_and(|zone| alone != (w.zone == zone));
        if w.silent_until.max(w.silence_ignored_until) > now || other_side {
            return Way::Closed;
        }
        if self.world.rng.random_bool(self.late_commands) {
            return Way::Held(self.world.rng.random_range(2.0..16.0));
        }
        Way::Open
    }

    fn send(&mut self, owner: usize, alone: bool, send: Dispatch) {
        let id = send.machine.as_str().to_owned();
        let commands = serde_json::to_value(&send.commands).expect("orders");
        let outcome = match self.way(&id, alone) {
            Way::Closed => Sending::NotSent,
            Way::Held(seconds) => {
                let at = self.world.now + seconds;
                self.world.late.push((at, id, commands));
                Sending::Unknown
            }
            Way::Open if self.is_hung(&id) => {
                self.held.push((id, commands));
                Sending::Unknown
            }
            Way::Open => self.carry_out(&id, &commands),
        };
        let now = Time(self.world.now);
        let core = &mut self.world.owners[owner].core;
        core.dispatched(&send.machine, outcome, now);
    }

    fn carry_out(&mut self, id: &str, commands: &Value) -> Sending {
        let Some(taken) = self.world.carry_out(id, commands) else {
            return Sending::NotSent;
        };
        let lost = self.world.rng.random_bool(self.lost_answers);
        let w = self.world.workers.iter_mut().find(|w| w.id == id);
        match taken {
            _ if lost => Sending::Unknown,
            Some(heartbeat) => Sending::Executed(Box::new(heartbeat)),
            None => Sending::Refused(Box::new(w.expect("the worker").heartbeat())),
        }
    }
}
