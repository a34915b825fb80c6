//! The work that a plan packs: tasks that wait, tasks that move, and work that may come.

use std::collections::BTreeMap;

use super::packing::Item;
use super::Input;
use crate::scheduler::{ClusterState, Job, ReservedTasks};
use crate::types::{JobId, Time};

/// Part of a boot that work waits for tasks to end.
const QUEUED: f64 = 0.5;

/// How many tasks of each job are to be packed.
pub(super) type PendingTasks<'a> = BTreeMap<&'a JobId, u32>;

/// Adds tasks that move off draining machines: they need capacity elsewhere.
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

/// How many tasks of each job are to be packed: those that wait, within their teams'
/// limits, and those that move.
pub(super) fn pending_tasks<'a>(
    cluster_state: &'a ClusterState,
    reserved: &mut ReservedTasks,
    moving: PendingTasks<'a>,
    now: Time,
) -> PendingTasks<'a> {
    // What a team's limit forbids is not waiting for machines.
    let mut left_cpu: Vec<i64> = cluster_state
        .teams()
        .iter()
        .zip(cluster_state.reserved_of_quotas())
        .map(|(t, amount)| (t.limit - t.used - amount).cpu.max(0))
        .collect();
    let mut pending = PendingTasks::new();
    // Nor is a job that fails wherever it runs: nothing is rented for it.
    let asks = |job: &Job| job.needs_placement(now) && !job.suspected_faulty;
    for (id, job) in cluster_state.jobs_to_place().filter(|(_, j)| asks(j)) {
        // What is reserved waits for it already.
        let covered = if reserved.is_empty() {
            0
        } else {
            cluster_state.covered(job, reserved)
        };
        let cpu = job.spec.each.cpu.max(1);
        let free_capacity = u32::try_from(left_cpu[job.team] / cpu).unwrap_or(u32::MAX);
        let tasks = (job.tasks.pending() - covered).min(free_capacity);
        left_cpu[job.team] -= cpu * i64::from(tasks);
        pending.insert(id, tasks);
    }
    for (id, tasks) in moving {
        *pending.entry(id).or_insert(0) += tasks;
    }
    pending
}

/// All that is to be packed, in the order in which it is.
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
    // What only ordinary machines can take goes first, then the largest.
    // Among those the lanes' jobs, for which there may be no more machines later.
    items.sort_by_key(|i| {
        let largest = std::cmp::Reverse(i.spec.each.cpu);
        (i.spec.spot, i.expected, !i.lane, largest)
    });
    items
}

/// Tasks of a job that wait, or move.
fn item_of(id: &JobId, job: &Job, tasks: u32, boot_s: f64, now: Time) -> Item {
    let blocked_s = job.blocked_since.map(|t| now.since(t));
    Item {
        spec: job.spec.clone(),
        tasks,
        expected: false,
        late: job.late(now),
        queued: blocked_s.is_some_and(|waited| waited > QUEUED * boot_s),
        placed: job.policy.requires().then(|| id.clone()),
        lane: job.lane.is_some(),
        window: None,
    }
}
