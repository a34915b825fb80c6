//! `forgotten` (all polls for a job fail while most others are answered) and
//! `unanswered` (no question about a job is answered once troubles are over).

use std::time::Duration;

use super::exchanges::{Exchange, Exchanges};
use super::{InvariantViolation, Rule};
use crate::history::event::{Entry, Event, Limits, Moment, Request};

/// A spell in which every poll for a job failed.
struct SilentPeriod {
    from: Moment,
    to: Moment,
}

impl SilentPeriod {
    fn length(&self) -> Duration {
        self.to.saturating_sub(self.from)
    }
}

fn is_answered(exchange: &Exchange) -> bool {
    matches!(exchange.answer.status(), Some(200 | 201 | 404))
}

/// The spells of one job's polls sent from `since` on: each from its first failed
/// poll's question to the last one's end.
fn spells<'a>(about: impl Iterator<Item = &'a Exchange>, since: Moment) -> Vec<SilentPeriod> {
    let mut polls: Vec<&Exchange> = about
        .filter(|e| matches!(e.request, Request::Poll { .. }) && e.asked >= since)
        .collect();
    polls.sort_by_key(|e| e.answered);
    let mut spells = Vec::new();
    let mut open: Option<SilentPeriod> = None;
    for poll in polls {
        if is_answered(poll) {
            spells.extend(open.take());
            continue;
        }
        let spell = open.get_or_insert(SilentPeriod {
            from: poll.asked,
            to: poll.answered,
        });
        spell.to = poll.answered;
    }
    spells.extend(open);
    spells
}

/// Whether most polls about other jobs within a spell were answered.
fn others_are_answered(uid: &str, spell: &SilentPeriod, exchanges: &Exchanges) -> bool {
    let others = exchanges.all.iter().filter(|e| {
        matches!(e.request, Request::Poll { .. })
            && e.request.uid() != uid
            && e.asked >= spell.from
            && e.answered <= spell.to
    });
    let (answered, failed): (Vec<&Exchange>, Vec<&Exchange>) = others.partition(|e| is_answered(e));
    answered.len() > failed.len()
}

/// All polls about a job failed while others were answered.
fn all_polls_failed(uid: &str, spell: &SilentPeriod, limits: &Limits) -> InvariantViolation {
    InvariantViolation {
        rule: Rule::Forgotten,
        at: spell.from + limits.polls_fail,
        what: format!("{uid}: all polls failed for {:?}", spell.length()),
    }
}

/// A job's users had no answer for too long after the troubles.
fn unanswered(uid: &str, spell: &SilentPeriod, limits: &Limits) -> InvariantViolation {
    InvariantViolation {
        rule: Rule::Unanswered,
        at: spell.from + limits.unanswered,
        what: format!("{uid}: unanswered for {:?}", spell.length()),
    }
}

/// The rules of this module.
pub(super) fn check(
    entries: &[Entry],
    exchanges: &Exchanges,
    limits: &Limits,
) -> Vec<InvariantViolation> {
    let accepted = exchanges.accepted();
    let over = entries
        .iter()
        .find(|e| e.event == Event::TroublesOver)
        .map(|e| e.at);
    let mut violations = Vec::new();
    for (uid, about) in exchanges.by_job() {
        let Some(accepted) = accepted.get(uid) else {
            continue;
        };
        let polls = || about.iter().copied();
        for spell in spells(polls(), *accepted) {
            let long = spell.length() >= limits.polls_fail;
            if long && others_are_answered(uid, &spell, exchanges) {
                violations.push(all_polls_failed(uid, &spell, limits));
            }
        }
        let Some(over) = over else {
            continue;
        };
        for spell in spells(polls(), over.max(*accepted)) {
            if spell.length() >= limits.unanswered {
                violations.push(unanswered(uid, &spell, limits));
            }
        }
    }
    violations
}
