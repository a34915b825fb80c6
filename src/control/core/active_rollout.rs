//! One image's rollout: which machines are in it, and which starts wait for their stage.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use sorrelhinge_image_distribution::plan::{Rollout, Source, Uploads};

use crate::scheduler::{Claim, Progress, Sent};
use crate::types::{MachineId, Time};

/// Starts that wait are looked at so many at a time: with thousands of them, and
/// no upload free, all at once would hold up everything else.
const MACHINES_SCANNED_PER_PASS: usize = 64;

/// What a machine does with an image, by the claims there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ImageState {
    /// Its start was not sent.
    StartPending,
    /// It was, and the task doesn't run yet.
    Fetches,
    /// A task runs on it.
    Runs,
}

/// What a claim's task does with its image.
pub(super) fn image_state(claim: &Claim) -> ImageState {
    match (claim.progress, claim.sent) {
        (Progress::Running(_) | Progress::Saving, _) => ImageState::Runs,
        (_, Sent::No) => ImageState::StartPending,
        _ => ImageState::Fetches,
    }
}

/// A machine in a rollout.
pub(super) struct Member {
    /// It has all of the image.
    pub(super) complete: bool,
    /// Since when its start is pending, or it is known to fetch the image.
    pub(super) since: Time,
}

/// A machine on which a task is to be started.
pub(super) struct StartingMachine<'a> {
    pub(super) id: &'a MachineId,
    /// Its failure domains, the zone first.
    pub(super) path: &'a [String],
    /// It has all of the image.
    pub(super) complete: bool,
}

/// A machine that has all of an image when its rollout begins.
pub(super) struct CompleteMachine {
    pub(super) id: MachineId,
    /// Its failure domains, the zone first.
    pub(super) path: Vec<String>,
}

/// An image's rollout here.
pub(super) struct ActiveRollout {
    /// None: a predecessor's, which is continued once it is known what was
    /// started. Until then no start is sent: without that wait the origin would
    /// be asked for copies that are on their way.
    pub(super) rollout: Option<Rollout>,
    /// Its size, in GB.
    pub(super) gb: f64,
    pub(super) members: BTreeMap<MachineId, Member>,
    /// Machines whose start waits, and which of them was looked at last.
    pub(super) waiting: BTreeSet<MachineId>,
    scanned_to: MachineId,
    /// Since when no start is pending and nobody fetches it.
    pub(super) over_since: Option<Time>,
}

impl ActiveRollout {
    /// A rollout without members; none: a predecessor's.
    pub(super) fn of(rollout: Option<Rollout>) -> Self {
        Self {
            rollout,
            gb: 0.0,
            members: BTreeMap::new(),
            waiting: BTreeSet::new(),
            scanned_to: MachineId::from(""),
            over_since: None,
        }
    }

    /// A new rollout, with the machines that have all of the image.
    pub(super) fn begin(
        mut rollout: Rollout,
        complete: impl Iterator<Item = CompleteMachine>,
    ) -> Self {
        let mut members = BTreeMap::new();
        for machine in complete {
            rollout.join(machine.id.clone(), &machine.path, true);
            let member = Member {
                complete: true,
                since: Time(0.0),
            };
            members.insert(machine.id, member);
        }
        Self {
            members,
            ..Self::of(Some(rollout))
        }
    }

    /// A machine of the rollout has all of the image.
    pub(super) fn arrived(&mut self, machine: &MachineId, uploads: &mut Uploads) {
        let member = self.members.get_mut(machine);
        if let (Some(rollout), Some(member)) = (&mut self.rollout, member) {
            rollout.arrived(machine, uploads);
            member.complete = true;
        }
    }

    /// Scans some of the machines whose start waits, from where the last scan ended; those
    /// that may be sent it now wait no longer.
    pub(super) fn take_due_starts(&mut self, uploads: &Uploads, now: Time) -> Vec<MachineId> {
        let mut due = Vec::new();
        let Some(rollout) = &self.rollout else {
            return due;
        };
        for _ in 0..MACHINES_SCANNED_PER_PASS.min(self.waiting.len()) {
            let after = (Bound::Excluded(&self.scanned_to), Bound::Unbounded);
            let next = self.waiting.range(after).next();
            let Some(id) = next.or_else(|| self.waiting.first()).cloned() else {
                break;
            };
            // One that is not in it yet joins with its start.
            let joins = !self.members.contains_key(&id);
            if joins || rollout.may_start(&id, uploads, now.0) {
                self.waiting.remove(&id);
                due.push(id.clone());
            }
            self.scanned_to = id;
        }
        due
    }

    /// Whom a machine takes the image from if its start is sent now, the best first. None:
    /// the start has to wait for its stage.
    pub(super) fn start_on(
        &mut self,
        machine: &StartingMachine<'_>,
        uploads: &mut Uploads,
        now: Time,
    ) -> Option<Vec<Source>> {
        let sources = self.sources_if_due(machine, uploads, now);
        if sources.is_some() {
            self.waiting.remove(machine.id);
        } else {
            self.waiting.insert(machine.id.clone());
        }
        sources
    }

    /// The sources of a machine, which joins the rollout if it was not in it; none: its
    /// start is not due.
    fn sources_if_due(
        &mut self,
        machine: &StartingMachine<'_>,
        uploads: &mut Uploads,
        now: Time,
    ) -> Option<Vec<Source>> {
        let rollout = self.rollout.as_mut()?;
        self.over_since = None;
        let member = match self.members.entry(machine.id.clone()) {
            Entry::Occupied(member) => member.into_mut(),
            Entry::Vacant(seat) => {
                rollout.join(machine.id.clone(), machine.path, machine.complete);
                seat.insert(Member {
                    complete: machine.complete,
                    since: now,
                })
            }
        };
        if !rollout.may_start(machine.id, uploads, now.0) {
            return None;
        }
        member.since = now;
        Some(rollout.assign(machine.id, uploads, now.0))
    }
}
