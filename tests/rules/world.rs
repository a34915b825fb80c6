//! The world: owners, workers and the state service, a step of half a second at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use sorrelhinge::agent_client::{Heartbeat, Sending};
use sorrelhinge::api::read_job;
use sorrelhinge::cloud::{CloudError, ListedMachine, MachinePhase, Rental};
use sorrelhinge::config::Config;
use sorrelhinge::control::core::{
    Batch, Core, Dispatch, MachineZones, RecoveryInput, ShardGrant, Source,
};
use sorrelhinge::state::record::{
    chunk_key, job_key, GrantRecord, JobRecord, NewJob, ShardRecord, GRANT,
};
use sorrelhinge::state::view::View;
use sorrelhinge::state::{Transaction, TransactionOutcome};
use sorrelhinge::types::{JobId, MachineId, Revision, Term, Time};
use sorrelhinge_lease_safety::freshness::Freshness;
use sorrelhinge_protocol::placement::PlacementRules;
use sorrelhinge_sharding::shard::{ShardId, ShardScope};
use sorrelhinge_topology::Topology;

use crate::*;

/// An owner of the shard, perhaps a former one.
pub(crate) struct Owner {
    pub(crate) core: Core,
    pub(crate) view: View,
    pub(crate) pending: Option<Batch>,
    /// Part of the red team's limit that is on its way to another shard: the
    /// transaction, and how many thousandths of a CPU.
    pub(crate) gift: Option<(Value, i64)>,
    /// Its process stands still until then, while clocks run on.
    pub(crate) paused_until: f64,
    /// As of when its view shows all changes.
    pub(crate) freshness: Freshness,
    /// Until then the state service refuses it alone.
    pub(crate) cut_until: f64,
    /// Until then workers and it can't reach each other.
    pub(crate) apart_until: f64,
}

pub(crate) struct World {
    /// Shards: each owner has one of so many.
    pub(crate) of: u32,
    pub(crate) machine_zones: MachineZones,
    pub(crate) topology: Option<Rc<Topology>>,
    pub(crate) rng: StdRng,
    pub(crate) now: f64,
    pub(crate) store: Store,
    pub(crate) workers: Vec<Worker>,
    pub(crate) jobs: BTreeMap<String, Value>,
    pub(crate) cancelled: BTreeMap<String, f64>,
    pub(crate) done_tasks: BTreeSet<String>,
    pub(crate) owners: Vec<Owner>,
    pub(crate) late: Vec<(f64, String, Value)>,
    pub(crate) grants: u64,
    pub(crate) started: usize,
    pub(crate) starts_of: BTreeMap<String, usize>,
    /// Heartbeats that were delivered, of which copies come late.
    pub(crate) copies: Vec<Heartbeat>,
    /// Nothing goes wrong by chance.
    pub(crate) calm: bool,
    /// Every task fails, as if all jobs were submitted with a mistake.
    pub(crate) all_fail: bool,
    /// A machine on which every task fails.
    pub(crate) faulty: Option<String>,
    pub(crate) rented: u64,
    /// How many machines the cloud has, if it rents them out and takes them back. Otherwise it
    /// has no more than there are, and replaces each that is given back.
    pub(crate) cloud_machines: Option<usize>,
    /// Images go from machine to machine, for two of three owners.
    pub(crate) staged: bool,
    /// Users wait for services to start.
    pub(crate) start_objectives: bool,
    pub(crate) faults: Faults,
    pub(crate) command_copies: CommandCopies,
    /// All attempts that workers were told to forget.
    pub(crate) forgotten: BTreeSet<ForgottenAttempt>,
    /// Jobs wait for others.
    pub(crate) pipelines: bool,
    /// The jobs that each job needs.
    pub(crate) needs: BTreeMap<String, Vec<String>>,
    /// What values had when the jobs were accepted that came first.
    pub(crate) accepted_bytes: usize,
    /// All that the state service holds, as its last reader has it.
    pub(crate) reader: View,
    /// Every transaction, command, answer and request to the cloud, in order.
    pub(crate) trace: Trace,
}

impl Owner {
    /// Whether its view is new enough to command workers and to renew leases, as
    /// `Node::process_as_owner` and `Node::run_due_work` ask.
    pub(crate) fn may_command(&self, now: f64) -> bool {
        self.freshness
            .may_answer_workers(Time(now), LEASE_S, CANCEL_S)
    }
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        Self::with(seed, false)
    }

    pub(crate) fn with(seed: u64, with_topology: bool) -> Self {
        Self::of_shards(seed, with_topology, 1)
    }

    pub(crate) fn of_shards(seed: u64, with_topology: bool, of: u32) -> Self {
        let mut world = Self {
            of,
            machine_zones: MachineZones::default(),
            topology: with_topology
                .then(|| Rc::new(Topology::parse(TOPOLOGY).expect("a valid file"))),
            rng: StdRng::seed_from_u64(seed),
            now: 0.0,
            store: Store::default(),
            workers: (0..8).map(Worker::new).collect(),
            jobs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            done_tasks: BTreeSet::new(),
            owners: Vec::new(),
            late: Vec::new(),
            grants: 0,
            started: 0,
            starts_of: BTreeMap::new(),
            copies: Vec::new(),
            calm: false,
            all_fail: false,
            faulty: None,
            rented: 0,
            cloud_machines: None,
            staged: false,
            start_objectives: false,
            faults: Faults::default(),
            command_copies: CommandCopies::default(),
            forgotten: BTreeSet::new(),
            pipelines: false,
            needs: BTreeMap::new(),
            accepted_bytes: 1024,
            reader: View::default(),
            trace: Trace::default(),
        };
        world.reader.replace(Revision(0), Vec::new());
        match of {
            1 => world.begin_leadership(),
            _ => world.divide(),
        }
        world
    }

    /// The shards, their parts of the limits, and an owner for each.
    fn divide(&mut self) {
        let of = self.of;
        self.store.write("h/map", json!({"v": 1, "blocks": of}));
        for shard in 0..of {
            let part = 10_000 / i64::from(of) + i64::from(shard == 0) * (10_000 % i64::from(of));
            let slice = json!({"v": 1, "t": [["red", part, 0], ["blue", 1_000_000, 0]]});
            self.store.write(&format!("h/slice/{shard}"), slice);
        }
        for shard in 0..of {
            self.begin_shard_ownership(shard);
        }
    }

    /// An owner's settings.
    pub(crate) fn config(&self) -> Rc<Config> {
        let mut config = settings::config(1.0);
        if self.staged && self.grants % 3 > 0 {
            Rc::make_mut(&mut config).tuning.staging_least_gb = Some(0.5);
        }
        if self.start_objectives {
            let objectives = &mut Rc::make_mut(&mut config).start_objectives;
            objectives.insert("live".into(), 4.0);
        }
        config
    }

    /// A shard is granted anew; its last owner may not have heard of that.
    pub(crate) fn begin_shard_ownership(&mut self, shard: u32) {
        self.grants += 1;
        let record = ShardRecord {
            version: 1,
            owner: settings::config(1.0).node.clone(),
            run: 0,
            term: Term(self.grants),
            number: self.grants,
            to: None,
            pin: None,
        };
        let key = format!("h/block/{shard}");
        self.store
            .write(&key, serde_json::to_value(&record).expect("record"));
        let view = self.whole_view();
        let shard = ShardId(shard);
        let scope = ShardScope { shard, of: self.of };
        let grant = ShardGrant {
            scope,
            number: self.grants,
            revision: view.shards[&shard].mod_revision,
            issued: None,
        };
        let core = self.recover(&view, grant, None, self.machine_zones.clone());
        self.add_owner(core, view);
        let same = self.owners.iter().filter(|o| o.core.scope == scope);
        if same.count() > 2 {
            let first = self.owners.iter().position(|o| o.core.scope == scope);
            self.owners.remove(first.expect("one of them"));
        }
        self.deliver_kept();
    }

    /// All that the state service holds, as a new owner reads it.
    pub(crate) fn whole_view(&self) -> View {
        let mut view = View::default();
        view.replace(Revision(0), Vec::new());
        self.store.follow(&mut view);
        view.take_changed();
        view
    }

    /// The core of an owner that takes up a grant now.
    pub(crate) fn recover(
        &self,
        view: &View,
        grant: ShardGrant,
        topology: Option<Rc<Topology>>,
        machine_zones: MachineZones,
    ) -> Core {
        let input = RecoveryInput {
            cfg: self.config(),
            types: &kinds(),
            view,
            topology,
            now: Time(self.now),
            wall_ms: 0,
        };
        Core::recover(&input, grant, machine_zones)
    }

    /// A new owner, which has just read everything.
    pub(crate) fn add_owner(&mut self, core: Core, view: View) {
        self.owners.push(Owner {
            core,
            view,
            pending: None,
            gift: None,
            paused_until: 0.0,
            freshness: Freshness::replaced(Time(self.now)),
            cut_until: 0.0,
            apart_until: 0.0,
        });
    }

    pub(crate) fn begin_leadership(&mut self) {
        if self.of > 1 {
            let shard = self.rng.random_range(0..self.of);
            return self.begin_shard_ownership(shard);
        }
        self.grants += 1;
        let grant = GrantRecord {
            owner: None,
            term: Term(self.grants),
            number: self.grants,
        };
        self.store
            .write(GRANT, serde_json::to_value(&grant).expect("record"));
        let view = self.whole_view();
        let grant = ShardGrant::whole(self.grants, view.grant.mod_revision);
        let topology = self.topology.clone();
        let core = self.recover(&view, grant, topology, MachineZones::default());
        self.add_owner(core, view);
        if self.owners.len() > 2 {
            self.owners.remove(0);
        }
        self.deliver_kept();
    }

    /// Whether something goes wrong that does so in this part of the cases.
    pub(crate) fn luck(&mut self, part: f64) -> bool {
        !self.calm && self.rng.random_bool(part)
    }

    pub(crate) fn submit(&mut self) {
        let id = self.jobs.len() as u32;
        let mut value = job_json(id, &mut self.rng);
        if self.topology.is_some() {
            value["topology"] = wishes_json(&mut self.rng);
        }
        self.accept(value);
    }

    pub(crate) fn accept(&mut self, value: Value) {
        let mut spec = read_job(value.clone()).expect("a valid job");
        spec.placement = PlacementRules::read(&value)
            .expect("valid wishes")
            .map(Box::new);
        let uid = value["uid"].as_str().expect("uid").to_owned();
        let needs = self.draw_needs(&uid);
        // Some jobs keep their claims in their own record, others in chunks.
        let new = NewJob { spec, needs };
        let mut record = JobRecord::accepted(new, 0, self.accepted_bytes);
        record.chunk = record.chunk.min(self.accepted_bytes as u32 / 128);
        if record.tasks > record.chunk {
            record.inline = None;
        }
        self.store.write(
            &format!("h/job/{uid}"),
            serde_json::to_value(&record).expect("record"),
        );
        self.jobs.insert(uid, value);
    }

    /// An owner of the version before wrote a chunk of tasks again.
    pub(crate) fn write_as_before(&mut self) {
        let keys: Vec<String> = self
            .store
            .keys
            .keys()
            .filter(|k| k.starts_with("h/task/"))
            .cloned()
            .collect();
        if keys.is_empty() {
            return;
        }
        let key = &keys[self.rng.random_range(0..keys.len())];
        let mut record = self.store.keys[key].1.clone();
        forget_new_fields(&mut record);
        self.store.write(key, record);
    }

    /// An operator drains a switch or a machine for a while, or ends a drain.
    pub(crate) fn drain(&mut self) {
        let key = format!("h/drain/{}", self.rng.random_range(1..3));
        if let Some((mod_revision, _)) = self.store.keys.get(&key) {
            let transaction =
                json!({"when": [{"key": key, "stamp": mod_revision}], "apply": [{"delete": key}]});
            assert!(matches!(
                self.store.transact(&transaction),
                TransactionOutcome::Done(_)
            ));
            return;
        }
        let at = self.rng.random_range(0..self.workers.len());
        let what = if self.rng.random_bool(0.5) {
            json!({"domain": pick_switch(&mut self.rng)})
        } else {
            json!({"machine": self.workers[at].id})
        };
        let now_ms = (self.now * 1000.0) as u64;
        let drain = json!({"v": 1, "what": what, "t": now_ms, "end": now_ms + 20_000, "away": 1});
        self.store.write(&key, drain);
    }

    pub(crate) fn cancel(&mut self) {
        let at = self.rng.random_range(0..self.jobs.len().max(1));
        let Some(id) = self.jobs.keys().nth(at).cloned() else {
            return;
        };
        let key = job_key(&JobId::from(id.as_str()));
        let mut record = self.store.keys[&key].1.clone();
        if record["p"] == "l" {
            if self.topology.is_some() && self.rng.random_bool(0.5) {
                // By a controller of the version before: it keeps nothing that
                // it does not know.
                record["p"] = json!("c");
                forget_new_fields(&mut record);
                self.store.write(&key, record);
            } else {
                self.write_cancelled(&id);
            }
            self.cancelled.insert(id, self.now);
        }
    }

    /// Writes a job as cancelled, as a controller that has read everything does.
    pub(crate) fn write_cancelled(&mut self, id: &str) {
        let id = JobId::from(id);
        let view = self.whole_view();
        let entry = view.job(&id).expect("an accepted job");
        let cancelled = entry.cancelled(false, self.store.limits.value_bytes);
        let (job, chunk) = (job_key(&id), chunk_key(&id, 0));
        let mut transaction = json!({
            "when": [{"key": job, "stamp": entry.record.mod_revision}],
            "apply": [{"write": job, "value": cancelled.record}],
        });
        if let Some(claims) = &cancelled.claims {
            let when = json!({"key": chunk, "stamp": 0});
            transaction["when"]
                .as_array_mut()
                .expect("conditions")
                .push(when);
            let apply = json!({"write": chunk, "value": claims});
            transaction["apply"]
                .as_array_mut()
                .expect("changes")
                .push(apply);
        }
        assert!(matches!(
            self.store.transact(&transaction),
            TransactionOutcome::Done(_)
        ));
    }

    pub(crate) fn send(&mut self, owner: usize, send: Dispatch) {
        let id = send.machine.as_str().to_owned();
        self.trace.fold_json(&id, &send.commands);
        let commands = serde_json::to_value(&send.commands).expect("orders");
        let apart = self.owners[owner].apart_until > self.now;
        let reachable = !apart
            && self
                .workers
                .iter()
                .any(|w| w.id == id && w.silent_until.max(w.silence_ignored_until) <= self.now);
        let age_s = self.held_back_s(owner, &id);
        let luck = if self.calm {
            99
        } else {
            self.rng.random_range(0..100)
        };
        let outcome = if let Some(age_s) = age_s {
            self.late.push((self.now + age_s, id.clone(), commands));
            Sending::Unknown
        } else if !reachable {
            // A cut may hold the commands back, and deliver them much later.
            if luck < 30 {
                self.late
                    .push((self.now + f64::from(luck), id.clone(), commands));
                Sending::Unknown
            } else {
                Sending::NotSent
            }
        } else if luck < 5 {
            Sending::NotSent
        } else if luck < 12 {
            self.late
                .push((self.now + f64::from(luck * 2), id.clone(), commands));
            Sending::Unknown
        } else {
            match self.carry_out(&id, &commands) {
                None => Sending::NotSent,
                Some(_) if luck < 18 => Sending::Unknown,
                Some(Some(heartbeat)) => Sending::Executed(Box::new(heartbeat)),
                Some(None) => {
                    let w = self
                        .workers
                        .iter_mut()
                        .find(|w| w.id == id)
                        .expect("worker");
                    Sending::Refused(Box::new(w.heartbeat()))
                }
            }
        };
        let now = Time(self.now);
        self.owners[owner]
            .core
            .dispatched(&send.machine, outcome, now);
    }

    pub(crate) fn record(&mut self, owner: usize) {
        let now = Time(self.now);
        if !self.is_served(owner) {
            return;
        }
        let spare = self.rng.random_bool(0.5);
        let o = &mut self.owners[owner];
        let Some(batch) = o
            .pending
            .take()
            .or_else(|| o.core.next_batch(&o.view, 4, spare, now))
        else {
            return;
        };
        self.trace.fold_json("transaction", &batch.transaction);
        let transaction = serde_json::to_value::<&Transaction>(&batch.transaction).expect("txn");
        if self.store.rejects(&transaction) {
            self.faults.rejected += 1;
            let o = &mut self.owners[owner];
            o.core.transaction_rejected(batch, true, &o.view, now);
            return;
        }
        if self.delays(&transaction) {
            self.owners[owner].pending = Some(batch);
            return;
        }
        let o = &mut self.owners[owner];
        match if self.calm {
            9
        } else {
            self.rng.random_range(0..10)
        } {
            // Not carried out, or carried out with the answer lost.
            0 => o.pending = Some(batch),
            1 => {
                self.store.transact(&transaction);
                o.pending = Some(batch);
            }
            _ => match self.store.transact(&transaction) {
                TransactionOutcome::Done(revision) => {
                    o.core
                        .transaction_committed(batch, revision, &mut o.view, now);
                }
                TransactionOutcome::Failed(_) => {
                    self.store.follow(&mut o.view);
                    let changed = o.view.take_changed();
                    o.core.jobs_changed(&o.view, &changed, now, 0);
                    if !o.core.transaction_conflicted(batch, &o.view, now) {
                        self.owners.remove(owner);
                    }
                }
            },
        }
    }

    pub(crate) fn heartbeat(&mut self, at: usize) {
        let w = &self.workers[at];
        if w.silent_until.max(w.mute_until) > self.now || self.owners.is_empty() {
            return;
        }
        // Now and then a heartbeat still goes to an owner that was deposed.
        let machine = MachineId::from(self.workers[at].id.as_str());
        let covers = |o: &Owner| o.core.scope.covers(&machine);
        let owner = if self.faults.to_first || self.luck(0.15) {
            self.owners.iter().position(covers)
        } else {
            self.owners.iter().rposition(covers)
        };
        let Some(owner) = owner else { return };
        if self.owners[owner].paused_until > self.now {
            return;
        }
        let heartbeat = self.workers[at].heartbeat();
        let sent = self.now;
        if self.faults.keeps {
            self.copies.push(heartbeat.clone());
        }
        if self.owners[owner].apart_until > self.now {
            return self.renew_in_stead(at, &heartbeat);
        }
        let source = if self.luck(0.15) {
            Source::Forwarded
        } else {
            Source::Heartbeat
        };
        let o = &mut self.owners[owner];
        if !o.core.heartbeat(&heartbeat, source, Time(self.now)) {
            return;
        }
        if !o.may_command(self.now) {
            return;
        }
        o.core.place_on(&heartbeat.machine, Time(self.now));
        let reply = o.core.reply(&heartbeat.machine, &o.view, Time(self.now));
        self.trace.fold_json(heartbeat.machine.as_str(), &reply);
        let reply = serde_json::to_value(&reply).expect("reply");
        let fencing_token = reply["baton"].as_u64().expect("baton");
        if self.luck(0.2) {
            self.copies.push(heartbeat);
        }
        let deaf = self.workers[at].silence_ignored_until > self.now;
        if deaf || self.luck(0.05) || fencing_token < self.workers[at].fencing_token {
            return;
        }
        self.workers[at].fencing_token = fencing_token;
        self.workers[at].renewed = sent;
        self.commands(at, &reply["orders"]);
    }

    /// A copy of a heartbeat comes late, seconds or several takeovers after it, perhaps
    /// of a machine that is gone, to an owner or a former one.
    pub(crate) fn copy(&mut self) {
        if self.copies.is_empty() {
            return;
        }
        let heartbeat = &self.copies[self.rng.random_range(0..self.copies.len())];
        let covers = |o: &&mut Owner| o.core.scope.covers(&heartbeat.machine);
        for o in self.owners.iter_mut().filter(covers) {
            // Nobody takes the answer.
            if !o.core.is_stale(heartbeat)
                && o.core
                    .heartbeat(heartbeat, Source::Heartbeat, Time(self.now))
            {
                o.core.place_on(&heartbeat.machine, Time(self.now));
                let reply = o.core.reply(&heartbeat.machine, &o.view, Time(self.now));
                self.trace.fold_json(heartbeat.machine.as_str(), &reply);
            }
        }
    }

    /// The cloud: machines that are given back are gone, with their tasks, and
    /// another takes their place.
    pub(crate) fn fleet(&mut self, owner: usize) {
        let now = Time(self.now);
        // Only a list shows that a machine which a record claims is gone: its
        // deletion may have gone unrecorded.
        let scope = self.owners[owner].core.scope;
        let list: Vec<ListedMachine> = self
            .workers
            .iter()
            .filter(|w| scope.covers(&w.id.as_str().into()))
            .map(|w| ListedMachine {
                id: MachineId::from(w.id.as_str()),
                addr: "127.0.0.1:9".parse().ok(),
                machine_type: "t".into(),
                zone: w.zone.into(),
                spot: w.spot,
                phase: MachinePhase::Running,
                age_s: 100.0,
            })
            .collect();
        self.owners[owner].core.apply_machine_list(&list, now);
        let decision = self.owners[owner].core.plan_scaling(now);
        self.trace
            .fold_json("deleted machines", &decision.to_delete);
        for rental in decision.scale_out {
            self.trace.fold_json("rental", &rental);
            let outcome = self.rent(&rental);
            let core = &mut self.owners[owner].core;
            core.scale_out_finished(&rental, outcome, now);
        }
        for id in decision.to_delete {
            if self.cloud_machines.is_some() {
                self.workers.retain(|w| w.id != id.as_str());
                self.owners[owner].core.apply_deletions(&[id], now);
                continue;
            }
            self.rented += 1;
            if let Some(w) = self.workers.iter_mut().find(|w| w.id == id.as_str()) {
                w.id = format!("vm-{:06}", 100 + self.rented);
                w.tasks.clear();
                w.incarnation = 1;
                w.sequence = 0;
                w.fencing_token = 0;
                w.renewed = self.now;
                w.silence_ignored_until = 0.0;
                w.mute_until = 0.0;
                w.hangs_until = 0.0;
                w.silent_until = 0.0;
                w.warned = false;
            }
            self.owners[owner].core.apply_deletions(&[id], now);
        }
    }

    /// The cloud rents out what it has; the machines are up at once.
    fn rent(&mut self, rental: &Rental) -> Result<Vec<MachineId>, CloudError> {
        let all = self.cloud_machines.unwrap_or(0);
        let count = all.saturating_sub(self.workers.len());
        let count = count.min(rental.count as usize);
        if count == 0 {
            return Err(CloudError::NoCapacity);
        }
        let zone = if rental.zone.as_str() == "za" {
            "za"
        } else {
            "zb"
        };
        let machines = (0..count).map(|_| {
            self.rented += 1;
            let worker = Worker {
                id: format!("vm-{:06}", 100 + self.rented),
                zone,
                spot: rental.spot,
                renewed: self.now,
                ..Worker::new(0)
            };
            let id = MachineId::from(worker.id.as_str());
            self.workers.push(worker);
            id
        });
        Ok(machines.collect())
    }

    /// A worker whose lease is over ends all its tasks and begins a new incarnation.
    pub(crate) fn end_lease(&mut self, at: usize) {
        let w = &mut self.workers[at];
        if self.now - w.renewed > LEASE_S {
            w.tasks.clear();
            w.incarnation += 1;
            w.renewed = self.now;
        }
    }

    pub(crate) fn step(&mut self, submitting: bool) {
        self.now += STEP_S;
        if submitting && !self.in_outage() && self.rng.random_bool(0.1) {
            self.submit();
        }
        self.draw_faults();
        self.serve_others();
        if !self.in_outage() && self.luck(0.02) {
            self.cancel();
        }
        self.change_owners();
        if self.of > 1 && !self.in_outage() {
            self.between_shards();
        }
        self.operate();
        self.carry_out_late();
        self.deliver_command_copies();
        for at in 0..self.workers.len() {
            self.step_worker(at);
        }
        if self.luck(0.3) {
            self.copy();
        }
        for owner in (0..self.owners.len()).rev() {
            self.step_owner(owner);
        }
        self.check();
        self.check_not_orphaned();
    }

    /// Shards that nobody owns are granted, others are granted anew now and then, and
    /// owners stand still.
    fn change_owners(&mut self) {
        let owned = |b: u32| self.owners.iter().any(|o| o.core.scope.shard.0 == b);
        if self.in_outage() {
            // No grant is written.
        } else if let Some(shard) = (0..self.of).find(|b| !owned(*b)) {
            match self.of {
                1 => self.begin_leadership(),
                _ => self.begin_shard_ownership(shard),
            }
        } else if self.luck(0.01) {
            self.begin_leadership();
            if self.luck(0.3) {
                // It ended at once, and the next one too.
                self.begin_leadership();
                self.begin_leadership();
            }
        }
        if self.luck(0.01) {
            let at = self.rng.random_range(0..self.owners.len());
            self.owners[at].paused_until = self.now + self.rng.random_range(1.0..15.0);
        }
    }

    /// Operators drain; an owner of the version before is there for a moment.
    fn operate(&mut self) {
        if self.topology.is_some() && !self.in_outage() && self.luck(0.01) {
            self.drain();
        }
        if self.topology.is_some() && !self.in_outage() && self.luck(0.02) {
            self.write_as_before();
            self.begin_leadership();
        }
    }

    /// Commands that were held back arrive.
    fn carry_out_late(&mut self) {
        let due: Vec<(f64, String, Value)> = self
            .late
            .iter()
            .filter(|(t, ..)| *t <= self.now)
            .cloned()
            .collect();
        self.late.retain(|(t, ..)| *t > self.now);
        for (_, id, commands) in due {
            self.carry_out(&id, &commands);
        }
    }

    /// A worker's tasks go on, its troubles begin, and it heartbeats.
    fn step_worker(&mut self, at: usize) {
        let w = &mut self.workers[at];
        let hangs = w.hangs_until > self.now;
        for (task_name, r) in w.tasks.iter_mut().filter(|_| !hangs) {
            r.left -= STEP_S;
            if r.phase == "running" && r.left <= 0.0 {
                r.phase = "ended";
                r.exit_reason = Some("done");
                self.done_tasks.insert(task_name.clone());
            }
        }
        self.end_lease(at);
        if self.luck(0.003) {
            self.workers[at].silent_until = self.now + self.rng.random_range(1.0..30.0);
        }
        if self.luck(0.004) {
            self.workers[at].silence_ignored_until = self.now + self.rng.random_range(1.0..60.0);
        }
        if self.workers[at].spot && self.luck(0.004) {
            self.workers[at].warned = true;
        }
        if self.rng.random_bool(0.5) {
            self.heartbeat(at);
        }
    }

    /// An owner follows, decides, records and commands, unless it stands still.
    fn step_owner(&mut self, owner: usize) {
        if self.owners[owner].paused_until > self.now {
            return;
        }
        let now = Time(self.now);
        self.follow(owner);
        regular(&mut self.owners[owner].core, now);
        if self.rng.random_bool(0.25) {
            self.fleet(owner);
        }
        for _ in 0..3 {
            if owner < self.owners.len() {
                self.record(owner);
            }
        }
        let stop_s = self.faults.stop_after_record_s;
        if owner < self.owners.len() && stop_s > 0.0 {
            self.owners[owner].paused_until = self.now + stop_s;
            return;
        }
        if owner < self.owners.len() && self.owners[owner].may_command(self.now) {
            let o = &mut self.owners[owner];
            for send in o.core.dispatch(&o.view, now) {
                self.send(owner, send);
            }
        }
    }

    /// An owner hears of changes; a deposed one may not have heard of anything for long.
    fn follow(&mut self, owner: usize) {
        let now = Time(self.now);
        let scope = self.owners[owner].core.scope;
        let last = self.owners.iter().rposition(|o| o.core.scope == scope);
        let is_reachable = last == Some(owner) || self.rng.random_bool(0.1);
        if !is_reachable || !self.is_served(owner) {
            return;
        }
        let o = &mut self.owners[owner];
        if self.store.follow(&mut o.view) {
            o.freshness = o.freshness.read(now);
        }
        let changed = o.view.take_changed();
        o.core.jobs_changed(&o.view, &changed, now, 0);
        o.core.set_drains(&o.view, now);
        if scope.is_part() {
            o.core.refresh_quotas(&o.view);
            o.core.still_granted(&o.view);
        }
    }
}

/// What an owner does again and again.
pub(crate) fn regular(core: &mut Core, now: Time) {
    core.tick(now);
    core.place_all(now);
    core.preempt(now);
}
