//! `ran_cancelled` and `started_cancelled`: what runs of cancelled jobs.

use std::collections::BTreeMap;

use super::exchanges::Exchanges;
use super::{InvariantViolation, Rule};
use crate::history::event::{AttemptId, Entry, Event, Limits, Moment};

/// An attempt's time on its machine.
struct Stay<'a> {
    attempt: &'a AttemptId,
    from: Moment,
    to: Moment,
}

/// When each attempt came and left; what never left stays until the end.
fn stays(entries: &[Entry], end: Moment) -> Vec<Stay<'_>> {
    let mut open: BTreeMap<&AttemptId, Moment> = BTreeMap::new();
    let mut stays = Vec::new();
    for entry in entries {
        let left: Vec<&AttemptId> = match &entry.event {
            Event::Started(attempt) => {
                open.entry(attempt).or_insert(entry.at);
                continue;
            }
            Event::Left(attempt, _) => open.keys().filter(|a| **a == attempt).copied().collect(),
            Event::MachineGone(id) => open.keys().filter(|a| a.machine == *id).copied().collect(),
            _ => continue,
        };
        for attempt in left {
            if let Some(from) = open.remove(attempt) {
                let to = entry.at;
                stays.push(Stay { attempt, from, to });
            }
        }
    }
    let rest = open.into_iter();
    stays.extend(rest.map(|(attempt, from)| Stay {
        attempt,
        from,
        to: end,
    }));
    stays
}

/// The rules of this module.
pub(super) fn check(
    entries: &[Entry],
    exchanges: &Exchanges,
    limits: &Limits,
    end: Moment,
) -> Vec<InvariantViolation> {
    let confirmed = exchanges.confirmed_cancelled();
    let mut violations = Vec::new();
    let mut starts = Vec::new();
    for stay in stays(entries, end) {
        let task = &stay.attempt.task;
        let Some(confirmed) = confirmed.get(task.job.as_str()) else {
            continue;
        };
        let name = format!("{}/{}", task.job, task.index);
        let machine = &stay.attempt.machine;
        if stay.to > *confirmed + limits.cancel {
            let over = (stay.to - *confirmed).as_secs_f64();
            violations.push(InvariantViolation {
                rule: Rule::RanCancelled,
                at: stay.from.max(*confirmed + limits.cancel),
                what: format!("{name} is on {machine} until {over:.3} s after the confirmation"),
            });
        }
        if stay.from > *confirmed {
            starts.push((stay.from, format!("{name} on {machine}")));
        }
    }
    if starts.len() > limits.starts_after_cancel {
        starts.sort();
        let (at, _) = starts[limits.starts_after_cancel];
        let all: Vec<String> = starts.into_iter().map(|(_, what)| what).collect();
        violations.push(InvariantViolation {
            rule: Rule::StartedCancelled,
            at,
            what: format!("{} starts: {}", all.len(), all.join(", ")),
        });
    }
    violations
}
