//! What operators ask, see [`sorrelhinge_protocol::operators`].

use serde::de::DeserializeOwned;
use serde_json::{json, Value};
use sorrelhinge_protocol::operators::UndrainAsked;

use super::reply::{reply, Reply};
use crate::control::{InvalidRequest, Node, OperatorError};

/// What is under an operators' path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Resource {
    /// Domains, devices and drains.
    Topology,
    /// Priority lanes.
    Lanes,
    /// The machines' shards.
    Shards,
    /// Windows for which capacity is held.
    Calendar,
    /// Drains, to begin one.
    Drains,
    /// Drains, to end one.
    Undrains,
}

impl Resource {
    /// What is at a path.
    pub(super) fn at(path: &str) -> Option<Self> {
        match path {
            "/v1/topology" => Some(Self::Topology),
            "/v1/lanes" => Some(Self::Lanes),
            "/v1/blocks" => Some(Self::Shards),
            "/v1/calendar" => Some(Self::Calendar),
            "/v1/drains" => Some(Self::Drains),
            "/v1/undrains" => Some(Self::Undrains),
            _ => None,
        }
    }

    /// Whether it is shown (GET).
    pub(super) fn is_shown(self) -> bool {
        match self {
            Self::Topology | Self::Lanes | Self::Shards | Self::Calendar => true,
            Self::Drains | Self::Undrains => false,
        }
    }

    /// Whether it is changed (POST).
    pub(super) fn is_changed(self) -> bool {
        match self {
            Self::Shards | Self::Calendar | Self::Drains | Self::Undrains => true,
            Self::Topology | Self::Lanes => false,
        }
    }
}

/// Shows a resource, or changes it as `body` says. Without a body those that can be shown
/// are shown, by whichever method.
pub(super) async fn operate(node: &Node, resource: Resource, body: &[u8]) -> Reply {
    let answer = if resource.is_shown() && body.is_empty() {
        show(node, resource)
    } else {
        change(node, resource, body).await
    };
    match answer {
        Ok(shown) => reply(200, shown),
        Err(error) => refusal(&error),
    }
}

fn show(node: &Node, resource: Resource) -> Result<Value, OperatorError> {
    match resource {
        Resource::Topology => node.show_topology().map(|shown| json!(shown)),
        Resource::Lanes => node.show_lanes().map(|shown| json!(shown)),
        Resource::Shards => Ok(json!(node.show_shards())),
        Resource::Calendar => node.show_calendar().map(|shown| json!(shown)),
        Resource::Drains | Resource::Undrains => Err(OperatorError::NoSuchDrain),
    }
}

async fn change(node: &Node, resource: Resource, body: &[u8]) -> Result<Value, OperatorError> {
    match resource {
        Resource::Shards => node
            .pin_shard(&read("blocks", body)?)
            .await
            .map(|()| json!({})),
        Resource::Calendar => {
            let asked = read("calendar", body)?;
            node.change_calendar(&asked).await.map(|()| json!({}))
        }
        Resource::Drains => {
            let number = node.drain(&read("drain", body)?).await?;
            Ok(json!({ "number": number }))
        }
        Resource::Undrains => {
            let asked: UndrainAsked = read("undrain", body)?;
            node.undrain(&asked.target).await.map(|()| json!({}))
        }
        Resource::Topology | Resource::Lanes => show(node, resource),
    }
}

/// Reads what is asked; an error names it by `name`.
fn read<T: DeserializeOwned>(name: &'static str, body: &[u8]) -> Result<T, InvalidRequest> {
    serde_json::from_slice(body).map_err(|cause| InvalidRequest::Body { name, cause })
}

/// The status and body of a request that is not carried out.
fn refusal(error: &OperatorError) -> Reply {
    let body = match error {
        OperatorError::Elsewhere(node) => json!({ "foreman": node }),
        _ => json!({ "error": error.to_string() }),
    };
    reply(status(error), body)
}

fn status(error: &OperatorError) -> u16 {
    match error {
        OperatorError::NoTopology
        | OperatorError::NoCalendar
        | OperatorError::NoSuchDrain
        | OperatorError::NoSuchWindow => 404,
        OperatorError::Invalid(_) => 400,
        OperatorError::Elsewhere(_) => 421,
        OperatorError::Unavailable => 503,
    }
}
