//! The part of a team's limit that is left to jobs whose users wait for the start:
//! no task is preempted for capacity that this part then forbids to take.

mod array_jobs;
mod cluster_states;

use array_jobs::{claimed, run_placed, ArrayJob};
use sorrelhinge::scheduler::ClusterState;
use sorrelhinge::types::{Amount, JobId, Time};

/// The team that has a limit, in the order of the cluster's teams.
const HOUSE: usize = 0;
/// A team without a guarantee: all its work may give way.
const GUEST: usize = 1;
/// How long a job has waited before room is made for it, in seconds.
const PATIENCE_S: f64 = 5.0;

/// Sixteen CPUs: the house uses 8 of its 12, the guest all the others. A job of the
/// house waits, 4 CPUs of the house's limit are left to others of its jobs.
struct Case {
    cluster_state: ClusterState,
    first: JobId,
    guest: JobId,
    waiting: JobId,
}

impl Case {
    fn new(rank_of_first: &str) -> Self {
        let teams = [("house", 4.0, Some(12.0)), ("guest", 0.0, None)];
        let mut cluster_state = cluster_states::cluster_state(4, 4.0, true, &teams);
        let first = add(&mut cluster_state, "run-1", HOUSE, rank_of_first, 8);
        run_placed(&mut cluster_state, 1.0);
        let guest = add(&mut cluster_state, "run-2", GUEST, "normal", 8);
        run_placed(&mut cluster_state, 2.0);
        cluster_state.hold_back(HOUSE, Amount::new(4.0, 0.0, 0.0));
        let waiting = add(&mut cluster_state, "run-3", HOUSE, "high", 2);
        run_placed(&mut cluster_state, 3.0);
        let case = Self {
            cluster_state,
            first,
            guest,
            waiting,
        };
        let used = [&case.first, &case.guest, &case.waiting].map(|id| case.used(id));
        assert_eq!(used, [8, 8, 0], "all is taken, and run-3 waits");
        case
    }

    fn used(&self, id: &JobId) -> usize {
        claimed(&self.cluster_state, id)
    }

    /// Makes room, lets what is stopped go, and places: which jobs' tasks were stopped.
    fn preempt(&mut self) -> Vec<JobId> {
        let stopped = self.cluster_state.preempt(|_| PATIENCE_S, Time(20.0));
        for task in &stopped {
            self.cluster_state.release(task, Time(20.5));
        }
        run_placed(&mut self.cluster_state, 21.0);
        stopped.into_iter().map(|task| task.job).collect()
    }
}

fn add(cluster_state: &mut ClusterState, uid: &str, team: usize, rank: &str, tasks: u32) -> JobId {
    let job = ArrayJob {
        uid,
        team,
        rank,
        tasks,
        estimate_s: 600.0,
    };
    job.add(cluster_state)
}

/// The walk leaves the part to others, so room beyond it would lie there unused:
/// the guest's tasks were stopped for it again and again.
#[test]
fn nothing_is_stopped_for_free_capacity_that_the_limit_leaves_to_others() {
    let mut case = Case::new("high");
    assert_eq!(case.preempt(), vec![], "run-3 could not take the room");
    assert_eq!(case.used(&case.guest), 8);
}

/// The same room, once nothing is left to others: it is made, and taken.
#[test]
fn free_capacity_inside_the_limit_is_made_and_taken() {
    let mut case = Case::new("high");
    case.cluster_state.hold_back(HOUSE, Amount::default());
    let stopped = case.preempt();
    assert_eq!(stopped, vec![case.guest.clone(); 2]);
    assert_eq!(case.used(&case.waiting), 2);
}

/// A job whose users wait for its start is whom the part is left to.
#[test]
fn the_part_left_to_others_is_for_jobs_with_a_start_objective() {
    let mut case = Case::new("high");
    let waiting = case.waiting.clone();
    case.cluster_state
        .edit_job(&waiting, |job| job.start_within = Some(1.0));
    let stopped = case.preempt();
    assert_eq!(stopped, vec![case.guest.clone(); 2]);
    assert_eq!(case.used(&waiting), 2);
}

/// At what the limit allows, only the team's own lower work is preempted, nobody else's.
#[test]
fn beside_the_part_left_to_others_only_own_work_gives_way() {
    let mut case = Case::new("normal");
    let stopped = case.preempt();
    assert_eq!(stopped, vec![case.first.clone(); 2]);
    assert_eq!(case.used(&case.waiting), 2);
    assert_eq!(case.used(&case.guest), 8);
}
