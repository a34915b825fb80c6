//! Why a job waits. The texts are for its user and the log.

use std::collections::BTreeMap;
use std::fmt;

use sorrelhinge_topology::devices::choose;
use sorrelhinge_topology::policy::{ExclusionRule, MachineLocation, Reach, UnjudgedPolicy};

use super::machine::Machine;
use super::topology_rules::Site;
use super::{ClusterState, Job};
use crate::types::{JobId, Kind, MachineId, Time};

/// Why a job that has a task to place has found no machine for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitingReason {
    /// Its team uses all that its limit allows.
    TeamAtLimit,
    /// Tasks of a gang that is to start anew have not ended yet.
    GangStopping,
    /// Machines have free capacity for a task and something else excludes them.
    Excluded {
        /// What excludes most of them; taken devices before all else, as they come free
        /// by themselves.
        why: MachineExclusion,
        /// How many machines that excludes.
        machines: u32,
        /// Suitable machines with free capacity for a task.
        with_free_capacity: u32,
    },
    /// It has placement rules and the controller has no topology file.
    NoTopology,
    /// No suitable machine has free capacity for a task.
    NoFreeCapacity {
        /// Machines whose type, zone and kind suit it.
        suitable: u32,
    },
    /// Machines have free capacity, too little for all tasks of a gang.
    NoFreeCapacityForGang {
        /// Suitable machines with free capacity for a task.
        with_free_capacity: u32,
    },
    /// Others come first in order.
    OthersFirst,
}

impl fmt::Display for WaitingReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TeamAtLimit => f.write_str("its team is at its limit"),
            Self::GangStopping => f.write_str("the gang starts anew once all its tasks are gone"),
            Self::Excluded {
                why,
                machines,
                with_free_capacity,
            } => write!(
                f,
                "{why} ({machines} of {with_free_capacity} machines with room)"
            ),
            Self::NoTopology => UnjudgedPolicy::NoTopology.fmt(f),
            Self::NoFreeCapacity { suitable } => {
                write!(f, "no room on any of {suitable} machines that suit it")
            }
            Self::NoFreeCapacityForGang { with_free_capacity } => write!(
                f,
                "no room for the whole gang; {with_free_capacity} machines have some"
            ),
            Self::OthersFirst => f.write_str("others go first"),
        }
    }
}

/// Why a machine with free capacity for a task of a job can't run it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineExclusion {
    /// A placement rule.
    Rule(ExclusionRule),
    /// It has the devices that a task needs; other tasks use them.
    DevicesTaken,
    /// It has no such devices that work.
    NoSuchDevice,
}

impl fmt::Display for MachineExclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rule(rule) => rule.fmt(f),
            Self::DevicesTaken => f.write_str("its devices are taken"),
            Self::NoSuchDevice => f.write_str("it has no such device"),
        }
    }
}

/// What the machines that suit a job have for it.
#[derive(Default)]
struct Survey {
    /// Machines whose type, zone and kind suit it.
    suitable: u32,
    /// Of these, those with free capacity for a task.
    with_free_capacity: u32,
    /// What excludes those with free capacity, and how many machines each.
    exclusions: BTreeMap<MachineExclusion, u32>,
}

impl Survey {
    /// What to name of all that excludes machines: what changes by itself, else what
    /// excludes the most.
    fn main_exclusion(&self) -> Option<WaitingReason> {
        let rank = |(why, machines): &(&MachineExclusion, &u32)| {
            let taken = **why == MachineExclusion::DevicesTaken;
            // Among equals the last text in the order of letters.
            (taken, **machines, why.to_string())
        };
        let (why, machines) = self.exclusions.iter().max_by_key(rank)?;
        Some(WaitingReason::Excluded {
            why: why.clone(),
            machines: *machines,
            with_free_capacity: self.with_free_capacity,
        })
    }
}

impl ClusterState {
    /// Why a job that has a task to place has found no machine for it; none if it waits
    /// for nothing, or no placement has tried yet.
    pub fn why_waits(&self, id: &JobId, now: Time) -> Option<WaitingReason> {
        let job = self.jobs.get(id).filter(|j| j.needs_placement(now))?;
        job.blocked_since?;
        if !self.limit_allows(job, now) {
            return Some(WaitingReason::TeamAtLimit);
        }
        if job.spec.kind == Kind::Gang && !job.tasks.claims().is_empty() {
            return Some(WaitingReason::GangStopping);
        }
        Some(self.why_no_machine(id, job, now))
    }

    /// Why none of the machines runs a task of a job that its team's limit allows.
    fn why_no_machine(&self, id: &JobId, job: &Job, now: Time) -> WaitingReason {
        let site = self.site(job, Reach::Musts, None);
        let survey = self.survey(id, job, site.as_ref(), now);
        if let Some(excluded) = survey.main_exclusion() {
            return excluded;
        }
        if site.is_some() && self.topology.is_none() {
            return WaitingReason::NoTopology;
        }
        let with_free_capacity = survey.with_free_capacity;
        if with_free_capacity == 0 {
            return WaitingReason::NoFreeCapacity {
                suitable: survey.suitable,
            };
        }
        if job.spec.kind == Kind::Gang {
            return WaitingReason::NoFreeCapacityForGang { with_free_capacity };
        }
        WaitingReason::OthersFirst
    }

    /// Looks at all machines that suit a job.
    fn survey(&self, id: &JobId, job: &Job, site: Option<&Site>, now: Time) -> Survey {
        let mut survey = Survey::default();
        let suits = |m: &Machine| m.usable && Self::suits(&job.spec, m);
        for (m_id, m) in self.machines.iter().filter(|(_, m)| suits(m)) {
            survey.suitable += 1;
            let free_capacity =
                self.free_capacity_for(id, job.leaves_reserved_capacity(now), m_id, now);
            if !job.spec.each.fits(free_capacity) {
                continue;
            }
            survey.with_free_capacity += 1;
            if let Some(why) = site.and_then(|site| self.site_exclusion(site, m_id, m)) {
                *survey.exclusions.entry(why).or_insert(0) += 1;
            }
        }
        survey
    }

    /// What in a job's placement rules excludes a machine, if anything does.
    fn site_exclusion(
        &self,
        site: &Site,
        m_id: &MachineId,
        m: &Machine,
    ) -> Option<MachineExclusion> {
        let topology = self.topology.as_ref()?;
        let at = MachineLocation {
            place: m.place,
            machine: m_id.as_str(),
        };
        let barred = site
            .policy
            .bars(&topology.tree, &site.tally, at, Reach::Musts);
        if let Some(barred) = barred {
            return Some(MachineExclusion::Rule(barred.rule));
        }
        if choose(&m.device_inventory, &m.allocated_devices, &site.needs).is_some() {
            return None;
        }
        if Machine::could(&m.working, &site.needs) {
            Some(MachineExclusion::DevicesTaken)
        } else {
            Some(MachineExclusion::NoSuchDevice)
        }
    }
}
