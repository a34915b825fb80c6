//! `forgotten` (by an answer), `invented`, `not_done`, `went_back` and
//! `older_answer`: what users are told.
//!
//! Order is real order: an answer is older than another one only if its question
//! was sent after the other had arrived. Of two that overlap either may come first.

use std::collections::{BTreeMap, BTreeSet};

use super::exchanges::{Exchange, Exchanges};
use super::{pipelines, InvariantViolation, Rule};
use crate::history::event::{Answer, Entry, Event, JobPhase, Moment, Reason, Request};

/// How far a job has come, by an answer about it: it never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Unknown,
    Accepted,
    Final,
}

fn stage(exchange: &Exchange) -> Option<Stage> {
    match (exchange.answer, &exchange.request) {
        (Answer::Status(200 | 201, Some(phase)), _) if phase.is_final() => Some(Stage::Final),
        (Answer::Status(200 | 201, _), _) => Some(Stage::Accepted),
        (Answer::Status(404, _), _) => Some(Stage::Unknown),
        // A known job is answered 200 whatever its repeated submission looks like.
        (Answer::Status(400 | 422, _), Request::Submit { .. }) => Some(Stage::Unknown),
        _ => None,
    }
}

/// The rules of this module.
pub(super) fn check(entries: &[Entry], exchanges: &Exchanges) -> Vec<InvariantViolation> {
    let confirmed = exchanges.confirmed_cancelled();
    let mut violations = Vec::new();
    for (uid, about) in exchanges.by_job() {
        violations.extend(invented(uid, &about));
        violations.extend(went_back(uid, &about));
        violations.extend(changed_final(uid, &about));
        let with_another = pipelines::ancestor_cancelled(uid, exchanges, &confirmed);
        violations.extend(never_cancelled(uid, &about, with_another));
    }
    violations.extend(not_done(entries, exchanges));
    violations.extend(records(entries));
    violations
}

/// A 200 for a job that nobody had submitted by then.
fn invented(uid: &str, about: &[&Exchange]) -> Vec<InvariantViolation> {
    let submitted = about.iter().find_map(|e| match e.request {
        Request::Submit { .. } => Some(e.asked),
        _ => None,
    });
    let answered = about.iter().filter(|e| e.answer.status() == Some(200));
    let before = answered.filter(|e| submitted.is_none_or(|at| e.answered < at));
    let violation = before.map(|e| InvariantViolation {
        rule: Rule::Invented,
        at: e.answered,
        what: format!("{uid} by node {}", e.node),
    });
    violation.collect()
}

/// Answers that are older than one that had arrived before their question was sent.
fn went_back(uid: &str, about: &[&Exchange]) -> Vec<InvariantViolation> {
    let mut by_answer: Vec<(&Exchange, Stage)> =
        about.iter().filter_map(|e| Some((*e, stage(e)?))).collect();
    by_answer.sort_by_key(|(e, _)| e.answered);
    let mut violations = Vec::new();
    for (later, its_stage) in &by_answer {
        let known = by_answer
            .iter()
            .take_while(|(e, _)| e.answered <= later.asked)
            .max_by_key(|(_, stage)| *stage);
        let Some((earlier, _)) = known.filter(|(_, known)| known > its_stage) else {
            continue;
        };
        let what = format!(
            "{uid}: node {} said {:?}, then node {} {:?}",
            earlier.node, earlier.answer, later.node, later.answer
        );
        let rule = match its_stage {
            Stage::Unknown => Rule::Forgotten,
            _ => Rule::WentBack,
        };
        let at = later.answered;
        let what_across = what.clone();
        violations.push(InvariantViolation { rule, at, what });
        let said_elsewhere = by_answer
            .iter()
            .any(|(e, s)| e.answered <= later.asked && s > its_stage && e.node != later.node);
        if said_elsewhere {
            violations.push(InvariantViolation {
                rule: Rule::OlderAnswer,
                at,
                what: what_across,
            });
        }
    }
    violations
}

/// Two final phases, in whatever order.
fn changed_final(uid: &str, about: &[&Exchange]) -> Option<InvariantViolation> {
    let mut finals: Vec<(&&Exchange, JobPhase)> = about
        .iter()
        .filter_map(|e| Some((e, e.answer.phase().filter(|p| p.is_final())?)))
        .collect();
    finals.sort_by_key(|(e, _)| e.answered);
    let (_, first) = *finals.first()?;
    let (exchange, other) = finals.iter().find(|(_, phase)| *phase != first)?;
    Some(InvariantViolation {
        rule: Rule::WentBack,
        at: exchange.answered,
        what: format!("{uid} was {first:?} and is {other:?}"),
    })
}

/// Called cancelled before anybody asked for it, of it or of a job that it needs.
/// `with_another`: when such a one was told to be cancelled.
fn never_cancelled(
    uid: &str,
    about: &[&Exchange],
    with_another: Option<Moment>,
) -> Option<InvariantViolation> {
    if with_another.is_some() {
        return None;
    }
    let asked = about.iter().find_map(|e| match e.request {
        Request::Cancel { .. } => Some(e.asked),
        _ => None,
    });
    let response = about
        .iter()
        .filter(|e| e.answer.phase() == Some(JobPhase::Cancelled));
    let first = response.min_by_key(|e| e.answered)?;
    asked
        .is_none_or(|at| at > first.answered)
        .then(|| InvariantViolation {
            rule: Rule::WentBack,
            at: first.answered,
            what: format!("{uid} is called cancelled, and its user didn't cancel it"),
        })
}

/// Jobs called done, by an answer or a record, before all their tasks were.
fn not_done(entries: &[Entry], exchanges: &Exchanges) -> Vec<InvariantViolation> {
    let mut called: Vec<(Moment, &str)> = exchanges
        .all
        .iter()
        .filter(|e| e.answer.phase() == Some(JobPhase::Done))
        .map(|e| (e.answered, e.request.uid()))
        .collect();
    called.extend(entries.iter().filter_map(|e| match &e.event {
        Event::Recorded { uid, phase } if *phase == JobPhase::Done => Some((e.at, uid.as_str())),
        _ => None,
    }));
    called.sort();
    let mut done: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
    let mut next = entries.iter().peekable();
    let mut violations = Vec::new();
    for (at, uid) in called {
        while let Some(entry) = next.next_if(|e| e.at <= at) {
            if let Event::Left(attempt, Reason::Done) = &entry.event {
                let of = done.entry(attempt.task.job.as_str()).or_default();
                of.insert(attempt.task.index);
            }
        }
        let Some(job) = exchanges.jobs.get(uid) else {
            continue;
        };
        let tasks = done.get(uid).map_or(0, BTreeSet::len) as u64;
        if tasks < job.tasks {
            let of = job.tasks;
            violations.push(InvariantViolation {
                rule: Rule::NotDone,
                at,
                what: format!("{uid} is called done with {tasks} of {of} tasks done"),
            });
        }
    }
    violations
}

/// A final record never becomes another one.
fn records(entries: &[Entry]) -> Vec<InvariantViolation> {
    let mut finals: BTreeMap<&str, JobPhase> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in entries {
        let Event::Recorded { uid, phase } = &entry.event else {
            continue;
        };
        let known = finals.get(uid.as_str()).copied();
        if let Some(known) = known.filter(|known| known != phase) {
            violations.push(InvariantViolation {
                rule: Rule::WentBack,
                at: entry.at,
                what: format!("{uid} was recorded as {known:?} and is now {phase:?}"),
            });
        } else if phase.is_final() {
            finals.insert(uid, *phase);
        }
    }
    violations
}
