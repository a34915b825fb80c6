//! The cloud that rents machines, as PROTOCOL describes it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::history::Event;
use crate::nodes::{add, Nodes, CPUS, RAM_GB, TYPE};
use crate::{serve, HttpResponse, ZONES};

/// Machines that one rental gives at the most.
const MAX_RENTAL: u64 = 8;
/// How long a rented machine takes to come up.
const BOOT_TIME: Duration = Duration::from_millis(600);

/// A rental: what was asked, and the machines that it came to.
struct Rental {
    asked: Value,
    machines: Vec<String>,
}

/// The cloud: one type, and it picks the switch.
pub struct Cloud {
    nodes: Rc<RefCell<Nodes>>,
    /// Second part of all machines' addresses is this and the zone.
    net: u8,
    /// Switches in each zone.
    switches: u8,
    /// By the name that was asked for: the same name gives the same machines.
    rentals: RefCell<BTreeMap<String, Rental>>,
}

impl Cloud {
    /// Serves the cloud's interface from now on.
    pub async fn start(nodes: Rc<RefCell<Nodes>>, addr: SocketAddr, net: u8, switches: u8) {
        let listener = TcpListener::bind(addr).await.expect("a port");
        let cloud = Rc::new(Self {
            nodes,
            net,
            switches,
            rentals: RefCell::default(),
        });
        serve(listener, move |_, path, body| {
            let cloud = cloud.clone();
            Box::pin(async move {
                let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
                cloud.answer(&path, &body)
            })
        });
    }

    /// The answer to a request by its path.
    fn answer(&self, path: &str, body: &Value) -> HttpResponse {
        match path {
            "/machine_types" => HttpResponse::new(200, machine_types()),
            "/rentals" if self.nodes.borrow().full => {
                HttpResponse::new(503, json!({"error": "no capacity"}))
            }
            "/rentals" => HttpResponse::new(200, json!({ "boxes": self.rent(body) })),
            "/rentals/delete" => {
                for id in body["boxes"].as_array().into_iter().flatten() {
                    self.give_back(id.as_str().unwrap_or_default());
                }
                HttpResponse::new(200, json!({}))
            }
            _ => {
                let boxes = self.list();
                HttpResponse::new(200, json!({"boxes": boxes, "truncated": false}))
            }
        }
    }

    /// Rents machines; a name that was used before gives those of then.
    fn rent(&self, asked: &Value) -> Vec<String> {
        let name = asked["hire"].as_str().unwrap_or_default().to_owned();
        if let Some(rental) = self.rentals.borrow().get(&name) {
            if rental.asked != *asked {
                let wrong = format!("the rental name {name} was used twice");
                self.nodes.borrow_mut().wrong.push(wrong);
            }
            return rental.machines.clone();
        }
        let zone = ZONES.iter().position(|z| asked["rack"] == *z).unwrap_or(0) as u8;
        let count = asked["number"].as_u64().unwrap_or(0).min(MAX_RENTAL);
        let machines: Vec<String> = (0..count)
            .filter_map(|_| {
                let switch = self.emptiest_switch(zone)?;
                Some(add(&self.nodes, self.net, zone, switch, BOOT_TIME))
            })
            .collect();
        let rental = Rental {
            asked: asked.clone(),
            machines: machines.clone(),
        };
        self.rentals.borrow_mut().insert(name, rental);
        machines
    }

    /// The live switch of a zone with the fewest machines behind it.
    fn emptiest_switch(&self, zone: u8) -> Option<u8> {
        let nodes = self.nodes.borrow();
        let live = (0..self.switches).filter(|s| !nodes.cut.contains(&(zone, *s)));
        live.min_by_key(|switch| {
            let here = nodes.all.values().filter(|m| !m.gone && m.zone == zone);
            here.filter(|m| m.switch == *switch).count()
        })
    }

    /// Gives a machine back: its tasks are gone at once.
    fn give_back(&self, id: &str) {
        let mut nodes = self.nodes.borrow_mut();
        nodes.others.remove(id);
        if let Some(node) = nodes.all.get_mut(id) {
            node.gone = true;
            node.tasks.clear();
            nodes.recorder.note(Event::MachineGone(id.into()));
        }
    }

    /// All machines that are rented, as the cloud lists them.
    fn list(&self) -> Vec<Value> {
        let now = Instant::now();
        let nodes = self.nodes.borrow();
        let rented = nodes.all.values().filter(|m| !m.gone).map(|m| {
            let phase = if m.up_at <= now { "running" } else { "booting" };
            json!({"uid": m.id, "addr": m.addr, "build": TYPE, "rack": ZONES[m.zone as usize],
                "loaners": false, "phase": phase,
                "held_s": now.duration_since(m.born).as_secs_f64()})
        });
        rented.chain(nodes.others.values().cloned()).collect()
    }
}

/// The one machine type, as the cloud describes it.
fn machine_types() -> Value {
    json!({"builds": [{"label": TYPE, "cpus": CPUS, "cards": 0.0, "ram_gb": RAM_GB,
        "cache_gb": 20.0, "pull_gb_per_s": 1.0, "rate": 1.0, "market_price": 0.4,
        "startup_s": 1.0, "racks": ZONES}]})
}
