//! One-task jobs come four a second, a quarter of them cancelled, while leaders end and
//! are back at once. Real controllers on loopback, three with one shard and five with
//! three shards.

mod loopback;

use std::time::{Duration, Instant};

use sorrelhinge_emulators::users::{one_task, Question, Users};
use sorrelhinge_emulators::{run, HttpResponse, Plan, World, CANCEL_S};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

const JOBS: usize = 80;
/// Four a second.
const BETWEEN: Duration = Duration::from_millis(250);
/// One job in so many is cancelled.
const CANCELLED_ONE_IN: usize = 4;
const RUN_S: f64 = 0.6;
/// After so many jobs a leader ends, and how long it is away, in milliseconds.
const ENDS: [(usize, u64); 5] = [(10, 100), (24, 200), (38, 300), (52, 400), (66, 500)];

/// One job's user: a quarter of them cancel soon after the acceptance, at another moment
/// each; the others ask until their job is over.
async fn user(users: Users, uid: String, nth: usize) -> String {
    let HttpResponse { status, body: told } =
        users.ask_until_answered(nth, &uid, Question::Submit).await;
    assert!(matches!(status, 200 | 201), "{uid}: {told}");
    if nth % CANCELLED_ONE_IN == 0 {
        sleep(Duration::from_millis(
            70 * (nth / CANCELLED_ONE_IN % 10) as u64,
        ))
        .await;
        users
            .ask_until_answered(nth + 1, &uid, Question::Cancel)
            .await;
    }
    users.until_over(&uid, 60).await
}

/// Sends all jobs, and ends leaders on the way.
async fn send_jobs(world: &mut World, users: &Users, uids: &[String]) -> Vec<JoinHandle<String>> {
    let mut lives = Vec::new();
    let mut ends = ENDS.into_iter().peekable();
    for (nth, uid) in uids.iter().enumerate() {
        one_task(world, uid, RUN_S);
        lives.push(spawn_local(user(users.clone(), uid.clone(), nth)));
        if let Some((_, away_ms)) = ends.next_if(|(after, _)| *after == nth) {
            let leader = world.leader().unwrap_or(nth % 3);
            world.kill_controller(leader);
            sleep(Duration::from_millis(away_ms)).await;
            world.start_controller(leader);
        }
        sleep(BETWEEN).await;
    }
    lives
}

async fn day(plan: Plan) {
    let controllers = plan.controllers;
    let mut world = World::start(plan).await;
    world.until("a leader", 30, |w| w.leader().is_some()).await;
    let users = Users::new(&world, controllers);
    let uids: Vec<String> = (0..JOBS).map(|n| format!("run-{n:06}")).collect();
    let mut ends = Vec::new();
    for life in send_jobs(&mut world, &users, &uids).await {
        ends.push(life.await.expect("a user's routine ends"));
    }
    let over = Instant::now();
    users.answers_hold();
    for (nth, end) in ends.iter().enumerate() {
        // A task may end before its cancellation is recorded.
        let may_be_cancelled = nth % CANCELLED_ONE_IN == 0;
        assert!(end == "done" || may_be_cancelled, "job {nth} is {end}");
    }
    let done = ends.iter().filter(|end| *end == "done").count();
    println!("{controllers} controllers: {done} of {JOBS} done");
    let gone = |w: &World| w.all_gone(&uids);
    let within = CANCEL_S as u64;
    world.until("all tasks are gone", within, gone).await;
    println!("all tasks were gone after {:?}", over.elapsed());
    world.rules_hold();
    // The start of a cancelled job's task may be under way.
    world.history_holds(JOBS / CANCELLED_ONE_IN);
}

#[test]
fn jobs_of_one_task_while_leaders_end_one_shard() {
    run(day(loopback::plan("single_tasks_one", 60, 4)));
}

#[test]
fn jobs_of_one_task_while_leaders_end_three_shards_and_five_controllers() {
    run(day(Plan {
        controllers: 5,
        properties: "blocks.least=3\n",
        ..loopback::plan("single_tasks_blocks", 64, 4)
    }));
}
