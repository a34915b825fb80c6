//! Windows of the release calendar: what the owner sees of them, what it holds,
//! and which steps are due. Steps and their records are of
//! [`sorrelhinge_calendar::plan`]; where room is held, of [`crate::sched::Hold`].

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use sorrelhinge_calendar::plan::{divide, steps, Change as Due, Clock, Seen, Whole};
use sorrelhinge_calendar::record::{key, Entry, Step, WindowRecord};
use sorrelhinge_calendar::settings::Window;

use super::calendar_needs::RENTED_AT_ONCE;
use super::Core;
use crate::sched::{Hold, Lending};
use crate::state::record::Phase;
use crate::state::view::{Versioned, View};
use crate::state::{Change, Txn, When};
use crate::types::{
    Amount, Image, JobSpec, Kind, MachineType, Priority, Revision, Time, TypeName, Zone,
};

/// A machine that takes this many usual boots is slow, and one that takes longer
/// is given up.
const SLOW_BOOTS: f64 = 2.5;
/// A task that is to stop is told within two reports at the worst.
const STOP_REPORTS: f64 = 2.0;

/// A window, or what is left of one.
#[derive(Debug)]
pub(super) struct Watch {
    pub(super) entry: Option<Entry>,
    /// Its occurrences' records and their stamps.
    pub(super) records: BTreeMap<i64, Versioned<WindowRecord>>,
    /// When its work last ran or waited, as far as this owner saw.
    busy_at: Time,
    /// How many tasks' room is on its way for it.
    pub(super) coming: u32,
    pub(super) seen: Option<Seen>,
    pub(super) whole: Whole,
    /// What was last said of a shortage, and when.
    pub(super) said: Option<(String, Time)>,
}

/// All windows that this owner knows.
#[derive(Debug, Default)]
pub(super) struct Windows {
    pub(super) watched: BTreeMap<String, Watch>,
    /// Requests of the cloud fail until then, for another reason than capacity.
    pub(super) failing_until: Option<Time>,
}

impl Windows {
    /// Whether any room is held.
    pub fn hold(&self) -> bool {
        self.watched.values().any(|w| w.whole.hold > 0)
    }

    /// A request of the cloud failed.
    pub fn failed(&mut self, until: Time) {
        self.failing_until = Some(until);
    }

    /// What was packed into machines on their way.
    pub fn set_coming(&mut self, coming: &BTreeMap<String, u32>) {
        for (name, watch) in &mut self.watched {
            watch.coming = coming.get(name).copied().unwrap_or(0);
        }
    }
}

/// A step to record.
#[derive(Debug)]
pub struct WindowStep {
    /// The window.
    pub window: String,
    /// The occurrence's beginning, in milliseconds of the time of day.
    pub start_ms: i64,
    /// The step; none: the record goes.
    pub step: Option<Step>,
    /// The change, on the conditions that the grant and the record are the same.
    pub txn: Txn,
}

/// What a team's and a window's work takes in all blocks, by the records.
#[derive(Default)]
struct Counts {
    used: Amount,
    waiting: u32,
}

fn tasks_of(used: Amount, each: Amount) -> u32 {
    let of = |used: i64, each: i64| match each {
        0 => 0,
        each => (used.max(0) + each - 1) / each,
    };
    let most = of(used.cpu, each.cpu)
        .max(of(used.gpu, each.gpu))
        .max(of(used.ram, each.ram));
    u32::try_from(most).unwrap_or(u32::MAX)
}

impl Core {
    /// Looks at all windows: their records, what is there, what is to be held.
    /// Without a calendar, and while its record is of a later version, nothing
    /// differs. A new owner does this before its first decision, so it gives back
    /// no warm machine and lends no held room.
    pub fn look_at_windows(&mut self, view: &View, wall_ms: i64, now: Time) {
        let Some(calendar) = view
            .calendar
            .value
            .as_ref()
            .filter(|_| self.cfg.calendar.is_some())
        else {
            return;
        };
        if !calendar.known() {
            return;
        }
        let mut watched = std::mem::take(&mut self.windows.watched);
        let recorded = view.windows.keys().map(|(name, _)| name);
        let names: BTreeSet<&String> = calendar
            .entries
            .iter()
            .map(|e| &e.window.name)
            .chain(recorded)
            .collect();
        watched.retain(|name, _| names.contains(name));
        for name in names {
            let watch = watched.entry(name.clone()).or_insert_with(|| Watch {
                entry: None,
                records: BTreeMap::new(),
                busy_at: now,
                coming: 0,
                seen: None,
                whole: Whole {
                    each: BTreeMap::new(),
                    hold: 0,
                },
                said: None,
            });
            watch.entry = calendar
                .entries
                .iter()
                .find(|e| e.window.name == *name)
                .cloned();
            let from = (name.clone(), i64::MIN);
            let records = view
                .windows
                .range(from..)
                .take_while(|((n, _), _)| n == name);
            watch.records = records.map(|((_, start), r)| (*start, r.clone())).collect();
        }
        let clock = Clock {
            now_ms: wall_ms,
            off_ms: self.cfg.clock_off_ms as i64,
        };
        self.windows.watched = watched;
        self.hold_windows(view, clock, now);
    }

    fn hold_windows(&mut self, view: &View, clock: Clock, now: Time) {
        let mut watched = std::mem::take(&mut self.windows.watched);
        let active: Vec<(Rc<Window>, bool)> = watched
            .values()
            .filter_map(|w| {
                let holds = |r: &Versioned<WindowRecord>| {
                    matches!(r.value.step, Step::Warming | Step::Held)
                };
                let window = Rc::new(w.entry.as_ref()?.window.clone());
                Some((window, w.records.values().any(holds)))
            })
            .collect();
        let (counts, outside) = self.count_work(view, &active);
        let mut holds = Vec::new();
        for (name, watch) in &mut watched {
            let window = active.iter().find(|(w, _)| w.name == *name);
            let count = window.and_then(|(w, _)| counts.get(&w.name));
            let seen = self.see(watch, window.map(|(w, _)| w), count, &active, &outside, now);
            let records = watch
                .records
                .iter()
                .map(|(start, r)| (*start, r.value.clone()))
                .collect();
            watch.whole = steps(window.map(|(w, _)| &**w), &records, &seen, clock);
            let hold = self.hold_here(watch, window.map(|(w, _)| w), clock, now);
            watch.seen = Some(seen);
            holds.extend(hold);
        }
        self.windows.watched = watched;
        self.cluster_state.set_holds(holds, now);
        self.say_what_lacks(now);
    }

    /// What each window's work takes and how much of it waits, and what each
    /// team's other work uses. Of several blocks by the records, as one owner sees
    /// its own claims only.
    fn count_work(
        &self,
        view: &View,
        windows: &[(Rc<Window>, bool)],
    ) -> (BTreeMap<String, Counts>, BTreeMap<String, Amount>) {
        let mut counts: BTreeMap<String, Counts> = BTreeMap::new();
        let mut outside: BTreeMap<String, Amount> = BTreeMap::new();
        let mut add = |spec: &JobSpec, claims: u32, waiting: u32| {
            let used = spec.each.times(i64::from(claims));
            let mut among = false;
            for (window, _) in windows
                .iter()
                .filter(|(w, _)| w.is_for(&spec.team, &spec.class))
            {
                among = true;
                let count = counts.entry(window.name.clone()).or_default();
                count.used += used;
                count.waiting += waiting;
            }
            if !among {
                *outside.entry(spec.team.to_string()).or_default() += used;
            }
        };
        if self.shard.is_part() {
            for (id, entry) in view.jobs() {
                let record = &entry.record.value;
                let Some(spec) = record.spec.as_ref().filter(|_| record.phase != Phase::Done)
                else {
                    continue;
                };
                let claims: u32 = entry.all_chunks().map(|(_, c)| c.claims.len() as u32).sum();
                let done: u32 = entry.all_chunks().map(|(_, c)| c.done.count_ones()).sum();
                let waiting = match record.phase {
                    Phase::Live if !view.is_ready(id) => 0,
                    Phase::Live => record.tasks.saturating_sub(claims + done),
                    Phase::Done | Phase::Cancelled => 0,
                };
                add(spec, claims, waiting);
            }
        } else {
            for job in self.cluster_state.jobs().values() {
                let waiting = match job.cancelled || job.doubted {
                    true => 0,
                    false => job.tasks.pending(),
                };
                add(&job.spec, job.tasks.claims().len() as u32, waiting);
            }
        }
        (counts, outside)
    }

    fn see(
        &self,
        watch: &mut Watch,
        window: Option<&Rc<Window>>,
        count: Option<&Counts>,
        active: &[(Rc<Window>, bool)],
        outside: &BTreeMap<String, Amount>,
        now: Time,
    ) -> Seen {
        let each = window.map_or(Amount::default(), |w| w.each());
        let used = count.map_or(0, |c| tasks_of(c.used, each));
        let waiting = count.map_or(0, |c| c.waiting);
        if used > 0 || waiting > 0 {
            watch.busy_at = now;
        }
        let name = window.map_or("", |w| &w.name);
        let here = self.cluster_state.hold_of(name).unwrap_or_default();
        // Of several blocks each has about the same.
        let blocks = self.shard.of.max(1);
        let room = |n: u32| n.saturating_mul(blocks);
        let (fits, gives_way_to) = match window {
            Some(window) => self.fits(window, active, outside),
            None => (0, None),
        };
        let allowed: Vec<&Rc<MachineType>> = self
            .types
            .values()
            .filter(|t| each.fits(t.total))
            .filter(|t| {
                window.is_none_or(|w| {
                    t.zones
                        .iter()
                        .any(|z| w.allows(t.name.as_str(), z.as_str()))
                })
            })
            .collect();
        let boots = allowed.iter().map(|t| t.boot_s);
        let boot_s = boots.clone().fold(f64::INFINITY, f64::min);
        let boot_s = if boot_s.is_finite() { boot_s } else { 0.0 };
        let slowest = boots.fold(0.0, f64::max);
        let rate = allowed
            .iter()
            .map(|t| t.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min);
        let gb: f64 = window.map_or(0.0, |w| w.images.iter().map(|i| self.image_gb(i)).sum());
        let on_each = allowed
            .iter()
            .map(|t| each.how_many(t.total))
            .max()
            .unwrap_or(1);
        Seen {
            asked: used + room(here.set_aside) + room(watch.coming),
            ready: used + room(here.free),
            used,
            waiting,
            fits,
            gives_way_to,
            idle_s: now.since(watch.busy_at),
            boot_s,
            slow_boot_s: SLOW_BOOTS * slowest,
            fetch_s: gb / rate.max(1e-3),
            rent_per_s: f64::from(on_each) * RENTED_AT_ONCE,
            refused: window.and_then(|w| self.refused_for(w, &here, watch.coming, now)),
        }
    }

    /// The size of an image, as jobs of late say.
    pub(super) fn image_gb(&self, image: &str) -> f64 {
        let jobs = self.cluster_state.jobs().values().map(|j| &j.spec);
        let late = self.scaling.arrivals.values().map(|a| &a.spec);
        let found = jobs.chain(late).find(|s| s.image.as_str() == image);
        found.map_or(0.0, |s| s.image_gb)
    }

    /// What of a window is to be held by this block.
    fn hold_here(
        &self,
        watch: &Watch,
        window: Option<&Rc<Window>>,
        clock: Clock,
        now: Time,
    ) -> Option<Hold> {
        let window = window.filter(|_| watch.whole.hold > 0)?;
        let team = self
            .cfg
            .teams
            .iter()
            .position(|t| *t.name == *window.team)?;
        let mut tasks = watch.whole.hold;
        if self.shard.is_part() {
            let parts = divide(tasks, self.shard.of);
            tasks = parts.get(self.shard.block.0 as usize).copied().unwrap_or(0);
            // Never beyond this block's part of the limit.
            let t = &self.cluster_state.teams()[team];
            let mine = self
                .cluster_state
                .hold_of(&window.name)
                .map_or(0, |h| h.used);
            let left = t.limit - t.used;
            let left = Amount {
                ram: i64::MAX,
                ..left
            };
            tasks = tasks.min(mine.saturating_add(window.each().how_many(left)));
        }
        let begun = watch
            .records
            .iter()
            .filter(|(_, r)| matches!(r.value.step, Step::Warming | Step::Held));
        let start_ms = begun.map(|(start, _)| *start).min()?;
        let early_ms = i64::from(window.early_s) * 1000;
        let left_s = (start_ms - early_ms - clock.latest_ms()) as f64 / 1000.0;
        let aims = window
            .classes
            .iter()
            .map(|c| self.cfg.start_aims.get(c.as_str()).copied());
        // A class without an aim may not wait at all.
        let wait_s = aims.map(|a| a.unwrap_or(0.0)).fold(f64::INFINITY, f64::min);
        Some(Hold {
            window: window.clone(),
            team,
            tasks,
            lending: Lending {
                until: now.after(left_s),
                stop_s: STOP_REPORTS * self.cfg.report_s,
                wait_s: if wait_s.is_finite() { wait_s } else { 0.0 },
            },
        })
    }

    /// Steps that are due, each with its change. Only the owner of block 0 takes
    /// them.
    pub fn window_steps(&self) -> Vec<WindowStep> {
        if self.shard.block.0 != 0 || self.is_frozen() {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (name, watch) in &self.windows.watched {
            for (start_ms, next) in &watch.whole.each {
                let key = key(name, *start_ms);
                let stamp = watch.records.get(start_ms).map_or(Revision(0), |r| r.stamp);
                let (step, change) = match &next.change {
                    Due::Keep => continue,
                    Due::Write(record) => {
                        (Some(record.step), Change::write(key.clone(), record, None))
                    }
                    Due::Delete => (
                        None,
                        Change::Delete {
                            delete: key.clone(),
                        },
                    ),
                };
                due.push(WindowStep {
                    window: name.clone(),
                    start_ms: *start_ms,
                    step,
                    txn: Txn {
                        when: vec![
                            When {
                                key: self.grant_key(),
                                stamp: self.grant_stamp,
                            },
                            When { key, stamp },
                        ],
                        apply: vec![change],
                    },
                });
            }
        }
        due
    }
}

/// What a window's task takes, for the plan of the fleet.
pub(super) fn spec_of(window: &Window, zone: Option<Zone>, kind: Option<TypeName>) -> Rc<JobSpec> {
    Rc::new(JobSpec {
        class: Arc::from(window.classes.first().map_or("", |c| c.as_str())),
        team: Arc::from(window.team.as_str()),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks: window.tasks,
        each: window.each(),
        image: Image::from(window.images.first().map_or("", |i| i.as_str())),
        image_gb: 0.0,
        types: kind.map(|k| vec![k]),
        zone,
        one_zone: false,
        spread: false,
        // Held room is on machines that stay.
        spot: false,
        estimate_s: f64::from(window.lasts_s),
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        placement: None,
        seal: None,
    })
}
