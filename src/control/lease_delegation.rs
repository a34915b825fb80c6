//! Decides, from the records alone, whether a controller may renew the lease of a worker whose
//! machine it does not own.

use crate::agent_client::{Heartbeat, ReportedTask, TaskPhase};
use crate::state::record::Phase;
use crate::state::view::View;
use crate::types::TaskId;

/// Returns whether the records claim every task that runs on the machine or may still start there.
/// The job of each such task must be neither cancelled nor done.
///
/// A delayed start command of the owner is executed while fencing token and incarnation match
/// (PROTOCOL, "Delayed messages"). The owner raises the fencing token, but an answer in place
/// of the owner carries the worker's own fencing token and keeps the incarnation. So a claim of
/// a cancelled job on the machine forbids such an answer, even while the task is not in the
/// heartbeat. A claim stays recorded until its task is provably gone.
pub fn may_renew_for_owner(view: &View, heartbeat: &Heartbeat) -> bool {
    heartbeat.fencing_token.0 > 0
        && !view.may_run_cancelled(&heartbeat.machine)
        && heartbeat.tasks.iter().all(|reported| {
            reported.phase == TaskPhase::Ended || is_claimed(view, heartbeat, reported)
        })
}

/// Returns whether the records claim a reported task on this machine for a job that is not
/// over.
fn is_claimed(view: &View, heartbeat: &Heartbeat, reported: &ReportedTask) -> bool {
    let Some(task): Option<TaskId> = reported.id() else {
        return false;
    };
    let Some(entry) = view.job(&task.job) else {
        return false;
    };
    let record = &entry.record.value;
    let size = record.chunk.max(1);
    let Some(chunk) = entry.chunk(task.index / size) else {
        return false;
    };
    record.phase == Phase::Live
        && chunk.claims.iter().any(|claim| {
            claim.place == task.index % size
                && claim.attempt == reported.attempt
                && claim.machine == heartbeat.machine
        })
}
