//! Tasks that ended, well or not, and what a failure says about its machine and its
//! job.

use super::Core;
use crate::agent_client::ExitReason;
use crate::scheduler::Job;
use crate::types::{JobId, JobSpec, Kind, MachineId, TaskId, Time};

/// A machine that refused a task is avoided for so many heartbeat intervals.
const REFUSED_HEARTBEATS: f64 = 2.0;
/// The longest pause of a job whose tasks machines do not know, in seconds.
const MAX_UNKNOWN_PAUSE_S: f64 = 30.0;
/// A job avoids a machine where it failed for so long, in seconds.
const AVOIDED_S: f64 = 60.0;
/// A job that failed so often, and on so many machines, is mistaken.
const MISTAKEN_FAILURES: u32 = 3;
const MISTAKEN_MACHINES: usize = 3;
/// The first pause of a mistaken job, in seconds, and the longest one.
const MISTAKEN_PAUSE_S: f64 = 2.0;
const MAX_MISTAKEN_PAUSE_S: f64 = 40.0;
/// A machine on which so many sound jobs failed is faulty.
const FAULTY_JOBS: usize = 2;

/// What a failure is held against.
enum Blame {
    /// The machine.
    Machine,
    /// The job, which was taken for mistaken before.
    Job,
    /// The job, and so were all its failures.
    JobFromNowOn,
}

impl Core {
    /// A task ended on its machine, and for which reason.
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
            ExitReason::Full | ExitReason::InUse => self.avoid_for_now(id, &task.job, now),
            ExitReason::NoSuch => self.back_off_unknown(&task.job, now),
            ExitReason::Done
            | ExitReason::Stopped
            | ExitReason::Peers
            | ExitReason::Incomplete
            | ExitReason::Other => {}
        }
        if why != ExitReason::Done {
            // Its task may have a place elsewhere.
            self.placement_queue.request_full_walk();
            tracing::info!(task = %task, machine = %id, ?why, "task ended");
        }
    }

    /// A task has its result.
    fn succeeded(&mut self, id: &MachineId, task: &TaskId, now: Time) {
        let all_done = self.cluster_state.edit_job(&task.job, |job| {
            job.tasks.set_done(task.index);
            (job.failures, job.suspected_faulty) = (0, false);
            job.tasks.all_done()
        });
        // Another shard's jobs are done when that has read so.
        if all_done == Some(true) && self.scope.homes(&task.job) {
            self.finished(task.job.clone(), now);
        }
        if let Some(agent) = self.agents.get_mut(id) {
            agent.failed_jobs.succeeded();
        }
    }

    /// A machine refused a task: it had no free capacity, or still has another attempt of it.
    fn avoid_for_now(&mut self, id: &MachineId, job: &JobId, now: Time) {
        let until = now.after(REFUSED_HEARTBEATS * self.cfg.heartbeat_s);
        self.cluster_state.edit_job(job, |job| {
            job.avoid.insert(id.clone(), until);
        });
    }

    /// A machine refused a task because there is none of that name: the job is tried less
    /// and less often.
    fn back_off_unknown(&mut self, job: &JobId, now: Time) {
        self.cluster_state.edit_job(job, |job| {
            job.failures += 1;
            let pause_s = f64::from(job.failures).exp2();
            job.hold_until = now.after(pause_s.min(MAX_UNKNOWN_PAUSE_S));
        });
    }

    /// A task failed. Mostly the machine is faulty (PROTOCOL), so it is shunned,
    /// and given back once jobs that are sound failed there. A job that fails on
    /// several machines, and of which nothing ends well, is itself mistaken: it is
    /// held against no machine, and tried less and less often, until its user
    /// withdraws it.
    pub(super) fn failed(&mut self, id: &MachineId, task: &TaskId, now: Time) {
        let blame = self
            .cluster_state
            .edit_job(&task.job, |job| count_failure(job, id, now));
        match blame {
            Some(Blame::JobFromNowOn) => self.clear(&task.job),
            Some(Blame::Job) | None => {}
            Some(Blame::Machine) => self.shun(id, &task.job, now),
        }
    }

    /// A machine is not used for a while, as a job failed there.
    fn shun(&mut self, id: &MachineId, job: &JobId, now: Time) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.failed_jobs.add(job, now);
        // A job that is not shown to be sound proves nothing: two
        // mistaken ones that met on a machine cost the machine once.
        let cluster_state = &self.cluster_state;
        let sound = |job: &&JobId| cluster_state.job(job).is_none_or(Job::is_sound);
        if agent.failed_jobs.jobs().filter(sound).count() >= FAULTY_JOBS {
            agent.leave();
        }
    }

    /// A job's failures are held against no machine any more: it is mistaken, or
    /// was withdrawn.
    pub(super) fn clear(&mut self, job: &JobId) {
        self.agents.remove_job_failures(job);
    }
}

/// Counts a failure of a job on a machine.
fn count_failure(job: &mut Job, id: &MachineId, now: Time) -> Blame {
    job.failures += 1;
    job.avoid.retain(|_, until| now < *until);
    job.avoid.insert(id.clone(), now.after(AVOIDED_S));
    let mistaken = job.failures >= MISTAKEN_FAILURES && job.avoid.len() >= MISTAKEN_MACHINES;
    let suspected_faulty = job.suspected_faulty;
    if mistaken && !suspected_faulty && job.spec.kind == Kind::Array {
        // However many of its tasks failed at once.
        (job.suspected_faulty, job.failures) = (true, MISTAKEN_FAILURES);
    } else if suspected_faulty && !job.tasks.claims().is_empty() {
        // Of those that were started before it was doubted.
        job.failures -= 1;
    }
    if mistaken || suspected_faulty {
        let wait = f64::from(job.failures.min(6) - 2).exp2();
        job.hold_until = now.after((MISTAKEN_PAUSE_S * wait).min(MAX_MISTAKEN_PAUSE_S));
    }
    match (suspected_faulty, mistaken) {
        (true, _) => Blame::Job,
        (false, true) => Blame::JobFromNowOn,
        (false, false) => Blame::Machine,
    }
}
