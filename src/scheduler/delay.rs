//! Delay scheduling (paper, section 4.2): a job waits for a machine that has its image, for
//! at most the time that the fetch is worth (section 4.3.1).

use sorrelhinge_image_distribution::fetch_timeout;

use super::capacity_index::CapacityIndex;
use super::machine::{fetch_rate, fetch_s};
use super::{ClusterState, Job};
use crate::types::{JobId, JobSpec, MachineId, MachineType, Time};

/// State of a job's delay scheduling.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Delay {
    /// Whether the job may launch on any machine until its next launch on a machine with
    /// its image.
    pub anywhere: bool,
    /// Time since which the job has been skipped. The job's wait is the time since then, so
    /// that no pass has to add to every job's wait.
    pub skipped_since: Option<Time>,
}

impl Delay {
    /// Returns how long the job has been skipped, in seconds.
    pub fn wait(&self, now: Time) -> f64 {
        self.skipped_since.map_or(0.0, |t| now.since(t))
    }
}

/// Limits of a job's wait for a machine that has its image (T1+T2 in the paper).
#[derive(Clone, Copy, Debug)]
pub struct DelayRule {
    /// Limit as a multiple of the image's fetch time. Waiting pays only while a fetch costs
    /// more (paper, section 4.3.1).
    pub fetches: f64,
    /// Upper limit in seconds.
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
    /// Returns whether delay scheduling lets a job launch on a machine now. A job waits
    /// only if some other suitable machine has its image.
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

    /// Returns whether any machine that suits a job has its image.
    pub(super) fn cached_somewhere(&self, spec: &JobSpec) -> bool {
        self.capacity_index.groups().any(|(key, group)| {
            Self::kind_suits(spec, key.spot, &group.kind, &key.zone)
                && CapacityIndex::has_image(group, &spec.image)
        })
    }

    /// Returns whether machines fetch a job's image from each other.
    pub(super) fn stages(&self, spec: &JobSpec) -> bool {
        self.is_distributed(spec.image_gb)
    }

    /// Returns whether machines fetch images of this size in GB from each other.
    pub fn is_distributed(&self, gb: f64) -> bool {
        self.staged_gb.is_some_and(|least| gb >= least)
    }
}
