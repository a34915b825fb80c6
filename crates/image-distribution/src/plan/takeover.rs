//! Continuation of a previous owner's rollout after a change of owner.

use std::collections::BTreeSet;

use sorrelhinge_protocol::types::MachineId;

use super::node::{Node, State, Upstream};
use super::{Limits, Rollout, Uploads, LAST_STAGE};
use crate::locality::MemberId;
use crate::record::RolloutRecord;

/// State of the image on a machine at a takeover.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Has {
    /// The machine has the complete image, because a task has run on the image there.
    Complete,
    /// The machine is fetching the image and has this fraction of it (0 to 1), or 0 if the
    /// fraction is not known.
    Part(f64),
}

/// A machine as a new owner finds it.
#[derive(Clone, Debug)]
pub struct RecentImages<'a> {
    /// Machine that has the image or fetches it.
    pub machine: MachineId,
    /// Failure domains of the machine, the zone first.
    pub path: &'a [String],
    /// State of the image on the machine.
    pub has: Has,
}

impl Rollout {
    /// Returns a previous owner's rollout, with the machines on which the image ran or
    /// whose fetch was begun. Returns `None` if the record is of a later version. `now` is
    /// in seconds.
    ///
    /// Seeds that still exist keep counting, so the origin is not asked for their copies
    /// again. The sources of the machines are not known. New machines first take from the
    /// machines that have the smallest part, which are the ends of the chains, and after
    /// that from each other.
    pub fn resume<'a>(
        record: &RolloutRecord,
        limits: Limits,
        ran: impl IntoIterator<Item = RecentImages<'a>>,
        uploads: &mut Uploads,
        now: f64,
    ) -> Option<Self> {
        if !record.known() {
            return None;
        }
        let mut rollout = Self::new(record.image.clone(), limits);
        rollout.stage = record.stage.min(LAST_STAGE);
        rollout.since = now;
        rollout.written = Some(record.clone());
        let seeds: BTreeSet<&MachineId> = record.seeds.iter().collect();
        // The machines are sorted by name, so that the result is the same whatever order
        // they come in.
        let mut ran: Vec<RecentImages> = ran.into_iter().collect();
        ran.sort_by(|a, b| a.machine.cmp(&b.machine));
        ran.dedup_by(|b, a| a.machine == b.machine);
        let mut ranks = Vec::with_capacity(ran.len());
        let mut members = Vec::with_capacity(ran.len());
        let mut nodes = Vec::with_capacity(ran.len());
        for r in ran {
            let (member, node) = rollout.adopt(&r, &seeds, record.stage, uploads);
            rollout.source_count += 1;
            if node.has_free_slot(limits.slots) {
                ranks.push((node.domain, node.rank(member)));
            }
            nodes.push((member, node));
            members.push((r.machine, member));
        }
        rollout.nodes = nodes.into_iter().collect();
        rollout.members = members.into_iter().collect();
        rollout.locality.fill(&ranks);
        Some(rollout)
    }

    /// Returns the entry of a machine that a new owner finds. Counts the machine as one
    /// that has the image or fetches it, and as a seed if it is one. `stage` is the stage
    /// that the record names.
    fn adopt(
        &mut self,
        ran: &RecentImages,
        seeds: &BTreeSet<&MachineId>,
        stage: u32,
        uploads: &mut Uploads,
    ) -> (MemberId, Node) {
        let limits = self.limits;
        let member = self.new_member_id();
        let mut node = self.node_of(ran.machine.clone(), ran.path);
        match ran.has {
            Has::Complete => {
                node.state = State::Complete;
                self.complete += 1;
            }
            Has::Part(done) => {
                node.state = State::Fetches;
                // A fetching machine may already upload to another one. With only one slot,
                // the machine still counts as free.
                node.assumed_uploads = limits.slots.saturating_sub(1).min(1);
                node.depth = 1 + (done.clamp(0.0, 1.0) * f64::from(limits.deep)) as u32;
                self.fetches += 1;
            }
        }
        // In the first stage, no record names the seeds yet. A fetching machine may be a
        // seed, so it counts as one; otherwise the new owner would request the zone's
        // copies again.
        let maybe = stage == 0
            && node.state == State::Fetches
            && self.seed_count(node.zone) < limits.per_zone;
        if seeds.contains(&ran.machine) || maybe {
            self.seed(&node.id, node.zone);
            if node.state == State::Fetches {
                node.upstream = Upstream::Origin;
                uploads.origin += 1;
            }
        }
        (member, node)
    }
}
