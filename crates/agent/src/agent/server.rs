//! What the agent is asked: direct commands, its status, and parts of images
//! (PROTOCOL, "Controller nodes -> workers").

use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request};
use hyper_util::rt::{TokioIo, TokioTimer};
use sorrelhinge_protocol::worker::Orders;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::{Agent, MAX_BODY_BYTES};
use crate::clock;
use crate::core::{Action, Told};
use crate::hand_on;

impl Agent {
    fn told(self: &Rc<Self>, (told, actions): (Told, Vec<Action>)) -> (u16, Vec<u8>) {
        // What is answered is on disk before it is said.
        self.do_all(actions);
        match told {
            Told::Report(taken, report) if !*self.failed.borrow() => {
                let body = serde_json::to_vec(&report).unwrap_or_default();
                (if taken { 200 } else { 409 }, body)
            }
            Told::Report(..) => (503, b"{\"error\":\"the disk fails\"}".to_vec()),
            Told::NotNow => (503, b"{\"error\":\"tasks are being killed\"}".to_vec()),
        }
    }

    async fn answer(self: &Rc<Self>, from: IpAddr, request: Request<Incoming>) -> hand_on::Answer {
        if let Some(hands) = &self.hands {
            if request.uri().path().starts_with("/images/") {
                let range = request.headers().get("range");
                // A range that can't be read is one that can't be had.
                let range = range.map(|r| r.to_str().unwrap_or_default());
                let (method, uri) = (request.method(), request.uri());
                return hands.answer(from, method, uri, range).await;
            }
        }
        let (status, body) = self.command(request).await;
        hand_on::plain(status, body)
    }

    async fn command(self: &Rc<Self>, request: Request<Incoming>) -> (u16, Vec<u8>) {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        let error = |status: u16, why: &str| {
            let body = serde_json::json!({ "error": why });
            (status, body.to_string().into_bytes())
        };
        match (method, path.as_str()) {
            (Method::GET, "/status") => {
                let told = self.core.borrow_mut().status(clock::now());
                self.told(told)
            }
            (Method::POST, "/orders") => {
                let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
                let body = match timeout(Duration::from_secs(10), body).await {
                    Ok(Ok(body)) => body.to_bytes(),
                    _ => return error(400, "incomplete body"),
                };
                let orders: Orders = match serde_json::from_slice(&body) {
                    Ok(orders) => orders,
                    Err(why) => return error(400, &why.to_string()),
                };
                let told = self.core.borrow_mut().orders(&orders, clock::now());
                self.told(told)
            }
            _ => error(404, "no such path"),
        }
    }
}

pub(super) async fn serve(agent: Rc<Agent>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let agent = agent.clone();
        spawn_local(async move {
            let service = service_fn(move |request| {
                let agent = agent.clone();
                async move { Ok::<_, Infallible>(agent.answer(from.ip(), request).await) }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(60))
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "connection");
            }
        });
    }
}
