//! Room held for windows of the release calendar, on machines that are there.
//!
//! Held room is taken by nobody but the window's own work, unless it is lent
//! ([`sorrelhinge_calendar::lend`]); it counts in its team's limit. Where it is,
//! no record says: each owner chooses anew, from what it hears of its machines.

use std::collections::BTreeMap;
use std::rc::Rc;

use sorrelhinge_calendar::lend::{may_lend, Borrower, Lend};
use sorrelhinge_calendar::settings::Window;

use super::machine::Machine;
use super::tasks::{Claim, Progress};
use super::{ClusterState, Job};
use crate::types::{Amount, Image, JobId, JobSpec, Kind, MachineId, MachineType, Time, Zone};

/// To whom held room may be lent, see [`may_lend`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lending {
    /// When its window begins, as early as clocks may say and less its `early_s`.
    pub until: Time,
    /// Seconds until a task that is to stop is told.
    pub stop_s: f64,
    /// How long the window's work may wait, in seconds.
    pub wait_s: f64,
}

/// How much room a window is to have here.
#[derive(Clone, Debug, PartialEq)]
pub struct Hold {
    /// The window.
    pub window: Rc<Window>,
    /// Its team's place in [`ClusterState::teams`].
    pub team: usize,
    /// So many tasks' room, with what its work uses.
    pub tasks: u32,
    /// To whom it may be lent.
    pub lending: Lending,
}

/// A hold, and where its room is.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) hold: Hold,
    /// What the claims of its window's work take.
    used: Amount,
    /// Tasks' room set aside, by machine.
    pub(super) placed: BTreeMap<MachineId, u32>,
}

impl Held {
    pub(super) fn is_for(&self, team: usize, spec: &JobSpec) -> bool {
        self.hold.team == team && self.hold.window.is_for(&spec.team, &spec.class)
    }

    /// So many of its tasks take what its work uses.
    pub(super) fn used_tasks(&self) -> u32 {
        let each = self.hold.window.each();
        let of = |used: i64, each: i64| match each {
            0 => 0,
            each => (used.max(0) + each - 1) / each,
        };
        let most = of(self.used.cpu, each.cpu)
            .max(of(self.used.gpu, each.gpu))
            .max(of(self.used.ram, each.ram));
        u32::try_from(most).unwrap_or(u32::MAX)
    }

    /// What is to be set aside beside what is used.
    pub(super) fn open(&self) -> u32 {
        self.hold.tasks.saturating_sub(self.used_tasks())
    }

    pub(super) fn set_aside(&self) -> u32 {
        self.placed.values().sum()
    }

    /// Lets room go that is set aside beyond what is due, on `first` first.
    fn trim(&mut self, first: &MachineId) {
        let mut over = self.set_aside().saturating_sub(self.open());
        while over > 0 {
            let at = match self.placed.contains_key(first) {
                true => Some(first.clone()),
                false => self.placed.keys().next_back().cloned(),
            };
            let Some(at) = at else { return };
            if let Some(n) = self.placed.get_mut(&at) {
                let gone = (*n).min(over);
                over -= gone;
                *n -= gone;
                if *n == 0 {
                    self.placed.remove(&at);
                }
            }
        }
    }
}

/// All holds, by their windows' names.
#[derive(Clone, Debug, Default)]
pub(super) struct Holds(pub(super) BTreeMap<String, Held>);

impl Holds {
    /// Work was placed: its window's hold is smaller by as much.
    pub fn taken(&mut self, team: usize, spec: &JobSpec, machine: &MachineId) {
        for held in self.0.values_mut().filter(|h| h.is_for(team, spec)) {
            held.used += spec.each;
            held.trim(machine);
        }
    }

    /// Work has ended.
    pub fn left(&mut self, team: usize, spec: &JobSpec) {
        for held in self.0.values_mut().filter(|h| h.is_for(team, spec)) {
            held.used -= spec.each;
        }
    }

    /// A machine is gone.
    pub fn drop_machine(&mut self, id: &MachineId) {
        for held in self.0.values_mut() {
            held.placed.remove(id);
        }
    }
}

/// How long until a claim's task ends by its estimate, with its image's fetch;
/// none if it doesn't by itself.
fn ends_in_s(job: &Job, claim: Option<&Claim>, kind: &MachineType, now: Time) -> Option<f64> {
    if job.spec.kind != Kind::Array {
        return None;
    }
    let ran = claim.map(|c| c.progress);
    match ran {
        // Estimates are too small at times: what has run longer is not over.
        Some(Progress::Running(since)) => Some((job.spec.estimate_s - now.since(since)).max(2.0)),
        _ => {
            let fetch = job.spec.image_gb / kind.fetch_gb_per_s.max(1e-3);
            Some(job.spec.estimate_s + fetch)
        }
    }
}

impl ClusterState {
    /// What windows are to have from now on; chooses the machines.
    pub fn set_holds(&mut self, holds: Vec<Hold>, now: Time) {
        let mut before = std::mem::take(&mut self.holds.0);
        for hold in holds {
            let name = hold.window.name.clone();
            let placed = before.remove(&name).map_or(BTreeMap::new(), |h| h.placed);
            let mut held = Held {
                hold,
                used: Amount::default(),
                placed,
            };
            for job in self.jobs.values() {
                if held.is_for(job.team, &job.spec) {
                    held.used += job.spec.each.times(job.tasks.claims().len() as i64);
                }
            }
            self.holds.0.insert(name, held);
        }
        self.settle_holds(now);
    }

    /// Chooses machines for all that is held: those with the images first, then
    /// those that were held before, spread over the window's zones.
    fn settle_holds(&mut self, now: Time) {
        // Where machines are short, what lies within a guarantee goes first.
        let mut order: Vec<(bool, String)> = self
            .holds
            .0
            .iter()
            .map(|(name, held)| {
                let all = self.teams[held.hold.team].used
                    + held.hold.window.each().times(i64::from(held.open()));
                let beyond = !all.fits_team(self.teams[held.hold.team].guarantee);
                (beyond, name.clone())
            })
            .collect();
        order.sort();
        let mut old = BTreeMap::new();
        for (name, held) in &mut self.holds.0 {
            old.insert(name.clone(), std::mem::take(&mut held.placed));
        }
        for (_, name) in order {
            let before = old.remove(&name).unwrap_or_default();
            let placed = self.choose(&name, &before, now);
            if let Some(held) = self.holds.0.get_mut(&name) {
                held.placed = placed;
            }
        }
    }

    fn choose(
        &self,
        name: &str,
        before: &BTreeMap<MachineId, u32>,
        now: Time,
    ) -> BTreeMap<MachineId, u32> {
        let mut placed = BTreeMap::new();
        let Some(held) = self.holds.0.get(name).filter(|h| h.open() > 0) else {
            return placed;
        };
        let window = &held.hold.window;
        let zoned = !window.zones.is_empty();
        let queue_of = |m: &Machine| zoned.then(|| m.zone.clone());
        type Candidate<'a> = ((usize, bool, usize), &'a MachineId, u32);
        let mut queues: BTreeMap<Option<Zone>, Vec<Candidate>> = BTreeMap::new();
        for (id, m) in &self.machines {
            let room = self.room_to_hold(held, id, m, now);
            let n = window.each().how_many(room);
            if n == 0 {
                continue;
            }
            let absent = window
                .images
                .iter()
                .filter(|i| !m.cache.has(&Image::from(i.as_str())));
            let sort = window.types.iter().position(|t| t == m.kind.name.as_str());
            let rank = (absent.count(), !before.contains_key(id), sort.unwrap_or(0));
            queues.entry(queue_of(m)).or_default().push((rank, id, n));
        }
        for queue in queues.values_mut() {
            // The best is taken from the end.
            queue.sort_by(|a, b| b.cmp(a));
        }
        let mut counts = self.used_in_zones(held, zoned);
        for _ in 0..held.open() {
            queues.retain(|_, queue| !queue.is_empty());
            let emptiest = queues
                .keys()
                .min_by_key(|zone| counts.get(*zone).copied().unwrap_or(0));
            let Some(zone) = emptiest.cloned() else { break };
            let Some(queue) = queues.get_mut(&zone) else {
                break;
            };
            let Some((_, id, n)) = queue.last_mut() else {
                break;
            };
            *placed.entry((*id).clone()).or_insert(0) += 1;
            *n -= 1;
            if *n == 0 {
                queue.pop();
            }
            *counts.entry(zone).or_insert(0) += 1;
        }
        placed
    }

    /// How many tasks of a window's work are in each zone.
    pub(super) fn used_in_zones(&self, held: &Held, zoned: bool) -> BTreeMap<Option<Zone>, u32> {
        let mut counts = BTreeMap::new();
        if !zoned {
            return counts;
        }
        let work = self.jobs.values().filter(|j| held.is_for(j.team, &j.spec));
        for claim in work.flat_map(|j| j.tasks.claims().values()) {
            if let Some(m) = self.machines.get(&claim.machine) {
                *counts.entry(Some(m.zone.clone())).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Room on a machine that a window can have: what is free, and what others'
    /// work leaves in time.
    fn room_to_hold(&self, held: &Held, id: &MachineId, m: &Machine, now: Time) -> Amount {
        let window = &held.hold.window;
        // Spot machines are taken away at any time, and not all work may use them.
        if !m.usable || m.spot || !window.allows(m.kind.name.as_str(), m.zone.as_str()) {
            return Amount::default();
        }
        let mut room = m.free();
        for task in &m.claims {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let claim = job.tasks.claims().get(&task.index);
            let leaves = !held.is_for(job.team, &job.spec)
                && (claim.is_some_and(|c| c.stop.is_some())
                    || self.lends(held, job, claim, m, now));
            if leaves {
                room += job.spec.each;
            }
        }
        for other in self.holds.0.values() {
            if other.hold.window.name != window.name {
                let there = other.placed.get(id).copied().unwrap_or(0);
                room -= other.hold.window.each().times(i64::from(there));
            }
        }
        if let Some((_, amount)) = self.gang_room.get(id) {
            room -= *amount;
        }
        room
    }

    /// Whether a hold's room is lent to a job's task, claimed or to be.
    fn lends(&self, held: &Held, job: &Job, claim: Option<&Claim>, m: &Machine, now: Time) -> bool {
        let team = &self.teams[job.team];
        let more = match claim {
            Some(_) => Amount::default(),
            None => job.spec.each,
        };
        let own = &self.teams[held.hold.team];
        let whole = own.used + held.hold.window.each().times(i64::from(held.open()));
        // PROTOCOL lets a borrower's work be stopped for a team's guarantee; what
        // priority the window's work will have is not known.
        let stoppable = job.spec.kind == Kind::Array
            && job.team != held.hold.team
            && !(team.used + more).fits_team(team.guarantee)
            && whole.fits_team(own.guarantee);
        let work = Borrower {
            ends_in_s: ends_in_s(job, claim, &m.kind, now),
            stoppable,
            stash_s: match job.spec.checkpoint_s > 0.0 {
                true => job.spec.save_s,
                false => 0.0,
            },
        };
        let lending = &held.hold.lending;
        let left_s = lending.until.since(now);
        may_lend(&work, left_s, lending.stop_s, lending.wait_s) != Lend::No
    }

    /// What is held on a machine and not lent to a job.
    pub(super) fn held_from(&self, id: &JobId, m_id: &MachineId, now: Time) -> Amount {
        let mut sum = Amount::default();
        if self.holds.0.is_empty() {
            return sum;
        }
        let (Some(job), Some(m)) = (self.jobs.get(id), self.machines.get(m_id)) else {
            return sum;
        };
        for held in self.holds.0.values() {
            let Some(n) = held.placed.get(m_id) else {
                continue;
            };
            if !held.is_for(job.team, &job.spec) && !self.lends(held, job, None, m, now) {
                sum += held.hold.window.each().times(i64::from(*n));
            }
        }
        sum
    }

    /// Whether room is held on a machine.
    pub(super) fn has_held_room(&self, m_id: &MachineId) -> bool {
        self.holds.0.values().any(|h| h.placed.contains_key(m_id))
    }

    /// What a job's team may use, less what is held for other work of the team:
    /// held room is inside the limit, whether or not its machines are there.
    pub(super) fn limit_for(&self, job: &Job) -> Amount {
        let mut limit = self.teams[job.team].limit;
        for held in self.holds.0.values() {
            if held.hold.team == job.team && !held.is_for(job.team, &job.spec) {
                limit -= held.hold.window.each().times(i64::from(held.open()));
            }
        }
        limit
    }

    /// What is held of each team's limit beside what is used.
    pub fn held_of_limits(&self) -> Vec<Amount> {
        let mut sums = vec![Amount::default(); self.teams.len()];
        for held in self.holds.0.values() {
            sums[held.hold.team] += held.hold.window.each().times(i64::from(held.open()));
        }
        sums
    }

    /// Room appeared on a machine: what a hold still lacks is set aside there
    /// before anybody else has it.
    pub fn top_up_holds(&mut self, id: &MachineId, now: Time) {
        let lacking = |h: &Held| h.open().saturating_sub(h.set_aside());
        let names: Vec<String> = self
            .holds
            .0
            .iter()
            .filter(|(_, h)| lacking(h) > 0)
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let (Some(held), Some(m)) = (self.holds.0.get(&name), self.machines.get(id)) else {
                return;
            };
            let window = &held.hold.window;
            let here = held.placed.get(id).copied().unwrap_or(0);
            let fit = window.each().how_many(self.room_to_hold(held, id, m, now));
            let mut more = fit.saturating_sub(here).min(lacking(held));
            if !window.zones.is_empty() {
                let share = held.hold.tasks.div_ceil(window.zones.len() as u32);
                let in_zone: u32 = held
                    .placed
                    .iter()
                    .filter(|(other, _)| {
                        self.machines.get(*other).is_some_and(|o| o.zone == m.zone)
                    })
                    .map(|(_, n)| n)
                    .sum();
                more = more.min(share.saturating_sub(in_zone));
            }
            if more > 0 {
                if let Some(held) = self.holds.0.get_mut(&name) {
                    held.placed.insert(id.clone(), here + more);
                }
            }
        }
    }
}
