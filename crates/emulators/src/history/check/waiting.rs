//! `left_waiting`: once troubles are over, a job waits although a machine that fits
//! has free capacity and its team is under its limit.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use super::exchanges::Exchanges;
use super::placement::Occupancy;
use super::{InvariantViolation, Rule};
use crate::history::event::{Entry, Event, Limits, Moment, Reason, Request, TaskName};
use crate::history::job::{Job, Site};

/// What of the jobs and machines matters here, at one moment.
struct Scene<'a> {
    occupancy: Occupancy,
    /// Machines that can't be used.
    out: BTreeSet<&'a str>,
    done: BTreeSet<&'a TaskName>,
    exchanges: &'a Exchanges,
    site: &'a Site,
}

impl<'a> Scene<'a> {
    /// Before anything has happened.
    fn new(exchanges: &'a Exchanges, site: &'a Site) -> Self {
        Self {
            occupancy: Occupancy::default(),
            out: BTreeSet::new(),
            done: BTreeSet::new(),
            exchanges,
            site,
        }
    }

    /// What happened changes who is where.
    fn apply(&mut self, event: &'a Event) {
        self.occupancy.apply(event);
        match event {
            Event::MachineOut(id) => {
                self.out.insert(id);
            }
            Event::MachineBack(id) => {
                self.out.remove(id.as_str());
            }
            Event::Left(attempt, Reason::Done) => {
                self.done.insert(&attempt.task);
            }
            _ => {}
        }
    }

    /// The first task of a job that is neither done nor on a machine.
    fn waiting_task(&self, uid: &str, job: &Job) -> Option<TaskName> {
        let present: BTreeSet<u64> = self
            .occupancy
            .present
            .iter()
            .filter(|a| a.task.job == uid)
            .map(|a| a.task.index)
            .collect();
        let mut tasks = (0..job.tasks).filter(|index| !present.contains(index));
        let named = |index| TaskName {
            job: uid.to_owned(),
            index,
        };
        tasks.find_map(|index| {
            let task = named(index);
            (!self.done.contains(&task)).then_some(task)
        })
    }

    /// Whether all tasks of a job have completed.
    fn is_done(&self, uid: &str) -> bool {
        let tasks = self.done.iter().filter(|t| t.job == uid).count() as u64;
        let job = self.exchanges.jobs.get(uid);
        job.is_some_and(|j| tasks >= j.tasks)
    }

    /// Whether a task of the job could start at once.
    fn could_run(&self, uid: &str, job: &Job) -> bool {
        if !job.needs.iter().all(|need| self.is_done(need)) {
            return false;
        }
        let Some(task) = self.waiting_task(uid, job) else {
            return false;
        };
        let jobs = &self.exchanges.jobs;
        let used = self.occupancy.used_by_team(&job.team, jobs);
        let within = self.site.team(&job.team);
        if !within.is_some_and(|t| t.allows(used.plus(job.each))) {
            return false;
        }
        let usable = self.occupancy.machines.values();
        let mut usable = usable.filter(|m| !self.out.contains(m.id.as_str()));
        usable.any(|machine| {
            let used = self.occupancy.used_on(&machine.id, jobs);
            used.plus(job.each).fits(machine.free_capacity)
                && self.occupancy.misplaced(&task, job, machine).is_none()
        })
    }
}

/// When each accepted job begins to count, and when it no longer does: its user
/// asked to cancel it, or was told that it is over.
fn span(uid: &str, exchanges: &Exchanges, end: Moment) -> Option<Range<Moment>> {
    let about = exchanges.all.iter().filter(|e| e.request.uid() == uid);
    let (mut from, mut to) = (None, end);
    for exchange in about {
        if exchange.accepts() {
            let at = from.get_or_insert(exchange.answered);
            *at = exchange.answered.min(*at);
        }
        if matches!(exchange.request, Request::Cancel { .. }) {
            to = to.min(exchange.asked);
        }
        if exchange
            .answer
            .phase()
            .is_some_and(|phase| phase.is_final())
        {
            to = to.min(exchange.answered);
        }
    }
    Some(from?..to)
}

/// A job whose waits count, while they do.
struct CountedJob<'a> {
    uid: &'a str,
    job: &'a Job,
    span: Range<Moment>,
}

/// All accepted jobs but gangs, which need room for all their tasks at once.
fn counted_jobs(exchanges: &Exchanges, end: Moment) -> Vec<CountedJob<'_>> {
    let jobs = exchanges.jobs.iter().filter(|(_, job)| !job.gang);
    let counted = jobs.filter_map(|(uid, job)| {
        Some(CountedJob {
            uid,
            job,
            span: span(uid, exchanges, end)?,
        })
    });
    counted.collect()
}

/// The rule of this module. A job whose tasks start is not left waiting: its time
/// begins anew with each start. Gangs need room for all their tasks at once, and
/// are left out.
pub(super) fn check(
    entries: &[Entry],
    exchanges: &Exchanges,
    site: &Site,
    limits: &Limits,
    end: Moment,
) -> Vec<InvariantViolation> {
    let over = entries.iter().position(|e| e.event == Event::TroublesOver);
    let Some(over) = over else {
        return Vec::new();
    };
    let jobs = counted_jobs(exchanges, end);
    let mut scene = Scene::new(exchanges, site);
    let mut since: BTreeMap<&str, Moment> = BTreeMap::new();
    let mut found: BTreeMap<&str, Moment> = BTreeMap::new();
    for (place, entry) in entries.iter().enumerate() {
        scene.apply(&entry.event);
        if let Event::Started(attempt) = &entry.event {
            since.remove(attempt.task.job.as_str());
        }
        if place < over {
            continue;
        }
        // What is so now lasts until the next entry, or the end.
        let next = entries.get(place + 1).map_or(end, |e| e.at);
        for CountedJob { uid, job, span } in &jobs {
            if span.start > next || span.end <= entry.at || !scene.could_run(uid, job) {
                since.remove(uid);
                continue;
            }
            let began = *since.entry(uid).or_insert(entry.at.max(span.start));
            if next.min(span.end).saturating_sub(began) >= limits.waiting {
                found.entry(uid).or_insert(began + limits.waiting);
            }
        }
    }
    let found = found.into_iter();
    found.map(|(uid, at)| violation(uid, at, limits)).collect()
}

fn violation(uid: &str, at: Moment, limits: &Limits) -> InvariantViolation {
    InvariantViolation {
        rule: Rule::LeftWaiting,
        at,
        what: format!("{uid} waited for {:?} where it could run", limits.waiting),
    }
}
