//! The cloud that rents machines, as PROTOCOL describes it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::nodes::{add, Nodes, CPUS};
use crate::{serve, Told, ZONES};

/// What was rented under each name: what was asked, and what it came to.
type Hires = RefCell<BTreeMap<String, (Value, Vec<String>)>>;

/// The cloud: one type, and it picks the switch.
pub struct Cloud;

impl Cloud {
    pub async fn start(nodes: Rc<RefCell<Nodes>>, addr: SocketAddr, net: u8, switches: u8) {
        let listener = TcpListener::bind(addr).await.expect("a port");
        let hires: Rc<Hires> = Rc::default();
        serve(listener, move |_, path, body| {
            let (nodes, hires) = (nodes.clone(), hires.clone());
            Box::pin(async move {
                let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
                Self::answer(&nodes, &hires, net, switches, &path, &body)
            })
        });
    }

    fn answer(
        nodes: &Rc<RefCell<Nodes>>,
        hires: &Hires,
        net: u8,
        switches: u8,
        path: &str,
        body: &Value,
    ) -> Told {
        if path == "/machine_types" {
            return (
                200,
                json!({"builds": [{"label": "t", "cpus": CPUS, "cards": 0.0, "ram_gb": 16.0,
                    "cache_gb": 20.0, "pull_gb_per_s": 1.0, "rate": 1.0, "market_price": 0.4,
                    "startup_s": 1.0, "racks": ZONES}]}),
            );
        }
        if path == "/rentals" && nodes.borrow().full {
            return (503, json!({"error": "no capacity"}));
        }
        if path == "/rentals" {
            let name = body["hire"].as_str().unwrap_or_default().to_owned();
            if let Some((asked, boxes)) = hires.borrow().get(&name) {
                if asked != body {
                    let wrong = format!("the rental name {name} was used twice");
                    nodes.borrow_mut().wrong.push(wrong);
                }
                return (200, json!({ "boxes": boxes }));
            }
            let zone = ZONES.iter().position(|z| body["rack"] == *z).unwrap_or(0) as u8;
            let boxes: Vec<String> = (0..body["number"].as_u64().unwrap_or(0).min(8))
                .filter_map(|_| {
                    // Behind the live switch with the fewest machines.
                    let switch = {
                        let n = nodes.borrow();
                        let live = (0..switches).filter(|s| !n.cut.contains(&(zone, *s)));
                        live.min_by_key(|s| {
                            let here = n.all.values().filter(|m| !m.gone && m.zone == zone);
                            here.filter(|m| m.switch == *s).count()
                        })?
                    };
                    Some(add(nodes, net, zone, switch, Duration::from_millis(600)))
                })
                .collect();
            let asked = (body.clone(), boxes.clone());
            hires.borrow_mut().insert(name, asked);
            return (200, json!({ "boxes": boxes }));
        }
        if path == "/rentals/delete" {
            for id in body["boxes"].as_array().into_iter().flatten() {
                let id = id.as_str().unwrap_or_default();
                nodes.borrow_mut().others.remove(id);
                if let Some(node) = nodes.borrow_mut().all.get_mut(id) {
                    node.gone = true;
                    node.tasks.clear();
                }
            }
            return (200, json!({}));
        }
        let now = Instant::now();
        let others: Vec<Value> = nodes.borrow().others.values().cloned().collect();
        let boxes: Vec<Value> = nodes
            .borrow()
            .all
            .values()
            .filter(|m| !m.gone)
            .map(|m| {
                let phase = if m.up_at <= now { "running" } else { "booting" };
                json!({"uid": m.id, "addr": m.addr, "build": "t", "rack": ZONES[m.zone as usize],
                    "loaners": false, "phase": phase,
                    "held_s": now.duration_since(m.born).as_secs_f64()})
            })
            .chain(others)
            .collect();
        (200, json!({"boxes": boxes, "truncated": false}))
    }
}
