//! Notes a history while it happens.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use hyper::Method;
use serde_json::Value;

use super::event::{Answer, Entry, Event, History, JobPhase, Moment, Request, RequestId};
use super::job::Site;
use crate::{ask, HttpResponse};

struct Notes {
    site: Site,
    entries: Vec<Entry>,
    requests: usize,
}

/// Takes notes; all copies write into the same history.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    notes: Rc<RefCell<Notes>>,
}

impl Recorder {
    /// Begins a history.
    pub fn new(site: Site) -> Self {
        let notes = Notes {
            site,
            entries: Vec::new(),
            requests: 0,
        };
        Self {
            began: Instant::now(),
            notes: Rc::new(RefCell::new(notes)),
        }
    }

    /// The time of the history that it is now.
    pub fn now(&self) -> Moment {
        self.began.elapsed()
    }

    /// Notes what happens now.
    pub fn note(&self, event: Event) {
        self.note_at(Instant::now(), event);
    }

    /// Notes what happened before now, or at that moment.
    pub fn note_at(&self, when: Instant, event: Event) {
        let at = when.saturating_duration_since(self.began);
        self.notes.borrow_mut().entries.push(Entry { at, event });
    }

    /// Notes that a user asks now.
    pub fn asked(&self, node: usize, what: Request) -> RequestId {
        let request = {
            let mut notes = self.notes.borrow_mut();
            notes.requests += 1;
            RequestId(notes.requests)
        };
        self.note(Event::Asked {
            request,
            node,
            what,
        });
        request
    }

    /// Notes what the user is told now.
    pub fn answered(&self, request: RequestId, response: Option<&HttpResponse>) {
        let answer = response.map_or(Answer::Nothing, |response| {
            let phase = response.body["phase"].as_str().and_then(JobPhase::parse);
            Answer::Status(response.status, phase)
        });
        self.note(Event::Answered { request, answer });
    }

    /// Asks a node once as a user, and notes question and answer if they are about
    /// a job.
    pub async fn ask(
        &self,
        node: usize,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<HttpResponse> {
        let request = read_request(&method, path, body).map(|what| self.asked(node, what));
        let response = ask(address, method, path, body).await;
        if let Some(request) = request {
            self.answered(request, response.as_ref());
        }
        response
    }

    /// The history so far.
    pub fn history(&self) -> History {
        let notes = self.notes.borrow();
        History {
            site: notes.site.clone(),
            entries: notes.entries.clone(),
            end: self.now(),
        }
    }
}

/// What a user's request asks; none if it is about no job.
fn read_request(method: &Method, path: &str, body: &Value) -> Option<Request> {
    if path == "/v1/jobs" && method == Method::POST {
        return Some(Request::Submit {
            uid: body["uid"].as_str().unwrap_or_default().into(),
            body: body.clone(),
        });
    }
    let rest = path.strip_prefix("/v1/jobs/")?;
    match (rest.strip_suffix("/withdraw"), rest.contains('/')) {
        (Some(uid), _) => Some(Request::Cancel { uid: uid.into() }),
        (None, false) => Some(Request::Poll { uid: rest.into() }),
        (None, true) => None,
    }
}
