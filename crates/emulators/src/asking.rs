//! What users and tests ask of a world, and what its history says.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{json, Value};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::history::{check, InvariantViolation, Limits};
use crate::{ask, HttpResponse, World, CANCEL_S};

/// What became of copies of heartbeats that were delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replayed {
    /// Copies that were sent.
    pub sent: usize,
    /// Those of them that were answered with 200.
    pub accepted: usize,
}

/// Whether a response tells anything but to ask again, or elsewhere.
fn is_final(response: &HttpResponse) -> bool {
    response.status < 500 && response.status != 421 && response.status != 429
}

impl World {
    /// Asks any controller, again and again until one answers with less than
    /// 500 and not 421.
    pub async fn ask(&self, method: Method, path: &str, body: &Value) -> HttpResponse {
        let end = Instant::now() + Duration::from_secs(60);
        loop {
            for (i, c) in self.controllers.iter().enumerate() {
                let response = self
                    .recorder
                    .ask(i, c.users, method.clone(), path, body)
                    .await;
                if let Some(response) = response.filter(is_final) {
                    return response;
                }
            }
            self.all_run();
            assert!(Instant::now() < end, "nobody answers {path}");
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Asks one controller once, in any way.
    pub async fn ask_once(
        &self,
        i: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<HttpResponse> {
        let address = self.address(i);
        self.recorder.ask(i, address, method, path, body).await
    }

    /// Asks one controller once.
    pub async fn ask_one(&self, i: usize, path: &str) -> Option<HttpResponse> {
        self.ask_once(i, Method::GET, path, &Value::Null).await
    }

    /// A job as it is submitted, and as workers fetch it; `more` overrides the
    /// usual fields.
    pub fn job(&self, uid: &str, more: Value) -> Value {
        let mut job = json!({"uid": uid, "jobclass": "bake", "crew": "crew", "shape": "sweep",
            "rank": "normal", "pieces": 1, "cpus": 1.0, "cards": 0.0, "ram_gb": 1.0,
            "bundle": "img-1", "pull_gb": 0.1, "builds": null, "rack": null, "together": false,
            "spread": false, "loaners": false, "guess_s": 1.0, "mark_s": 0.0, "stash_s": 0.0,
            "due_s": null});
        for (key, value) in more.as_object().expect("an object") {
            job[key] = value.clone();
        }
        self.nodes.borrow_mut().jobs.insert(uid.into(), job.clone());
        job
    }

    /// Submits a job; `more` overrides the usual fields.
    pub async fn submit(&self, uid: &str, more: Value) -> HttpResponse {
        let job = self.job(uid, more);
        let mut response = self.ask(Method::POST, "/v1/jobs", &job).await;
        if [200, 201].contains(&response.status) {
            let now = Instant::now();
            self.answered.borrow_mut().insert(uid.to_owned(), now);
        }
        if response.status == 200 {
            // The id is new: an earlier try of this very call was accepted, and
            // its answer came too late.
            response.status = 201;
        }
        response
    }

    /// Users ask for all accepted jobs from now on, again and again, of one
    /// controller after the other.
    pub fn ask_for_all(&self) {
        let (answered, longest) = (self.answered.clone(), self.unanswered.clone());
        let users: Vec<SocketAddr> = self.controllers.iter().map(|c| c.users).collect();
        let (nodes, recorder) = (self.nodes.clone(), self.recorder.clone());
        spawn_local(async move {
            for turn in 0_usize.. {
                sleep(Duration::from_millis(20)).await;
                let next = {
                    let all = answered.borrow();
                    let oldest = all.iter().min_by_key(|(_, at)| **at);
                    oldest.map(|(uid, _)| uid.clone())
                };
                let Some(uid) = next else { continue };
                let path = format!("/v1/jobs/{uid}");
                let node = turn % users.len();
                let asked = recorder.ask(node, users[node], Method::GET, &path, &Value::Null);
                let response = asked.await;
                let gone = response
                    .as_ref()
                    .is_some_and(|response| response.status == 404);
                if gone {
                    nodes.borrow_mut().wrong.push(format!("forgotten: {uid}"));
                }
                if response.is_some_and(|response| response.status == 200) {
                    let last = answered.borrow_mut().insert(uid, Instant::now());
                    let waited = last.map_or(Duration::ZERO, |at| at.elapsed());
                    longest.set(longest.get().max(waited));
                }
            }
        });
    }

    /// The longest that an accepted job went without an answer to its users so far.
    pub fn unanswered(&self) -> Duration {
        let now = self.answered.borrow();
        let waits = now.values().map(Instant::elapsed).max();
        self.unanswered.get().max(waits.unwrap_or_default())
    }

    /// Delivers copies of heartbeats that are older than so many seconds, a few of
    /// each machine, to all controllers.
    pub async fn replay(&self, age_s: f64, max: usize) -> usize {
        let copies = self.nodes.borrow().old_heartbeats(age_s, max);
        for heartbeat in &copies {
            for c in &self.controllers {
                let _ = ask(c.users, Method::POST, "/agent/beat", heartbeat).await;
            }
        }
        copies.len()
    }

    /// Delivers copies of heartbeats to one controller alone: how many, and how many of
    /// them it answered with 200.
    pub async fn replay_to(&self, i: usize, age_s: f64, max: usize) -> Replayed {
        let copies = self.nodes.borrow().old_heartbeats(age_s, max);
        let mut accepted = 0;
        for heartbeat in &copies {
            let response = ask(self.address(i), Method::POST, "/agent/beat", heartbeat).await;
            accepted += usize::from(response.is_some_and(|response| response.status == 200));
        }
        Replayed {
            sent: copies.len(),
            accepted,
        }
    }

    /// Which rules the history breaks so far; the bounds are the world's own.
    pub fn violations(&self, starts_after_cancel: usize) -> Vec<InvariantViolation> {
        let limits = Limits {
            starts_after_cancel,
            ..Limits::new(Duration::from_secs_f64(CANCEL_S))
        };
        check(&self.recorder.history(), &limits)
    }

    /// The history breaks no rule: with so many starts after a confirmed
    /// cancellation at the most.
    pub fn history_holds(&self, starts_after_cancel: usize) {
        let violations = self.violations(starts_after_cancel);
        let said: Vec<String> = violations
            .iter()
            .map(InvariantViolation::to_string)
            .collect();
        assert!(said.is_empty(), "{}", said.join("\n"));
    }

    /// What users are told of a job.
    pub async fn phase(&self, uid: &str) -> Value {
        let path = format!("/v1/jobs/{uid}");
        let HttpResponse { status, body } = self.ask(Method::GET, &path, &Value::Null).await;
        assert_eq!(status, 200, "{body}");
        body["phase"].clone()
    }

    /// Whether no task of these jobs is on a machine any more.
    pub fn all_gone(&self, uids: &[String]) -> bool {
        let nodes = self.nodes.borrow();
        uids.iter().all(|uid| nodes.places(uid).is_empty())
    }

    /// No start broke a rule.
    pub fn rules_hold(&self) {
        assert_eq!(self.nodes.borrow().wrong, [] as [String; 0]);
    }
}
