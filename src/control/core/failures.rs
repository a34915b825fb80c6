//! Tasks that ended, well or not, and what a failure says about its machine and its
//! job.

use super::Core;
use crate::sched::Job;
use crate::types::{JobId, JobSpec, Kind, MachineId, TaskId, Time};
use crate::worker::Why;

impl Core {
    pub(super) fn ended(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        spec: &JobSpec,
        why: Why,
        now: Time,
    ) {
        self.release(task, now);
        if self
            .cluster_state
            .job(&task.job)
            .is_none_or(|j| j.cancelled)
        {
            return;
        }
        match why {
            Why::Done if spec.kind != Kind::Service => {
                let all_done = self.cluster_state.edit_job(&task.job, |job| {
                    job.tasks.set_done(task.index);
                    (job.failures, job.doubted) = (0, false);
                    job.tasks.all_done()
                });
                // Another block's jobs are done when that has read so.
                if all_done == Some(true) && self.shard.homes(&task.job) {
                    self.finished(task.job.clone(), now);
                }
                if let Some(link) = self.links.get_mut(id) {
                    link.errors.clear();
                }
            }
            Why::Error => self.failed(id, task, now),
            Why::Full | Why::InUse => {
                let until = now.after(2.0 * self.cfg.report_s);
                self.cluster_state.edit_job(&task.job, |job| {
                    job.avoid.insert(id.clone(), until);
                });
            }
            Why::NoSuch => {
                self.cluster_state.edit_job(&task.job, |job| {
                    job.failures += 1;
                    job.hold_until = now.after(f64::from(job.failures).exp2().min(30.0));
                });
            }
            Why::Done | Why::Stopped | Why::Peers | Why::Incomplete | Why::Other => {}
        }
        // Its task may have a place elsewhere.
        self.walk_all |= why != Why::Done;
        if why != Why::Done {
            tracing::info!(task = %task, machine = %id, ?why, "task ended");
        }
    }

    /// A task failed. Mostly the machine is faulty (PROTOCOL), so it is shunned,
    /// and given back once jobs that are sound failed there. A job that fails on
    /// several machines, and of which nothing ends well, is itself mistaken: it is
    /// held against no machine, and tried less and less often, until its user
    /// withdraws it.
    pub(super) fn failed(&mut self, id: &MachineId, task: &TaskId, now: Time) {
        let doubted = self.cluster_state.edit_job(&task.job, |job| {
            job.failures += 1;
            job.avoid.retain(|_, until| now < *until);
            job.avoid.insert(id.clone(), now.after(60.0));
            let mistaken = job.failures >= 3 && job.avoid.len() >= 3;
            let doubted = job.doubted;
            if mistaken && !doubted && job.spec.kind == Kind::Array {
                // However many of its tasks failed at once.
                (job.doubted, job.failures) = (true, 3);
            } else if doubted && !job.tasks.claims().is_empty() {
                // Of those that were started before it was doubted.
                job.failures -= 1;
            }
            if mistaken || doubted {
                let wait = f64::from(job.failures.min(6) - 2).exp2();
                job.hold_until = now.after((2.0 * wait).min(40.0));
            }
            (doubted, mistaken || doubted)
        });
        match doubted {
            Some((false, true)) => self.clear(&task.job),
            Some((true, _)) | None => {}
            Some((false, false)) => {
                let Some(link) = self.links.get_mut(id) else {
                    return;
                };
                link.errors.insert(task.job.clone());
                link.shunned_until = now.after(20.0 * link.errors.len() as f64);
                // A job that is not shown to be sound proves nothing: two
                // mistaken ones that met on a machine cost the machine once.
                let cluster_state = &self.cluster_state;
                let sound = |job: &&JobId| cluster_state.job(job).is_none_or(Job::is_sound);
                link.leaving |= link.errors.iter().filter(sound).count() >= 2;
            }
        }
    }

    /// A job's failures are held against no machine any more: it is mistaken, or
    /// was withdrawn.
    pub(super) fn clear(&mut self, job: &JobId) {
        for link in self.links.values_mut() {
            if link.errors.remove(job) && link.errors.is_empty() {
                link.shunned_until = Time(0.0);
            }
        }
    }
}
