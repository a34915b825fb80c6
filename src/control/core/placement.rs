//! When the scheduler places tasks, and what follows from each placement. Which
//! machine a task gets is decided in [`crate::scheduler`].

use super::Core;
use crate::control::write_queue::WritePriority;
use crate::scheduler::{DelayRule, Job, Launch};
use crate::types::{JobId, MachineId, Time};

/// Part of its start objective after which other tasks are preempted for a job.
const PREEMPT_START: f64 = 0.15;
/// The same for other jobs, as a multiple of their patience.
const PREEMPT_SLACK: f64 = 2.0;
/// For so long after a failover nothing is preempted, in seconds.
const PREEMPT_SETTLE_S: f64 = 3.0;
/// Steps of the walks in one turn: jobs and places that are looked at.
const WALK_STEPS: u64 = 4000;

impl Core {
    /// Tasks were placed: their claims are to be recorded.
    fn launched(&mut self, launches: Vec<Launch>, now: Time) {
        if !launches.is_empty() && self.failover.placed() {
            let after_s = self.failover.logged_age_s(now);
            tracing::info!(after_s, "first task placed");
        }
        for launch in launches {
            tracing::debug!(task = %launch.task, machine = %launch.machine, cached = launch.cached, "task claimed");
            self.job_began(&launch.task.job, now);
            let Some(job) = self.cluster_state.job(&launch.task.job) else {
                continue;
            };
            self.scaling.requests.claimed(job.spec.each.cpu);
            let (write_priority, sort) = (WritePriority::of(job), job.sort());
            let chunk = self.chunk_of(&launch.task);
            self.pending.claimed(chunk, write_priority, sort, now);
        }
    }

    /// A task of a job was placed. If it is the first one, that is counted, by the shard
    /// that places the job.
    fn job_began(&mut self, id: &JobId, now: Time) {
        let job = self.cluster_state.job(id);
        let Some(job) = job.filter(|j| !j.started && j.tasks.at_home()) else {
            return;
        };
        let (sort, wait_s) = (job.sort(), now.since(job.submitted));
        self.served_log.counts().started(&sort, Some(wait_s));
        self.largest_began(id, wait_s, now);
        self.cluster_state.edit_job(id, |j| j.started = true);
    }

    /// For how long a task waits for a machine that has its image.
    fn rule(&self) -> DelayRule {
        DelayRule {
            fetches: self.cfg.tuning.delay_fetches,
            max_s: self.cfg.tuning.delay_max_s,
        }
    }

    /// Walks one machine, after its heartbeat.
    pub fn walk(&mut self, id: &MachineId, now: Time) {
        if self.is_frozen() {
            return;
        }
        self.placement_queue.refresh_pass(now);
        // A new owner's first heartbeat of a machine walks it at once: others' work
        // had a part of what was held.
        if self.windows.any_reserved() {
            self.cluster_state.refill_reservations(id, now);
        }
        let pass = self.placement_queue.pass();
        let launches = self.cluster_state.walk_in(pass, id, self.rule(), now);
        self.launched(launches, now);
    }

    /// Where capacity became free, windows have what they lack before anybody else.
    fn refill_windows(&mut self, now: Time) {
        if self.windows.any_reserved() {
            for id in self.placement_queue.iter() {
                self.cluster_state.refill_reservations(id, now);
            }
        }
    }

    /// Places what can be placed on machines where capacity became free, one after the
    /// other by name, as far as one turn allows: with thousands of them and a
    /// long queue all walks together took eight seconds once, and the leader's
    /// lease was lost meanwhile.
    pub fn place(&mut self, now: Time) {
        self.refill_windows(now);
        let begun = self.cluster_state.capacity_index.steps.get();
        while self.cluster_state.capacity_index.steps.get() - begun < WALK_STEPS {
            let Some(id) = self.placement_queue.take_next() else {
                return;
            };
            self.walk(&id, now);
        }
    }

    /// Whether work arrived or waits may have passed since the last [`Self::place_all`].
    pub fn place_all_is_due(&self) -> bool {
        self.placement_queue.full_walk_is_due()
    }

    /// Places what can be placed anywhere, if work arrived or waits may have
    /// passed.
    pub fn place_all(&mut self, now: Time) {
        let due = !self.is_frozen() && self.placement_queue.take_full_walk();
        if due && self.cluster_state.has_work() {
            self.refill_windows(now);
            let launches = self.cluster_state.place(self.rule(), now);
            self.launched(launches, now);
        }
    }

    /// Stops tasks for others that have waited too long.
    pub fn preempt(&mut self, now: Time) {
        if self.cfg.tuning.preempt
            && self.failover.age_s(now) > PREEMPT_SETTLE_S
            && !self.is_frozen()
        {
            // Stopping costs more than it brings unless the wait is long for
            // the job's own objectives: whoever is stopped waits in turn, and its
            // image may have to be fetched again.
            let patience = |job: &Job| match job.start_within {
                Some(within) => PREEMPT_START * within,
                None => PREEMPT_SLACK * job.patience_s,
            };
            for task in self.cluster_state.preempt(patience, now) {
                tracing::info!(task = %task, "task preempted");
                self.settle_stopped(&task.job, now);
            }
        }
    }
}
