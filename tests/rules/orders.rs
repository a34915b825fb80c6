//! What a worker does with commands.

use rand::Rng;
use serde_json::Value;
use sorrelhinge::worker::Report;

use crate::*;

impl World {
    /// Carries out direct commands at a worker; none if it refuses them.
    pub(crate) fn carry_out(&mut self, id: &str, orders: &Value) -> Option<Option<Report>> {
        let at = self.workers.iter().position(|w| w.id == id)?;
        let w = &self.workers[at];
        if orders["baton"].as_u64()? < w.token || orders["shift"].as_u64()? != w.session {
            return Some(None);
        }
        self.workers[at].token = orders["baton"].as_u64()?;
        self.commands(at, &orders["orders"]);
        Some(Some(self.workers[at].report()))
    }

    pub(crate) fn commands(&mut self, at: usize, orders: &Value) {
        for order in orders.as_array().expect("orders") {
            let piece = order["piece"].as_str().expect("piece").to_owned();
            let attempt = order["try"].as_u64().expect("try");
            match order["verb"].as_str().expect("verb") {
                "start" => {
                    if self.workers[at].tasks.contains_key(&piece) {
                        continue;
                    }
                    self.check_start(at, &piece);
                    self.check_claimed(at, &piece, attempt);
                    if let Some(cancelled) = self.cancelled.get(&job_of(&piece)) {
                        let late_s = self.now - cancelled;
                        self.faults.last_start_s = self.faults.last_start_s.max(late_s);
                    }
                    let units = self.check_units(at, &piece, &order["units"]);
                    let left = if piece_job(&self.jobs, &piece)["shape"] == "standing"
                        || piece_job(&self.jobs, &piece)["jobclass"] == ENDLESS
                    {
                        f64::INFINITY
                    } else {
                        self.rng.random_range(0.0..8.0)
                    };
                    let mistaken = piece_job(&self.jobs, &piece)["jobclass"] == MISTAKEN;
                    let faulty = self.faulty.as_ref() == Some(&self.workers[at].id);
                    let fails = mistaken || faulty || self.luck(0.02);
                    *self.starts_of.entry(job_of(&piece)).or_insert(0) += 1;
                    let (phase, cause) = if fails {
                        ("ended", Some("error"))
                    } else {
                        ("running", None)
                    };
                    self.workers[at].tasks.insert(
                        piece,
                        Running {
                            units,
                            attempt,
                            phase,
                            cause,
                            left,
                        },
                    );
                    self.started += 1;
                }
                "kill" => {
                    if let Some(r) = self.workers[at].tasks.get_mut(&piece) {
                        if r.attempt == attempt && r.phase != "ended" {
                            r.phase = "ended";
                            r.cause = Some("stopped");
                        }
                    }
                }
                _ => {
                    let w = &mut self.workers[at];
                    if w.tasks
                        .get(&piece)
                        .is_some_and(|r| r.attempt == attempt && r.phase == "ended")
                    {
                        w.tasks.remove(&piece);
                    }
                }
            }
        }
    }
}
