//! Lists the work that the scale plan packs into machines: pending tasks, tasks to move, expected
//! work and the shortfalls of reservation windows.

use std::collections::BTreeMap;

use super::packing::Item;
use super::Input;
use crate::scheduler::{ClusterState, Job, ReservedTasks};
use crate::types::{JobId, Time};

/// A job counts as queued once its tasks have been blocked for more than this share of the boot
/// time of a machine. Until then the plan may wait for running tasks to end.
const QUEUED_BOOT_SHARE: f64 = 0.5;

/// Number of tasks to pack into machines, by job.
pub(super) type PendingTasks<'a> = BTreeMap<&'a JobId, u32>;

/// Counts the tasks on draining machines in `moving`, because they need capacity on other machines.
pub(super) fn add_drained<'a>(cluster_state: &'a ClusterState, moving: &mut PendingTasks<'a>) {
    let machines = cluster_state.machines().values();
    for machine in machines.filter(|m| m.draining) {
        for task in &machine.claims {
            if cluster_state.job(&task.job).is_some_and(|j| !j.cancelled) {
                *moving.entry(&task.job).or_insert(0) += 1;
            }
        }
    }
}

/// Returns how many tasks of each job the plan packs: pending tasks within the limits of their
/// teams, and the tasks in `moving`.
pub(super) fn pending_tasks<'a>(
    cluster_state: &'a ClusterState,
    reserved: &mut ReservedTasks,
    moving: PendingTasks<'a>,
    now: Time,
) -> PendingTasks<'a> {
    // CPU that each team may still use. Pending tasks beyond the limit of their team need no
    // machine.
    let mut left_cpu: Vec<i64> = cluster_state
        .teams()
        .iter()
        .zip(cluster_state.reserved_of_quotas())
        .map(|(t, amount)| (t.limit - t.used - amount).cpu.max(0))
        .collect();
    let mut pending = PendingTasks::new();
    let needs_machine = |job: &Job| job.needs_placement(now) && job.may_rent(now);
    for (id, job) in cluster_state
        .jobs_to_place()
        .filter(|(_, j)| needs_machine(j))
    {
        // Reserved capacity covers this many tasks of the job, so the plan need not pack them.
        let covered = if reserved.is_empty() {
            0
        } else {
            cluster_state.covered(job, reserved)
        };
        let cpu = job.spec.each.cpu.max(1);
        let free_capacity = u32::try_from(left_cpu[job.team] / cpu).unwrap_or(u32::MAX);
        let tasks = job.open().saturating_sub(covered).min(free_capacity);
        left_cpu[job.team] -= cpu * i64::from(tasks);
        pending.insert(id, tasks);
    }
    for (id, tasks) in moving {
        *pending.entry(id).or_insert(0) += tasks;
    }
    pending
}

/// Returns all items to pack, in packing order.
pub(super) fn items(input: &Input, pending: PendingTasks, now: Time) -> Vec<Item> {
    let waiting = pending.into_iter().filter(|(_, tasks)| *tasks > 0);
    let mut items: Vec<Item> = waiting
        .filter_map(|(id, tasks)| {
            let job = input.cluster_state.job(id)?;
            Some(item_of(id, job, tasks, input.boot_s, now))
        })
        .collect();
    for e in input.expected.iter().filter(|e| e.tasks > 0) {
        items.push(Item::expected(e.spec.clone(), e.tasks, None));
    }
    for shortfall in input.shortfalls.iter().filter(|l| l.tasks > 0) {
        let window = Some(shortfall.window.clone());
        items.push(Item::expected(
            shortfall.spec.clone(),
            shortfall.tasks,
            window,
        ));
    }
    // Items that need ordinary (non-spot) machines come first, and actual work comes before
    // expected work. Jobs in a priority lane follow, because no machines may be left for them
    // later. Larger tasks come before smaller ones.
    items.sort_by_key(|i| {
        let largest = std::cmp::Reverse(i.spec.each.cpu);
        (i.spec.spot, i.expected, !i.lane, largest)
    });
    items
}

/// Returns the item for `tasks` pending or moving tasks of a job.
fn item_of(id: &JobId, job: &Job, tasks: u32, boot_s: f64, now: Time) -> Item {
    let blocked_s = job.blocked_since.map(|t| now.since(t));
    Item {
        spec: job.spec.clone(),
        tasks,
        expected: false,
        late: job.late(now),
        queued: blocked_s.is_some_and(|waited| waited > QUEUED_BOOT_SHARE * boot_s),
        constrained_job: job.policy.requires().then(|| id.clone()),
        lane: job.lane.is_some(),
        window: None,
    }
}
