//! When the scheduler places tasks, and what follows from each placement. Which
//! machine a task gets is decided in [`crate::sched`].

use std::ops::Bound;

use super::Core;
use crate::control::pending::Haste;
use crate::sched::{DelayRule, Job, Launch, Pass};
use crate::types::{MachineId, Time};

/// Part of its start aim after which room is made for a job.
const PREEMPT_START: f64 = 0.15;
/// The same for other jobs, as a multiple of their patience.
const PREEMPT_SLACK: f64 = 2.0;
/// Steps of the walks in one turn: jobs and places that are looked at.
const WALK_STEPS: u64 = 4000;
/// For so long walks share what they have in common, in seconds.
const PASS_S: f64 = 0.2;

impl Core {
    fn launched(&mut self, launches: Vec<Launch>, now: Time) {
        if self.idle_yet && !launches.is_empty() {
            self.idle_yet = false;
            let after_s = (now.since(self.started) * 10.0).round() / 10.0;
            tracing::info!(after_s, "first task placed");
        }
        for launch in launches {
            tracing::debug!(task = %launch.task, machine = %launch.machine, cached = launch.cached, "claim");
            let job = self.cluster_state.job(&launch.task.job);
            let haste = job.map_or(Haste::Usual, Haste::of);
            let first = job.filter(|j| !j.started && j.tasks.at_home());
            if let Some((sort, wait_s)) = first.map(|j| (j.sort(), now.since(j.submitted))) {
                self.served.started(&sort, Some(wait_s));
                self.largest_began(&launch.task.job, wait_s, now);
                self.cluster_state
                    .edit_job(&launch.task.job, |j| j.started = true);
            }
            let job = self.cluster_state.job(&launch.task.job);
            self.scaling
                .requests
                .claimed(job.map_or(0, |j| j.spec.each.cpu));
            let Some(sort) = job.map(Job::sort) else {
                continue;
            };
            let chunk = self.chunk_of(&launch.task);
            self.pending.claimed(chunk, haste, sort, now);
        }
    }

    fn rule(&self) -> DelayRule {
        DelayRule {
            fetches: self.cfg.tuning.delay_fetches,
            max_s: self.cfg.tuning.delay_max_s,
        }
    }

    /// Walks one machine, after its report.
    pub fn walk(&mut self, id: &MachineId, now: Time) {
        if self.is_frozen() {
            return;
        }
        if self
            .pass
            .as_ref()
            .is_none_or(|(at, _)| now.since(*at) >= PASS_S)
        {
            self.pass = Some((now, Pass::default()));
        }
        // A new owner's first report of a machine walks it at once: others' work
        // had a part of what was held.
        if self.windows.hold() {
            self.cluster_state.top_up_holds(id, now);
        }
        let pass = self.pass.as_ref().map(|(_, pass)| pass);
        let launches = self.cluster_state.walk_in(pass, id, self.rule(), now);
        self.launched(launches, now);
    }

    /// Where room appeared, windows have what they lack before anybody else.
    fn top_up(&mut self, now: Time) {
        if self.windows.hold() {
            for id in &self.touched {
                self.cluster_state.top_up_holds(id, now);
            }
        }
    }

    /// Places what can be placed on machines where room appeared, one after the
    /// other by name, as far as one turn allows: with thousands of them and a
    /// long queue all walks together took eight seconds once, and the leader's
    /// lease was lost meanwhile.
    pub fn place(&mut self, now: Time) {
        self.top_up(now);
        let begun = self.cluster_state.capacity_index.steps.get();
        while self.cluster_state.capacity_index.steps.get() - begun < WALK_STEPS {
            let after = (Bound::Excluded(&self.walked), Bound::Unbounded);
            let next = self.touched.range(after).next().cloned();
            let Some(id) = next.or_else(|| self.touched.first().cloned()) else {
                return;
            };
            self.touched.remove(&id);
            self.walk(&id, now);
            self.walked = id;
        }
    }

    /// Places what can be placed anywhere, if work arrived or waits may have
    /// passed.
    pub fn place_all(&mut self, now: Time) {
        if !self.is_frozen() && std::mem::take(&mut self.walk_all) && self.cluster_state.has_work()
        {
            self.top_up(now);
            let launches = self.cluster_state.place(self.rule(), now);
            self.launched(launches, now);
        }
    }

    /// Stops tasks for others that have waited too long.
    pub fn preempt(&mut self, now: Time) {
        if self.cfg.tuning.preempt && now.since(self.started) > 3.0 && !self.is_frozen() {
            // Stopping costs more than it brings unless the wait is long for
            // the job's own aims: whoever is stopped waits in turn, and its
            // image may have to be fetched again.
            let patience = |job: &Job| match job.start_within {
                Some(within) => PREEMPT_START * within,
                None => PREEMPT_SLACK * job.patience_s,
            };
            for task in self.cluster_state.preempt(patience, now) {
                tracing::info!(task = %task, "preempted");
                self.settle_stopped(&task.job, now);
            }
        }
    }
}
