//! Images that many machines want: which starts wait for their stage, and whom the
//! others take their image from. What is known and recorded of it is in
//! [`super::image_distribution`]; it is compared with the claims in [`super::rollout_refresh`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;

use sorrelhinge_image_distribution::plan::{Rollout, Source as From};

use super::active_rollout::{image_state, ActiveRollout, ImageState, Member, StartingMachine};
use super::image_distribution::ImageDistribution;
use super::Core;
use crate::agent_client::Heartbeat;
use crate::types::{Image, JobSpec, MachineId, TaskId, Time};

/// Starts that wait are looked at so many at a time: with thousands of them, and
/// no upload free, all at once would hold up everything else.
const MACHINES_SCANNED_PER_PASS: usize = 64;

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
        if !self.image_distribution.stages(spec) || !self.keep_rollout(&spec.image) {
            return Some(Vec::new());
        }
        let path = self.path_of(id);
        let machine = self.cluster_state.machines().get(id);
        let complete = machine.is_some_and(|m| m.cache.has(&spec.image));
        let ImageDistribution {
            rollouts, uploads, ..
        } = &mut self.image_distribution;
        let kept = rollouts.get_mut(&spec.image)?;
        let starting = StartingMachine {
            id,
            path: &path,
            complete,
        };
        let from = kept.start_on(&starting, uploads, now)?;
        let addr = |source: &From| match source {
            From::Origin => None,
            From::Machine(id) => self.agents.addr(id),
        };
        Some(from.iter().filter_map(addr).collect())
    }

    /// A task runs, so its machine has the image.
    pub(super) fn image_ran(&mut self, task: &TaskId) {
        let Some(spec) = self.cluster_state.job(&task.job).map(|j| j.spec.clone()) else {
            return;
        };
        if !self.image_distribution.stages(&spec) {
            return;
        }
        let Some(machine) = self.cluster_state.claim_of(task).map(|c| c.machine.clone()) else {
            return;
        };
        let ImageDistribution {
            rollouts, uploads, ..
        } = &mut self.image_distribution;
        if let Some(kept) = rollouts.get_mut(&spec.image) {
            if let (Some(rollout), Some(m)) = (&mut kept.rollout, kept.members.get_mut(&machine)) {
                rollout.arrived(&machine, uploads);
                m.complete = true;
            }
        }
    }

    /// Has a rollout for an image; false if it has to do without one.
    pub(super) fn keep_rollout(&mut self, image: &Image) -> bool {
        if self.image_distribution.rollouts.contains_key(image) {
            return true;
        }
        let key = self.image_distribution.key(image);
        if let Some(stored_records) = self.image_distribution.stored_records.get(&key) {
            // A later version's is left alone, and one of another image whose
            // name has the same hash too.
            let ours = stored_records.value.as_ref().filter(|r| r.known());
            if ours.is_none_or(|r| r.image != *image) {
                return false;
            }
        }
        let mut rollout = Rollout::new(image.clone(), self.image_distribution.limits);
        let first = rollout.next(0.0);
        if first.is_none_or(|record| self.image_distribution.fitting(&record).is_none()) {
            return false;
        }
        let mut members = BTreeMap::new();
        for (id, machine) in self.cluster_state.machines() {
            if machine.cache.has(image) && !self.awaits(id, image) {
                rollout.join(id.clone(), &self.path_of(id), true);
                let (complete, since) = (true, Time(0.0));
                members.insert(id.clone(), Member { complete, since });
            }
        }
        let kept = ActiveRollout {
            members,
            ..ActiveRollout::of(Some(rollout))
        };
        self.image_distribution.rollouts.insert(image.clone(), kept);
        true
    }

    /// Whether a machine has tasks that need an image, and none that runs on it.
    fn awaits(&self, id: &MachineId, image: &Image) -> bool {
        let needs = |task: &TaskId| {
            let job = self.cluster_state.job(&task.job);
            job.is_some_and(|j| j.spec.image == *image)
        };
        let claims = self.cluster_state.claims_on(id);
        let mut needing = claims.iter().filter(|t| needs(t)).peekable();
        let any = needing.peek().is_some();
        let furthest = needing.filter_map(|t| self.cluster_state.claim_of(t));
        any && furthest.map(image_state).max() < Some(ImageState::Runs)
    }

    /// A machine's failure domains, its zone first.
    pub(super) fn path_of(&self, id: &MachineId) -> Vec<String> {
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

    /// A machine says that it has all of an image, which is believed of one that
    /// is expected there: if it isn't so, who is sent to it asks the next one.
    pub(super) fn record_served_images(&mut self, heartbeat: &Heartbeat) {
        if self.image_distribution.least_gb.is_none() {
            return;
        }
        let machine = self.cluster_state.machines().get(&heartbeat.machine);
        let news =
            |name: &Image| machine.is_some_and(|m| m.cache.expects(name) && !m.cache.has(name));
        let complete = heartbeat
            .images
            .iter()
            .filter(|i| i.of > 0 && i.parts >= i.of);
        let complete = complete.map(|i| Image::from(i.image.as_str()));
        for image in complete.filter(news).collect::<Vec<_>>() {
            self.cluster_state
                .edit_machine(&heartbeat.machine, |m| m.cache.is_there(&image));
        }
    }

    /// Wakes machines whose start waited and may be sent now, a few at a time.
    pub(super) fn wake_staged(&mut self, now: Time) {
        let mut due = Vec::new();
        let ImageDistribution {
            rollouts, uploads, ..
        } = &mut self.image_distribution;
        for kept in rollouts.values_mut() {
            let Some(rollout) = &kept.rollout else {
                continue;
            };
            for _ in 0..MACHINES_SCANNED_PER_PASS.min(kept.waiting.len()) {
                let after = (Bound::Excluded(&kept.scanned_to), Bound::Unbounded);
                let next = kept.waiting.range(after).next();
                let Some(id) = next.or_else(|| kept.waiting.first()).cloned() else {
                    break;
                };
                // One that is not in it yet joins with its start.
                let joins = !kept.members.contains_key(&id);
                if joins || rollout.may_start(&id, uploads, now.0) {
                    kept.waiting.remove(&id);
                    due.push(id.clone());
                }
                kept.scanned_to = id;
            }
        }
        for id in due {
            self.wake(&id);
        }
    }
}
