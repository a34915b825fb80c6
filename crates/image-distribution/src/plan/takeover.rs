//! A predecessor's rollout, gone on with after a change of owner.

use std::collections::BTreeSet;

use sorrelhinge_protocol::types::MachineId;

use super::node::{Node, State, Up};
use super::{Limits, Rollout, Uploads, LAST_STAGE};
use crate::locality::Seat;
use crate::record::RolloutRecord;

/// What is known of a machine's image at a takeover.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Has {
    /// A task has run on it here.
    Complete,
    /// It fetches; so much is there (0 to 1), 0 if not known.
    Part(f64),
}

/// A machine as a successor finds it.
#[derive(Clone, Debug)]
pub struct RecentImages<'a> {
    /// The machine.
    pub machine: MachineId,
    /// Its failure domains, the zone first.
    pub path: &'a [String],
    /// What it has of the image.
    pub has: Has,
}

impl Rollout {
    /// A predecessor's rollout, with the machines on which the image ran or whose
    /// fetch was begun; none if the record is of a later version. `now` in
    /// seconds. Seeds that are there still count, so the origin isn't asked for
    /// their copies again. Who takes from whom isn't known: new machines take
    /// from those that have least, which are the ends of the chains, and after
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
        // In order of names, whatever order they come in: all draw the same.
        let mut ran: Vec<RecentImages> = ran.into_iter().collect();
        ran.sort_by(|a, b| a.machine.cmp(&b.machine));
        ran.dedup_by(|b, a| a.machine == b.machine);
        let mut ranks = Vec::with_capacity(ran.len());
        let mut seats = Vec::with_capacity(ran.len());
        let mut nodes = Vec::with_capacity(ran.len());
        for r in ran {
            let (seat, node) = rollout.adopt(&r, &seeds, record.stage, uploads);
            rollout.hand_on += 1;
            if node.gives(limits.slots) {
                ranks.push((node.domain, node.rank(seat)));
            }
            nodes.push((seat, node));
            seats.push((r.machine, seat));
        }
        rollout.nodes = nodes.into_iter().collect();
        rollout.seats = seats.into_iter().collect();
        rollout.locality.fill(&ranks);
        Some(rollout)
    }

    /// A machine as it was found: it counts as one that has the image or fetches
    /// it, and as a seed if it is one. `stage`: the one that the record names.
    fn adopt(
        &mut self,
        ran: &RecentImages,
        seeds: &BTreeSet<&MachineId>,
        stage: u32,
        uploads: &mut Uploads,
    ) -> (Seat, Node) {
        let limits = self.limits;
        let seat = self.take_seat();
        let mut node = self.node_of(ran.machine.clone(), ran.path);
        match ran.has {
            Has::Complete => {
                node.state = State::Complete;
                self.complete += 1;
            }
            Has::Part(done) => {
                node.state = State::Fetches;
                // It may have a child; of one slot it is asked all the same.
                node.assumed = limits.slots.saturating_sub(1).min(1);
                node.depth = 1 + (done.clamp(0.0, 1.0) * f64::from(limits.deep)) as u32;
                self.fetches += 1;
            }
        }
        // In the first stage no record names the seeds yet: who fetches may
        // be one, or the next owner would ask for a zone's copies again.
        let maybe = stage == 0
            && node.state == State::Fetches
            && self.heads_of(node.zone) < limits.per_zone;
        if seeds.contains(&ran.machine) || maybe {
            self.seed(&node.id, node.zone);
            if node.state == State::Fetches {
                node.up = Up::Origin;
                uploads.origin += 1;
            }
        }
        (seat, node)
    }
}
