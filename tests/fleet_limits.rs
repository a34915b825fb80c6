//! Fixed limits that depend on the number of machines hold for a fleet of 4,000, and just
//! beyond their earlier values (`docs/overload.md`, "Fixed limits").

#[path = "settings/loopback.rs"]
mod loopback_settings;
mod settings;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::future::Future;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{json, Value};
use settings::controller;
use sorrelhinge::config::Config;
use sorrelhinge::control::core::{Core, MachineZones, RecoveryInput, ShardGrant};
use sorrelhinge::peer_link::{
    listen, Answered, ForwardedHeartbeat, Kind, PeerAnnouncement, PeerRequestHandler, Peers,
};
use sorrelhinge::state::history::History;
use sorrelhinge::state::record::{drain_key, Key, RETIRED_MACHINE_SLOTS};
use sorrelhinge::state::view::View;
use sorrelhinge::state::Events;
use sorrelhinge::types::{Image, MachineId, NodeId, Revision, Time};
use sorrelhinge::TopologyFile;
use sorrelhinge_emulators::place::Place;
use sorrelhinge_emulators::store::Limits;
use sorrelhinge_emulators::{ask, run, store, HttpResponse};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Machines of the fleet that every limit has to carry.
const FLEET: usize = 4_000;

fn machine(n: usize) -> MachineId {
    MachineId::from(&*format!("vm-{n:06}"))
}

/// Bytes of a value and changes of a transaction, as the operators' state service takes.
const VALUE_BYTES: usize = 4 << 10;
const TXN_OPS: usize = 8;

// ---- images that machines ran ---------------------------------------------

fn ran(machines: impl Iterator<Item = usize>, history: &mut History) {
    for n in machines {
        history.record_placement(&machine(n), &Image::from("img"), 1.0);
    }
}

fn known(history: &History) -> BTreeSet<MachineId> {
    history.images().into_keys().collect()
}

/// One more than the 4,096 machines that were known before.
#[test]
fn history_knows_one_machine_more_than_its_earlier_limit() {
    let mut history = History::default();
    ran(0..4_097, &mut history);
    assert_eq!(known(&history).len(), 4_097);
}

/// Half of a fleet of 4,000 is replaced within a day, day after day: the images of all
/// machines that are there stay known.
#[test]
fn history_keeps_the_machines_that_are_there_while_half_are_replaced() {
    let mut history = History::default();
    ran(0..FLEET, &mut history);
    for day in 1..=8 {
        let oldest = day * FLEET / 2;
        ran(oldest..oldest + FLEET, &mut history);
        let known = known(&history);
        let forgotten = (oldest..oldest + FLEET).filter(|n| !known.contains(&machine(*n)));
        assert_eq!(forgotten.count(), 0, "day {day}");
        assert!(known.len() <= 10_000, "{} machines are known", known.len());
    }
}

// ---- machines that are gone ------------------------------------------------

/// An owner of all machines, and the copy of the records that its writes change.
struct Owner {
    core: Core,
    view: View,
    revision: u64,
}

fn events(store_revision: u64, events: &Value) -> Events {
    let text = json!({"ledger": store_revision, "events": events}).to_string();
    serde_json::from_str(&text).expect("events")
}

impl Owner {
    fn new() -> Self {
        let mut config: Config = (*settings::config(100.0)).clone();
        config.state_limits.value_bytes = VALUE_BYTES;
        config.state_limits.txn_ops = TXN_OPS;
        let mut view = View::default();
        view.replace(Revision(0), Vec::new());
        let grant = json!({"write": "h/grant", "stamp": 1,
            "value": {"owner": "n-0", "term": 1, "number": 1}});
        assert!(view.apply(Revision(0), events(1, &json!([grant]))));
        let mod_revision = view.grant.mod_revision;
        let input = RecoveryInput {
            cfg: Rc::new(config),
            types: &[],
            view: &view,
            topology: None,
            now: Time(0.0),
            wall_ms: 0,
        };
        let core = Core::recover(
            &input,
            ShardGrant::whole(1, mod_revision),
            MachineZones::default(),
        );
        Self {
            core,
            view,
            revision: 1,
        }
    }

    /// Writes all that is due.
    fn record(&mut self, now: Time) {
        while let Some(batch) = self.core.next_batch(&self.view, TXN_OPS, true, now) {
            let transaction = serde_json::to_value(&batch.transaction).expect("a transaction");
            let changes = transaction["apply"].as_array().expect("changes");
            assert!(changes.len() <= TXN_OPS);
            self.revision += 1;
            let written = changes.iter().map(|change| {
                let bytes = change["value"].to_string().len();
                assert!(bytes <= VALUE_BYTES, "{bytes} bytes");
                json!({"write": change["write"], "value": change["value"], "stamp": self.revision})
            });
            let written: Vec<Value> = written.collect();
            let since = self.view.store_revision;
            let changes = events(self.revision, &json!(written));
            assert!(self.view.apply(since, changes));
            let revision = Revision(self.revision);
            self.core
                .transaction_committed(batch, revision, &mut self.view, now);
        }
    }

    /// The names that the next owner knows to be gone.
    fn names(&self) -> BTreeSet<MachineId> {
        let lists = self.view.retired_machines.values();
        lists.flat_map(|held| held.value.machines.clone()).collect()
    }

    /// So many machines are deleted, in the cloud's largest portions.
    fn delete(&mut self, machines: usize) {
        let all: Vec<MachineId> = (0..machines).map(machine).collect();
        for (n, portion) in all.chunks(100).enumerate() {
            let now = Time(10.0 + 4.0 * n as f64);
            self.core.apply_deletions(portion, now);
            self.record(now);
        }
        // The last names wait for company no longer.
        self.record(Time(1_000_000.0));
    }
}

/// All of a fleet goes at once, and half as many again that took their places: the next
/// owner knows every name, in values of 4 KiB.
#[test]
fn all_machines_of_a_fleet_may_go_at_once() {
    let mut owner = Owner::new();
    owner.delete(FLEET * 3 / 2);
    assert_eq!(owner.names().len(), FLEET * 3 / 2);
}

/// One list more than the 16 that there were: none of them is overwritten.
#[test]
fn the_lists_of_gone_machines_go_on_beyond_the_sixteenth() {
    let mut owner = Owner::new();
    // At 4 KiB a list holds 256 names of 9 bytes that come one by one.
    let deleted = 16 * 256 + 1;
    for n in 0..deleted {
        let now = Time(4.0 * n as f64);
        owner.core.apply_deletions(&[machine(n)], now);
        owner.record(now.after(3.5));
    }
    assert_eq!(owner.names().len(), deleted);
    let last = *owner
        .view
        .retired_machines
        .keys()
        .next_back()
        .expect("a list");
    assert_eq!(last, 16);
    assert_eq!(Key::parse("h/gone/16"), Some(Key::DeletedMachines(16)));
    assert_eq!(Key::parse(&format!("h/gone/{RETIRED_MACHINE_SLOTS}")), None);
}

// ---- heartbeats that are passed on between controllers -----------------------

/// Answers nothing that is passed on until it is told to.
#[derive(Default)]
struct Slow {
    asked: Cell<usize>,
    answers: Cell<bool>,
    released: Notify,
}

impl PeerRequestHandler for Slow {
    fn hint(&self, _: Revision, _: &NodeId, _: PeerAnnouncement, _: u16) {}
    fn homed(&self, text: &[u8]) -> Answered {
        Answered {
            status: 200,
            text: text.to_vec(),
        }
    }
    fn heartbeats_announced(&self, _: &[ForwardedHeartbeat]) {}
    fn share(&self, _: Kind, _: &[u8]) {}
    fn answer(self: Rc<Self>, _: Kind, text: Vec<u8>) -> Pin<Box<dyn Future<Output = Answered>>> {
        self.asked.set(self.asked.get() + 1);
        Box::pin(async move {
            let released = self.released.notified();
            if !self.answers.get() {
                released.await;
            }
            Answered { status: 200, text }
        })
    }
}

/// Long enough that only what is lost stays without an answer.
const PATIENCE: Duration = Duration::from_secs(60);

/// Passes so many requests on at the same moment; how many were answered, each with its
/// own text. Requests of `Kind::Heartbeat` are answered only once all of them have come.
async fn pass_on_at_once(kind: Kind, requests: usize) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let slow: Rc<Slow> = Rc::default();
    let listening = spawn_local(listen(listener, 8, slow.clone()));
    let other = NodeId::from("n-1");
    let peers = Peers::start(&NodeId::from("n-0"), [(other.clone(), address)].into_iter());
    while peers.reachable().next().is_none() {
        sleep(Duration::from_millis(5)).await;
    }
    let passed = (0..requests).map(|n| {
        let (peers, other, text) = (peers.clone(), other.clone(), n.to_string().into_bytes());
        spawn_local(async move {
            let answer = peers.forward_within(&other, kind, text.clone(), PATIENCE);
            answer.await == Some(Answered { status: 200, text })
        })
    });
    let passed: Vec<_> = passed.collect();
    if kind == Kind::Heartbeat {
        let end = Instant::now() + PATIENCE / 2;
        while slow.asked.get() < requests && Instant::now() < end {
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(slow.asked.get(), requests, "all are being answered at once");
        slow.answers.set(true);
        slow.released.notify_waiters();
    }
    let mut answered = 0;
    for one in passed {
        answered += usize::from(one.await.expect("it ends"));
    }
    listening.abort();
    answered
}

/// 512 could wait to be sent, and as many to be answered.
#[test]
fn one_heartbeat_more_than_the_earlier_limit_is_passed_on() {
    run(async {
        for kind in [Kind::Adopted, Kind::Heartbeat] {
            assert_eq!(pass_on_at_once(kind, 513).await, 513, "{kind:?}");
        }
    });
}

#[test]
fn the_heartbeats_of_a_whole_fleet_are_passed_on_at_once() {
    run(async {
        for kind in [Kind::Adopted, Kind::Heartbeat] {
            assert_eq!(pass_on_at_once(kind, FLEET).await, FLEET, "{kind:?}");
        }
    });
}

// ---- drains -------------------------------------------------------------------

/// The controller's settings, with the limits of the operators' state service.
fn controller_settings(place: &Place) -> Config {
    let value_kb = VALUE_BYTES as f64 / 1024.0;
    let settings = loopback_settings::only_controller(place, value_kb, TXN_OPS);
    Config::parse(&settings.text()).expect("settings")
}

/// A state service that holds the drains of so many machines.
async fn store_with_drains(place: &Place, drains: usize) {
    let held = store::start(&place.state()).await;
    held.borrow_mut().set_limits(Limits {
        value_bytes: VALUE_BYTES,
        changes: drains,
    });
    let write = |n: usize| {
        let what = json!({"machine": machine(n).as_str()});
        json!({"write": drain_key(n as u64),
            "value": {"v": 1, "what": what, "t": 0, "end": 1, "away": 1}})
    };
    let transaction = json!({"when": [], "apply": (1..=drains).map(write).collect::<Vec<_>>()});
    let told = ask(place.state(), Method::POST, "/txn", &transaction).await;
    assert_eq!(told.map(|response| response.status), Some(200));
    held.borrow_mut().set_limits(Limits {
        value_bytes: VALUE_BYTES,
        changes: TXN_OPS,
    });
}

/// Asks until the controller answers with another status than 503.
async fn asked(place: &Place, method: Method, path: &str, body: Value) -> HttpResponse {
    let end = Instant::now() + Duration::from_secs(40);
    loop {
        let told = ask(place.users(0), method.clone(), path, &body).await;
        if let Some(told) = told.filter(|response| response.status != 503) {
            return told;
        }
        assert!(Instant::now() < end, "no answer");
        sleep(Duration::from_millis(20)).await;
    }
}

/// So many machines have a drain of their own, and one more is asked for: it gets the next
/// number, is shown among the others, and ends.
async fn one_more_drain(drains: usize) {
    let place = Place::claim(1);
    store_with_drains(&place, drains).await;
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("fleet_limits_{drains}.toml"));
    let text = "version = 1\n[[place]]\ndomain = \"za/r0\"\nnetworks = [\"127.0.0.0/8\"]\n";
    std::fs::write(&path, text).expect("the file is written");
    let topology = TopologyFile::load(&path).expect("a topology");
    let ended: Rc<RefCell<Option<String>>> = Rc::default();
    let (config, why) = (controller_settings(&place), ended.clone());
    spawn_local(async move {
        let end = sorrelhinge::run(config, Some(topology), std::future::pending()).await;
        *why.borrow_mut() = Some(format!("{end:?}"));
    });
    let drain = json!({"target": "za/r0", "keep": true});
    let HttpResponse { status, body: told } =
        asked(&place, Method::POST, "/v1/drains", drain).await;
    assert_eq!(
        (status, &told["number"]),
        (200, &json!(drains + 1)),
        "{told}"
    );
    let HttpResponse { status, body: told } =
        asked(&place, Method::GET, "/v1/topology", Value::Null).await;
    assert_eq!(status, 200, "{told}");
    assert_eq!(told["drains"].as_array().map(Vec::len), Some(drains + 1));
    let undrain = json!({"target": drains});
    let HttpResponse { status, body: told } =
        asked(&place, Method::POST, "/v1/undrains", undrain).await;
    assert_eq!(status, 200, "{told}");
    assert_eq!(*ended.borrow(), None, "the controller runs on");
}

/// 1,000 were allowed at a time.
#[test]
fn one_drain_more_than_the_earlier_limit_is_taken() {
    run(one_more_drain(1_000));
}

#[test]
fn every_machine_of_a_fleet_may_have_a_drain() {
    run(one_more_drain(FLEET));
}
