//! The rules of a gang's job that a plan for all its tasks must meet.

use sorrelhinge_topology::gang::{ChosenSlot, Rules, Slot};
use sorrelhinge_topology::policy::{MachineLocation, Reach};

use crate::scheduler::{ClusterState, Job};
use crate::types::Zone;

/// Checks a plan for all tasks of a job against the job's zone and placement rules.
pub(super) struct JobRules<'a> {
    pub cluster_state: &'a ClusterState,
    pub job: &'a Job,
    pub reach: Reach,
}

impl Rules for JobRules<'_> {
    fn allowed(&self, chosen: &[ChosenSlot<'_>], slot: &Slot, wanted: u32) -> u32 {
        let Some(zone) = self.zone_of(slot) else {
            return 0;
        };
        let spec = &self.job.spec;
        let elsewhere = |s: &Slot| self.zone_of(s) != Some(zone);
        if spec.one_zone && chosen.iter().any(|c| elsewhere(c.slot)) {
            return 0;
        }
        let mut allowed = wanted;
        if spec.spread {
            let here = chosen.iter().filter(|c| !elsewhere(c.slot));
            let here: u32 = here.map(|c| c.tasks).sum();
            allowed = allowed.min(spec.tasks.div_ceil(2).saturating_sub(here));
        }
        self.allowed_by_policy(chosen, slot, allowed)
    }
}

/// Returns the location of a slot's machine.
fn location(slot: &Slot) -> MachineLocation<'_> {
    MachineLocation {
        place: slot.place,
        machine: slot.machine.as_str(),
    }
}

impl JobRules<'_> {
    fn zone_of(&self, slot: &Slot) -> Option<&Zone> {
        let machine = self.cluster_state.machines.get(&slot.machine)?;
        Some(&machine.zone)
    }

    /// Returns how many of `wanted` more tasks the job's placement rules allow on a slot.
    fn allowed_by_policy(&self, chosen: &[ChosenSlot<'_>], slot: &Slot, wanted: u32) -> u32 {
        let policy = &self.job.policy;
        if !policy.counts() {
            return wanted;
        }
        let Some(topology) = &self.cluster_state.topology else {
            return 0;
        };
        let tree = &topology.tree;
        let at = location(slot);
        let planned = chosen
            .iter()
            .flat_map(|c| (0..c.tasks).map(|_| Some(location(c.slot))));
        let mut tally = policy.tally(tree, planned);
        let mut count = 0;
        while count < wanted && policy.bars(tree, &tally, at, self.reach).is_none() {
            policy.count(tree, &mut tally, Some(at));
            count += 1;
        }
        count
    }
}
