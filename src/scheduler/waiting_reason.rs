//! The reason why a job waits. Users and the log see the texts of this module.

use std::collections::BTreeMap;
use std::fmt;

use sorrelhinge_topology::devices::choose;
use sorrelhinge_topology::policy::{ExclusionRule, MachineLocation, Reach, UnjudgedPolicy};

use super::machine::Machine;
use super::topology_rules::PolicyCheck;
use super::{ClusterState, Job};
use crate::types::{JobId, Kind, MachineId, Time};

/// The reason why a job has found no machine for a pending task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitingReason {
    /// One more task would exceed the limit of the job's team.
    TeamAtLimit,
    /// The gang is to start again and its earlier tasks have not ended yet.
    GangStopping,
    /// Machines have free capacity for a task, but a rule or a lack of devices excludes them.
    Excluded {
        /// Reason that excludes the most machines. Devices in use come before all other
        /// reasons, as they come free without a change by the user.
        why: MachineExclusion,
        /// Number of machines that this reason excludes.
        machines: u32,
        /// Number of suitable machines with free capacity for a task.
        with_free_capacity: u32,
    },
    /// The job has placement rules and the controller has no topology file.
    NoTopology,
    /// No suitable machine has free capacity for a task.
    NoFreeCapacity {
        /// Number of machines whose type, zone and kind suit the job.
        suitable: u32,
    },
    /// The machines have too little free capacity for all tasks of a gang.
    NoFreeCapacityForGang {
        /// Number of suitable machines with free capacity for a task.
        with_free_capacity: u32,
    },
    /// Other jobs come first in scheduling order.
    OthersFirst,
}

impl fmt::Display for WaitingReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TeamAtLimit => f.write_str("the job's team is at its limit"),
            Self::GangStopping => f.write_str("the gang restarts once all its tasks have ended"),
            Self::Excluded {
                why,
                machines,
                with_free_capacity,
            } => write!(
                f,
                "{why} ({machines} of {with_free_capacity} machines with free capacity)"
            ),
            Self::NoTopology => UnjudgedPolicy::NoTopology.fmt(f),
            Self::NoFreeCapacity { suitable } => {
                write!(f, "none of {suitable} suitable machines has free capacity")
            }
            Self::NoFreeCapacityForGang { with_free_capacity } => write!(
                f,
                "too little free capacity for the whole gang; {with_free_capacity} machines have some"
            ),
            Self::OthersFirst => f.write_str("other jobs come first"),
        }
    }
}

/// The reason why a machine with free capacity for a task can't run the task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineExclusion {
    /// A placement rule excludes the machine.
    Rule(ExclusionRule),
    /// The machine has the devices that a task needs, but other tasks use them.
    DevicesTaken,
    /// The machine has no working devices of the kind that a task needs.
    NoSuchDevice,
}

impl fmt::Display for MachineExclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rule(rule) => rule.fmt(f),
            Self::DevicesTaken => f.write_str("its devices are in use"),
            Self::NoSuchDevice => f.write_str("it has no such device"),
        }
    }
}

/// Counts of the machines that suit a job.
#[derive(Default)]
struct Survey {
    /// Number of machines whose type, zone and kind suit the job.
    suitable: u32,
    /// Number of suitable machines with free capacity for a task.
    with_free_capacity: u32,
    /// Number of machines with free capacity that each reason excludes.
    exclusions: BTreeMap<MachineExclusion, u32>,
}

impl Survey {
    /// Returns the exclusion to report: devices in use if there are any, else the reason that
    /// excludes the most machines.
    fn main_exclusion(&self) -> Option<WaitingReason> {
        let rank = |(why, machines): &(&MachineExclusion, &u32)| {
            let taken = **why == MachineExclusion::DevicesTaken;
            // Among equal counts, the alphabetically last text is reported.
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
    /// Returns the reason why a job has found no machine for a pending task. Returns `None` if
    /// the job has no task to place or if no placement pass has tried the job yet.
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

    /// Returns the reason why no machine runs a task of a job whose team is below its limit.
    fn why_no_machine(&self, id: &JobId, job: &Job, now: Time) -> WaitingReason {
        let policy_check = self.policy_check(job, Reach::Musts, None);
        let survey = self.survey(id, job, policy_check.as_ref(), now);
        if let Some(excluded) = survey.main_exclusion() {
            return excluded;
        }
        if policy_check.is_some() && self.topology.is_none() {
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

    /// Counts the machines that suit a job, and the reasons that exclude them.
    fn survey(
        &self,
        id: &JobId,
        job: &Job,
        policy_check: Option<&PolicyCheck>,
        now: Time,
    ) -> Survey {
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
            if let Some(why) =
                policy_check.and_then(|policy_check| self.policy_exclusion(policy_check, m_id, m))
            {
                *survey.exclusions.entry(why).or_insert(0) += 1;
            }
        }
        survey
    }

    /// Returns the reason why a job's placement rules exclude a machine. Returns `None` if
    /// they allow the machine.
    fn policy_exclusion(
        &self,
        policy_check: &PolicyCheck,
        m_id: &MachineId,
        m: &Machine,
    ) -> Option<MachineExclusion> {
        let topology = self.topology.as_ref()?;
        let at = MachineLocation {
            place: m.place,
            machine: m_id.as_str(),
        };
        let barred =
            policy_check
                .policy
                .bars(&topology.tree, &policy_check.tally, at, Reach::Musts);
        if let Some(barred) = barred {
            return Some(MachineExclusion::Rule(barred.rule));
        }
        if choose(
            &m.device_inventory,
            &m.allocated_devices,
            &policy_check.needs,
        )
        .is_some()
        {
            return None;
        }
        if Machine::could(&m.working, &policy_check.needs) {
            Some(MachineExclusion::DevicesTaken)
        } else {
            Some(MachineExclusion::NoSuchDevice)
        }
    }
}
