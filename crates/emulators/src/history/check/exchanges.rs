//! Questions joined with their answers, and what follows for each job.

use std::collections::BTreeMap;

use crate::history::event::{Answer, Entry, Event, JobPhase, Moment, Request, RequestId};
use crate::history::job::{Job, RejectReason, Site};

/// A question and what came of it.
#[derive(Clone, Debug)]
pub(super) struct Exchange {
    /// When it was sent.
    pub asked: Moment,
    /// When it was answered or given up; the history's end if neither.
    pub answered: Moment,
    /// The node that it went to.
    pub node: usize,
    /// What was asked.
    pub request: Request,
    /// What came.
    pub answer: Answer,
}

impl Exchange {
    /// Whether it is a submission that was answered 200 or 201.
    pub(super) fn accepts(&self) -> bool {
        matches!(self.request, Request::Submit { .. })
            && matches!(self.answer.status(), Some(200 | 201))
    }
}

/// All exchanges, in the order of the questions.
pub(super) struct Exchanges {
    /// The exchanges.
    pub all: Vec<Exchange>,
    /// Each job's first body that can run.
    pub jobs: BTreeMap<String, Job>,
}

impl Exchanges {
    /// Joins the entries, which are sorted by time.
    pub(super) fn read(entries: &[Entry], site: &Site, end: Moment) -> Self {
        let mut places: BTreeMap<RequestId, usize> = BTreeMap::new();
        let mut all: Vec<Exchange> = Vec::new();
        let mut jobs = BTreeMap::new();
        for entry in entries {
            match &entry.event {
                Event::Asked {
                    request,
                    node,
                    what,
                } => {
                    places.insert(*request, all.len());
                    all.push(Exchange {
                        asked: entry.at,
                        answered: end,
                        node: *node,
                        request: what.clone(),
                        answer: Answer::Nothing,
                    });
                    if let Request::Submit { uid, body } = what {
                        if let Ok(job) = Job::read_fit(body, site) {
                            jobs.entry(uid.clone()).or_insert(job);
                        }
                    }
                }
                Event::Answered { request, answer } => {
                    if let Some(place) = places.get(request) {
                        all[*place].answered = entry.at;
                        all[*place].answer = *answer;
                    }
                }
                _ => {}
            }
        }
        Self { all, jobs }
    }

    /// Those about each job.
    pub(super) fn by_job(&self) -> BTreeMap<&str, Vec<&Exchange>> {
        let mut by_job: BTreeMap<&str, Vec<&Exchange>> = BTreeMap::new();
        for exchange in &self.all {
            let uid = exchange.request.uid();
            by_job.entry(uid).or_default().push(exchange);
        }
        by_job
    }

    /// When each job was first told to be accepted.
    pub(super) fn accepted(&self) -> BTreeMap<&str, Moment> {
        self.first(Exchange::accepts)
    }

    /// When each job was first told to be cancelled.
    pub(super) fn confirmed_cancelled(&self) -> BTreeMap<&str, Moment> {
        self.first(|e| e.answer.phase() == Some(JobPhase::Cancelled))
    }

    fn first(&self, so: impl Fn(&Exchange) -> bool) -> BTreeMap<&str, Moment> {
        let mut first: BTreeMap<&str, Moment> = BTreeMap::new();
        for exchange in self.all.iter().filter(|e| so(e)) {
            let at = first
                .entry(exchange.request.uid())
                .or_insert(exchange.answered);
            *at = (*at).min(exchange.answered);
        }
        first
    }
}

/// Why a body must be refused; none: it can run.
pub(super) fn reject_reason(body: &serde_json::Value, site: &Site) -> Option<RejectReason> {
    Job::read_fit(body, site).err()
}
