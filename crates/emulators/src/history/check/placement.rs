//! `ran_twice`, `quota`, `wrong_place`, `nothing_ran` and `wrongly_accepted`: what
//! runs where, and what may.

use std::collections::{BTreeMap, BTreeSet};

use super::exchanges::{reject_reason, Exchanges};
use super::{InvariantViolation, Rule};
use crate::history::event::{AttemptId, Entry, Event, Machine, Moment, Request, TaskName};
use crate::history::job::{Amounts, Job, Site};

/// What is on the machines at one moment.
#[derive(Default)]
pub(super) struct Occupancy {
    /// Machines that are up.
    pub machines: BTreeMap<String, Machine>,
    /// Tasks on machines.
    pub present: BTreeSet<AttemptId>,
}

impl Occupancy {
    /// Takes an event in.
    pub(super) fn apply(&mut self, event: &Event) {
        match event {
            Event::MachineUp(machine) => {
                self.machines.insert(machine.id.clone(), machine.clone());
            }
            Event::MachineGone(id) => {
                self.machines.remove(id);
                self.present.retain(|a| a.machine != *id);
            }
            Event::Started(attempt) => {
                self.present.insert(attempt.clone());
            }
            Event::Left(attempt, _) => {
                self.present.remove(attempt);
            }
            _ => {}
        }
    }

    /// What a team's tasks use.
    pub(super) fn used_by_team(&self, team: &str, jobs: &BTreeMap<String, Job>) -> Amounts {
        let jobs_of = self.present.iter().filter_map(|a| jobs.get(&a.task.job));
        let of_team = jobs_of.filter(|j| j.team == team);
        of_team.fold(Amounts::default(), |sum, j| sum.plus(j.each))
    }

    /// What is used on a machine.
    pub(super) fn used_on(&self, machine: &str, jobs: &BTreeMap<String, Job>) -> Amounts {
        let here = self.present.iter().filter(|a| a.machine == machine);
        let jobs_of = here.filter_map(|a| jobs.get(&a.task.job));
        jobs_of.fold(Amounts::default(), |sum, j| sum.plus(j.each))
    }

    /// Why a task of a job may not start on a machine, given the job's other tasks.
    pub(super) fn misplaced(
        &self,
        task: &TaskName,
        job: &Job,
        machine: &Machine,
    ) -> Option<&'static str> {
        if !job.allows_type(&machine.build) {
            return Some("type not allowed");
        }
        if job.zone.as_ref().is_some_and(|z| *z != machine.zone) {
            return Some("zone not allowed");
        }
        if machine.spot && !job.spot {
            return Some("spot machine not allowed");
        }
        let others: BTreeMap<&TaskName, &str> = self
            .present
            .iter()
            .filter(|a| a.task.job == task.job && a.task != *task)
            .filter_map(|a| Some((&a.task, self.machines.get(&a.machine)?.zone.as_str())))
            .collect();
        if job.together && others.values().any(|zone| *zone != machine.zone) {
            return Some("not together with the job's other tasks");
        }
        let here = others.values().filter(|zone| **zone == machine.zone);
        if here.count() as u64 >= job.max_in_zone() {
            return Some("too many of the job's tasks in the zone");
        }
        None
    }
}

/// The rules of this module.
pub(super) fn check(
    entries: &[Entry],
    exchanges: &Exchanges,
    site: &Site,
) -> Vec<InvariantViolation> {
    let mut violations = wrongly_accepted(exchanges, site);
    let mut occupancy = Occupancy::default();
    let mut started = false;
    for entry in entries {
        if let Event::Started(attempt) = &entry.event {
            started = true;
            violations.extend(start(&occupancy, attempt, exchanges, entry.at));
        }
        occupancy.apply(&entry.event);
        if let Event::Started(attempt) = &entry.event {
            violations.extend(over_limit(&occupancy, attempt, exchanges, site, entry.at));
        }
    }
    if !started {
        violations.push(InvariantViolation {
            rule: Rule::NothingRan,
            at: entries.last().map_or(Moment::ZERO, |e| e.at),
            what: "no task was started".into(),
        });
    }
    violations
}

/// What a start breaks, given what is on the machines before it.
fn start(
    occupancy: &Occupancy,
    attempt: &AttemptId,
    exchanges: &Exchanges,
    at: Moment,
) -> Vec<InvariantViolation> {
    let AttemptId { task, machine, .. } = attempt;
    let name = format!("{}/{}", task.job, task.index);
    let violation = |rule, what| InvariantViolation { rule, at, what };
    let mut violations = Vec::new();
    let elsewhere = occupancy.present.iter().find(|a| a.task == *task);
    if let Some(other) = elsewhere {
        let what = format!("{name} is on {} and starts on {machine}", other.machine);
        violations.push(violation(Rule::RanTwice, what));
    }
    let (Some(job), Some(there)) = (
        exchanges.jobs.get(&task.job),
        occupancy.machines.get(machine),
    ) else {
        return violations;
    };
    if let Some(why) = occupancy.misplaced(task, job, there) {
        violations.push(violation(
            Rule::WrongPlace,
            format!("{name} on {machine}: {why}"),
        ));
    }
    violations
}

/// Whether a team uses more than its limit once a task has started.
fn over_limit(
    occupancy: &Occupancy,
    attempt: &AttemptId,
    exchanges: &Exchanges,
    site: &Site,
    at: Moment,
) -> Option<InvariantViolation> {
    let job = exchanges.jobs.get(&attempt.task.job)?;
    let team = site.team(&job.team)?;
    let used = occupancy.used_by_team(&job.team, &exchanges.jobs);
    (!team.allows(used)).then(|| InvariantViolation {
        rule: Rule::Quota,
        at,
        what: format!("{} uses {used:?}", job.team),
    })
}

/// Jobs that were accepted although no submission of them can run.
fn wrongly_accepted(exchanges: &Exchanges, site: &Site) -> Vec<InvariantViolation> {
    let mut violations = Vec::new();
    for (uid, about) in exchanges.by_job() {
        for exchange in about.iter().filter(|e| e.accepts()) {
            let fit = about.iter().any(|other| match &other.request {
                Request::Submit { body, .. } => {
                    other.asked <= exchange.answered && reject_reason(body, site).is_none()
                }
                _ => false,
            });
            if fit {
                continue;
            }
            if let Request::Submit { body, .. } = &exchange.request {
                violations.push(InvariantViolation {
                    rule: Rule::WronglyAccepted,
                    at: exchange.answered,
                    what: format!("{uid}: {:?}", reject_reason(body, site)),
                });
            }
        }
    }
    violations
}
