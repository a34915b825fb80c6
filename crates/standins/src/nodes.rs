//! Machines with their workers. A switch can be cut: whoever is behind it is
//! silent, and its tasks run until the lease ends.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{json, Value};
use sorrelhinge::http::Pool;
use sorrelhinge_protocol::worker::{Command, Orders, Reply};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::{ask_over, serve, Told, LEASE_S, REPORT_S, ZONES};

/// A task on a machine.
pub struct Task {
    pub phase: String,
    cause: Option<&'static str>,
    since: Instant,
    run_s: f64,
    cpus: f64,
    pub units: Vec<(String, String)>,
}

/// A machine and its worker.
pub struct Node {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: u8,
    pub switch: u8,
    pub gone: bool,
    pub(crate) up_at: Instant,
    pub(crate) born: Instant,
    session: u64,
    tick: u64,
    token: u64,
    answered: Instant,
    reported: Instant,
    dirty: bool,
    target: usize,
    pub tasks: BTreeMap<(String, u64), Task>,
}

/// All machines, and what is known of them from outside.
pub struct Nodes {
    pub all: BTreeMap<String, Node>,
    pub jobs: BTreeMap<String, Value>,
    /// Switches that are cut, by zone and number.
    pub cut: BTreeSet<(u8, u8)>,
    /// Encoders that each switch's machines really have, and which work.
    pub encoders: BTreeMap<(u8, u8), Vec<(String, bool)>>,
    /// What went wrong.
    pub wrong: Vec<String>,
    /// Starts that were carried out.
    pub starts: usize,
    /// Machines with workers of their own, as the cloud lists them.
    pub others: BTreeMap<String, Value>,
    /// Tasks that ended `done`.
    pub done: BTreeSet<String>,
    /// Machines whose reports every controller turns away.
    pub turned_away: BTreeSet<String>,
    /// The cloud has nothing to rent.
    pub full: bool,
    /// One-way lines: reports get through, answers and commands don't.
    pub deaf: Vec<Deaf>,
    /// Reports of late, if copies are to come.
    pub sent: Option<VecDeque<(Instant, String, Value)>>,
    /// A controller that is cut off from all workers, and its grant: neither
    /// reports nor commands get through.
    pub apart: Option<(usize, u64)>,
    controllers: Vec<SocketAddr>,
    count: u32,
}

pub(crate) const CPUS: f64 = 4.0;
/// Reports kept to be copied.
const MOST_SENT: usize = 6000;

/// Machines that hear nothing: one, those of a zone, or all; of one controller with
/// its grant, or of any.
#[derive(Clone, Debug, Default)]
pub struct Deaf {
    pub machine: Option<String>,
    pub zone: Option<u8>,
    pub to: Option<(usize, u64)>,
}

impl Nodes {
    pub fn new(controllers: Vec<SocketAddr>) -> Self {
        Self {
            all: BTreeMap::new(),
            jobs: BTreeMap::new(),
            cut: BTreeSet::new(),
            encoders: BTreeMap::new(),
            wrong: Vec::new(),
            starts: 0,
            others: BTreeMap::new(),
            done: BTreeSet::new(),
            turned_away: BTreeSet::new(),
            full: false,
            deaf: Vec::new(),
            sent: None,
            apart: None,
            controllers,
            count: 0,
        }
    }

    fn is_cut(&self, id: &str) -> bool {
        let node = &self.all[id];
        self.cut.contains(&(node.zone, node.switch))
    }

    /// Whether a machine hears nothing from a controller, told by its number or by
    /// the grant that it commands with.
    fn is_deaf(&self, id: &str, from: impl Fn((usize, u64)) -> bool) -> bool {
        let zone = self.all[id].zone;
        self.deaf.iter().any(|d| {
            d.machine.as_ref().is_none_or(|m| m == id)
                && d.zone.is_none_or(|z| z == zone)
                && d.to.is_none_or(&from)
        })
    }

    /// Reports that are older than so many seconds, the newest of those, a few of
    /// each machine, gone ones too.
    pub fn old_reports(&self, age_s: f64, most: usize) -> Vec<Value> {
        let mut taken: BTreeMap<&str, usize> = BTreeMap::new();
        let sent = self.sent.iter().flatten().rev();
        let old = sent.filter(|(at, ..)| at.elapsed().as_secs_f64() >= age_s);
        let some = old.filter(|(_, id, _)| {
            let n = taken.entry(id).or_default();
            *n += 1;
            *n <= most
        });
        let mut some: Vec<Value> = some.map(|(.., report)| report.clone()).collect();
        some.reverse();
        some
    }

    /// Replicas of a service that run and can be reached.
    pub fn copies(&self, uid: &str) -> usize {
        let reached = self
            .all
            .values()
            .filter(|n| !n.gone && !self.cut.contains(&(n.zone, n.switch)));
        let tasks = reached.flat_map(|n| n.tasks.iter());
        tasks
            .filter(|((piece, _), t)| {
                t.phase == "running" && piece.rsplit_once('/').is_some_and(|(j, _)| j == uid)
            })
            .count()
    }

    /// Machines that run a job's tasks, with their switches.
    pub fn places(&self, uid: &str) -> Vec<(u8, u8)> {
        let mut places = Vec::new();
        for node in self.all.values().filter(|n| !n.gone) {
            for ((piece, _), task) in &node.tasks {
                let of = piece.rsplit_once('/').is_some_and(|(j, _)| j == uid);
                if of && task.phase != "ended" {
                    places.push((node.zone, node.switch));
                }
            }
        }
        places
    }

    fn report(&mut self, id: &str) -> Value {
        let node = self.all.get_mut(id).expect("it is there");
        node.tick += 1;
        let pieces: Vec<Value> = node
            .tasks
            .iter()
            .map(|((piece, attempt), t)| {
                json!({"piece": piece, "try": attempt, "phase": t.phase, "cause": t.cause})
            })
            .collect();
        json!({"box": id, "addr": node.addr, "build": "t", "rack": ZONES[node.zone as usize],
            "loaners": false, "shift": node.session, "tick": node.tick, "baton": node.token,
            "warning_s": null, "pieces": pieces})
    }

    fn execute(&mut self, id: &str, orders: &[Command]) {
        for order in orders {
            match order {
                Command::Start {
                    piece,
                    attempt,
                    units,
                    ..
                } => self.begin(id, piece, attempt.0, units),
                Command::Kill { piece, attempt, .. } => {
                    let node = self.all.get_mut(id).expect("it is there");
                    let task = node.tasks.get_mut(&(piece.clone(), attempt.0));
                    if let Some(task) = task.filter(|t| t.phase != "ended") {
                        task.phase = "ended".into();
                        task.cause = Some("stopped");
                        node.dirty = true;
                    }
                }
                Command::Forget { piece, attempt } => {
                    let node = self.all.get_mut(id).expect("it is there");
                    node.tasks.remove(&(piece.clone(), attempt.0));
                }
            }
        }
    }

    /// A start, with all that must hold at this moment.
    fn begin(&mut self, id: &str, piece: &str, attempt: u64, units: &[(String, String)]) {
        let key = (piece.to_owned(), attempt);
        if self.all[id].tasks.contains_key(&key) {
            return;
        }
        let uid = piece.rsplit_once('/').expect("a piece").0;
        let job = self.jobs.get(uid).cloned().unwrap_or(Value::Null);
        let cpus = job["cpus"].as_f64().unwrap_or(1.0);
        let (zone, switch) = (self.all[id].zone, self.all[id].switch);
        let twice = self.all.values().any(|n| {
            let here = n
                .tasks
                .iter()
                .any(|((p, _), t)| p == piece && t.phase != "ended");
            !n.gone && here
        });
        if twice {
            self.wrong
                .push(format!("ran_twice: {piece} starts on {id}"));
        }
        let device = &job["topology"]["devices"][0];
        let asked = device["count"].as_u64().unwrap_or(1) as usize;
        let needs = if device.is_null() { 0 } else { asked };
        if units.len() != needs {
            let n = units.len();
            self.wrong
                .push(format!("{piece} on {id}: {n} of {needs} units"));
        }
        for unit in units {
            let there = self.encoders.get(&(zone, switch));
            let works = there.and_then(|list| list.iter().find(|(name, _)| *name == unit.1));
            match works {
                None => self
                    .wrong
                    .push(format!("{piece} on {id}: {unit:?} is missing")),
                Some((_, false)) => self
                    .wrong
                    .push(format!("{piece} on {id}: {unit:?} is broken")),
                Some(_) => {}
            }
            let mut others = self.all[id].tasks.values();
            if others.any(|t| t.phase != "ended" && t.units.contains(unit)) {
                self.wrong
                    .push(format!("{piece} on {id}: {unit:?} is taken"));
            }
        }
        self.starts += 1;
        let node = self.all.get_mut(id).expect("it is there");
        let used: f64 = node
            .tasks
            .values()
            .filter(|t| t.phase != "ended")
            .map(|t| t.cpus)
            .sum();
        let full = used + cpus > CPUS;
        let service = job["shape"] == "standing";
        let task = Task {
            phase: if full { "ended" } else { "fetching" }.into(),
            cause: full.then_some("full"),
            since: Instant::now(),
            run_s: if service {
                f64::INFINITY
            } else {
                job["guess_s"].as_f64().unwrap_or(1.0)
            },
            cpus,
            units: units.to_vec(),
        };
        node.tasks.insert(key, task);
        node.dirty = true;
    }

    /// Time passes on a machine.
    fn advance(&mut self, id: &str) {
        let node = self.all.get_mut(id).expect("it is there");
        let now = Instant::now();
        if now.duration_since(node.answered).as_secs_f64() > LEASE_S {
            node.tasks.clear();
            node.session += 1;
            node.answered = now;
            node.dirty = true;
        }
        for ((piece, _), task) in &mut node.tasks {
            let ran = now.duration_since(task.since).as_secs_f64();
            if task.phase == "fetching" && ran >= 0.1 {
                task.phase = "running".into();
                node.dirty = true;
            } else if task.phase == "running" && ran >= 0.1 + task.run_s {
                task.phase = "ended".into();
                task.cause = Some("done");
                self.done.insert(piece.clone());
                node.dirty = true;
            }
        }
    }
}

/// A machine comes up behind a switch after `boot`.
pub fn add(nodes: &Rc<RefCell<Nodes>>, net: u8, zone: u8, switch: u8, boot: Duration) -> String {
    let listener;
    let id = {
        let mut n = nodes.borrow_mut();
        n.count += 1;
        let id = format!("vm-{:06}", n.count);
        let last = (n.count % 250 + 1) as u8;
        // A free port, so that two runs on one machine do not meet. Nobody is
        // told of it before the machine is up.
        listener = bind(([127, net + zone, switch, last], 0).into());
        let addr = listener.local_addr().expect("its address");
        let now = Instant::now();
        let node = Node {
            id: id.clone(),
            addr,
            zone,
            switch,
            gone: false,
            up_at: now + boot,
            born: now,
            session: 1,
            tick: 0,
            token: 0,
            answered: now + boot,
            reported: now,
            dirty: true,
            target: n.count as usize % n.controllers.len(),
            tasks: BTreeMap::new(),
        };
        n.all.insert(id.clone(), node);
        id
    };
    let (all, name) = (nodes.clone(), id.clone());
    spawn_local(async move {
        sleep(boot).await;
        let listener = TcpListener::from_std(listener).expect("a listener");
        let (served, me) = (all.clone(), name.clone());
        serve(listener, move |_, path, body| {
            let (nodes, id) = (served.clone(), me.clone());
            Box::pin(async move { orders(nodes, id, path, &body).await })
        });
        work(all, name).await;
    });
    id
}

/// Binds an address. If that fails the whole run ends at once and says why: in
/// a routine of its own the failure would go unnoticed, and the test wait.
fn bind(addr: SocketAddr) -> std::net::TcpListener {
    let bound = std::net::TcpListener::bind(addr).and_then(|l| {
        l.set_nonblocking(true)?;
        Ok(l)
    });
    bound.unwrap_or_else(|error| {
        eprintln!("the stand-ins can't listen on {addr}: {error}");
        std::process::exit(101)
    })
}

async fn orders(nodes: Rc<RefCell<Nodes>>, id: String, path: String, body: &[u8]) -> Told {
    let silent = {
        let n = nodes.borrow();
        n.all[&id].gone || n.is_cut(&id)
    };
    if silent {
        // No answer: the client gives up by itself.
        sleep(Duration::from_secs(30)).await;
        return (503, Value::Null);
    }
    let orders = serde_json::from_slice::<Orders>(body);
    let apart = nodes.borrow().apart;
    let from_there = |o: &Orders| {
        let grant = o.baton.grant();
        let n = nodes.borrow();
        apart.is_some_and(|(_, g)| grant == g) || n.is_deaf(&id, |(_, g)| grant == g)
    };
    if orders.as_ref().is_ok_and(from_there) {
        sleep(Duration::from_secs(30)).await;
        return (503, Value::Null);
    }
    let mut n = nodes.borrow_mut();
    if path == "/status" {
        return (200, n.report(&id));
    }
    let Ok(orders) = orders else {
        return (400, Value::Null);
    };
    let node = n.all.get_mut(&id).expect("it is there");
    if orders.baton.0 < node.token || orders.shift.0 != node.session {
        return (409, n.report(&id));
    }
    node.token = orders.baton.0;
    n.execute(&id, &orders.orders);
    (200, n.report(&id))
}

/// The worker's own routine: time passes, and reports go out.
async fn work(nodes: Rc<RefCell<Nodes>>, id: String) {
    // Connections stay open as PROTOCOL has it, unless a controller ends them.
    let pools: Vec<Pool> = nodes
        .borrow()
        .controllers
        .iter()
        .map(|c| Pool::new(*c))
        .collect();
    loop {
        sleep(Duration::from_millis(25)).await;
        let (due, target, report, sent, session) = {
            let mut n = nodes.borrow_mut();
            if n.all[&id].gone {
                return;
            }
            n.advance(&id);
            let cut = n.is_cut(&id);
            let node = n.all.get_mut(&id).expect("it is there");
            let age = node.reported.elapsed().as_secs_f64();
            let due = !cut && (age >= REPORT_S || node.dirty && age >= REPORT_S / 2.0);
            let (target, session) = (node.target, node.session);
            if due {
                node.reported = Instant::now();
                node.dirty = false;
            }
            let report = if due { n.report(&id) } else { Value::Null };
            if let Some(sent) = n.sent.as_mut().filter(|_| due) {
                sent.push_back((Instant::now(), id.clone(), report.clone()));
                if sent.len() > MOST_SENT {
                    sent.pop_front();
                }
            }
            (due, target, report, Instant::now(), session)
        };
        if !due {
            continue;
        }
        let away = nodes.borrow().turned_away.contains(&id);
        let apart = nodes.borrow().apart.is_some_and(|(at, _)| at == target);
        let told = match (away, apart) {
            (true, _) => Some((503, Value::Null)),
            (_, true) => None,
            (false, false) => ask_over(&pools[target], Method::POST, "/agent/beat", &report).await,
        };
        let mut n = nodes.borrow_mut();
        if n.all[&id].gone || n.is_cut(&id) {
            continue;
        }
        let told = told.filter(|_| !n.is_deaf(&id, |(c, _)| c == target));
        let node = n.all.get_mut(&id).expect("it is there");
        match told {
            Some((200, body)) => {
                let Ok(reply) = serde_json::from_value::<Reply>(body) else {
                    continue;
                };
                if reply.baton.0 >= node.token && session == node.session {
                    node.token = reply.baton.0;
                    node.answered = sent;
                    n.execute(&id, &reply.orders);
                }
            }
            Some((421, body)) => {
                let named = body["foreman"].as_str().and_then(|f| f.strip_prefix("c-"));
                let named = named.and_then(|f| f.parse().ok());
                node.target = named.unwrap_or((node.target + 1) % pools.len());
                node.dirty = true;
            }
            _ => {
                node.target = (node.target + 1) % pools.len();
                node.dirty = true;
            }
        }
    }
}
