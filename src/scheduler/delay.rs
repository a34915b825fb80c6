//! Delay scheduling (section 4.2): a job waits for a machine that has its image, up to
//! the time that the fetch is worth (section 4.3.1).

use sorrelhinge_image_distribution::fetch_timeout;

use super::capacity_index::CapacityIndex;
use super::machine::{fetch_rate, fetch_s};
use super::{ClusterState, Job};
use crate::types::{JobId, JobSpec, MachineId, MachineType, Time};

/// The variables of delay scheduling.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Delay {
    /// May launch anywhere until its next cached launch.
    pub anywhere: bool,
    /// Skipped since then: its wait is the time since, so that no walk has to
    /// add to every job's wait.
    pub skipped_since: Option<Time>,
}

impl Delay {
    /// How long the job has been skipped, in seconds.
    pub fn wait(&self, now: Time) -> f64 {
        self.skipped_since.map_or(0.0, |t| now.since(t))
    }
}

/// When waiting for a cached image ends (T1+T2).
#[derive(Clone, Copy, Debug)]
pub struct DelayRule {
    /// As a multiple of the fetch's time (paper 4.3.1: waiting pays only
    /// while a fetch costs more).
    pub fetches: f64,
    /// Upper bound in seconds.
    pub max_s: f64,
}

impl DelayRule {
    fn threshold(&self, spec: &JobSpec, staged: bool, kind: &MachineType) -> f64 {
        if staged {
            return fetch_timeout::threshold_s(fetch_s(spec, kind));
        }
        (self.fetches * spec.image_gb / fetch_rate(kind)).min(self.max_s)
    }
}

impl ClusterState {
    /// Whether delay scheduling lets a job launch on a machine now. Only a
    /// job that could find its image elsewhere waits.
    pub(super) fn may_launch(
        &self,
        job: &Job,
        m_id: &MachineId,
        rule: DelayRule,
        now: Time,
    ) -> bool {
        let Some(machine) = self.machines.get(m_id) else {
            return false;
        };
        machine.cache.has(&job.spec.image)
            || job.delay.anywhere
            || job.delay.wait(now)
                >= rule.threshold(&job.spec, self.stages(&job.spec), &machine.kind)
            || !self.cached_somewhere(&job.spec)
    }

    pub(super) fn skip(&mut self, skipped: Vec<JobId>, now: Time) {
        for id in skipped {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.delay.skipped_since.get_or_insert(now);
            }
        }
    }

    /// Whether a machine that would do for a job has its image.
    pub(super) fn cached_somewhere(&self, spec: &JobSpec) -> bool {
        self.capacity_index.groups().any(|(key, group)| {
            Self::kind_suits(spec, key.spot, &group.kind, &key.zone)
                && CapacityIndex::has_image(group, &spec.image)
        })
    }

    /// Whether a job's image goes from machine to machine.
    pub(super) fn stages(&self, spec: &JobSpec) -> bool {
        self.is_distributed(spec.image_gb)
    }

    /// Whether an image of this size does.
    pub fn is_distributed(&self, gb: f64) -> bool {
        self.staged_gb.is_some_and(|least| gb >= least)
    }
}
