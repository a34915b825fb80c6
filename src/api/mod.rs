//! What users, workers and operators reach over HTTP, by path and method; other controllers
//! reach the same answers through [`ForPeers`].
//!
//! | path | method | module |
//! | --- | --- | --- |
//! | `/healthz` | GET | here |
//! | `/v1/jobs` | POST | `jobs` |
//! | `/v1/jobs/ID` | GET | `jobs` |
//! | `/v1/jobs/ID/withdraw` | POST | `jobs` |
//! | `/agent/beat` | POST | `agent` |
//! | `/v1/topology`, `/v1/lanes` | GET | `operators` |
//! | `/v1/blocks`, `/v1/calendar` | GET, POST | `operators` |
//! | `/v1/drains`, `/v1/undrains` | POST | `operators` |

mod agent;
mod body;
mod for_peers;
mod jobs;
mod operators;
mod reply;

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Method, Request};
use serde_json::json;
use sorrelhinge_overload::admission::Class;
pub use sorrelhinge_protocol::users::read_job;

use self::body::read_body;
pub use self::for_peers::ForPeers;
use self::operators::{operate, Resource};
use self::reply::{refuse, reply, Reply};
use crate::connections::Conn;
use crate::control::load_counts::increment;
use crate::control::Node;

/// What a path leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route<'a> {
    /// Whether this controller is of use.
    Health,
    /// All jobs, to submit one.
    Jobs,
    /// A job, by its id.
    Job(&'a str),
    /// A job that is cancelled, by its id.
    Withdraw(&'a str),
    /// Workers' heartbeats.
    Heartbeat,
    /// What operators ask for.
    Operators(Resource),
}

impl<'a> Route<'a> {
    /// Where a path leads; none: nowhere.
    fn of(path: &'a str) -> Option<Self> {
        match path {
            "/healthz" => Some(Self::Health),
            "/v1/jobs" => Some(Self::Jobs),
            "/agent/beat" => Some(Self::Heartbeat),
            _ => Self::of_job(path).or_else(|| Resource::at(path).map(Self::Operators)),
        }
    }

    fn of_job(path: &'a str) -> Option<Self> {
        let rest = path.strip_prefix("/v1/jobs/")?;
        let (id, route) = match rest.strip_suffix("/withdraw") {
            Some(id) => (id, Self::Withdraw(id)),
            None => (rest, Self::Job(rest)),
        };
        (!id.is_empty() && !id.contains('/')).then_some(route)
    }
}

/// Answers a request.
pub(crate) async fn answer(node: &Rc<Node>, conn: &Conn, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    let Some(route) = Route::of(&path) else {
        return refuse(404, "no such path");
    };
    let get = request.method() == Method::GET;
    let post = request.method() == Method::POST;
    match route {
        Route::Health if get => {
            conn.asked(Class::User);
            health(node)
        }
        Route::Job(id) if get => {
            conn.asked(Class::User);
            increment(&node.load().counts.polls);
            jobs::poll(node, id).await
        }
        Route::Operators(resource) if get && resource.is_shown() => {
            conn.asked(Class::User);
            operate(node, resource, &[]).await
        }
        Route::Operators(resource) if !resource.is_changed() => refuse(404, "no such path"),
        Route::Health | Route::Job(_) => refuse(405, "no such method here"),
        Route::Jobs | Route::Withdraw(_) | Route::Heartbeat | Route::Operators(_) if post => {
            match read_body(request.into_body()).await {
                Ok(body) => answer_post(node, conn, route, &body).await,
                Err(error) => refuse(400, &error.to_string()),
            }
        }
        Route::Jobs | Route::Withdraw(_) | Route::Heartbeat | Route::Operators(_) => {
            refuse(405, "no such method here")
        }
    }
}

/// Answers a request whose body is here.
async fn answer_post(node: &Rc<Node>, conn: &Conn, route: Route<'_>, body: &[u8]) -> Reply {
    if route != Route::Heartbeat {
        conn.asked(Class::User);
    }
    match route {
        Route::Heartbeat => agent::heartbeat(node, conn, body).await,
        Route::Jobs => jobs::take_submission(node, body).await,
        Route::Withdraw(id) => jobs::take_cancellation(node, id).await,
        Route::Operators(resource) => operate(node, resource, body).await,
        Route::Health | Route::Job(_) => refuse(405, "no such method here"),
    }
}

fn health(node: &Node) -> Reply {
    if node.healthy() {
        reply(200, json!({}))
    } else {
        refuse(503, "not ready")
    }
}
