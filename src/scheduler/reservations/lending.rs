//! Lending of reserved capacity to tasks that free it in time, see [`may_lend`].

use sorrelhinge_reservations::lend::{may_lend, Borrower, Lend};

use super::ReservedCapacity;
use crate::scheduler::machine::fetch_s;
use crate::scheduler::{Claim, ClusterState, Job, Machine, Progress};
use crate::types::{Amount, JobId, Kind, MachineId, MachineType, Time};

/// Assumed remaining seconds of a task that has run longer than its estimate, as estimates
/// are sometimes too low.
const OVERRUN_S: f64 = 2.0;

/// Returns the estimated seconds until a task ends, including its image fetch. Returns `None`
/// if the task doesn't end by itself.
fn ends_in_s(job: &Job, claim: Option<&Claim>, kind: &MachineType, now: Time) -> Option<f64> {
    if job.spec.kind != Kind::Array {
        return None;
    }
    let ran = claim.map(|c| c.progress);
    match ran {
        Some(Progress::Running(since)) => {
            Some((job.spec.estimate_s - now.since(since)).max(OVERRUN_S))
        }
        _ => Some(job.spec.estimate_s + fetch_s(&job.spec, kind)),
    }
}

impl ClusterState {
    /// Returns whether reserved capacity of a machine may be lent to a task of a job. `claim`
    /// is the claim of the task, or `None` for one more task of the job.
    pub(super) fn lends(
        &self,
        reserved: &ReservedCapacity,
        job: &Job,
        claim: Option<&Claim>,
        m: &Machine,
        now: Time,
    ) -> bool {
        let team = &self.teams[job.team];
        let more = match claim {
            Some(_) => Amount::default(),
            None => job.spec.each,
        };
        let own = &self.teams[reserved.reservation.team];
        let total = own.used + reserved.open_amount();
        // PROTOCOL allows the borrower's task to be stopped for the guarantee of the window's
        // team. Priorities can't justify a stop here, as the priority of the window's future
        // work is not known.
        let stoppable = job.spec.kind == Kind::Array
            && job.team != reserved.reservation.team
            && !(team.used + more).fits_team(team.guarantee)
            && total.fits_team(own.guarantee);
        let work = Borrower {
            ends_in_s: ends_in_s(job, claim, &m.kind, now),
            stoppable,
            stash_s: if job.spec.checkpoint_s > 0.0 {
                job.spec.save_s
            } else {
                0.0
            },
        };
        let lending = &reserved.reservation.lending;
        let left_s = lending.until.since(now);
        may_lend(&work, left_s, lending.stop_s, lending.wait_s) != Lend::No
    }

    /// Returns the capacity of a machine that is reserved for windows and that is not lent to
    /// a job.
    pub(in crate::scheduler) fn reserved_from(
        &self,
        id: &JobId,
        m_id: &MachineId,
        now: Time,
    ) -> Amount {
        let mut sum = Amount::default();
        if self.reservations.by_window.is_empty() {
            return sum;
        }
        let (Some(job), Some(m)) = (self.jobs.get(id), self.machines.get(m_id)) else {
            return sum;
        };
        for reserved in self.reservations.by_window.values() {
            let Some(n) = reserved.placed.get(m_id) else {
                continue;
            };
            if !reserved.is_for(job.team, &job.spec) && !self.lends(reserved, job, None, m, now) {
                sum += reserved.amount_of_tasks(*n);
            }
        }
        sum
    }

    /// Returns whether capacity of a machine is reserved for a window.
    pub(in crate::scheduler) fn has_reserved_capacity(&self, m_id: &MachineId) -> bool {
        self.reservations
            .by_window
            .values()
            .any(|reserved| reserved.placed.contains_key(m_id))
    }
}
