//! The state service, as PROTOCOL describes it, in memory.

mod faults;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::history::{Event, JobPhase, Recorder};
use crate::{serve, HttpResponse};
pub use faults::{Faults, ScriptedOutcome, TransactionFault};

/// What a key has at present.
struct VersionedValue {
    mod_revision: u64,
    value: Value,
    lease: Option<u64>,
}

/// What happened to a key at a revision.
struct Change {
    revision: u64,
    key: String,
    /// As those who follow the keys are told.
    event: Value,
}

/// A lease: keys written with it are deleted when it ends.
struct Lease {
    life: Duration,
    end: Instant,
}

impl Lease {
    /// It has its full time again.
    fn renew(&mut self) {
        self.end = Instant::now() + self.life;
    }
}

/// Keys, their history, and leases.
pub struct Store {
    revision: u64,
    keys: BTreeMap<String, VersionedValue>,
    /// All changes, in their order.
    log: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    changed: Rc<Notify>,
    /// Nobody is served; leases have their full time again afterwards.
    down: bool,
    /// Puts and deletes so far.
    pub changes: u64,
    faults: Faults,
    limits: Limits,
    /// Transactions that were too large.
    pub rejected: usize,
    /// Where final phases of jobs are noted, if anywhere.
    pub recorder: Option<Recorder>,
}

/// What a transaction may be; anything larger gets 400 (PROTOCOL, "POST /txn").
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Changes of a transaction; conditions may be four times as many.
    pub changes: usize,
}

impl Limits {
    /// As the settings of a world have them.
    pub const USUAL: Self = Self {
        value_bytes: 8 << 10,
        changes: 16,
    };

    /// Whether a transaction is small enough.
    fn allow(&self, when: &[Value], apply: &[Value]) -> bool {
        let small = |change: &Value| change["value"].to_string().len() <= self.value_bytes;
        apply.len() <= self.changes && when.len() <= 4 * self.changes && apply.iter().all(small)
    }
}

/// The key of a job's record begins so.
const JOB_KEYS: &str = "h/job/";

/// A parameter of a path's query.
fn query(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(k, _)| *k == name).map(|(_, v)| v.to_owned())
}

impl Store {
    /// A key's value.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.keys.get(key).map(|h| h.value.clone())
    }

    /// All that was written under a key, with the revisions.
    pub fn writes(&self, key: &str) -> Vec<(u64, &Value)> {
        let of = self.log.iter().filter(|change| change.key == key);
        let writes = of.filter(|change| change.event.get("write").is_some());
        writes
            .map(|change| (change.revision, &change.event["value"]))
            .collect()
    }

    /// Begins or ends an outage.
    pub fn set_down(&mut self, down: bool) {
        self.down = down;
        self.leases.values_mut().for_each(Lease::renew);
        self.changed.notify_waiters();
    }

    /// Refuses one controller alone, or serves it again: its open watches wait, and
    /// its leases run out, as nobody renews them.
    pub fn set_refused(&mut self, controller: usize, refused: bool) {
        if refused {
            self.faults.refused.insert(controller)
        } else {
            self.faults.refused.remove(&controller)
        };
        self.changed.notify_waiters();
    }

    /// From now on transactions may be so large, without notice.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Has a fault meet transactions from now on.
    pub fn inject(&mut self, fault: TransactionFault) {
        self.faults.arm(fault);
    }

    /// No fault meets any further transaction.
    pub fn end_faults(&mut self) {
        self.faults.disarm();
    }

    /// How many transactions have met a fault.
    pub fn faults_met(&self) -> usize {
        self.faults.met
    }

    /// How many transactions are delayed.
    pub fn late(&self) -> usize {
        self.faults.late.len()
    }

    /// Carries out what was delayed, in its order, and says with which statuses.
    /// An outage keeps nothing of it: it had reached the service before.
    pub fn release_late(&mut self) -> Vec<u16> {
        let late = std::mem::take(&mut self.faults.late);
        let statuses = late.iter().map(|txn| self.txn(txn).status);
        statuses.collect()
    }

    /// Whether a controller is served; none: whoever asks at the common address.
    fn serves(&self, from: Option<usize>) -> bool {
        !self.down && from.is_none_or(|c| !self.faults.refused.contains(&c))
    }

    /// Notes a job whose record is final.
    fn note_final(&self, key: &str, value: &Value) {
        let Some((uid, recorder)) = key.strip_prefix(JOB_KEYS).zip(self.recorder.as_ref()) else {
            return;
        };
        let phase = match value["p"].as_str() {
            Some("d") => JobPhase::Done,
            Some("c") => JobPhase::Cancelled,
            _ => JobPhase::Pending,
        };
        let uid = uid.to_owned();
        recorder.note(Event::Recorded { uid, phase });
    }

    /// Ends the leases that ran out.
    fn expire(&mut self) {
        if self.down {
            return;
        }
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end(id);
        }
    }

    /// Ends a lease, and deletes the keys written with it.
    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, h)| h.lease == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.delete(&key);
        }
        self.changed.notify_waiters();
    }

    /// A transaction on conditions (PROTOCOL, "POST /txn"): all of it, or nothing.
    fn txn(&mut self, txn: &Value) -> HttpResponse {
        let none = Vec::new();
        let when = txn["when"].as_array().unwrap_or(&none);
        let failed = self.failed_conditions(when);
        if !failed.is_empty() {
            return HttpResponse::new(409, json!({"failed": failed, "ledger": self.revision}));
        }
        let apply = txn["apply"].as_array().unwrap_or(&none);
        if !self.limits.allow(when, apply) {
            self.rejected += 1;
            return HttpResponse::new(400, json!({"error": "too large"}));
        }
        let mut leases = apply.iter().filter_map(|change| change["ticket"].as_u64());
        if leases.any(|lease| !self.leases.contains_key(&lease)) {
            return HttpResponse::new(400, json!({"error": "no such lease"}));
        }
        self.revision += 1;
        self.changes += apply.len() as u64;
        for change in apply {
            if let Some(key) = change["write"].as_str() {
                self.write(key, change);
            } else if let Some(key) = change["delete"].as_str() {
                self.delete(key);
            }
        }
        self.changed.notify_waiters();
        HttpResponse::new(200, json!({"ledger": self.revision}))
    }

    /// Keys that were changed since the revision which a condition names.
    fn failed_conditions<'a>(&self, when: &'a [Value]) -> Vec<&'a str> {
        let failed = when.iter().filter_map(|condition| {
            let key = condition["key"].as_str()?;
            let mod_revision = self.keys.get(key).map_or(0, |entry| entry.mod_revision);
            (condition["stamp"] != json!(mod_revision)).then_some(key)
        });
        failed.collect()
    }

    /// Writes a key at the present revision.
    fn write(&mut self, key: &str, change: &Value) {
        let mod_revision = self.revision;
        let value = change["value"].clone();
        self.note_final(key, &value);
        self.record(
            key,
            json!({"write": key, "value": value, "stamp": mod_revision}),
        );
        let entry = VersionedValue {
            mod_revision,
            value,
            lease: change["ticket"].as_u64(),
        };
        self.keys.insert(key.into(), entry);
    }

    /// Deletes a key at the present revision.
    fn delete(&mut self, key: &str) {
        self.keys.remove(key);
        self.record(key, json!({"delete": key, "stamp": self.revision}));
    }

    /// Notes what happened to a key at the present revision.
    fn record(&mut self, key: &str, event: Value) {
        self.log.push(Change {
            revision: self.revision,
            key: key.into(),
            event,
        });
    }

    /// A new lease.
    fn grant_lease(&mut self, body: &Value) -> HttpResponse {
        let id = self.leases.keys().next_back().map_or(1, |l| l + 1) + self.revision * 1000;
        let life = Duration::from_millis(body["life_ms"].as_u64().unwrap_or(1000));
        let end = Instant::now() + life;
        self.leases.insert(id, Lease { life, end });
        HttpResponse::new(200, json!({"ticket": id}))
    }

    /// Renews or ends a lease: `rest` is its number, and what follows.
    fn change_lease(&mut self, method: &Method, rest: &str) -> HttpResponse {
        let id = rest.split('/').next().and_then(|n| n.parse().ok());
        let id: u64 = id.unwrap_or(0);
        if *method == Method::DELETE {
            self.end(id);
            return HttpResponse::new(200, json!({}));
        }
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.renew();
                HttpResponse::new(200, json!({}))
            }
            None => HttpResponse::new(404, json!({})),
        }
    }

    /// All keys under a prefix.
    fn list(&self, path: &str) -> HttpResponse {
        let under = query(path, "under").unwrap_or_default();
        let since = query(path, "since").unwrap_or_default();
        let items: Vec<Value> = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(&under) && **k > since)
            .map(|(k, h)| json!({"key": k, "value": h.value, "stamp": h.mod_revision}))
            .collect();
        HttpResponse::new(
            200,
            json!({"items": items, "truncated": false, "ledger": self.revision}),
        )
    }

    /// Changes under a prefix since a revision.
    fn news(&self, since: u64, under: &str) -> Vec<Value> {
        let at = self.log.partition_point(|change| change.revision <= since);
        self.log[at..]
            .iter()
            .filter(|change| change.key.starts_with(under))
            .map(|change| change.event.clone())
            .collect()
    }
}

/// A transaction, as the faults of the moment have it.
async fn transact(store: Rc<RefCell<Store>>, from: Option<usize>, txn: Value) -> HttpResponse {
    let scripted_outcome = store.borrow_mut().faults.scripted_outcome(from, &txn);
    match scripted_outcome {
        None => return store.borrow_mut().txn(&txn),
        Some(ScriptedOutcome::AnswerLost) => {
            store.borrow_mut().txn(&txn);
        }
        Some(ScriptedOutcome::Late) => store.borrow_mut().faults.late.push(txn),
    }
    // The controller gives up by itself.
    std::future::pending().await
}

/// Changes of keys since a revision, once there are some or the time is up.
async fn follow(store: Rc<RefCell<Store>>, from: Option<usize>, path: String) -> HttpResponse {
    let number = |name: &str| query(&path, name).and_then(|n| n.parse().ok()).unwrap_or(0);
    let (since, shard) = (number("since"), number("block_ms"));
    let under = query(&path, "under").unwrap_or_default();
    let end = Instant::now() + Duration::from_millis(shard);
    loop {
        let changed = store.borrow().changed.clone();
        let wait = changed.notified();
        if !store.borrow().serves(from) {
            // Open watches wait as long as it takes.
            wait.await;
            continue;
        }
        let events = store.borrow().news(since, &under);
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let store_revision = store.borrow().revision;
            return HttpResponse::new(200, json!({"ledger": store_revision, "events": events}));
        }
        let _ = timeout(left, wait).await;
    }
}

/// Starts the service for whoever asks at an address.
pub async fn start(addr: &SocketAddr) -> Rc<RefCell<Store>> {
    let store = Rc::new(RefCell::new(Store {
        revision: 0,
        keys: BTreeMap::new(),
        log: Vec::new(),
        leases: BTreeMap::new(),
        changed: Rc::default(),
        down: false,
        changes: 0,
        faults: Faults::default(),
        limits: Limits::USUAL,
        rejected: 0,
        recorder: None,
    }));
    let kept = store.clone();
    spawn_local(async move {
        loop {
            kept.borrow_mut().expire();
            sleep(Duration::from_millis(20)).await;
        }
    });
    listen(&store, addr, None).await;
    store
}

/// Serves one controller at an address of its own, so that it can be told apart.
pub async fn listen(store: &Rc<RefCell<Store>>, addr: &SocketAddr, from: Option<usize>) {
    let listener = TcpListener::bind(addr).await.expect("a port");
    let served = store.clone();
    serve(listener, move |method, path, body| {
        let store = served.clone();
        Box::pin(async move {
            if !store.borrow().serves(from) {
                return HttpResponse::new(503, json!({"error": "trouble"}));
            }
            if path.starts_with("/follow") {
                return follow(store, from, path).await;
            }
            let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
            store.borrow_mut().expire();
            if path == "/txn" {
                return transact(store, from, body).await;
            }
            let mut store = store.borrow_mut();
            if path == "/leases" {
                return store.grant_lease(&body);
            }
            match path.strip_prefix("/leases/") {
                Some(rest) => store.change_lease(&method, rest),
                None => store.list(&path),
            }
        })
    });
}
