//! A machine's worker on loopback: it takes direct commands and sends reports.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::Value;
use sorrelhinge::http::Pool;
use sorrelhinge_protocol::worker::{Orders, Reply};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::{Node, Nodes, CPUS, MOST_SENT, PATIENCE, RAM_GB, TYPE};
use crate::history::{Amounts, Event, Machine};
use crate::{ask_over, serve, Told, REPORT_S, ZONES};

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
            hung_since: None,
            tasks: BTreeMap::new(),
        };
        n.all.insert(id.clone(), node);
        id
    };
    let (all, name) = (nodes.clone(), id.clone());
    spawn_local(async move {
        sleep(boot).await;
        let listener = TcpListener::from_std(listener).expect("a listener");
        note_up(&all.borrow(), &name);
        let (served, me) = (all.clone(), name.clone());
        serve(listener, move |_, path, body| {
            let (nodes, id) = (served.clone(), me.clone());
            Box::pin(async move { orders(nodes, id, path, &body).await })
        });
        work(all, name).await;
    });
    id
}

fn note_up(nodes: &Nodes, id: &str) {
    let node = &nodes.all[id];
    let room = Amounts {
        cpus: CPUS,
        cards: 0.0,
        ram_gb: RAM_GB,
    };
    nodes.recorder.note(Event::MachineUp(Machine {
        id: id.into(),
        build: TYPE.into(),
        zone: ZONES[node.zone as usize].into(),
        spot: false,
        room,
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
    let held = match &orders {
        Ok(orders) => nodes.borrow_mut().holds(&id, orders),
        Err(_) => nodes.borrow().is_hung(&id),
    };
    if held {
        // The controller gives up by itself.
        return std::future::pending().await;
    }
    let mut n = nodes.borrow_mut();
    if path == "/status" {
        return (200, n.report(&id));
    }
    let Ok(orders) = orders else {
        return (400, Value::Null);
    };
    match n.obey(&id, &orders) {
        true => (200, n.report(&id)),
        false => (409, n.report(&id)),
    }
}

/// Waits while a machine hangs.
async fn while_hung(nodes: &Rc<RefCell<Nodes>>, id: &str) {
    while nodes.borrow().is_hung(id) {
        sleep(Duration::from_millis(25)).await;
        nodes.borrow_mut().advance(id);
    }
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
            if n.is_hung(&id) {
                continue;
            }
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
        let mute = nodes.borrow().faults.mute.contains(&id);
        let told = match (away, apart || mute) {
            (true, _) => Some((503, Value::Null)),
            (_, true) => None,
            (false, false) => ask_over(&pools[target], Method::POST, "/agent/beat", &report).await,
        };
        while_hung(&nodes, &id).await;
        let told = told.filter(|_| sent.elapsed() <= PATIENCE);
        let mut n = nodes.borrow_mut();
        if n.all[&id].gone || n.is_cut(&id) {
            continue;
        }
        let told = told.filter(|_| !n.is_deaf(&id, |(c, _)| c == target));
        n.refused_reports += usize::from(told.as_ref().is_some_and(|(status, _)| *status == 503));
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
