//! Placement by failure domains and devices: checks machines against a job's placement
//! policy. Without the operator's topology file no job has a policy from its class, and jobs
//! without placement rules of their own skip these checks.

use std::rc::Rc;

use sorrelhinge_protocol::placement::Device;
use sorrelhinge_topology::devices::{choose, Unit};
use sorrelhinge_topology::policy::{MachineLocation, Policy, Reach, Tally, UnjudgedPolicy};
use sorrelhinge_topology::repair::Stability;
use sorrelhinge_topology::tree::{Domain, ROOT};
use sorrelhinge_topology::Topology;

use super::filter::PlacementRequest;
use super::machine::Machine;
use super::{ClusterState, Job};
use crate::types::{JobId, JobSpec, MachineId, Time};

/// Options of the search for a machine.
#[derive(Default)]
pub(super) struct Ask<'a> {
    /// Task that is about to move, so its present location does not count.
    pub leave_out: Option<u32>,
    /// Restricts the search to domains that lost no machine for some time.
    pub settled: Option<SettledDomains<'a>>,
}

/// The test whether a domain lost no machine for some time.
#[derive(Clone, Copy)]
pub(super) struct SettledDomains<'a> {
    /// Times at which domains lost machines.
    pub stability: &'a Stability,
    /// Seconds that must have passed since a domain lost a machine.
    pub settle_s: f64,
}

/// A job's placement policy with the state that is needed to check machines against it.
pub(super) struct PolicyCheck<'a> {
    pub policy: &'a Policy,
    /// Number of the job's tasks in each domain that the policy's rules count.
    pub tally: Tally,
    /// Devices that each task needs under the rules that apply.
    pub needs: Vec<Device>,
    /// Whether all rules apply or only the required ones.
    pub reach: Reach,
}

impl ClusterState {
    /// Applies a new or changed topology file: updates the place and devices of every machine
    /// and the policy of every job. Does not change claims. The capacity and devices of a
    /// claim stay in use until its task has ended.
    pub fn set_topology(
        &mut self,
        topology: Option<Rc<Topology>>,
        addr: impl Fn(&MachineId) -> Option<std::net::IpAddr>,
    ) {
        self.topology = topology;
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            let addr = addr(&id);
            self.locate(&id, addr);
        }
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in jobs {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.policy = Self::policy_of(self.topology.as_deref(), &job.spec);
            }
        }
    }

    /// Returns the topology from the operator's file, or `None` without a file.
    pub fn topology(&self) -> Option<&Rc<Topology>> {
        self.topology.as_ref()
    }

    /// Returns a job's placement policy. Takes the devices from the job's record only, as the
    /// devices of the job's class were copied into the record when the job was accepted.
    pub fn policy_of(topology: Option<&Topology>, spec: &JobSpec) -> Rc<Policy> {
        let own = spec.placement.as_deref();
        match topology {
            Some(t) => {
                let class: Vec<_> = t
                    .class_placement_rules(&spec.class)
                    .map(|w| sorrelhinge_protocol::placement::PlacementRules {
                        devices: Vec::new(),
                        ..w.clone()
                    })
                    .collect();
                Rc::new(Policy::new(class.iter().chain(own), &t.tree, spec.tasks))
            }
            None if own.is_some() => Rc::new(Policy::unjudged(UnjudgedPolicy::NoTopology)),
            None => Rc::default(),
        }
    }

    /// Updates a machine's place and devices from the topology.
    pub fn locate(&mut self, id: &MachineId, addr: Option<std::net::IpAddr>) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let (domain, device_inventory) = match &self.topology {
            Some(t) => {
                let place = t.place(id.as_str(), addr, &machine.zone);
                if place.conflict {
                    tracing::error!(machine = %id, zone = %machine.zone, "topology zone differs from the cloud's; machine's place unknown");
                }
                (
                    place.domain,
                    t.device_inventory(id.as_str(), addr, &machine.kind.name),
                )
            }
            None => (ROOT, Default::default()),
        };
        if machine.place == domain && *machine.device_inventory == device_inventory {
            return;
        }
        self.edit_machine(id, |m| {
            m.place = domain;
            m.equip(device_inventory);
        });
    }

    /// Returns the locations of a job's claimed tasks, without the task `leave_out`. Yields
    /// `None` for a task on an unknown machine.
    pub(super) fn task_locations<'a>(
        &'a self,
        job: &'a Job,
        leave_out: Option<u32>,
    ) -> impl Iterator<Item = Option<MachineLocation<'a>>> + 'a {
        let claims = job.tasks.claims().iter();
        claims
            .filter(move |(index, _)| Some(**index) != leave_out)
            .map(|(_, claim)| {
                let machine = self.machines.get(&claim.machine)?;
                Some(MachineLocation {
                    place: machine.place,
                    machine: claim.machine.as_str(),
                })
            })
    }

    /// Prepares the check of machines against a job's policy. Returns `None` if the policy has
    /// no rules.
    pub(super) fn policy_check<'a>(
        &'a self,
        job: &'a Job,
        reach: Reach,
        leave_out: Option<u32>,
    ) -> Option<PolicyCheck<'a>> {
        let policy = &*job.policy;
        if policy.is_empty() {
            return None;
        }
        let tally = match &self.topology {
            Some(t) => policy.tally(&t.tree, self.task_locations(job, leave_out)),
            None => Tally::default(),
        };
        Some(PolicyCheck {
            policy,
            tally,
            needs: policy.needs(reach),
            reach,
        })
    }

    /// Checks a machine against a job's policy. If the policy excludes the machine, returns
    /// the first place at which a machine may pass again.
    pub(super) fn check_machine(
        &self,
        policy_check: &PolicyCheck,
        ask: &Ask,
        place: Domain,
        m_id: &MachineId,
        now: Time,
    ) -> Result<(), Domain> {
        let next = Err(place.next());
        let Some(topology) = &self.topology else {
            return Err(Domain::END);
        };
        let at = MachineLocation {
            place,
            machine: m_id.as_str(),
        };
        if let Some(barred) =
            policy_check
                .policy
                .bars(&topology.tree, &policy_check.tally, at, policy_check.reach)
        {
            return Err(barred.until);
        }
        if !policy_check.needs.is_empty() {
            let Some(m) = self.machines.get(m_id) else {
                return next;
            };
            if choose(
                &m.device_inventory,
                &m.allocated_devices,
                &policy_check.needs,
            )
            .is_none()
            {
                return next;
            }
        }
        match ask.settled {
            Some(SettledDomains {
                stability,
                settle_s,
            }) if !stability.trusted(&topology.tree, place, settle_s, now) => next,
            _ => Ok(()),
        }
    }

    /// Returns whether a job's policy admits a machine that a placement pass is filling. The
    /// machine must meet all placement rules, or only the required rules if no machine meets
    /// all.
    pub(super) fn policy_admits(&self, request: &PlacementRequest, m_id: &MachineId) -> bool {
        let PlacementRequest { job, now, .. } = *request;
        let ask = Ask::default();
        let passes = |reach: Reach| match self.policy_check(job, reach, None) {
            None => true,
            Some(policy_check) => self.machines.get(m_id).is_some_and(|m| {
                Machine::could(&m.working, &policy_check.needs)
                    && self
                        .check_machine(&policy_check, &ask, m.place, m_id, now)
                        .is_ok()
            }),
        };
        passes(Reach::All)
            || job.policy.prefers()
                && passes(Reach::Musts)
                && self.best_of(request, &ask, Reach::All).is_none()
    }

    /// Returns whether a machine meets the required rules of a job, with the devices that the
    /// job needs working and free. Preemption uses this check.
    pub(super) fn meets_required_rules(&self, job: &Job, m_id: &MachineId, now: Time) -> bool {
        let ask = Ask::default();
        self.policy_check(job, Reach::Musts, None)
            .is_none_or(|policy_check| {
                let machine = self.machines.get(m_id);
                machine.is_some_and(|m| {
                    self.check_machine(&policy_check, &ask, m.place, m_id, now)
                        .is_ok()
                })
            })
    }

    /// Returns the device units that one more task of a job would use on a machine. Returns
    /// `None` if a required unit is missing, broken or in use.
    pub(super) fn units_for(&self, id: &JobId, m_id: &MachineId) -> Option<Vec<Unit>> {
        let job = self.jobs.get(id)?;
        if job.policy.devices.is_empty() {
            return Some(Vec::new());
        }
        let m = self.machines.get(m_id)?;
        choose(
            &m.device_inventory,
            &m.allocated_devices,
            &job.policy.devices,
        )
    }
}
