//! Reads of the state service that are answered late or out of order: what a
//! controller knows never goes back, and no user's answer rests on such a read.

#[path = "settings/controller.rs"]
mod controller;
#[path = "settings/loopback.rs"]
mod loopback_settings;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use controller::{ControllerSettings, Team};
use hyper::Method;
use serde_json::{json, Value};
use sorrelhinge::config::Config;
use sorrelhinge::state::record::{job_key, JobRecord, Phase};
use sorrelhinge::state::view::View;
use sorrelhinge::state::Events;
use sorrelhinge::types::{JobId, Revision};
use sorrelhinge_emulators::place::Place;
use sorrelhinge_emulators::{ask, run, serve, HttpResponse};
use sorrelhinge_protocol::users::read_job;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

const JOB: &str = "run-000001";
/// Revisions of the scripted state service: of the read that is answered late, of the
/// one that overtakes it, and of the job's acceptance.
const LATE: u64 = 100;
const NEWER: u64 = 200;
const ACCEPTED: u64 = 250;

fn record() -> JobRecord {
    let job = json!({"uid": JOB, "jobclass": "bake", "crew": "crew", "shape": "sweep",
        "rank": "normal", "pieces": 1, "cpus": 1.0, "cards": 0.0, "ram_gb": 1.0,
        "bundle": "img-1", "pull_gb": 0.1, "together": false, "spread": false,
        "loaners": false, "guess_s": 1.0, "mark_s": 0.0, "stash_s": 0.0});
    JobRecord::accepted(read_job(job).expect("a job"), 1, 8192)
}

fn accepted_event() -> Value {
    let key = job_key(&JobId::from(JOB));
    json!({"write": key, "value": record(), "stamp": ACCEPTED})
}

fn events(store_revision: u64, events: Value) -> Events {
    let text = json!({"ledger": store_revision, "events": events}).to_string();
    serde_json::from_str(&text).expect("events")
}

/// A reading of everything that was overtaken by a newer one changes nothing.
#[test]
fn an_older_reading_of_everything_takes_nothing_back() {
    let id = JobId::from(JOB);
    let mut view = View::default();
    view.replace(Revision(NEWER), Vec::new());
    assert!(view.apply(Revision(NEWER), events(ACCEPTED, json!([accepted_event()]))));
    view.replace(Revision(LATE), Vec::new());
    assert_eq!(view.store_revision, Revision(ACCEPTED));
    assert_eq!(view.summary(&id).map(|s| s.phase), Some(Phase::Live));
}

/// Changes that do not follow on what is known can't be taken in, and the view is
/// then not as new as they are: whoever asked for them must not think it is.
#[test]
fn changes_after_a_gap_do_not_make_a_view_new() {
    let mut view = View::default();
    view.replace(Revision(LATE), Vec::new());
    let after_gap = events(ACCEPTED, json!([accepted_event()]));
    assert!(!view.apply(Revision(NEWER), after_gap));
    assert_eq!(view.store_revision, Revision(LATE));
    // One that brings nothing new leaves it as new as it was.
    assert!(view.apply(Revision(LATE), events(LATE, json!([]))));
    assert!(view.apply(Revision(LATE), events(ACCEPTED, json!([accepted_event()]))));
    assert!(view.apply(Revision(LATE), events(NEWER, json!([]))));
    assert_eq!(view.store_revision, Revision(ACCEPTED));
}

/// What the scripted state service has seen and may answer.
#[derive(Default)]
struct Script {
    readings: Cell<usize>,
    /// The first reading of everything may be answered.
    release: Notify,
    /// The controller watches for changes, so it has taken that reading in.
    watched: Notify,
}

impl Script {
    async fn answer(self: Rc<Self>, path: String) -> HttpResponse {
        if path.starts_with("/keys?") {
            let nth = self.readings.get();
            self.readings.set(nth + 1);
            if nth == 0 {
                self.release.notified().await;
            }
            let store_revision = if nth == 0 { LATE } else { NEWER };
            let page = json!({"items": [], "truncated": false, "ledger": store_revision});
            return HttpResponse::new(200, page);
        }
        if !path.starts_with("/follow?") {
            return HttpResponse::new(503, json!({"error": "trouble"}));
        }
        if !path.contains("block_ms=0") {
            self.watched.notify_one();
            std::future::pending::<()>().await;
        }
        // The late answer overtakes this one on the way back.
        if self.readings.get() == 2 {
            self.readings.set(3);
            self.release.notify_one();
            self.watched.notified().await;
        }
        HttpResponse::new(
            200,
            json!({"ledger": ACCEPTED, "events": [accepted_event()]}),
        )
    }
}

fn config(place: &Place) -> Config {
    let crew = Team {
        name: "crew",
        guarantee_cpus: 200.0,
        limit_cpus: 400.0,
    };
    let settings = ControllerSettings {
        teams: vec![crew],
        ..loopback_settings::only_controller(place, 8.0, 16)
    };
    Config::parse(&settings.text()).expect("settings")
}

/// Asks until the controller answers with another status than 503.
async fn poll(controller: SocketAddr) -> HttpResponse {
    let path = format!("/v1/jobs/{JOB}");
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        let told = ask(controller, Method::GET, &path, &Value::Null).await;
        if let Some(told) = told.filter(|response| response.status != 503) {
            return told;
        }
        assert!(Instant::now() < end, "no answer");
        sleep(Duration::from_millis(20)).await;
    }
}

/// A controller that has just started reads everything twice: to follow, and as a user
/// asks. The first reading is answered last, while the controller already reads what
/// is new for another question. That one was answered 404 for an accepted job.
#[test]
fn a_late_reading_of_everything_hides_no_accepted_job() {
    run(async {
        let place = Place::claim(1);
        let script: Rc<Script> = Rc::default();
        let listener = TcpListener::bind(place.state()).await.expect("a port");
        let served = script.clone();
        serve(listener, move |_, path, _| {
            Box::pin(served.clone().answer(path))
        });
        let failed: Rc<RefCell<Option<String>>> = Rc::default();
        let (config, why) = (config(&place), failed.clone());
        spawn_local(async move {
            let ended = sorrelhinge::run(config, None, std::future::pending()).await;
            *why.borrow_mut() = Some(format!("{ended:?}"));
        });
        while script.readings.get() == 0 {
            sleep(Duration::from_millis(5)).await;
            assert_eq!(*failed.borrow(), None);
        }
        let HttpResponse { status, body: told } = poll(place.users(0)).await;
        assert_eq!(status, 404, "nobody has submitted it yet: {told}");
        let HttpResponse { status, body: told } = poll(place.users(0)).await;
        assert_eq!((status, &told["phase"]), (200, &json!("pending")), "{told}");
    });
}
