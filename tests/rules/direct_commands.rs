//! What a worker does with commands.

use rand::Rng;
use serde_json::Value;
use sorrelhinge::agent_client::Heartbeat;

use crate::*;

impl World {
    /// Carries out direct commands at a worker, of which copies may arrive later.
    pub(crate) fn carry_out(&mut self, id: &str, commands: &Value) -> Option<Option<Heartbeat>> {
        let outcome = self.carry_out_once(id, commands);
        if matches!(outcome, Some(Some(_))) {
            self.draw_copies(id, commands);
        }
        outcome
    }

    /// Carries out direct commands at a worker; none if it refuses them.
    pub(crate) fn carry_out_once(
        &mut self,
        id: &str,
        commands: &Value,
    ) -> Option<Option<Heartbeat>> {
        let at = self.workers.iter().position(|w| w.id == id)?;
        let w = &self.workers[at];
        if commands["baton"].as_u64()? < w.fencing_token
            || commands["shift"].as_u64()? != w.incarnation
        {
            return Some(None);
        }
        self.workers[at].fencing_token = commands["baton"].as_u64()?;
        self.commands(at, &commands["orders"]);
        Some(Some(self.workers[at].heartbeat()))
    }

    pub(crate) fn commands(&mut self, at: usize, commands: &Value) {
        for order in commands.as_array().expect("orders") {
            let task_name = order["piece"].as_str().expect("piece").to_owned();
            let attempt = order["try"].as_u64().expect("try");
            match order["verb"].as_str().expect("verb") {
                "start" => {
                    if self.workers[at].tasks.contains_key(&task_name) {
                        continue;
                    }
                    self.check_not_forgotten(at, &task_name, attempt);
                    self.check_start(at, &task_name);
                    self.check_claimed(at, &task_name, attempt);
                    if let Some(cancelled) = self.cancelled.get(&job_of(&task_name)) {
                        let late_s = self.now - cancelled;
                        self.faults.last_start_s = self.faults.last_start_s.max(late_s);
                    }
                    let units = self.check_units(at, &task_name, &order["units"]);
                    let left = if piece_job(&self.jobs, &task_name)["shape"] == "standing"
                        || piece_job(&self.jobs, &task_name)["jobclass"] == ENDLESS
                    {
                        f64::INFINITY
                    } else {
                        self.rng.random_range(0.0..8.0)
                    };
                    let mistaken = piece_job(&self.jobs, &task_name)["jobclass"] == MISTAKEN;
                    let faulty = self.faulty.as_ref() == Some(&self.workers[at].id);
                    let fails = mistaken || faulty || self.all_fail || self.luck(0.02);
                    *self.starts_of.entry(job_of(&task_name)).or_insert(0) += 1;
                    let (phase, exit_reason) = if fails {
                        ("ended", Some("error"))
                    } else {
                        ("running", None)
                    };
                    self.workers[at].tasks.insert(
                        task_name,
                        Running {
                            units,
                            attempt,
                            phase,
                            exit_reason,
                            left,
                        },
                    );
                    self.started += 1;
                }
                "kill" => {
                    if let Some(r) = self.workers[at].tasks.get_mut(&task_name) {
                        if r.attempt == attempt && r.phase != "ended" {
                            r.phase = "ended";
                            r.exit_reason = Some("stopped");
                        }
                    }
                }
                _ => {
                    let w = &mut self.workers[at];
                    if w.tasks
                        .get(&task_name)
                        .is_some_and(|r| r.attempt == attempt && r.phase == "ended")
                    {
                        w.tasks.remove(&task_name);
                        let machine = w.id.clone();
                        self.forgotten.insert(ForgottenAttempt {
                            machine,
                            task: task_name,
                            attempt,
                        });
                    }
                }
            }
        }
    }
}
