//! Users ask all controllers within milliseconds, and repeat what they submitted, right
//! after a job was accepted, has ended, or was confirmed as cancelled: whatever else
//! happens, no controller answers something older than any controller has said.

#[path = "loopback/leader.rs"]
mod leader;
mod loopback;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{json, Value};
use sorrelhinge_emulators::lines::LinkFault;
use sorrelhinge_emulators::users::{one_task, Answers, Question, Users};
use sorrelhinge_emulators::{run, HttpResponse, Plan, World, CANCEL_S};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use self::leader::start_led;

fn plan(name: &str, net: u8, controllers: usize) -> Plan {
    Plan {
        lines: true,
        controllers,
        ..loopback::plan(&format!("answers_{name}"), net, 4)
    }
}

/// One job's user: submits it, cancels one in three at once and one in three as its
/// task ends, and looks closely after each answer.
async fn user(users: Users, uid: String, nth: usize) {
    let HttpResponse { status, body: told } =
        users.ask_until_answered(nth, &uid, Question::Submit).await;
    assert!(matches!(status, 200 | 201), "{uid}: {told}");
    users.poll_closely(&uid, 2).await;
    match nth % 3 {
        0 => {
            users
                .ask_until_answered(nth + 1, &uid, Question::Cancel)
                .await;
        }
        1 => {
            let ends = Instant::now() + Duration::from_secs(40);
            while !users.tasks_done(&uid) && Instant::now() < ends {
                sleep(Duration::from_millis(5)).await;
            }
            users
                .ask_until_answered(nth + 1, &uid, Question::Cancel)
                .await;
        }
        _ => {
            users.until_over(&uid, 60).await;
        }
    }
    users.poll_closely(&uid, 3).await;
}

/// So many jobs, one after the other, until all their users know how they ended.
struct Day {
    users: Users,
    jobs: Vec<JoinHandle<()>>,
    came: Rc<Cell<usize>>,
}

/// Jobs come so close to each other.
const BETWEEN: Duration = Duration::from_millis(150);

impl Day {
    fn begin(world: &World, controllers: usize, jobs: usize) -> Self {
        let users = Users::new(world, controllers);
        let came: Rc<Cell<usize>> = Rc::default();
        let uids: Vec<String> = (0..jobs).map(|n| format!("run-{n:06}")).collect();
        for uid in &uids {
            one_task(world, uid, 0.3);
        }
        let (all, count) = (users.clone(), came.clone());
        let begun = spawn_local(async move {
            let mut lives = Vec::new();
            for (nth, uid) in uids.into_iter().enumerate() {
                lives.push(spawn_local(user(all.clone(), uid, nth)));
                count.set(nth + 1);
                sleep(BETWEEN).await;
            }
            for life in lives {
                life.await.expect("a user's routine ends");
            }
        });
        Self {
            users,
            jobs: vec![begun],
            came,
        }
    }

    /// Waits until so many jobs came.
    async fn came(&self, jobs: usize) {
        let end = Instant::now() + Duration::from_secs(60);
        while self.came.get() < jobs {
            assert!(Instant::now() < end, "{jobs} jobs do not come");
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until all users know how their jobs ended; then no answer was wrong, and
    /// no task of a cancelled job is left.
    async fn end(self, world: &World) {
        for job in self.jobs {
            job.await.expect("it ends");
        }
        self.users.answers_hold();
        let accepted = self.users.answers.borrow().accepted();
        assert_eq!(accepted.len(), self.came.get(), "all were accepted");
        let gone = |w: &World| w.all_gone(&accepted);
        let within = CANCEL_S as u64 + 1;
        world.until("all tasks are gone", within, gone).await;
        world.rules_hold();
        let answers = self.users.answers.borrow();
        println!("{} jobs, {} answers", accepted.len(), answers.response);
    }
}

async fn world(plan: Plan) -> World {
    let world = start_led(plan).await;
    world
}

#[test]
fn no_controller_of_three_or_five_answers_something_older() {
    run(async {
        for (net, controllers) in [(204, 3), (208, 5)] {
            let world = world(plan(&format!("of_{controllers}"), net, controllers)).await;
            Day::begin(&world, controllers, 30).end(&world).await;
        }
    });
}

/// One controller after the other is refused by the state service alone, or what it
/// asks is held up, or it is cut from the other controllers, while users go on.
#[test]
fn a_controller_that_is_cut_answers_nothing_older() {
    run(async {
        let world = world(plan("cut", 212, 3)).await;
        let day = Day::begin(&world, 3, 64);
        let mut came = 0;
        for round in 0..2 {
            for how in [LinkFault::Refused, LinkFault::Stalled] {
                let leader = world.leader().unwrap_or(0);
                let at = (leader + round) % 3;
                came += 7;
                day.came(came).await;
                world.cut_state(at, how);
                came += 7;
                day.came(came).await;
                world.cut_state(at, LinkFault::None);
                // From the other controllers alone.
                world.cut(at, how);
                world.cut_state(at, LinkFault::None);
                day.came(came + 5).await;
                world.cut(at, LinkFault::None);
            }
        }
        day.end(&world).await;
    });
}

/// The leader's process ends and is back after 0.1 to 0.5 s, again and again.
#[test]
fn a_leader_that_is_back_at_once_answers_nothing_older() {
    run(async {
        let mut world = world(plan("back", 216, 3)).await;
        let day = Day::begin(&world, 3, 50);
        for (nth, away_ms) in [100, 200, 300, 500].into_iter().enumerate() {
            day.came(10 * (nth + 1)).await;
            world.until("a leader", 30, |w| w.leader().is_some()).await;
            let leader = world.leader().expect("a leader");
            world.kill_controller(leader);
            sleep(Duration::from_millis(away_ms)).await;
            world.start_controller(leader);
        }
        day.end(&world).await;
    });
}

/// The state service refuses one controller, and nothing new happens that others could
/// hint at: a submission and a cancellation that come to it are decided all the same.
#[test]
fn changes_are_passed_on_though_nothing_tells_that_others_are_served() {
    run(async {
        let world = world(plan("quiet", 220, 3)).await;
        let leader = world.leader().expect("a leader");
        let refused = (leader + 1) % 3;
        world
            .submit("run-000001", json!({"shape": "standing"}))
            .await;
        world
            .until("it runs", 20, |w| {
                w.nodes.borrow().copies("run-000001") == 1
            })
            .await;
        let settled = Instant::now() + Duration::from_secs(3);
        world
            .until("nothing changes", 10, |_| Instant::now() >= settled)
            .await;
        world.cut_state(refused, LinkFault::Refused);
        let ask = async |method: Method, path: &str, body: &Value| {
            let end = Instant::now() + Duration::from_secs(20);
            loop {
                let told = world
                    .ask_once(refused, method.clone(), path, body)
                    .await
                    .filter(|response| response.status < 500);
                if let Some(told) = told {
                    return told;
                }
                assert!(Instant::now() < end, "{path}: it only tells to come back");
                sleep(Duration::from_millis(200)).await;
            }
        };
        let path = "/v1/jobs/run-none/withdraw";
        assert_eq!(ask(Method::POST, path, &Value::Null).await.status, 404);
        let body = world.job("run-000002", json!({"crew": "nobody"}));
        assert_eq!(ask(Method::POST, "/v1/jobs", &body).await.status, 422);
        let path = "/v1/jobs/run-000001/withdraw";
        let HttpResponse { status, body: told } = ask(Method::POST, path, &Value::Null).await;
        assert_eq!((status, &told["phase"]), (200, &json!("cancelled")));
        world.rules_hold();
    });
}

/// Every wrong answer is told apart: a bad history for each rule of [`Answers`].
#[test]
fn the_comparison_of_answers_rejects_each_bad_history() {
    const UID: &str = "run-1";
    let status =
        |status: u16, phase: &str| HttpResponse::new(status, json!({"uid": UID, "phase": phase}));
    let other = json!({"uid": "run-2", "phase": "pending"});
    // The rule that is broken, the answers in order, and whether the tasks are done.
    let histories = [
        (
            "forgotten",
            vec![status(201, "pending"), status(404, "")],
            true,
        ),
        (
            "forgotten",
            vec![status(200, "running"), status(422, "")],
            true,
        ),
        (
            "accepted twice",
            vec![status(200, "running"), status(201, "pending")],
            true,
        ),
        (
            "older than done",
            vec![status(200, "done"), status(200, "running")],
            true,
        ),
        (
            "older than done",
            vec![status(200, "done"), status(200, "cancelled")],
            true,
        ),
        ("not done", vec![status(200, "done")], false),
        ("nobody cancelled it", vec![status(200, "cancelled")], true),
        ("no phase", vec![status(200, "lost")], true),
        ("another job", vec![HttpResponse::new(200, other)], true),
    ];
    for (rule, told, done) in histories {
        let mut answers = Answers::default();
        for one in &told {
            answers.note(UID, Question::Poll, Instant::now(), one, done);
        }
        assert!(
            answers.wrong.iter().any(|w| w.starts_with(rule)),
            "{rule}: {told:?}: {:?}",
            answers.wrong
        );
    }
    // Of two questions that were under way together, either may be answered first.
    let mut answers = Answers::default();
    let asked = Instant::now();
    for one in [status(200, "done"), status(200, "running"), status(404, "")] {
        answers.note(UID, Question::Poll, asked, &one, true);
    }
    assert_eq!(answers.wrong, [] as [String; 0]);
}
