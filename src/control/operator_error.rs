//! Errors that answer the requests of operators.

use sorrelhinge_protocol::invalid::InvalidField;
use sorrelhinge_reservations::record::RecordError;
use sorrelhinge_reservations::settings::WindowError;
use sorrelhinge_sharding::shard::ShardId;

use crate::types::NodeId;

/// Reason why the controller does not carry out an operator's request. The operator reads the
/// text, except for [`OperatorError::Elsewhere`], which is answered with the controller's name.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// This controller runs without a topology.
    #[error("this controller has no topology")]
    NoTopology,
    /// This controller runs without a calendar.
    #[error("this controller has no calendar")]
    NoCalendar,
    /// No drain has the requested number or target.
    #[error("no such drain")]
    NoSuchDrain,
    /// No window has the requested name.
    #[error("no such window")]
    NoSuchWindow,
    /// The request is not valid.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
    /// The named controller can answer the request.
    #[error("controller {0} can answer")]
    Elsewhere(NodeId),
    /// The request can't be decided now: the records can't be read or written, or no controller
    /// is known to own the subject of the request.
    #[error("can't tell now, ask again")]
    Unavailable,
}

/// Reason why an operator's request is not valid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidRequest {
    /// The body can't be parsed.
    #[error("{name}: {cause}")]
    Body {
        /// Object that the body should describe, as operators call it.
        name: &'static str,
        /// Error of the parser.
        #[source]
        cause: serde_json::Error,
    },
    /// One field of the request is not valid.
    #[error(transparent)]
    Field(#[from] InvalidField),
    /// The target names neither a domain of the topology file nor a machine.
    #[error("there is no domain {0:?} in the file, and no machine of that name")]
    UnknownTarget(String),
    /// The number of drains has reached its limit.
    #[error("too many drains at a time")]
    TooManyDrains,
    /// No shard has the requested number.
    #[error("there is no block {shard}: there are {shards}, from 0")]
    UnknownShard {
        /// Number of the requested shard.
        shard: ShardId,
        /// Number of shards. The numbers of the shards start at 0.
        shards: u32,
    },
    /// The settings name no controller of this name.
    #[error("there is no controller {0}")]
    UnknownController(NodeId),
    /// The calendar's record has a version that this controller does not support.
    #[error("the calendar's record can't be read")]
    UnreadableCalendar,
    /// A window names something that does not exist, or requests too much.
    #[error(transparent)]
    Window(#[from] WindowError),
    /// The calendar's record can't be changed in this way, or would become too long.
    #[error(transparent)]
    CalendarRecord(#[from] RecordError),
}
