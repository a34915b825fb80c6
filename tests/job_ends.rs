//! One-task jobs of very short run time, each called off, asked for and submitted again
//! at the moment of its task's end, with no other trouble: a job ends one way only.

#[path = "loopback/leader.rs"]
mod leader;
mod loopback;

use std::time::Duration;

use sorrelhinge_emulators::run;
use sorrelhinge_emulators::users::{one_task, Question, Users};
use tokio::task::spawn_local;
use tokio::time::sleep;

use self::leader::start_led;

const JOBS: usize = 60;

async fn user(users: Users, uid: String, nth: usize) {
    users.ask_until_answered(nth, &uid, Question::Submit).await;
    // The stand-in's time goes in steps of 25 ms: some are called off just before the
    // end, most within the milliseconds after it.
    while !users.tasks_done(&uid) {
        sleep(Duration::from_millis(2)).await;
    }
    // Before and after the owner has heard of the end and recorded it.
    sleep(Duration::from_millis(40 * (nth as u64 % 12))).await;
    let (all, id) = (users.clone(), uid.clone());
    let cancel =
        spawn_local(async move { all.ask_until_answered(nth + 1, &id, Question::Cancel).await });
    users.poll_closely(&uid, 2).await;
    cancel.await.expect("it is answered");
    users.poll_closely(&uid, 3).await;
}

#[test]
fn a_job_that_is_called_off_as_it_ends_ends_one_way() {
    run(async {
        let world = start_led(loopback::plan("job_ends", 224, 6)).await;
        let users = Users::new(&world, 3);
        let uids: Vec<String> = (0..JOBS).map(|n| format!("run-{n:06}")).collect();
        let mut lives = Vec::new();
        for (nth, uid) in uids.iter().enumerate() {
            one_task(&world, uid, 0.05);
            lives.push(spawn_local(user(users.clone(), uid.clone(), nth)));
            sleep(Duration::from_millis(60)).await;
        }
        for life in lives {
            life.await.expect("a user's routine ends");
        }
        users.answers_hold();
        let ends: Vec<_> = uids
            .iter()
            .map(|uid| users.answers.borrow().end(uid))
            .collect();
        let ended = |how: &str| ends.iter().flatten().filter(|e| *e == how).count();
        println!("{} done, {} cancelled", ended("done"), ended("cancelled"));
        assert_eq!(ended("done") + ended("cancelled"), JOBS);
        world.rules_hold();
    });
}
