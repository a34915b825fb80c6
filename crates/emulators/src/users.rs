//! Users: they submit jobs, ask all controllers within milliseconds, cancel, and
//! repeat their requests, also odd ones. Whatever they are told is compared with what
//! was told before: an answer to a question that was sent after another answer had
//! come must not be older than that one (PROTOCOL, "GET /v1/jobs/{id}").

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use serde_json::{json, Value};
use sorrelhinge::http::call_once;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::nodes::Nodes;
use crate::{ask, response, HttpResponse, World, LIMITS};

/// A user waits so long before a request that was not answered is sent again.
const AGAIN: Duration = Duration::from_millis(100);
/// Questions of one look follow each other so closely.
const CLOSE: Duration = Duration::from_millis(2);

/// What users may ask of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// POST /v1/jobs, for the first time or again.
    Submit,
    /// GET /v1/jobs/{id}.
    Poll,
    /// POST /v1/jobs/{id}/withdraw.
    Cancel,
}

/// How a job stands, as its users have been told.
#[derive(Clone, Debug, Default)]
struct Known {
    /// When the first answer came that it is accepted.
    accepted: Option<Instant>,
    /// When the first answer came that it is over, and how it ended.
    ended: Option<(Instant, String)>,
    /// When its user first asked to cancel it.
    cancel_asked: Option<Instant>,
}

impl Known {
    /// Takes in the phase that an answer told of an accepted job; what is wrong with
    /// it.
    fn learn(
        &mut self,
        phase: &str,
        question: Question,
        asked: Instant,
        tasks_done: bool,
    ) -> Vec<String> {
        let now = Instant::now();
        let mut wrong = Vec::new();
        self.accepted.get_or_insert(now);
        if let Some((at, end)) = &self.ended {
            if *at < asked && end != phase {
                wrong.push(format!("older than {end}"));
            }
        }
        match phase {
            "done" | "cancelled" => {
                let (_, end) = self.ended.get_or_insert((now, phase.to_owned()));
                if end != phase {
                    wrong.push("two ends".into());
                }
                if phase == "done" && !tasks_done {
                    wrong.push("not done".into());
                }
                if phase == "cancelled" && self.cancel_asked.is_none() {
                    wrong.push("nobody cancelled it".into());
                }
            }
            "pending" | "running" if question != Question::Cancel => {}
            _ => wrong.push("no phase".into()),
        }
        wrong
    }
}

/// What users were told, and which answers were wrong.
#[derive(Debug, Default)]
pub struct Answers {
    known: BTreeMap<String, Known>,
    /// What was wrong.
    pub wrong: Vec<String>,
    /// Answers that told how a job stands.
    pub response: usize,
}

impl Answers {
    /// Takes in an answer of 200, 201, 400, 404 or 422 to a question that was sent
    /// `asked`. `tasks_done`: all of the job's tasks have completed by now.
    pub fn note(
        &mut self,
        uid: &str,
        question: Question,
        asked: Instant,
        HttpResponse { status, body }: &HttpResponse,
        tasks_done: bool,
    ) {
        let known = self.known.entry(uid.to_owned()).or_default();
        let accepted_before = known.accepted.is_some_and(|at| at < asked);
        let mut wrong: Vec<String> = Vec::new();
        if matches!(status, 200 | 201) {
            self.response += 1;
            if *status == 201 && accepted_before {
                wrong.push("accepted twice".into());
            }
            if body["uid"] != *uid {
                wrong.push("another job".into());
            }
            let phase = body["phase"].as_str().unwrap_or_default();
            wrong.extend(known.learn(phase, question, asked, tasks_done));
        } else if accepted_before {
            wrong.push("forgotten".into());
        }
        let response = format!("{uid} {question:?} was answered {status} {body}");
        let texts = wrong.into_iter().map(|what| format!("{what}: {response}"));
        self.wrong.extend(texts);
    }

    /// A user asks to cancel a job.
    fn cancel_asked(&mut self, uid: &str) {
        let known = self.known.entry(uid.to_owned()).or_default();
        known.cancel_asked.get_or_insert(Instant::now());
    }

    /// How a job ended, as users were told.
    pub fn end(&self, uid: &str) -> Option<String> {
        let (_, end) = self.known.get(uid)?.ended.as_ref()?;
        Some(end.clone())
    }

    /// Jobs of which users were told that they are accepted.
    pub fn accepted(&self) -> Vec<String> {
        let accepted = self.known.iter().filter(|(_, k)| k.accepted.is_some());
        accepted.map(|(uid, _)| uid.clone()).collect()
    }
}

/// Users of a world's controllers.
#[derive(Clone)]
pub struct Users {
    controllers: Rc<Vec<SocketAddr>>,
    nodes: Rc<RefCell<Nodes>>,
    /// What they were told.
    pub answers: Rc<RefCell<Answers>>,
}

impl Users {
    /// Of the first `controllers` controllers.
    pub fn new(world: &World, controllers: usize) -> Self {
        Self {
            controllers: Rc::new((0..controllers).map(|i| world.address(i)).collect()),
            nodes: world.nodes.clone(),
            answers: Rc::default(),
        }
    }

    /// A job as its user submits it.
    fn job(&self, uid: &str) -> Value {
        let nodes = self.nodes.borrow();
        nodes.jobs.get(uid).cloned().unwrap_or(Value::Null)
    }

    /// Whether all tasks of a job have completed on their machines.
    pub fn tasks_done(&self, uid: &str) -> bool {
        let tasks = self.job(uid)["pieces"].as_u64().unwrap_or(0);
        let nodes = self.nodes.borrow();
        tasks > 0 && (0..tasks).all(|n| nodes.done.contains(&format!("{uid}/{n}")))
    }

    /// Asks one controller once, and compares its answer. None: no answer, or one
    /// that tells to come back.
    pub async fn ask(
        &self,
        controller: usize,
        uid: &str,
        question: Question,
    ) -> Option<HttpResponse> {
        let (method, path, body) = match question {
            Question::Submit => (Method::POST, "/v1/jobs".to_owned(), self.job(uid)),
            Question::Poll => (Method::GET, format!("/v1/jobs/{uid}"), Value::Null),
            Question::Cancel => {
                self.answers.borrow_mut().cancel_asked(uid);
                let path = format!("/v1/jobs/{uid}/withdraw");
                (Method::POST, path, Value::Null)
            }
        };
        let to = self.controllers[controller % self.controllers.len()];
        let asked = Instant::now();
        let response = ask(to, method, &path, &body).await;
        let response =
            response.filter(|response| response.status < 500 && response.status != 429)?;
        let done = self.tasks_done(uid);
        let mut answers = self.answers.borrow_mut();
        answers.note(uid, question, asked, &response, done);
        Some(response)
    }

    /// Asks one controller after the other until one answers.
    pub async fn ask_until_answered(
        &self,
        first: usize,
        uid: &str,
        question: Question,
    ) -> HttpResponse {
        let end = Instant::now() + Duration::from_secs(60);
        for controller in first.. {
            if let Some(response) = self.ask(controller, uid, question).await {
                return response;
            }
            assert!(
                Instant::now() < end,
                "{uid}: nobody answers for 60 s: {question:?}"
            );
            sleep(AGAIN).await;
        }
        unreachable!("there is always a next controller")
    }

    /// Asks all controllers at once, `times` times within milliseconds, and repeats
    /// the submission.
    pub async fn poll_closely(&self, uid: &str, times: usize) {
        let mut all = Vec::new();
        for _ in 0..times {
            for controller in 0..self.controllers.len() {
                for question in [Question::Poll, Question::Submit] {
                    let (users, uid) = (self.clone(), uid.to_owned());
                    all.push(spawn_local(async move {
                        users.ask(controller, &uid, question).await;
                    }));
                }
            }
            sleep(CLOSE).await;
        }
        for one in all {
            one.await.expect("it ends");
        }
    }

    /// Asks all controllers for a job until one says that it is over.
    pub async fn until_over(&self, uid: &str, seconds: u64) -> String {
        let end = Instant::now() + Duration::from_secs(seconds);
        for controller in 0.. {
            self.ask(controller, uid, Question::Poll).await;
            if let Some(end) = self.answers.borrow().end(uid) {
                return end;
            }
            assert!(Instant::now() < end, "{uid} is not over within {seconds} s");
            sleep(AGAIN).await;
        }
        unreachable!("there is always a next controller")
    }

    /// No answer was wrong, and some told how a job stands.
    pub fn answers_hold(&self) {
        let answers = self.answers.borrow();
        assert_eq!(answers.wrong, [] as [String; 0]);
        assert!(answers.response > 0, "nobody was told anything");
    }
}

/// A job as its users submit it, and as workers fetch it.
pub fn one_task(world: &World, uid: &str, run_s: f64) {
    world.job(uid, json!({"guess_s": run_s}));
}

/// Sends a body as it stands; none without an answer.
pub async fn send_body(to: SocketAddr, path: &str, body: Bytes) -> Option<HttpResponse> {
    response(call_once(to, Method::POST, path, body, LIMITS).await)
}

/// Sends bytes as they stand on a connection of their own, and tells the status that
/// comes back; none: the connection ended without one.
pub async fn send_bytes(to: SocketAddr, bytes: &[u8]) -> Option<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        // It may be refused before all of it is sent.
        let _ = stream.write_all(bytes).await;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.ok()?;
        let text = std::str::from_utf8(&answer).ok()?;
        text.strip_prefix("HTTP/1.1 ")?.parse().ok()
    };
    timeout(Duration::from_secs(5), exchange).await.ok()?
}
