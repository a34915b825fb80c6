//! Real controllers on loopback with few sockets, against more workers, users
//! and slow clients than there are: nothing is lost, cancellations are kept,
//! the leader stays, and once the crowd is gone service is back within a heartbeat
//! round. The sockets are bounded by the operating system.

#[path = "loopback/cancellation.rs"]
mod cancellation;
#[path = "loopback/leader.rs"]
mod leader;
mod loopback;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use sorrelhinge_emulators::{run, HttpResponse, Plan, World, CANCEL_S, HEARTBEAT_S, LEASE_S};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

use self::cancellation::cancel;
use self::leader::start_led;

/// The least that a controller takes.
const SOCKETS: usize = 100;

fn plan(name: &str, net: u8, machines: u8) -> Plan {
    Plan {
        sockets: Some(SOCKETS),
        ..loopback::plan(&format!("overload_{name}"), net, machines)
    }
}

/// Clients that hold their connections and ask again and again.
#[derive(Default)]
struct Crowd {
    routines: Vec<JoinHandle<()>>,
    /// Answers by status.
    answers: Rc<RefCell<BTreeMap<u16, u32>>>,
    /// Connections that a controller ended without a word.
    dropped: Rc<Cell<u32>>,
}

impl Crowd {
    fn polls(&mut self, to: SocketAddr, many: usize) {
        for _ in 0..many {
            let (answers, dropped) = (self.answers.clone(), self.dropped.clone());
            self.routines.push(spawn_local(async move {
                loop {
                    if let Ok(Ok(stream)) =
                        timeout(Duration::from_secs(2), TcpStream::connect(to)).await
                    {
                        if hold(stream, &answers).await == 0 {
                            dropped.set(dropped.get() + 1);
                        }
                    }
                    sleep(Duration::from_millis(150)).await;
                }
            }));
        }
    }

    /// Headers that come a byte at a time, or a body that does.
    fn slow(&mut self, to: SocketAddr, many: usize) {
        for n in 0..many {
            let begun: &[u8] = match n % 2 {
                0 => b"GET /healthz HTTP/1.1\r\nx-slow: ",
                _ => b"POST /v1/jobs HTTP/1.1\r\ncontent-length: 5000\r\n\r\n{",
            };
            self.routines.push(spawn_local(async move {
                loop {
                    if let Ok(mut stream) = TcpStream::connect(to).await {
                        let mut sent = stream.write_all(begun).await;
                        while sent.is_ok() {
                            sleep(Duration::from_millis(200)).await;
                            sent = stream.write_all(b" ").await;
                        }
                    }
                    sleep(Duration::from_millis(200)).await;
                }
            }));
        }
    }

    fn count(&self, status: u16) -> u32 {
        self.answers.borrow().get(&status).copied().unwrap_or(0)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for routine in &self.routines {
            routine.abort();
        }
    }
}

/// Polls over one connection until it ends; how many answers came.
async fn hold(mut stream: TcpStream, answers: &RefCell<BTreeMap<u16, u32>>) -> u32 {
    let mut got = 0;
    loop {
        let asked = b"GET /v1/jobs/run-999999 HTTP/1.1\r\nhost: c\r\n\r\n";
        if stream.write_all(asked).await.is_err() {
            return got;
        }
        let mut text = [0; 1024];
        let Ok(Ok(n)) = timeout(Duration::from_secs(5), stream.read(&mut text)).await else {
            return got;
        };
        let head = String::from_utf8_lossy(&text[..n]);
        let Some(status) = head.split(' ').nth(1).and_then(|s| s.parse().ok()) else {
            return got;
        };
        got += 1;
        *answers.borrow_mut().entry(status).or_insert(0) += 1;
        if head.contains("connection: close") {
            return got;
        }
        sleep(Duration::from_millis(300)).await;
    }
}

/// The leader, and which run of its program.
fn leader(world: &World) -> Value {
    world.store.borrow().get("h/leader").unwrap_or(Value::Null)
}

/// Cancels a job and waits until its tasks are gone.
async fn cancel_until_gone(world: &World, uid: &str) {
    cancel(world, uid).await;
    world
        .until("a cancelled job's tasks are gone", CANCEL_S as u64, |w| {
            w.nodes.borrow().places(uid).is_empty()
        })
        .await;
}

/// Submits jobs one after the other for eight seconds, each to its end.
async fn jobs_are_done_for_a_while(world: &World) {
    let until = Instant::now() + Duration::from_secs(8);
    let mut n = 10;
    while Instant::now() < until {
        let uid = format!("run-{n:06}");
        let HttpResponse { status, .. } = world
            .submit(&uid, json!({"pieces": 6, "guess_s": 0.5}))
            .await;
        assert_eq!(status, 201);
        world.until("a job's tasks", 20, |w| w.done(&uid, 6)).await;
        n += 1;
    }
}

/// The crowd's users were answered, and not only told to come back.
fn users_were_served(crowd: &Crowd) {
    let (told, refused) = (crowd.count(404), crowd.count(503));
    println!(
        "polls answered {told}, told to come back {refused}, dropped {}",
        crowd.dropped.get()
    );
    assert!(told > 500, "users were served meanwhile: {told}");
}

/// Without a crowd a job is done soon.
async fn service_is_back(world: &World) {
    let ended = Instant::now();
    let HttpResponse { status, .. } = world
        .submit("run-000900", json!({"pieces": 12, "guess_s": 0.2}))
        .await;
    assert_eq!(status, 201);
    world
        .until("service is back", 10, |w| w.done("run-000900", 12))
        .await;
    println!(
        "back {:.2} s after the crowd, a report round is {HEARTBEAT_S} s",
        ended.elapsed().as_secs_f64()
    );
}

#[test]
fn more_workers_users_and_slow_clients_than_sockets() {
    run(async {
        let world = start_led(plan("crowd", 70, 40)).await;
        let HttpResponse { status, .. } = world
            .submit("run-000001", json!({"shape": "standing", "pieces": 3}))
            .await;
        assert_eq!(status, 201);
        let services = ["run-000002", "run-000003"];
        for uid in services {
            world
                .submit(uid, json!({"shape": "standing", "pieces": 4}))
                .await;
        }
        let up = |w: &World| services.iter().all(|s| w.nodes.borrow().copies(s) == 4);
        world.until("all replicas run", 20, up).await;
        let led = leader(&world);

        // More than each controller's sockets, of each sort.
        let mut crowd = Crowd::default();
        for i in 0..3 {
            crowd.polls(world.address(i), SOCKETS + 50);
            crowd.slow(world.address(i), 30);
        }
        jobs_are_done_for_a_while(&world).await;
        cancel_until_gone(&world, "run-000002").await;
        assert_eq!(
            leader(&world),
            led,
            "no lease was lost for want of a socket or a turn"
        );
        assert_eq!(
            world.nodes.borrow().copies("run-000001"),
            3,
            "no worker was kept from reporting"
        );
        users_were_served(&crowd);

        // The cancellation in the last instant before the crowd's like: the
        // answer stands whatever comes after it.
        crowd.slow(world.address(world.leader().unwrap_or(0)), 200);
        cancel_until_gone(&world, "run-000003").await;
        drop(crowd);

        service_is_back(&world).await;
        sleep(Duration::from_secs(1)).await;
        assert_eq!(world.phase("run-000900").await, json!("done"));
        for uid in services {
            assert_eq!(world.phase(uid).await, json!("cancelled"));
        }
        world.rules_hold();
    });
}

#[test]
fn polls_flood_a_takeover_and_overload_ends_in_an_outage() {
    run(async {
        let mut world = start_led(plan("takeover", 74, 50)).await;
        world
            .submit("run-000001", json!({"shape": "standing", "pieces": 3}))
            .await;
        world
            .submit("run-000002", json!({"pieces": 30, "guess_s": 2.0}))
            .await;
        world
            .until("replicas run", 20, |w| {
                w.nodes.borrow().copies("run-000001") == 3
            })
            .await;
        let mut crowd = Crowd::default();
        for i in 0..3 {
            crowd.polls(world.address(i), SOCKETS);
        }
        // More workers than sockets from here on: two controllers are left,
        // and each may believe that the other has free sockets.
        let first = world.leader().expect("a leader");
        world.kill_controller(first);
        world
            .until("another leads", 20, |w| {
                w.leader().is_some_and(|l| l != first)
            })
            .await;
        cancel_until_gone(&world, "run-000001").await;
        world
            .until("the array ends", 30, |w| w.done("run-000002", 30))
            .await;

        // The crowd goes while nothing can be recorded.
        world.store.borrow_mut().set_down(true);
        sleep(Duration::from_secs(1)).await;
        drop(crowd);
        sleep(Duration::from_secs(1)).await;
        world.store.borrow_mut().set_down(false);
        world
            .submit("run-000003", json!({"pieces": 8, "guess_s": 0.2}))
            .await;
        world
            .until("service is back", 15, |w| w.done("run-000003", 8))
            .await;
        assert_eq!(world.phase("run-000001").await, json!("cancelled"));
        world.rules_hold();
    });
}

#[test]
fn a_worker_that_all_turn_away_until_its_lease_nearly_ends_keeps_its_task() {
    run(async {
        let world = start_led(plan("turned_away", 78, 3)).await;
        world.submit("run-000001", json!({"guess_s": 6.0})).await;
        let runs = |w: &World| w.nodes.borrow().copies("run-000001") == 1;
        world.until("the task runs", 20, runs).await;
        let on = {
            let nodes = world.nodes.borrow();
            let has = |n: &&sorrelhinge_emulators::nodes::Node| !n.tasks.is_empty();
            nodes
                .all
                .values()
                .find(has)
                .expect("its machine")
                .id
                .clone()
        };
        let starts = world.nodes.borrow().starts;
        world
            .nodes
            .borrow_mut()
            .rejected_connections
            .insert(on.clone());
        sleep(Duration::from_secs_f64(LEASE_S - 2.0 * HEARTBEAT_S)).await;
        world.nodes.borrow_mut().rejected_connections.clear();
        world
            .until("the task is done", 20, |w| w.done("run-000001", 1))
            .await;
        assert_eq!(
            world.nodes.borrow().starts,
            starts,
            "it was not started again"
        );
        world.rules_hold();
    });
}
