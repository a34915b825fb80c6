//! This module tracks the staged rollout of one image. It records which machines take part, and for
//! which machines the start commands of tasks are held back until their stage begins.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use sorrelhinge_image_distribution::plan::{Rollout, Source, Uploads};

use crate::scheduler::{Claim, Progress, Sent};
use crate::types::{MachineId, Time};

/// Maximum number of machines that one scan for due start commands visits. With thousands of
/// waiting machines and no free upload slot, a full scan would delay all other work.
const MACHINES_SCANNED_PER_PASS: usize = 64;

/// Progress of a machine with an image, derived from the claims on the machine. The variants
/// are ordered by progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ImageState {
    /// The start command of the task was not sent to the machine yet.
    StartPending,
    /// The start command of the task was sent to the machine, and the task does not run yet.
    Fetching,
    /// A task runs on the machine with the image.
    Running,
}

/// Returns how far the machine of a claim is with the image of the claim's task.
pub(super) fn image_state(claim: &Claim) -> ImageState {
    match (claim.progress, claim.sent) {
        (Progress::Running(_) | Progress::Saving, _) => ImageState::Running,
        (_, Sent::No) => ImageState::StartPending,
        _ => ImageState::Fetching,
    }
}

/// Machine that takes part in a rollout.
pub(super) struct Member {
    /// Whether the machine has the complete image.
    pub(super) complete: bool,
    /// Time since which the machine's start is pending, or since which the machine is known to
    /// fetch the image.
    pub(super) since: Time,
}

/// Machine on which the controller is about to start a task.
pub(super) struct StartingMachine<'a> {
    pub(super) id: &'a MachineId,
    /// Failure domains of the machine, the zone first.
    pub(super) path: &'a [String],
    /// Whether the machine has the complete image.
    pub(super) complete: bool,
}

/// Machine that already has the complete image when its rollout begins.
pub(super) struct CompleteMachine {
    pub(super) id: MachineId,
    /// Failure domains of the machine, the zone first.
    pub(super) path: Vec<String>,
}

/// Rollout of one image in this shard.
pub(super) struct ActiveRollout {
    /// Plan of the image's rollout. `None` for a rollout of the shard's previous owner, which
    /// resumes once the new owner knows which starts the previous owner sent. No start is sent
    /// until then, because the origin would be asked for copies that are already in flight.
    pub(super) rollout: Option<Rollout>,
    /// Size of the image in GB.
    pub(super) gb: f64,
    pub(super) members: BTreeMap<MachineId, Member>,
    /// Machines for which start commands of tasks are held back. The rollout serves machines in
    /// stages, and the stage of these machines has not begun.
    pub(super) waiting: BTreeSet<MachineId>,
    last_scanned: MachineId,
    /// Time since which no start is pending and no machine fetches the image.
    pub(super) idle_since: Option<Time>,
}

impl ActiveRollout {
    /// Creates a rollout without members. `None` stands for a rollout of the previous owner.
    pub(super) fn of(rollout: Option<Rollout>) -> Self {
        Self {
            rollout,
            gb: 0.0,
            members: BTreeMap::new(),
            waiting: BTreeSet::new(),
            last_scanned: MachineId::from(""),
            idle_since: None,
        }
    }

    /// Creates a new rollout whose members are the machines that have the complete image.
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

    /// Records that a member has the complete image.
    pub(super) fn arrived(&mut self, machine: &MachineId, uploads: &mut Uploads) {
        let member = self.members.get_mut(machine);
        if let (Some(rollout), Some(member)) = (&mut self.rollout, member) {
            rollout.arrived(machine, uploads);
            member.complete = true;
        }
    }

    /// Scans some of the machines for which start commands of tasks are held back. The scan
    /// continues where the last one ended. Removes and returns the machines to which the commands
    /// may be sent now.
    pub(super) fn take_due_starts(&mut self, uploads: &Uploads, now: Time) -> Vec<MachineId> {
        let mut due = Vec::new();
        let Some(rollout) = &self.rollout else {
            return due;
        };
        for _ in 0..MACHINES_SCANNED_PER_PASS.min(self.waiting.len()) {
            let after = (Bound::Excluded(&self.last_scanned), Bound::Unbounded);
            let next = self.waiting.range(after).next();
            let Some(id) = next.or_else(|| self.waiting.first()).cloned() else {
                break;
            };
            // A machine that is not a member of the rollout yet joins it when its start command is
            // sent.
            let joins = !self.members.contains_key(&id);
            if joins || rollout.may_start(&id, uploads, now.0) {
                self.waiting.remove(&id);
                due.push(id.clone());
            }
            self.last_scanned = id;
        }
        due
    }

    /// Returns the sources from which a machine fetches the image if its start command is sent now,
    /// the best first. Returns `None` if the command has to wait for a later stage of the rollout.
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

    /// Returns the sources of a machine and adds the machine to the rollout if it is not a member.
    /// Returns `None` if the machine's start command is not due.
    fn sources_if_due(
        &mut self,
        machine: &StartingMachine<'_>,
        uploads: &mut Uploads,
        now: Time,
    ) -> Option<Vec<Source>> {
        let rollout = self.rollout.as_mut()?;
        self.idle_since = None;
        let member = match self.members.entry(machine.id.clone()) {
            Entry::Occupied(member) => member.into_mut(),
            Entry::Vacant(entry) => {
                rollout.join(machine.id.clone(), machine.path, machine.complete);
                entry.insert(Member {
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
