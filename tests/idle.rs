//! Work of idle priority beside all other: what it may take, what it keeps.

mod array_jobs;
mod cluster_states;

use array_jobs::{claimed as used, run_placed, ArrayJob};
use sorrelhinge::scheduler::ClusterState;
use sorrelhinge::types::{JobId, Time};

/// Ten machines of 16 CPUs, a team that is guaranteed half of them, and a guest.
fn cluster_state() -> ClusterState {
    let teams = [("house", 80.0, None), ("guest", 0.0, None)];
    cluster_states::cluster_state(10, 16.0, true, &teams)
}

fn add(
    cluster_state: &mut ClusterState,
    uid: &str,
    team: usize,
    rank: &str,
    tasks: u32,
    estimate_s: f64,
) -> JobId {
    let job = ArrayJob {
        uid,
        team,
        rank,
        tasks,
        estimate_s,
    };
    job.add(cluster_state)
}

/// Looks, places, and lets what was placed run.
fn turn(cluster_state: &mut ClusterState, now: f64) {
    cluster_state.refresh_idle_capacity(Time(now));
    run_placed(cluster_state, now);
}

fn end(cluster_state: &mut ClusterState, id: &JobId, now: f64) {
    cluster_state.edit_job(id, |job| job.cancelled = true);
    let claims: Vec<_> = cluster_state
        .job(id)
        .map_or(Vec::new(), |j| j.tasks.claims().keys().copied().collect());
    for index in claims {
        let task = sorrelhinge::types::TaskId {
            job: id.clone(),
            index,
        };
        cluster_state.release(&task, Time(now));
    }
}

#[test]
fn idle_work_leaves_free_capacity_for_the_peak_of_all_other() {
    let mut cluster_state = cluster_state();
    let house = add(&mut cluster_state, "run-1", 0, "normal", 100, 30.0);
    turn(&mut cluster_state, 1.0);
    assert_eq!(used(&cluster_state, &house), 100);
    let study = add(&mut cluster_state, "run-2", 1, "idle", 500, 60.0);
    turn(&mut cluster_state, 2.0);
    assert_eq!(used(&cluster_state, &study), 60, "what is left of 160");
    end(&mut cluster_state, &house, 3.0);
    turn(&mut cluster_state, 4.0);
    let soon = used(&cluster_state, &study);
    assert!((60..70).contains(&soon), "{soon}: the next job finds room");
    let again = add(&mut cluster_state, "run-3", 0, "normal", 90, 30.0);
    turn(&mut cluster_state, 5.0);
    assert_eq!(used(&cluster_state, &again), 90);
    end(&mut cluster_state, &again, 6.0);
    for second in 7..400 {
        turn(&mut cluster_state, f64::from(second));
    }
    assert!(used(&cluster_state, &study) > 155, "in the end it has all");
}

#[test]
fn short_idle_tasks_and_a_teams_guarantee_are_not_bounded() {
    let mut cluster_state = cluster_state();
    add(&mut cluster_state, "run-1", 0, "normal", 100, 30.0);
    turn(&mut cluster_state, 1.0);
    let own = add(&mut cluster_state, "run-2", 0, "idle", 500, 60.0);
    turn(&mut cluster_state, 2.0);
    assert_eq!(
        used(&cluster_state, &own),
        60,
        "beyond its guarantee the house is bounded"
    );
    let mut cluster_state = self::cluster_state();
    let own = add(&mut cluster_state, "run-1", 0, "idle", 500, 60.0);
    let short = add(&mut cluster_state, "run-2", 1, "idle", 500, 4.0);
    let long = add(&mut cluster_state, "run-3", 1, "idle", 500, 60.0);
    turn(&mut cluster_state, 1.0);
    let all = [&own, &short, &long].map(|id| used(&cluster_state, id));
    assert!(all[0] >= 80 && all.iter().sum::<usize>() == 160, "{all:?}");
}

/// Other work may wait for long, and idle work keeps its part; production takes it.
#[test]
fn idle_work_keeps_a_part_that_only_production_takes() {
    for (rank, kept) in [("high", 48), ("critical", 0)] {
        let mut cluster_state = cluster_state();
        let study = add(&mut cluster_state, "run-1", 1, "idle", 500, 600.0);
        turn(&mut cluster_state, 1.0);
        assert_eq!(used(&cluster_state, &study), 160);
        let other = add(&mut cluster_state, "run-2", 0, rank, 1000, 600.0);
        let mut now = 2.0;
        while now < 120.0 {
            turn(&mut cluster_state, now);
            for task in cluster_state.preempt(|_| 5.0, Time(now)) {
                assert_eq!(task.job, study);
                cluster_state.release(&task, Time(now));
            }
            now += 1.0;
        }
        let left = used(&cluster_state, &study);
        assert!(
            left.abs_diff(kept) <= 1,
            "{left} of the study's tasks are left beside {rank} work"
        );
        assert_eq!(used(&cluster_state, &other), 160 - left);
    }
}

/// Guards against idle jobs that wait for most of an hour beside empty machines: the peak of the
/// other work fades, but never to exactly 0, so the last free CPUs were refused. The users' rule is
/// 90 s.
#[test]
fn an_idle_job_waits_no_90_s_beside_an_empty_machine() {
    for machines in 1..=10 {
        let teams = [("house", 8.0, None), ("guest", 0.0, None)];
        let mut cluster_state = cluster_states::cluster_state(machines, 1.0, true, &teams);
        let house = add(&mut cluster_state, "run-1", 0, "normal", machines, 30.0);
        turn(&mut cluster_state, 1.0);
        assert_eq!(used(&cluster_state, &house), machines as usize);
        end(&mut cluster_state, &house, 2.0);
        let studies: Vec<JobId> = (0..machines)
            .map(|n| {
                let uid = format!("run-1{n}");
                add(&mut cluster_state, &uid, 1, "idle", 1, 60.0)
            })
            .collect();
        for second in 2..90 {
            turn(&mut cluster_state, f64::from(second));
        }
        let placed = studies.iter().map(|id| used(&cluster_state, id));
        assert_eq!(placed.sum::<usize>(), machines as usize, "idle jobs run");
    }
}
