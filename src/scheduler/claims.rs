//! Claims of tasks on machines: making, stopping and releasing them, with the sums that
//! count them.

use sorrelhinge_topology::devices::Unit;

use super::cluster_state::Reservation;
use super::tasks::{Claim, Progress, Sent};
use super::{idle, ClusterState};
use crate::types::{Attempt, Image, JobId, JobSpec, MachineId, TaskId, Time};

impl ClusterState {
    /// Adds a claim, which its job already holds, to a known machine.
    pub(super) fn add_claim_to_machine(&mut self, id: &MachineId, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(claim) = job.tasks.claims().get(&task.index) else {
            return;
        };
        let (spec, units, unnamed) = (job.spec.clone(), claim.units.clone(), claim.unnamed);
        let other_images = self.other_needed_images(id, &spec);
        self.edit_machine(id, |m| {
            m.claims.insert(task.clone());
            m.used += spec.each;
            if spec.spot && !m.spot {
                m.movable += spec.each;
            }
            m.allocated_devices.take(&units);
            if unnamed {
                m.allocated_devices.take_unnamed();
            }
            m.use_image(&spec, other_images.as_deref(), false);
        });
    }

    /// Claims a machine for a pending task, with the devices that the task needs there.
    /// Returns `false` if a device that the task requires is not free.
    pub fn claim(&mut self, task: &TaskId, m_id: &MachineId, now: Time) -> bool {
        let Some(units) = self.units_for(&task.job, m_id) else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let attempt = job.tasks.take_attempt(task.index);
        self.enter(task, attempt, m_id, units, now);
        true
    }

    /// Adds the claim of a task that is placed now, and restarts its job's wait for the
    /// next placement.
    pub(super) fn enter(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        m_id: &MachineId,
        units: Vec<Unit>,
        now: Time,
    ) {
        let claim = Claim {
            attempt,
            machine: m_id.clone(),
            since: now,
            committed: false,
            sent: Sent::No,
            progress: Progress::Unseen,
            stop: None,
            units,
            unnamed: false,
        };
        self.put_claim(task, claim);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.last_placed = Some(now);
        }
    }

    /// Adds a claim that is new or was read from the job's record.
    pub fn put_claim(&mut self, task: &TaskId, claim: Claim) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let (spec, team) = (job.spec.clone(), job.team);
        self.teams[team].used += spec.each;
        if idle::is_bounded(job) {
            self.idle.used += spec.each;
        }
        if let Some(laned) = job.lane {
            *self.lanes.used.entry(laned.lane).or_default() += spec.each.cpu;
        }
        if self
            .reserved
            .get(&claim.machine)
            .is_some_and(|reserved| reserved.job == task.job)
        {
            self.reserved.remove(&claim.machine);
        }
        self.reservations.taken(team, &spec, &claim.machine);
        let machine = claim.machine.clone();
        self.edit_job(&task.job, |job| job.tasks.insert_claim(task.index, claim));
        if self.machines.contains_key(&machine) {
            self.add_claim_to_machine(&machine, task);
        } else {
            self.claims_on_unknown_machines
                .entry(machine)
                .or_default()
                .insert(task.clone());
        }
    }

    /// Reserves capacity on a machine for a job's next task, until a time.
    pub(super) fn reserve(&mut self, machine: MachineId, job: &JobId, until: Time) {
        let job = job.clone();
        self.reserved.insert(machine, Reservation { job, until });
    }

    /// Marks a claimed task to be stopped. The task gets time to save its state if it takes
    /// checkpoints, its job is not cancelled and there is no `hurry`.
    pub fn stop(&mut self, task: &TaskId, hurry: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let saves = job.spec.checkpoint_s > 0.0 && !job.cancelled && !hurry;
        let grace = if saves { job.spec.save_s + 1.0 } else { 0.0 };
        if let Some(claim) = job.tasks.claim_mut(task.index) {
            if claim.stop.is_none_or(|g| grace < g) {
                claim.stop = Some(grace);
            }
        }
    }

    /// Removes and returns a claim whose task is known to have ended or was never started.
    pub fn release(&mut self, task: &TaskId, now: Time) -> Option<Claim> {
        let claim = self.edit_job(&task.job, |job| job.tasks.remove_claim(task.index))??;
        let job = self.jobs.get(&task.job)?;
        let (spec, team) = (job.spec.clone(), job.team);
        self.teams[team].used -= spec.each;
        if idle::is_bounded(job) {
            self.idle.used -= spec.each;
        }
        if let Some(laned) = job.lane {
            *self.lanes.used.entry(laned.lane).or_default() -= spec.each.cpu;
        }
        self.reservations.left(team, &spec);
        let known = self.remove_claim_from_machine(task, &claim, &spec, now);
        if !known {
            if let Some(tasks) = self.claims_on_unknown_machines.get_mut(&claim.machine) {
                tasks.remove(task);
                if tasks.is_empty() {
                    self.claims_on_unknown_machines.remove(&claim.machine);
                }
            }
        }
        Some(claim)
    }

    /// Removes a claim from its machine. Returns `false` if the machine is not known.
    fn remove_claim_from_machine(
        &mut self,
        task: &TaskId,
        claim: &Claim,
        spec: &JobSpec,
        now: Time,
    ) -> bool {
        let image_still_needed = self.is_image_needed_by_others(task, claim, spec);
        let known = self.edit_machine(&claim.machine, |m| {
            if m.claims.remove(task) {
                m.used -= spec.each;
                if spec.spot && !m.spot {
                    m.movable -= spec.each;
                }
                m.allocated_devices.give(&claim.units);
                if claim.unnamed {
                    m.allocated_devices.give_unnamed();
                }
            }
            if !image_still_needed {
                m.cache.abandon_fetch(&spec.image);
            }
            if m.claims.is_empty() {
                m.idle_since = now;
            }
        });
        known.is_some()
    }

    /// Returns whether other tasks on a claim's machine need the same image.
    fn is_image_needed_by_others(&self, task: &TaskId, claim: &Claim, spec: &JobSpec) -> bool {
        let image_of = |t: &TaskId| self.jobs.get(&t.job).map(|j| &j.spec.image);
        self.machines.get(&claim.machine).is_some_and(|m| {
            let mut others = m.claims.iter().filter(|t| *t != task);
            others.any(|t| image_of(t) == Some(&spec.image))
        })
    }

    /// Returns the other images that tasks on a machine need. Returns `None` if machines
    /// don't fetch the job's image from each other.
    fn other_needed_images(&self, id: &MachineId, spec: &JobSpec) -> Option<Vec<Image>> {
        if !self.stages(spec) {
            return None;
        }
        let claims = self.machines.get(id).map(|m| m.claims.iter());
        let jobs = claims.into_iter().flatten();
        let images = jobs.filter_map(|t| self.jobs.get(&t.job).map(|j| &j.spec.image));
        Some(images.filter(|i| **i != spec.image).cloned().collect())
    }

    /// Records that a claimed task was seen running, which shows that its image is on the
    /// machine.
    pub fn ran(&mut self, task: &TaskId) {
        let Some(claim) = self.claim_of(task) else {
            return;
        };
        let machine = claim.machine.clone();
        let Some(spec) = self.jobs.get(&task.job).map(|j| j.spec.clone()) else {
            return;
        };
        let other_images = self.other_needed_images(&machine, &spec);
        self.edit_machine(&machine, |m| {
            m.use_image(&spec, other_images.as_deref(), true);
        });
    }
}
