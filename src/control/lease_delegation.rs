//! Whether a worker's lease may be renewed by a controller that does not own its
//! machine: a decision on the records alone.

use crate::agent_client::{Heartbeat, ReportedTask, TaskPhase};
use crate::state::record::Phase;
use crate::state::view::View;
use crate::types::TaskId;

/// Whether all that runs on a machine, or may yet start there, is claimed by the
/// records for jobs that are neither cancelled nor done.
///
/// A start that its owner sent and that was held back is carried out while fencing token and
/// incarnation match (PROTOCOL, "Delayed messages"). The owner raises the fencing token, but an
/// answer given in its stead carries the fencing token that the worker has, and keeps the
/// incarnation: so a cancelled job's claim on the machine forbids it, also while the task
/// is not in the heartbeat. A claim stays recorded until its task is provably gone.
pub fn may_renew_for_owner(view: &View, heartbeat: &Heartbeat) -> bool {
    heartbeat.fencing_token.0 > 0
        && !view.may_run_cancelled(&heartbeat.machine)
        && heartbeat.tasks.iter().all(|task_name| {
            task_name.phase == TaskPhase::Ended || is_live_claim(view, heartbeat, task_name)
        })
}

/// Whether a reported task is claimed for this machine, for a job that is not over.
fn is_live_claim(view: &View, heartbeat: &Heartbeat, task_name: &ReportedTask) -> bool {
    let Some(task): Option<TaskId> = task_name.id() else {
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
                && claim.attempt == task_name.attempt
                && claim.machine == heartbeat.machine
        })
}
