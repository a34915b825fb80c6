//! This module reconciles image rollouts with the claims and the existing machines. It adds new
//! machines and removes deleted ones and those whose cache evicted the image. It also resumes
//! the rollouts that a former owner recorded.

use std::collections::BTreeMap;

use sorrelhinge_image_distribution::fetch_timeout;
use sorrelhinge_image_distribution::plan::{Has, RecentImages, Rollout, Uploads};

use super::active_rollout::{image_state, ActiveRollout, ImageState, Member};
use super::image_distribution::ImageDistribution;
use super::rollout_records::DELETION_DELAY_S;
use super::Core;
use crate::scheduler::{Machine, Sent};
use crate::types::{Image, MachineId, Time};

/// Number of heartbeat intervals for which a new owner waits to learn which start commands the
/// previous owner sent. Without this limit, a silent machine would delay all others.
const RESUME_DELAY_HEARTBEATS: f64 = 3.0;
/// Time in seconds that is added to the heartbeats for which a new owner waits before it
/// resumes rollouts.
const RESUME_DELAY_MARGIN_S: f64 = 2.0;

/// Use of an image, derived from the claims.
struct ImageUse {
    /// Progress of each machine with the image.
    machines: BTreeMap<MachineId, ImageState>,
    /// Whether this owner knows, for each claim recovered from the records, whether the start
    /// command was sent.
    settled: bool,
    /// Size of the image in GB.
    gb: f64,
}

impl ImageUse {
    /// Creates the use of an image of `gb` GB that no machine uses yet.
    fn of_size(gb: f64) -> Self {
        Self {
            machines: BTreeMap::new(),
            settled: true,
            gb,
        }
    }
}

/// Machine that has an image or a part of it.
struct ImageHolder {
    machine: MachineId,
    /// Failure domains of the machine, its zone first.
    path: Vec<String>,
    has: Has,
}

/// State for reconciling the members of one rollout with the claims.
struct RolloutUpdate<'a> {
    image: &'a Image,
    gb: f64,
    rollout: &'a mut Rollout,
    uploads: &'a mut Uploads,
    now: Time,
}

impl RolloutUpdate<'_> {
    /// Updates a member of the rollout from the member's progress with the image. Returns whether
    /// the machine still exists and stays in the rollout.
    fn update_member(
        &mut self,
        id: &MachineId,
        member: &mut Member,
        machine: Option<&Machine>,
        does: Option<ImageState>,
    ) -> bool {
        let Some(machine) = machine else {
            self.rollout.lost(id, self.uploads);
            return false;
        };
        match does {
            Some(ImageState::Running) => {
                self.rollout.arrived(id, self.uploads);
                member.complete = true;
            }
            Some(ImageState::Fetching) if !member.complete => {
                // A slow machine may continue its fetch, but machines that fetch from it would
                // wait with it.
                let rate = machine.kind.fetch_gb_per_s;
                let allowed_s = fetch_timeout::fetch_allowance_s(self.gb, rate);
                if self.now.since(member.since) > allowed_s {
                    self.rollout.slow(id, self.uploads);
                }
            }
            Some(_) => {}
            None if member.complete && machine.cache.has(self.image) => {}
            None => {
                self.rollout.evicted(id, self.uploads);
                return false;
            }
        }
        true
    }

    /// Adds a machine that a previous owner started without a rollout, or that this owner
    /// discovered late. The sources of its image are unknown, so the plan treats it as if it
    /// began to fetch now.
    fn join(&mut self, id: &MachineId, path: &[String], complete: bool) -> Member {
        self.rollout.join(id.clone(), path, complete);
        if !complete {
            self.rollout.assign(id, self.uploads, self.now.0);
        }
        Member {
            complete,
            since: self.now,
        }
    }
}

impl ActiveRollout {
    /// Tracks since when no machine needs or fetches the image. Returns whether that is long
    /// enough to remove the rollout and no record of it remains.
    fn is_over(&mut self, now: Time) -> bool {
        let Some(rollout) = &self.rollout else {
            return false;
        };
        match (rollout.over(), self.idle_since) {
            (true, None) => self.idle_since = Some(now),
            (false, _) => self.idle_since = None,
            _ => {}
        }
        self.idle_since
            .is_some_and(|t| now.since(t) >= DELETION_DELAY_S)
            && rollout.record().is_none()
    }
}

impl Core {
    /// Reconciles all rollouts with the claims and the existing machines.
    pub(super) fn refresh_rollouts(&mut self, now: Time) {
        if self.image_distribution.min_image_gb.is_none() {
            return;
        }
        let in_use = self.images_in_use();
        let settle_s = RESUME_DELAY_HEARTBEATS * self.cfg.heartbeat_s + RESUME_DELAY_MARGIN_S;
        let waited = self.failover.age_s(now) >= settle_s;
        for (image, image_use) in &in_use {
            if image_use
                .machines
                .values()
                .any(|d| *d == ImageState::Fetching)
            {
                self.ensure_rollout(image);
            }
        }
        let images: Vec<Image> = self.image_distribution.rollouts.keys().cloned().collect();
        let unused = ImageUse::of_size(0.0);
        for image in images {
            let image_use = in_use.get(&image).unwrap_or(&unused);
            if let Some(active) = self.image_distribution.rollouts.get_mut(&image) {
                active.gb = image_use.gb;
            }
            if self.image_distribution.rollout_mut(&image).is_some() {
                self.refresh_rollout(&image, &image_use.machines, now);
            } else if waited || image_use.settled {
                self.resume_rollout(&image, &image_use.machines, now);
            }
        }
    }

    /// Returns the use of each image that is rolled out in stages, derived from the claims.
    fn images_in_use(&self) -> BTreeMap<Image, ImageUse> {
        let mut in_use: BTreeMap<Image, ImageUse> = BTreeMap::new();
        let jobs = self.cluster_state.jobs().values();
        for job in jobs.filter(|j| self.image_distribution.is_staged(&j.spec)) {
            for claim in job.tasks.claims().values() {
                let image_use = in_use
                    .entry(job.spec.image.clone())
                    .or_insert_with(|| ImageUse::of_size(job.spec.image_gb));
                image_use.settled &= claim.sent != Sent::Found;
                if !self.cluster_state.machines().contains_key(&claim.machine) {
                    continue;
                }
                let furthest = image_use
                    .machines
                    .entry(claim.machine.clone())
                    .or_insert(ImageState::StartPending);
                *furthest = image_state(claim).max(*furthest);
            }
        }
        in_use
    }

    /// Reconciles an image's rollout with the progress of the machines, and removes a rollout
    /// that is over.
    fn refresh_rollout(&mut self, image: &Image, on: &BTreeMap<MachineId, ImageState>, now: Time) {
        let joining = self.joining_machines(image, on);
        let ImageDistribution {
            rollouts, uploads, ..
        } = &mut self.image_distribution;
        let Some(active) = rollouts.get_mut(image) else {
            return;
        };
        let Some(rollout) = &mut active.rollout else {
            return;
        };
        let mut update = RolloutUpdate {
            image,
            gb: active.gb,
            rollout,
            uploads,
            now,
        };
        let machines = self.cluster_state.machines();
        active.members.retain(|id, member| {
            update.update_member(id, member, machines.get(id), on.get(id).copied())
        });
        for (id, path) in joining {
            let complete = on.get(&id) == Some(&ImageState::Running);
            let member = update.join(&id, &path, complete);
            active.members.insert(id, member);
        }
        active.waiting.retain(|id| on.contains_key(id));
        if active.is_over(now) {
            self.image_distribution.rollouts.remove(image);
        }
    }

    /// Returns the machines that fetch or run an image and are not in its rollout, with their
    /// failure domains.
    fn joining_machines(
        &self,
        image: &Image,
        on: &BTreeMap<MachineId, ImageState>,
    ) -> BTreeMap<MachineId, Vec<String>> {
        let active = self.image_distribution.rollouts.get(image);
        let known = |id: &MachineId| active.is_some_and(|k| k.members.contains_key(id));
        let new = on
            .iter()
            .filter(|(id, d)| **d > ImageState::StartPending && !known(id));
        new.map(|(id, _)| (id.clone(), self.path_of(id))).collect()
    }

    /// Resumes a rollout of the previous owner. Fetches in flight continue, and the seeds
    /// count, so the origin is not asked for their copies again.
    fn resume_rollout(&mut self, image: &Image, on: &BTreeMap<MachineId, ImageState>, now: Time) {
        let found = self.machines_with(image, on);
        let key = self.image_distribution.key(image);
        let record = self
            .image_distribution
            .stored_records
            .get(&key)
            .and_then(|h| h.value.as_ref());
        let (limits, uploads) = (
            self.image_distribution.limits,
            &mut self.image_distribution.uploads,
        );
        let ran = found.iter().map(|f| RecentImages {
            machine: f.machine.clone(),
            path: &f.path,
            has: f.has,
        });
        let rollout = record.and_then(|r| Rollout::resume(r, limits, ran, uploads, now.0));
        let rollout = rollout.unwrap_or_else(|| Rollout::new(image.clone(), limits));
        let counts = rollout.counts();
        tracing::info!(
            %image,
            stage = rollout.stage(),
            wants = counts.waiting,
            fetches = counts.fetching,
            complete = counts.complete,
            "rollout resumed"
        );
        if let Some(active) = self.image_distribution.rollouts.get_mut(image) {
            let member = |has: Has| Member {
                complete: matches!(has, Has::Complete),
                since: now,
            };
            let members = found.into_iter().map(|f| (f.machine, member(f.has)));
            active.members = members.collect();
            active.rollout = Some(rollout);
        }
    }

    /// Returns the machines that have an image or fetch it.
    fn machines_with(
        &self,
        image: &Image,
        on: &BTreeMap<MachineId, ImageState>,
    ) -> Vec<ImageHolder> {
        let mut found = Vec::new();
        for (id, machine) in self.cluster_state.machines() {
            let has = match on.get(id) {
                Some(ImageState::Running) => Has::Complete,
                Some(ImageState::Fetching) => Has::Part(self.reported_share(id, image)),
                // The machine joins the rollout when its start command is sent.
                Some(ImageState::StartPending) => continue,
                None if machine.cache.has(image) => Has::Complete,
                None => continue,
            };
            found.push(ImageHolder {
                machine: id.clone(),
                path: self.path_of(id),
                has,
            });
        }
        found
    }

    /// Returns the share of an image that a machine reports, from 0 to 1. The share is a hint.
    fn reported_share(&self, id: &MachineId, image: &Image) -> f64 {
        let reported = self.agents.get(id).map_or(&[][..], |l| &l.images);
        let of = reported.iter().find(|i| i.image == image.as_str());
        of.map_or(0.0, |i| i.parts as f64 / i.of.max(1) as f64)
    }
}
