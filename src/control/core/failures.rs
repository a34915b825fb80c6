//! Handles tasks that ended, and decides whether a failure counts against the machine or the
//! job.

use super::Core;
use crate::agent_client::ExitReason;
use crate::scheduler::{Job, Suspicion};
use crate::types::{JobId, JobSpec, Kind, MachineId, TaskId, Time};

/// Number of heartbeat intervals for which a job avoids a machine that refused one of its
/// tasks.
const AVOID_AFTER_REFUSAL_HEARTBEATS: f64 = 2.0;
/// Longest delay of a job after a machine refused one of its tasks with the reason "no such task",
/// in seconds.
const MAX_NOT_FOUND_PAUSE_S: f64 = 30.0;
/// Time for which a job avoids a machine on which it failed, in seconds.
const AVOID_AFTER_FAILURE_S: f64 = 60.0;
/// Number of failures from which a job counts as faulty, if it failed on at least
/// `FAULTY_JOB_MACHINES` machines.
const FAULTY_JOB_FAILURES: u32 = 3;
const FAULTY_JOB_MACHINES: usize = 3;
/// Pause of a faulty job after two failures, in seconds. Each further failure up to the sixth
/// doubles the pause.
const FAULTY_JOB_PAUSE_S: f64 = 2.0;
/// Longest pause of a faulty job, in seconds.
const MAX_FAULTY_JOB_PAUSE_S: f64 = 40.0;
/// Number of sound jobs whose failures on a machine make the machine count as faulty. A job is
/// sound once one of its tasks succeeded, or runs as a replica of a service.
const FAULTY_MACHINE_JOBS: usize = 2;

/// Likely cause of a failure.
enum FailureCause {
    /// The machine is the likely cause.
    Machine,
    /// The job is the likely cause, and it was suspected before.
    SuspectedJob,
    /// The job is the likely cause of this failure and of all its earlier ones.
    NewlySuspectedJob,
}

impl Core {
    /// Handles the end of a task on its machine, for the given reason.
    pub(super) fn ended(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        spec: &JobSpec,
        why: ExitReason,
        now: Time,
    ) {
        self.release(task, now);
        let job = self.cluster_state.job(&task.job);
        if job.is_none_or(|j| j.cancelled) {
            return;
        }
        match why {
            ExitReason::Done if spec.kind != Kind::Service => self.succeeded(id, task, now),
            ExitReason::Error => self.failed(id, task, now),
            ExitReason::Full | ExitReason::InUse => self.avoid_after_refusal(id, &task.job, now),
            ExitReason::NoSuch => self.back_off_not_found(&task.job, now),
            ExitReason::Done
            | ExitReason::Stopped
            | ExitReason::Peers
            | ExitReason::Incomplete
            | ExitReason::Other => {}
        }
        if why != ExitReason::Done {
            // Another machine may have free capacity for the task.
            self.placement_queue.request_full_walk();
            tracing::info!(task = %task, machine = %id, ?why, "task ended");
        }
    }

    /// Records that a task succeeded.
    fn succeeded(&mut self, id: &MachineId, task: &TaskId, now: Time) {
        let all_done = self.cluster_state.edit_job(&task.job, |job| {
            job.tasks.set_done(task.index);
            (job.failures, job.suspicion) = (0, None);
            job.tasks.all_done()
        });
        // A job of another shard is done only when that shard has read the result.
        if all_done == Some(true) && self.scope.homes(&task.job) {
            self.queue_finished(task.job.clone(), now);
        }
        if let Some(agent) = self.agents.get_mut(id) {
            agent.failed_jobs.succeeded();
        }
    }

    /// Makes a job avoid a machine for a short time after the machine refused a task. The
    /// machine had no free capacity, or still has another attempt of the task.
    fn avoid_after_refusal(&mut self, id: &MachineId, job: &JobId, now: Time) {
        let until = now.after(AVOID_AFTER_REFUSAL_HEARTBEATS * self.cfg.heartbeat_s);
        self.cluster_state.edit_job(job, |job| {
            job.avoid.insert(id.clone(), until);
        });
    }

    /// Delays a job after an agent refused to start one of its tasks with the reason "no such
    /// task". The delay doubles with each failure of the job.
    fn back_off_not_found(&mut self, job: &JobId, now: Time) {
        self.cluster_state.edit_job(job, |job| {
            job.failures += 1;
            let pause_s = f64::from(job.failures).exp2();
            job.hold_until = now.after(pause_s.min(MAX_NOT_FOUND_PAUSE_S));
        });
    }

    /// Handles a failed task. In most cases the machine is faulty (PROTOCOL). So the owner
    /// avoids the machine, and returns it once sound jobs failed there. A job that fails on
    /// several machines and of which no task ends well is itself faulty. Its failures count
    /// against no machine, and it is retried at growing intervals until its user cancels it.
    pub(super) fn failed(&mut self, id: &MachineId, task: &TaskId, now: Time) {
        let cause = self.cluster_state.edit_job(&task.job, |job| {
            job.tasks.record_failure(task.index);
            count_failure(job, id, now)
        });
        match cause {
            Some(FailureCause::NewlySuspectedJob) => {
                tracing::info!(job = %task.job, "job suspected");
                self.clear(&task.job);
            }
            Some(FailureCause::SuspectedJob) | None => {}
            Some(FailureCause::Machine) => self.count_against_machine(id, &task.job, now),
        }
    }

    /// Counts a job's failure against a machine, which is then avoided for a while.
    fn count_against_machine(&mut self, id: &MachineId, job: &JobId, now: Time) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.failed_jobs.add(job, now);
        // Failures of a job that may itself be faulty prove nothing about the machine. Two faulty
        // jobs once failed on the same machine, and the owner returned the machine.
        let cluster_state = &self.cluster_state;
        let sound = |job: &&JobId| cluster_state.job(job).is_none_or(Job::is_sound);
        if agent.failed_jobs.jobs().filter(sound).count() >= FAULTY_MACHINE_JOBS {
            agent.retire();
        }
    }

    /// Discards a job's failures on all machines because the job is faulty or was cancelled.
    pub(super) fn clear(&mut self, job: &JobId) {
        self.agents.remove_job_failures(job);
    }
}

/// Counts a failure of a job on a machine, and returns its likely cause.
fn count_failure(job: &mut Job, id: &MachineId, now: Time) -> FailureCause {
    job.failures += 1;
    job.avoid.retain(|_, until| now < *until);
    job.avoid
        .insert(id.clone(), now.after(AVOID_AFTER_FAILURE_S));
    let faulty = job.failures >= FAULTY_JOB_FAILURES && job.avoid.len() >= FAULTY_JOB_MACHINES;
    let suspected_faulty = job.suspicion.is_some();
    if faulty && !suspected_faulty && job.spec.kind == Kind::Array {
        // The count starts at the threshold, however many of the job's tasks failed at once.
        (job.suspicion, job.failures) = (Some(Suspicion::new(now)), FAULTY_JOB_FAILURES);
    } else if suspected_faulty && !job.tasks.claims().is_empty() {
        // Other tasks of the job run, or were started before the job was suspected, so the pause
        // does not grow.
        job.failures -= 1;
    }
    if suspected_faulty {
        job.suspicion = Some(Suspicion::new(now));
    }
    if faulty || suspected_faulty {
        let wait = f64::from(job.failures.min(6) - 2).exp2();
        job.hold_until = now.after((FAULTY_JOB_PAUSE_S * wait).min(MAX_FAULTY_JOB_PAUSE_S));
    }
    match (suspected_faulty, faulty) {
        (true, _) => FailureCause::SuspectedJob,
        (false, true) => FailureCause::NewlySuspectedJob,
        (false, false) => FailureCause::Machine,
    }
}
