//! Placement by failure domains and devices: what a job's policy says of a
//! machine. Without the operator's file no job has a policy, and nothing here
//! is asked.

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

/// How a place is asked for.
#[derive(Default)]
pub(super) struct Ask<'a> {
    /// A task that will have moved off: where it is does not count.
    pub leave_out: Option<u32>,
    /// Only domains that lost no machine for some time.
    pub settled: Option<Settled<'a>>,
}

/// Which domains lost no machine for some time.
#[derive(Clone, Copy)]
pub(super) struct Settled<'a> {
    /// When domains lost machines.
    pub stability: &'a Stability,
    /// For how long, in seconds.
    pub settle_s: f64,
}

/// What a job's policy needs to judge machines.
pub(super) struct Site<'a> {
    pub policy: &'a Policy,
    /// Where the job's tasks are.
    pub tally: Tally,
    /// Devices that count as required.
    pub needs: Vec<Device>,
    /// Which rules count.
    pub reach: Reach,
}

impl ClusterState {
    /// Takes up the operator's file, new or changed: every machine's place and
    /// devices, and every job's policy. Claims stay what they are; whatever
    /// they use is in use until their tasks have ended.
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

    /// The operator's file.
    pub fn topology(&self) -> Option<&Rc<Topology>> {
        self.topology.as_ref()
    }

    /// A job's policy. Devices are what the record says: a class's were
    /// written into it when the job was accepted.
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

    /// Finds a machine's place and devices.
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

    /// Where a job's tasks are, but for one that is left out.
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

    /// What is needed to judge machines for a job; none if it asks nothing.
    pub(super) fn site<'a>(
        &'a self,
        job: &'a Job,
        reach: Reach,
        leave_out: Option<u32>,
    ) -> Option<Site<'a>> {
        let policy = &*job.policy;
        if policy.is_empty() {
            return None;
        }
        let tally = match &self.topology {
            Some(t) => policy.tally(&t.tree, self.task_locations(job, leave_out)),
            None => Tally::default(),
        };
        Some(Site {
            policy,
            tally,
            needs: policy.needs(reach),
            reach,
        })
    }

    /// Whether a machine passes; else up to which place none does.
    pub(super) fn site_passes(
        &self,
        site: &Site,
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
        if let Some(barred) = site
            .policy
            .bars(&topology.tree, &site.tally, at, site.reach)
        {
            return Err(barred.until);
        }
        if !site.needs.is_empty() {
            let Some(m) = self.machines.get(m_id) else {
                return next;
            };
            if choose(&m.device_inventory, &m.allocated_devices, &site.needs).is_none() {
                return next;
            }
        }
        match ask.settled {
            Some(Settled {
                stability,
                settle_s,
            }) if !stability.trusted(&topology.tree, place, settle_s, now) => next,
            _ => Ok(()),
        }
    }

    /// Whether a machine whose turn it is suits a job's policy: it meets all
    /// placement rules, or what is required where no machine meets all.
    pub(super) fn site_suits(&self, request: &PlacementRequest, m_id: &MachineId) -> bool {
        let PlacementRequest { job, now, .. } = *request;
        let ask = Ask::default();
        let passes = |reach: Reach| match self.site(job, reach, None) {
            None => true,
            Some(site) => self.machines.get(m_id).is_some_and(|m| {
                Machine::could(&m.working, &site.needs)
                    && self.site_passes(&site, &ask, m.place, m_id, now).is_ok()
            }),
        };
        passes(Reach::All)
            || job.policy.prefers()
                && passes(Reach::Musts)
                && self.best_of(request, &ask, Reach::All).is_none()
    }

    /// Whether a machine would suit a job's required rules, its devices being
    /// in order and free: what preemption asks.
    pub(super) fn could_site(&self, job: &Job, m_id: &MachineId, now: Time) -> bool {
        let ask = Ask::default();
        self.site(job, Reach::Musts, None).is_none_or(|site| {
            let machine = self.machines.get(m_id);
            machine.is_some_and(|m| self.site_passes(&site, &ask, m.place, m_id, now).is_ok())
        })
    }

    /// The units that one more task of a job would use on a machine; none if
    /// one that it can't do without is missing, broken or taken.
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
