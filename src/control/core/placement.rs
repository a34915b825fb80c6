//! This module decides when the scheduler places tasks, and it applies the effects of each
//! placement. [`crate::scheduler`] decides which machine a task gets.

use super::Core;
use crate::control::write_queue::WritePriority;
use crate::scheduler::{DelayRule, Job, Launch};
use crate::types::{JobId, MachineId, Time};

/// Share of a job's start objective after which the scheduler preempts other tasks for the job.
const PREEMPT_START_SHARE: f64 = 0.15;
/// Multiple of a job's patience after which the scheduler preempts other tasks for a job
/// without a start objective.
const PREEMPT_PATIENCE_FACTOR: f64 = 2.0;
/// Time after a failover during which nothing is preempted, in seconds.
const PREEMPT_FAILOVER_DELAY_S: f64 = 3.0;
/// Maximum number of steps that placement walks take in one turn. A placement walk is a scan that
/// places waiting tasks on one machine or on all machines. Each step of a walk visits one job or
/// place.
const MAX_WALK_STEPS_PER_TURN: u64 = 4000;

impl Core {
    /// Queues the claims of placed tasks for recording.
    fn queue_claims(&mut self, launches: Vec<Launch>, now: Time) {
        if !launches.is_empty() && self.failover.record_first_placement() {
            let after_s = self.failover.logged_age_s(now);
            tracing::info!(after_s, "first task placed");
        }
        for launch in launches {
            tracing::debug!(task = %launch.task, machine = %launch.machine, cached = launch.cached, "task claimed");
            self.count_job_start(&launch.task.job, now);
            let Some(job) = self.cluster_state.job(&launch.task.job) else {
                continue;
            };
            self.scaling.requests.add_claimed_cpu(job.spec.each.cpu);
            let (write_priority, sort) = (WritePriority::of(job), job.sort());
            let chunk = self.chunk_of(&launch.task);
            self.write_queue.claimed(chunk, write_priority, sort, now);
        }
    }

    /// Counts a job's start when the first task of the job is placed. Only the shard that
    /// places the job counts it.
    fn count_job_start(&mut self, id: &JobId, now: Time) {
        let job = self.cluster_state.job(id);
        let Some(job) = job.filter(|j| !j.started && j.tasks.at_home()) else {
            return;
        };
        let (sort, wait_s) = (job.sort(), now.since(job.submitted));
        self.served_log
            .job_counts_mut()
            .started(&sort, Some(wait_s));
        self.log_largest_began(id, wait_s, now);
        self.cluster_state.edit_job(id, |j| j.started = true);
    }

    /// Returns the rule for how long a task waits for a machine that has its image.
    fn delay_rule(&self) -> DelayRule {
        DelayRule {
            fetches: self.cfg.tuning.delay_fetches,
            max_s: self.cfg.tuning.delay_max_s,
        }
    }

    /// Places tasks on one machine after its heartbeat.
    pub fn place_on(&mut self, id: &MachineId, now: Time) {
        if self.is_frozen() {
            return;
        }
        self.placement_queue.refresh_pass(now);
        // A new owner places tasks on a machine at the machine's first heartbeat. Other work took a part
        // of the reserved capacity, so the reservations are refilled first.
        if self.windows.any_reserved() {
            self.cluster_state.refill_reservations(id, now);
        }
        let pass = self.placement_queue.pass();
        let launches = self.cluster_state.walk_in(pass, id, self.delay_rule(), now);
        self.queue_claims(launches, now);
    }

    /// Reserves freed capacity for windows that lack capacity, before other work can take it.
    fn refill_windows(&mut self, now: Time) {
        if self.windows.any_reserved() {
            for id in self.placement_queue.iter() {
                self.cluster_state.refill_reservations(id, now);
            }
        }
    }

    /// Places tasks on machines where capacity became free, in order of their names, up to the
    /// step limit of one turn. Without the limit, a pass over thousands of machines with a long
    /// queue once took eight seconds, and the leader lost its lease meanwhile.
    pub fn place(&mut self, now: Time) {
        self.refill_windows(now);
        let begun = self.cluster_state.capacity_index.steps.get();
        while self.cluster_state.capacity_index.steps.get() - begun < MAX_WALK_STEPS_PER_TURN {
            let Some(id) = self.placement_queue.take_next() else {
                return;
            };
            self.place_on(&id, now);
        }
    }

    /// Returns whether work arrived or a waiting time may have ended since the last
    /// [`Self::place_all`].
    pub fn place_all_is_due(&self) -> bool {
        self.placement_queue.full_walk_is_due()
    }

    /// Places tasks on any machine if work arrived or a waiting time may have ended.
    pub fn place_all(&mut self, now: Time) {
        let due = !self.is_frozen() && self.placement_queue.take_full_walk();
        if due && self.cluster_state.has_work() {
            self.refill_windows(now);
            let launches = self.cluster_state.place(self.delay_rule(), now);
            self.queue_claims(launches, now);
        }
    }

    /// Preempts tasks for jobs that have waited too long.
    pub fn preempt(&mut self, now: Time) {
        if self.cfg.tuning.preempt
            && self.failover.age_s(now) > PREEMPT_FAILOVER_DELAY_S
            && !self.is_frozen()
        {
            // Preemption costs more than it gains unless the wait is long for the job's own
            // objectives. A preempted task waits in turn, and its image may have to be fetched
            // again.
            let patience = |job: &Job| match job.start_within {
                Some(within) => PREEMPT_START_SHARE * within,
                None => PREEMPT_PATIENCE_FACTOR * job.patience_s,
            };
            for task in self.cluster_state.preempt(patience, now) {
                tracing::info!(task = %task, "task preempted");
                self.settle_stopped(&task.job, now);
            }
        }
    }
}
