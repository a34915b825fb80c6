//! The rules that PROTOCOL states, checked at every start and after every step.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use sorrelhinge::state::record::job_key;
use sorrelhinge::types::JobId;

use crate::*;

impl World {
    pub(crate) fn on_machines(&self) -> impl Iterator<Item = (&Worker, &String)> {
        self.workers.iter().flat_map(|w| {
            w.tasks
                .iter()
                .filter(|(_, r)| r.phase != "ended")
                .map(move |(p, _)| (w, p))
        })
    }

    /// No task starts on a unit that is missing, broken or taken.
    pub(crate) fn check_units(&self, at: usize, task_name: &str, units: &Value) -> Vec<String> {
        let w = &self.workers[at];
        let names = units.as_array().into_iter().flatten();
        let names: Vec<String> = names
            .map(|u| u[1].as_str().expect("a name").to_owned())
            .collect();
        let job = piece_job(&self.jobs, task_name);
        let device = &job["topology"]["devices"][0];
        let max = usize::from(!device.is_null());
        let least = usize::from(device["must"] == true);
        assert!(
            (least..=max).contains(&names.len()),
            "{task_name} on {}: {names:?} of {device}",
            w.id
        );
        for name in &names {
            assert!(
                encoders(w).contains(&name.as_str()),
                "{task_name} on {}: {name} is missing or broken",
                w.id
            );
            let mut others = w.tasks.values().filter(|r| r.phase != "ended");
            assert!(
                others.all(|r| !r.units.contains(name)),
                "{task_name} on {}: {name} is taken",
                w.id
            );
        }
        names
    }

    /// No attempt is carried out again on a machine that was told to forget it.
    pub(crate) fn check_not_forgotten(&self, at: usize, task_name: &str, attempt: u64) {
        let started = ForgottenAttempt {
            machine: self.workers[at].id.clone(),
            task: task_name.to_owned(),
            attempt,
        };
        assert!(
            !self.forgotten.contains(&started),
            "ran_again: {started:?} starts after it was forgotten"
        );
    }

    /// The rules that a start can break.
    pub(crate) fn check_start(&self, at: usize, task_name: &str) {
        let w = &self.workers[at];
        for (other, p) in self.on_machines() {
            assert!(
                p != task_name,
                "ran_twice: {task_name} on {} starts on {}",
                other.id,
                w.id
            );
        }
        let id = task_name.rsplit_once('/').expect("piece").0;
        let job = piece_job(&self.jobs, task_name);
        assert!(
            job["loaners"] == true || !w.spot,
            "wrong_place: {task_name} on spot"
        );
        assert!(
            job["rack"].is_null() || job["rack"] == w.zone,
            "wrong_place: {task_name} in {}",
            w.zone
        );
        let rule = &job["topology"]["spread"][0];
        if rule["must"] == true && job["pieces"].as_u64() > rule["most"].as_u64() {
            let (_, number) = switch(w);
            assert!(
                number < 10,
                "{task_name}: the switch of {} is not known",
                w.id
            );
            let there = self.on_machines().filter(|(other, p)| {
                p.rsplit_once('/').expect("piece").0 == id && switch(other) == switch(w)
            });
            assert!(
                (there.count() as u64) < rule["most"].as_u64().expect("most"),
                "{task_name} on {}: {rule}",
                w.id
            );
        }
        let mut here = 0;
        for (other, p) in self
            .on_machines()
            .filter(|(_, p)| p.rsplit_once('/').expect("piece").0 == id)
        {
            assert!(
                job["together"] == false || other.zone == w.zone,
                "wrong_place: {task_name} and {p}"
            );
            here += u64::from(other.zone == w.zone);
        }
        let max = job["pieces"].as_u64().expect("pieces").div_ceil(2);
        assert!(
            job["spread"] == false || here < max,
            "wrong_place: {task_name} not spread"
        );
        if let Some(at) = self.cancelled.get(id) {
            assert!(
                self.now - at <= CANCEL_S,
                "ran_cancelled: {task_name} starts"
            );
        }
        self.check_not_too_early(task_name, id);
    }

    /// A start is sent only once its claim is recorded, and is carried out only while
    /// the claim is: else the next owner would not count it.
    pub(crate) fn check_claimed(&self, at: usize, task_name: &str, attempt: u64) {
        let (id, number) = task_name.rsplit_once('/').expect("piece");
        let number: u64 = number.parse().expect("a number");
        let (_, job) = &self.store.keys[&job_key(&JobId::from(id))];
        let size = job["k"].as_u64().expect("a chunk's size").max(1);
        let key = format!("h/task/{id}/{:06}", number / size);
        let chunk = self.store.keys.get(&key).map(|(_, record)| record);
        let machine = &self.workers[at].id;
        let claim = json!([number % size, attempt, machine]);
        let holders = [Some(&job["i"]), chunk];
        let mut claims = holders
            .into_iter()
            .flatten()
            .filter_map(|h| h["c"].as_array());
        assert!(
            claims.any(|c| c.contains(&claim)),
            "unrecorded: {task_name}, attempt {attempt}, starts on {machine}"
        );
    }

    /// The rules that hold at any time.
    pub(crate) fn check(&self) {
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for (w, task_name) in self.on_machines() {
            let job = piece_job(&self.jobs, task_name);
            *used.entry(job["crew"].as_str().expect("crew")).or_default() +=
                job["cpus"].as_f64().expect("cpus");
            let id = task_name.rsplit_once('/').expect("piece").0;
            if let Some(at) = self.cancelled.get(id) {
                assert!(
                    self.now - at <= CANCEL_S,
                    "ran_cancelled: {task_name} on {}",
                    w.id
                );
            }
        }
        assert!(
            used.get("red").is_none_or(|u| *u <= 10.0),
            "quota: {used:?}"
        );
        for (id, job) in &self.jobs {
            let (_, record) = &self.store.keys[&job_key(&JobId::from(id.as_str()))];
            let cancelled = self.cancelled.contains_key(id);
            assert_eq!(record["p"] == "c", cancelled, "went_back: {id}");
            if record["p"] == "d" {
                let all = (0..job["pieces"].as_u64().expect("pieces"))
                    .all(|i| self.done_tasks.contains(&format!("{id}/{i}")));
                assert!(all, "not_done: {id}");
            }
        }
    }
}

pub(crate) fn job_of(task_name: &str) -> String {
    task_name.rsplit_once('/').expect("piece").0.into()
}

pub(crate) fn piece_job<'a>(jobs: &'a BTreeMap<String, Value>, task_name: &str) -> &'a Value {
    &jobs[task_name.rsplit_once('/').expect("piece").0]
}

/// What the version before does to a record that it writes again.
pub(crate) fn forget_new_fields(record: &mut Value) {
    if let Some(spec) = record["s"].as_object_mut() {
        spec.remove("x");
    }
    for holder in ["/i", ""] {
        let chunk = record.pointer_mut(holder).and_then(Value::as_object_mut);
        if let Some(chunk) = chunk {
            chunk.remove("u");
            chunk.remove("f");
        }
    }
}

pub(crate) fn pick_switch(rng: &mut StdRng) -> &'static str {
    ["za/s0", "za/s1", "zb/s0", "zb/s1"][rng.random_range(0..4)]
}
