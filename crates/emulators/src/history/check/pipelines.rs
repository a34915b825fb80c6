//! `too_early` and `orphaned`: jobs that wait for others (`waits_on`).

use std::collections::{BTreeMap, BTreeSet};

use super::exchanges::Exchanges;
use super::{InvariantViolation, Rule};
use crate::history::event::{Entry, Event, JobPhase, Limits, Moment, Reason};

/// The rules of this module.
pub(super) fn check(
    entries: &[Entry],
    exchanges: &Exchanges,
    limits: &Limits,
) -> Vec<InvariantViolation> {
    let mut violations = too_early(entries, exchanges);
    violations.extend(orphaned(exchanges, limits));
    violations
}

/// A task starts before all tasks of all jobs that its job needs have completed.
fn too_early(entries: &[Entry], exchanges: &Exchanges) -> Vec<InvariantViolation> {
    let mut done: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in entries {
        match &entry.event {
            Event::Left(attempt, Reason::Done) => {
                let of = done.entry(attempt.task.job.as_str()).or_default();
                of.insert(attempt.task.index);
            }
            Event::Started(attempt) => {
                let task = &attempt.task;
                let job = exchanges.jobs.get(&task.job);
                let needs = job.map_or(&[][..], |j| &j.needs);
                let open = needs.iter().find(|need| {
                    let tasks = exchanges.jobs.get(*need).map(|j| j.tasks);
                    let ended = done.get(need.as_str()).map_or(0, BTreeSet::len) as u64;
                    tasks.is_none_or(|tasks| ended < tasks)
                });
                violations.extend(open.map(|need| InvariantViolation {
                    rule: Rule::TooEarly,
                    at: entry.at,
                    what: format!("{}/{} starts before {need} is done", task.job, task.index),
                }));
            }
            _ => {}
        }
    }
    violations
}

/// When the first job before it, directly or through others, was told to be cancelled.
pub(super) fn ancestor_cancelled(
    uid: &str,
    exchanges: &Exchanges,
    confirmed: &BTreeMap<&str, Moment>,
) -> Option<Moment> {
    let mut seen: BTreeSet<&str> = BTreeSet::new();
    let mut next = vec![uid];
    let mut first: Option<Moment> = None;
    while let Some(at) = next.pop() {
        let needs = exchanges.jobs.get(at).map_or(&[][..], |j| &j.needs);
        for need in needs.iter().filter(|n| seen.insert(n.as_str())) {
            let response = confirmed.get(need.as_str()).copied();
            first = first.into_iter().chain(response).min();
            next.push(need);
        }
    }
    first
}

/// A job is still called queued or running more than `cancel_s` after the user of a job
/// before it was told that that one is cancelled.
fn orphaned(exchanges: &Exchanges, limits: &Limits) -> Vec<InvariantViolation> {
    let confirmed = exchanges.confirmed_cancelled();
    let open = exchanges.all.iter().filter(|e| {
        let phase = e.answer.phase();
        phase.is_some_and(|p| matches!(p, JobPhase::Pending | JobPhase::Running))
    });
    let late = open.filter_map(|e| {
        let uid = e.request.uid();
        let cancelled = ancestor_cancelled(uid, exchanges, &confirmed)?;
        // A question that was under way may be answered as things stood before.
        (e.asked > cancelled + limits.cancel).then(|| InvariantViolation {
            rule: Rule::Orphaned,
            at: e.answered,
            what: format!("{uid} is called {:?} by node {}", e.answer, e.node),
        })
    });
    late.collect()
}
