//! Why a job waits, in words for its user.

use std::collections::BTreeMap;

use sorrelhinge_topology::devices::choose;
use sorrelhinge_topology::policy::Reach;

use super::machine::Machine;
use super::topology_rules::Site;
use super::{ClusterState, Job};
use crate::types::{JobId, Kind, MachineId, Time};

const TAKEN: &str = "its devices are taken";

/// What the machines that suit a job have for it.
#[derive(Default)]
struct Survey {
    /// Machines whose type, zone and kind suit it.
    suitable: u32,
    /// Of these, those with free capacity for a task.
    with_free_capacity: u32,
    /// Why those with free capacity don't do, and how many each reason keeps off.
    reasons: BTreeMap<String, u32>,
}

impl ClusterState {
    /// Why a job that wants a task placed has found no place, in words.
    pub fn why_waits(&self, id: &JobId, now: Time) -> Option<String> {
        let job = self.jobs.get(id).filter(|j| j.wants(now))?;
        job.blocked_since?;
        if !self.limit_allows(job, now) {
            return Some("its team is at its limit".into());
        }
        let gang = job.spec.kind == Kind::Gang;
        if gang && !job.tasks.claims().is_empty() {
            return Some("the gang starts anew once all its tasks are gone".into());
        }
        let site = self.site(job, Reach::Musts, None);
        let survey = self.survey(id, job, site.as_ref(), now);
        // What could change by itself tells most.
        let telling = survey
            .reasons
            .iter()
            .max_by_key(|(why, n)| (**why == TAKEN, **n));
        let with_free_capacity = survey.with_free_capacity;
        Some(match telling {
            Some((why, n)) => format!("{why} ({n} of {with_free_capacity} machines with room)"),
            None if site.is_some() && self.topology.is_none() => {
                "this controller has no topology".into()
            }
            None if with_free_capacity == 0 => {
                format!(
                    "no room on any of {} machines that suit it",
                    survey.suitable
                )
            }
            None if gang => {
                format!("no room for the whole gang; {with_free_capacity} machines have some")
            }
            None => "others go first".into(),
        })
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
            if let Some(why) = site.and_then(|site| self.why_site_bars(site, m_id, m)) {
                *survey.reasons.entry(why).or_insert(0) += 1;
            }
        }
        survey
    }

    /// Why a job's placement rules keep it off a machine, if they do.
    fn why_site_bars(&self, site: &Site, m_id: &MachineId, m: &Machine) -> Option<String> {
        let topology = self.topology.as_ref()?;
        let at = (m.place, m_id.as_str());
        let barred = site
            .policy
            .bars(&topology.tree, &site.tally, at, Reach::Musts);
        if let Some(barred) = barred {
            return Some(barred.why);
        }
        if choose(&m.device_inventory, &m.allocated_devices, &site.needs).is_some() {
            return None;
        }
        let why = if Machine::could(&m.working, &site.needs) {
            TAKEN
        } else {
            "it has no such device"
        };
        Some(why.into())
    }
}
