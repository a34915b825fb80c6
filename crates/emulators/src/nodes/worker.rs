//! A machine's worker on loopback: it takes direct commands and sends heartbeats.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::Value;
use sorrelhinge::http::Pool;
use sorrelhinge_protocol::worker::{DirectCommands, Reply};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::{command_copies, Node, Nodes, CPUS, MAX_SENT, PATIENCE, RAM_GB, TYPE};
use crate::history::{Amounts, Event, Machine};
use crate::{ask_over, serve, HttpResponse, HEARTBEAT_S, ZONES};

/// How often a worker looks at its tasks, and whether a heartbeat is due.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// How long a request that gets no answer is kept: longer than any client waits.
const NO_ANSWER: Duration = Duration::from_secs(30);

/// A machine comes up behind a switch after `boot`.
pub fn add(nodes: &Rc<RefCell<Nodes>>, net: u8, zone: u8, switch: u8, boot: Duration) -> String {
    let (id, listener) = {
        let mut nodes = nodes.borrow_mut();
        nodes.count += 1;
        let id = format!("vm-{:06}", nodes.count);
        let last = (nodes.count % 250 + 1) as u8;
        // A free port, so that two runs on one machine do not meet. Nobody is
        // told of it before the machine is up.
        let listener = bind(([127, net + zone, switch, last], 0).into());
        let addr = listener.local_addr().expect("its address");
        let target = nodes.count as usize % nodes.controllers.len();
        let node = Node::new(&id, addr, (zone, switch), target, boot);
        nodes.all.insert(id.clone(), node);
        (id, listener)
    };
    spawn_local(boot_worker(nodes.clone(), id.clone(), listener, boot));
    id
}

/// Serves a machine's worker once it is up, until the machine is gone.
async fn boot_worker(
    nodes: Rc<RefCell<Nodes>>,
    id: String,
    listener: std::net::TcpListener,
    boot: Duration,
) {
    sleep(boot).await;
    let listener = TcpListener::from_std(listener).expect("a listener");
    note_up(&nodes.borrow(), &id);
    let (served, me) = (nodes.clone(), id.clone());
    serve(listener, move |_, path, body| {
        let (nodes, id) = (served.clone(), me.clone());
        Box::pin(async move { commands(nodes, id, path, &body).await })
    });
    work(nodes, id).await;
}

impl Node {
    /// A machine that is up after `boot` and heartbeats to the controller `target`
    /// first.
    fn new(
        id: &str,
        addr: SocketAddr,
        (zone, switch): (u8, u8),
        target: usize,
        boot: Duration,
    ) -> Self {
        let now = Instant::now();
        Self {
            id: id.to_owned(),
            addr,
            zone,
            switch,
            gone: false,
            up_at: now + boot,
            born: now,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            token_announced: None,
            answered: now + boot,
            reported: now,
            dirty: true,
            target,
            hung_since: None,
            tasks: BTreeMap::new(),
        }
    }
}

/// Notes in the history that a machine is up.
fn note_up(nodes: &Nodes, id: &str) {
    let node = &nodes.all[id];
    let free_capacity = Amounts {
        cpus: CPUS,
        cards: 0.0,
        ram_gb: RAM_GB,
    };
    nodes.recorder.note(Event::MachineUp(Machine {
        id: id.into(),
        build: TYPE.into(),
        zone: ZONES[node.zone as usize].into(),
        spot: false,
        free_capacity,
    }));
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

/// The answer to direct commands, unless a fault keeps them from getting through.
async fn commands(
    nodes: Rc<RefCell<Nodes>>,
    id: String,
    path: String,
    body: &[u8],
) -> HttpResponse {
    let commands = serde_json::from_slice::<DirectCommands>(body);
    if nodes.borrow().is_unreached(&id, commands.as_ref().ok()) {
        // No answer: the client gives up by itself.
        sleep(NO_ANSWER).await;
        return HttpResponse::new(503, Value::Null);
    }
    let delayed = match &commands {
        Ok(commands) => nodes.borrow_mut().delays(&id, commands),
        Err(_) => nodes.borrow().is_hung(&id),
    };
    if delayed {
        // The controller gives up by itself.
        return std::future::pending().await;
    }
    let all = nodes.clone();
    let mut nodes = nodes.borrow_mut();
    if path == "/status" {
        return HttpResponse::new(200, nodes.heartbeat(&id));
    }
    let Ok(commands) = commands else {
        return HttpResponse::new(400, Value::Null);
    };
    nodes.figures.direct_calls += 1;
    let executed = nodes.obey(&id, &commands);
    let heartbeat = nodes.heartbeat(&id);
    drop(nodes);
    if executed {
        command_copies::draw(&all, &id, &commands);
    }
    HttpResponse::new(if executed { 200 } else { 409 }, heartbeat)
}

/// Waits while a machine hangs.
async fn while_hung(nodes: &Rc<RefCell<Nodes>>, id: &str) {
    while nodes.borrow().is_hung(id) {
        sleep(POLL_INTERVAL).await;
        nodes.borrow_mut().advance(id);
    }
}

/// What a worker does next.
enum Due {
    /// Nothing: its machine is gone.
    End,
    /// It waits.
    Wait,
    /// A heartbeat goes out.
    Heartbeat(DueHeartbeat),
}

/// A heartbeat that is to go out.
struct DueHeartbeat {
    /// The controller that it goes to, by its number.
    target: usize,
    /// The incarnation that it was made in.
    incarnation: u64,
    sent: Instant,
    body: Value,
}

/// The worker's own routine: time passes, and heartbeats go out.
async fn work(nodes: Rc<RefCell<Nodes>>, id: String) {
    // Connections stay open as PROTOCOL has it, unless a controller ends them.
    let pools: Vec<Pool> = nodes
        .borrow()
        .controllers
        .iter()
        .map(|c| Pool::new(*c))
        .collect();
    loop {
        sleep(POLL_INTERVAL).await;
        let due = nodes.borrow_mut().due(&id);
        let heartbeat = match due {
            Due::End => return,
            Due::Wait => continue,
            Due::Heartbeat(heartbeat) => heartbeat,
        };
        let response = send(&nodes, &id, &pools[heartbeat.target], &heartbeat).await;
        while_hung(&nodes, &id).await;
        let response = response.filter(|_| heartbeat.sent.elapsed() <= PATIENCE);
        nodes.borrow_mut().answered(&id, &heartbeat, response);
    }
}

/// Sends a heartbeat, unless a fault keeps it from getting through.
async fn send(
    nodes: &Rc<RefCell<Nodes>>,
    id: &str,
    pool: &Pool,
    heartbeat: &DueHeartbeat,
) -> Option<HttpResponse> {
    let (away, lost) = {
        let nodes = nodes.borrow();
        let apart = nodes.apart.is_some_and(|(at, _)| at == heartbeat.target);
        let mute = nodes.faults.mute.contains(id);
        (nodes.rejected_connections.contains(id), apart || mute)
    };
    match (away, lost) {
        (true, _) => Some(HttpResponse::new(503, Value::Null)),
        (_, true) => None,
        (false, false) => ask_over(pool, Method::POST, "/agent/beat", &heartbeat.body).await,
    }
}

impl Nodes {
    /// Whether a request does not get through to a machine: it is gone, behind a
    /// switch that is cut, or cut off from who commands.
    fn is_unreached(&self, id: &str, commands: Option<&DirectCommands>) -> bool {
        let grant = commands.map(|commands| commands.fencing_token.grant());
        let commands = |(_, g): (usize, u64)| grant == Some(g);
        self.all[id].gone
            || self.is_cut(id)
            || grant.is_some() && (self.apart.is_some_and(commands) || self.is_deaf(id, commands))
    }

    /// Lets time pass on a machine, and makes its heartbeat once it is due.
    fn due(&mut self, id: &str) -> Due {
        if self.all[id].gone {
            return Due::End;
        }
        self.advance(id);
        if self.is_hung(id) {
            return Due::Wait;
        }
        let cut = self.is_cut(id);
        let node = self.all.get_mut(id).expect("it is there");
        let age = node.reported.elapsed().as_secs_f64();
        if cut || !(age >= HEARTBEAT_S || node.dirty && age >= HEARTBEAT_S / 2.0) {
            return Due::Wait;
        }
        node.reported = Instant::now();
        node.dirty = false;
        let (target, incarnation) = (node.target, node.incarnation);
        let body = self.heartbeat(id);
        self.figures.heartbeats += 1;
        self.keep_copy(id, &body);
        Due::Heartbeat(DueHeartbeat {
            target,
            incarnation,
            sent: Instant::now(),
            body,
        })
    }

    /// Keeps a heartbeat, if copies are to come.
    fn keep_copy(&mut self, id: &str, heartbeat: &Value) {
        if let Some(sent) = &mut self.sent {
            sent.push_back((Instant::now(), id.to_owned(), heartbeat.clone()));
            if sent.len() > MAX_SENT {
                sent.pop_front();
            }
        }
    }

    /// What a worker makes of the answer to its heartbeat, or of none.
    fn answered(&mut self, id: &str, heartbeat: &DueHeartbeat, response: Option<HttpResponse>) {
        if self.all[id].gone || self.is_cut(id) {
            return;
        }
        let response = response.filter(|_| !self.is_deaf(id, |(c, _)| c == heartbeat.target));
        let refused = response
            .as_ref()
            .is_some_and(|response| response.status == 503);
        self.refused_heartbeats += usize::from(refused);
        match response {
            Some(HttpResponse { status: 200, body }) => self.replied(id, heartbeat, body),
            Some(HttpResponse { status: 421, body }) => {
                let named = body["foreman"].as_str().and_then(|f| f.strip_prefix("c-"));
                self.turn_to(id, named.and_then(|f| f.parse().ok()));
            }
            _ => self.turn_to(id, None),
        }
    }

    /// A controller answered with commands: they count in the incarnation that was
    /// reported, and with no older fencing token.
    fn replied(&mut self, id: &str, heartbeat: &DueHeartbeat, body: Value) {
        let Ok(reply) = serde_json::from_value::<Reply>(body) else {
            return;
        };
        let node = self.all.get_mut(id).expect("it is there");
        if reply.fencing_token.0 >= node.fencing_token && heartbeat.incarnation == node.incarnation
        {
            node.take_token(reply.fencing_token.0);
            node.answered = heartbeat.sent;
            self.execute(id, &reply.commands);
        }
    }

    /// The next heartbeat goes to the controller that was named, else to the next one,
    /// and soon.
    fn turn_to(&mut self, id: &str, named: Option<usize>) {
        let controllers = self.controllers.len();
        let node = self.all.get_mut(id).expect("it is there");
        node.target = named.unwrap_or((node.target + 1) % controllers);
        node.dirty = true;
    }
}
