//! Images that many machines want: which starts wait for their stage, and whom the
//! others take their image from. What is known and recorded of it is in
//! [`super::staging`].

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;

use sorrelhinge_staging::patience;
use sorrelhinge_staging::plan::{Has, Ran, Source as From, Wave};

use super::staging::{Kept, Member, Staging, OVER_S};
use super::Core;
use crate::sched::{Claim, Progress, Sent};
use crate::types::{Image, JobSpec, MachineId, TaskId, Time};
use crate::worker::Report;

/// Starts that wait are looked at so many at a time: with thousands of them, and
/// no upload free, all at once would hold up everything else.
const LOOKS: usize = 64;
/// A successor waits for what its predecessor started for so many reports, and
/// so many seconds more: a machine that is silent doesn't hold up all others.
const SETTLE_REPORTS: f64 = 3.0;
pub(super) const SETTLE_S: f64 = 2.0;

/// What a machine does with an image, by the claims there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Does {
    /// Its start was not sent.
    Wants,
    /// It was, and the task doesn't run yet.
    Fetches,
    /// A task runs on it.
    Runs,
}

impl Core {
    /// Whom a machine takes a job's image from if it is started now, the best
    /// first, and nobody: from the origin. None: the start has to wait for its
    /// stage; the machine is woken as soon as it may go.
    pub(super) fn sources_for(
        &mut self,
        id: &MachineId,
        spec: &JobSpec,
        now: Time,
    ) -> Option<Vec<SocketAddr>> {
        if !self.staging.stages(spec) || !self.keep_wave(&spec.image) {
            return Some(Vec::new());
        }
        let path = self.path_of(id);
        let machine = self.cluster_state.machines().get(id);
        let whole = machine.is_some_and(|m| m.cache.has(&spec.image));
        let Staging { waves, uploads, .. } = &mut self.staging;
        let kept = waves.get_mut(&spec.image)?;
        let Some(wave) = &mut kept.wave else {
            kept.waiting.insert(id.clone());
            return None;
        };
        kept.over_since = None;
        if let Entry::Vacant(seat) = kept.members.entry(id.clone()) {
            wave.join(id.clone(), &path, whole);
            seat.insert(Member { whole, since: now });
        }
        if !wave.may_start(id, uploads, now.0) {
            kept.waiting.insert(id.clone());
            return None;
        }
        kept.waiting.remove(id);
        let from = wave.assign(id, uploads, now.0);
        if let Some(member) = kept.members.get_mut(id) {
            member.since = now;
        }
        let addr = |source: &From| match source {
            From::Origin => None,
            From::Machine(id) => self.links.get(id).map(|l| l.addr),
        };
        Some(from.iter().filter_map(addr).collect())
    }

    /// A task runs, so its machine has the image.
    pub(super) fn image_ran(&mut self, task: &TaskId) {
        let Some(spec) = self.cluster_state.job(&task.job).map(|j| j.spec.clone()) else {
            return;
        };
        if !self.staging.stages(&spec) {
            return;
        }
        let Some(machine) = self.cluster_state.claim_of(task).map(|c| c.machine.clone()) else {
            return;
        };
        let Staging { waves, uploads, .. } = &mut self.staging;
        if let Some(kept) = waves.get_mut(&spec.image) {
            if let (Some(wave), Some(m)) = (&mut kept.wave, kept.members.get_mut(&machine)) {
                wave.arrived(&machine, uploads);
                m.whole = true;
            }
        }
    }

    /// Has a wave for an image; false if it has to do without one.
    fn keep_wave(&mut self, image: &Image) -> bool {
        if self.staging.waves.contains_key(image) {
            return true;
        }
        let key = self.staging.key(image);
        if let Some(held) = self.staging.held.get(&key) {
            // A later version's is left alone, and one of another image whose
            // name has the same hash too.
            let ours = held.value.as_ref().filter(|r| r.known());
            if ours.is_none_or(|r| r.image != *image) {
                return false;
            }
        }
        let mut wave = Wave::new(image.clone(), self.staging.limits);
        let first = wave.next(0.0);
        if first.is_none_or(|record| self.staging.fitting(&record).is_none()) {
            return false;
        }
        let mut members = BTreeMap::new();
        for (id, machine) in self.cluster_state.machines() {
            if machine.cache.has(image) && !self.awaits(id, image) {
                wave.join(id.clone(), &self.path_of(id), true);
                let (whole, since) = (true, Time(0.0));
                members.insert(id.clone(), Member { whole, since });
            }
        }
        let kept = Kept {
            members,
            ..Kept::of(Some(wave))
        };
        self.staging.waves.insert(image.clone(), kept);
        true
    }

    /// Whether a machine has tasks that need an image, and none that runs on it.
    fn awaits(&self, id: &MachineId, image: &Image) -> bool {
        let claims = self.cluster_state.claims_on(id);
        let of = claims.iter().filter(|t| {
            let job = self.cluster_state.job(&t.job);
            job.is_some_and(|j| j.spec.image == *image)
        });
        of.filter_map(|t| self.cluster_state.claim_of(t))
            .map(does)
            .max()
            < Some(Does::Runs)
            && claims.iter().any(|t| {
                let job = self.cluster_state.job(&t.job);
                job.is_some_and(|j| j.spec.image == *image)
            })
    }

    /// A machine's failure domains, its zone first.
    fn path_of(&self, id: &MachineId) -> Vec<String> {
        let Some(machine) = self.cluster_state.machines().get(id) else {
            return Vec::new();
        };
        let zone = machine.zone.to_string();
        let place = self
            .cluster_state
            .topology()
            .map(|t| t.tree.path(machine.place));
        let names = place.into_iter().flat_map(|p| p.split('/'));
        let inner = names.filter(|n| !n.is_empty() && *n != zone);
        let inner: Vec<String> = inner.map(str::to_owned).collect();
        std::iter::once(zone).chain(inner).collect()
    }

    /// Compares the waves with the claims and the machines that there are: who
    /// came, who is gone, whose image left the cache.
    pub(super) fn look_at_waves(&mut self, now: Time) {
        if self.staging.least_gb.is_none() {
            return;
        }
        let mut all: BTreeMap<Image, BTreeMap<MachineId, Does>> = BTreeMap::new();
        // Of each image: whether all that was found is settled, and its size.
        let mut known: BTreeMap<Image, (bool, f64)> = BTreeMap::new();
        for job in self.cluster_state.jobs().values() {
            if !self.staging.stages(&job.spec) {
                continue;
            }
            for claim in job.tasks.claims().values() {
                let settled = known
                    .entry(job.spec.image.clone())
                    .or_insert((true, job.spec.image_gb));
                settled.0 &= claim.sent != Sent::Found;
                if !self.cluster_state.machines().contains_key(&claim.machine) {
                    continue;
                }
                let of = all.entry(job.spec.image.clone()).or_default();
                let d = of.entry(claim.machine.clone()).or_insert(Does::Wants);
                *d = does(claim).max(*d);
            }
        }
        let long = SETTLE_REPORTS * self.cfg.report_s + SETTLE_S;
        let waited = self.failover.age_s(now) >= long;
        for (image, on) in &all {
            if on.values().any(|d| *d == Does::Fetches) {
                self.keep_wave(image);
            }
        }
        let images: Vec<Image> = self.staging.waves.keys().cloned().collect();
        let none = BTreeMap::new();
        for image in images {
            let on = all.get(&image).unwrap_or(&none);
            let (settled, gb) = known.get(&image).copied().unwrap_or((true, 0.0));
            if let Some(kept) = self.staging.waves.get_mut(&image) {
                kept.gb = gb;
            }
            if self.staging.wave_mut(&image).is_some() {
                self.look_at_wave(&image, on, now);
            } else if waited || settled {
                self.resume_wave(&image, on, now);
            }
        }
    }

    fn look_at_wave(&mut self, image: &Image, on: &BTreeMap<MachineId, Does>, now: Time) {
        let paths: BTreeMap<MachineId, Vec<String>> = {
            let kept = self.staging.waves.get(image);
            let known = |id: &MachineId| kept.is_some_and(|k| k.members.contains_key(id));
            let new = on.iter().filter(|(id, d)| **d > Does::Wants && !known(id));
            new.map(|(id, _)| (id.clone(), self.path_of(id))).collect()
        };
        let Staging { waves, uploads, .. } = &mut self.staging;
        let Some(kept) = waves.get_mut(image) else {
            return;
        };
        let Some(wave) = &mut kept.wave else { return };
        let machines = self.cluster_state.machines();
        let gb = kept.gb;
        kept.members.retain(|id, member| {
            let Some(machine) = machines.get(id) else {
                wave.lost(id, uploads);
                return false;
            };
            match on.get(id) {
                Some(Does::Runs) => {
                    wave.arrived(id, uploads);
                    member.whole = true;
                }
                Some(Does::Fetches) if !member.whole => {
                    // It may go on; but who takes from it waits with it.
                    let rate = machine.kind.fetch_gb_per_s;
                    if now.since(member.since) > patience::fetch_allowance_s(gb, rate) {
                        wave.slow(id, uploads);
                    }
                }
                Some(_) => {}
                None if member.whole && machine.cache.has(image) => {}
                None => {
                    wave.evicted(id, uploads);
                    return false;
                }
            }
            true
        });
        for (id, path) in paths {
            // Started by a predecessor that kept no wave, or found late: from
            // whom is not known, so it is planned as if it began now.
            let whole = on.get(&id) == Some(&Does::Runs);
            wave.join(id.clone(), &path, whole);
            if !whole {
                wave.assign(&id, uploads, now.0);
            }
            kept.members.insert(id, Member { whole, since: now });
        }
        kept.waiting.retain(|id| on.contains_key(id));
        match (wave.over(), kept.over_since) {
            (true, None) => kept.over_since = Some(now),
            (false, _) => kept.over_since = None,
            _ => {}
        }
        if kept.over_since.is_some_and(|t| now.since(t) >= OVER_S) && wave.record().is_none() {
            self.staging.waves.remove(image);
        }
    }

    /// Goes on with a predecessor's wave: who fetches goes on, and its seeds
    /// count, so the origin is not asked for their copies again.
    fn resume_wave(&mut self, image: &Image, on: &BTreeMap<MachineId, Does>, now: Time) {
        let mut ran: Vec<(MachineId, Vec<String>, Has)> = Vec::new();
        for (id, machine) in self.cluster_state.machines() {
            let has = match on.get(id) {
                Some(Does::Runs) => Has::Whole,
                Some(Does::Fetches) => Has::Part(self.part_of(id, image)),
                // Its start waits here, and is joined then.
                Some(Does::Wants) => continue,
                None if machine.cache.has(image) => Has::Whole,
                None => continue,
            };
            ran.push((id.clone(), self.path_of(id), has));
        }
        let key = self.staging.key(image);
        let record = self.staging.held.get(&key).and_then(|h| h.value.as_ref());
        let (limits, uploads) = (self.staging.limits, &mut self.staging.uploads);
        let of = ran.iter().map(|(machine, path, has)| Ran {
            machine: machine.clone(),
            path,
            has: *has,
        });
        let wave = record.and_then(|r| Wave::resume(r, limits, of, uploads, now.0));
        let wave = wave.unwrap_or_else(|| Wave::new(image.clone(), limits));
        let (wants, fetches, whole) = wave.counts();
        tracing::info!(%image, stage = wave.stage(), wants, fetches, whole, "wave goes on");
        if let Some(kept) = self.staging.waves.get_mut(image) {
            let member = |has: &Has| Member {
                whole: matches!(has, Has::Whole),
                since: now,
            };
            kept.members = ran.iter().map(|r| (r.0.clone(), member(&r.2))).collect();
            kept.wave = Some(wave);
        }
    }

    /// How much of an image a machine says that it has, 0 to 1: a hint.
    fn part_of(&self, id: &MachineId, image: &Image) -> f64 {
        let said = self.links.get(id).map_or(&[][..], |l| &l.images);
        let of = said.iter().find(|i| i.image == image.as_str());
        of.map_or(0.0, |i| i.parts as f64 / i.of.max(1) as f64)
    }

    /// A machine says that it has all of an image, which is believed of one that
    /// is expected there: if it isn't so, who is sent to it asks the next one.
    pub(super) fn hear_of_images(&mut self, report: &Report) {
        if self.staging.least_gb.is_none() {
            return;
        }
        let machine = self.cluster_state.machines().get(&report.machine);
        let news =
            |name: &Image| machine.is_some_and(|m| m.cache.expects(name) && !m.cache.has(name));
        let whole = report.images.iter().filter(|i| i.of > 0 && i.parts >= i.of);
        let whole = whole.map(|i| Image::from(i.image.as_str()));
        for image in whole.filter(news).collect::<Vec<_>>() {
            self.cluster_state
                .edit_machine(&report.machine, |m| m.cache.is_there(&image));
        }
    }

    /// Wakes machines whose start waited and may be sent now, a few at a time.
    pub(super) fn wake_staged(&mut self, now: Time) {
        let mut awake = Vec::new();
        let Staging { waves, uploads, .. } = &mut self.staging;
        for kept in waves.values_mut() {
            let Some(wave) = &kept.wave else { continue };
            for _ in 0..LOOKS.min(kept.waiting.len()) {
                let after = (Bound::Excluded(&kept.looked), Bound::Unbounded);
                let next = kept.waiting.range(after).next();
                let Some(id) = next.or_else(|| kept.waiting.first()).cloned() else {
                    break;
                };
                // One that is not in it yet joins with its start.
                let joins = !kept.members.contains_key(&id);
                if joins || wave.may_start(&id, uploads, now.0) {
                    kept.waiting.remove(&id);
                    awake.push(id.clone());
                }
                kept.looked = id;
            }
        }
        for id in awake {
            self.wake(&id);
        }
    }
}

/// What a claim's task does with its image.
fn does(claim: &Claim) -> Does {
    match (claim.progress, claim.sent) {
        (Progress::Running(_) | Progress::Saving, _) => Does::Runs,
        (_, Sent::No) => Does::Wants,
        _ => Does::Fetches,
    }
}
