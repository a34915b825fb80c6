//! Why a request of an operator is not carried out.

use sorrelhinge_protocol::invalid::InvalidField;
use sorrelhinge_reservations::record::RecordError;
use sorrelhinge_reservations::settings::WindowError;
use sorrelhinge_sharding::shard::ShardId;

use crate::types::NodeId;

/// Why a request of an operator is not carried out. The text is what the operator reads,
/// except of [`OperatorError::Elsewhere`], which is answered with the controller's name.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// This controller runs without a topology.
    #[error("this controller has no topology")]
    NoTopology,
    /// This controller runs without a calendar.
    #[error("this controller has no calendar")]
    NoCalendar,
    /// There is no such drain.
    #[error("no such drain")]
    NoSuchDrain,
    /// There is no such window.
    #[error("no such window")]
    NoSuchWindow,
    /// The request is wrong.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
    /// Another controller can answer.
    #[error("controller {0} can answer")]
    Elsewhere(NodeId),
    /// It can't be decided now: the records can't be read or written, or nobody is known
    /// to own what it is about.
    #[error("can't tell now, ask again")]
    Unavailable,
}

/// What is wrong with a request of an operator.
#[derive(Debug, thiserror::Error)]
pub enum InvalidRequest {
    /// The body can't be read.
    #[error("{name}: {cause}")]
    Body {
        /// What the body is to describe, as operators call it.
        name: &'static str,
        /// What is wrong with it.
        #[source]
        cause: serde_json::Error,
    },
    /// A field is not valid.
    #[error(transparent)]
    Field(#[from] InvalidField),
    /// A target names neither a domain nor a machine.
    #[error("there is no domain {0:?} in the file, and no machine of that name")]
    UnknownTarget(String),
    /// There may be no more drains.
    #[error("too many drains at a time")]
    TooManyDrains,
    /// There is no such shard among several.
    #[error("there is no block {shard}: there are {shards}, from 0")]
    UnknownShard {
        /// The shard that was asked for.
        shard: ShardId,
        /// How many there are.
        shards: u32,
    },
    /// The settings name no such controller.
    #[error("there is no controller {0}")]
    UnknownController(NodeId),
    /// The calendar's record is of a version that this controller does not know.
    #[error("the calendar's record can't be read")]
    UnreadableCalendar,
    /// A window names what there is not, or asks for too much.
    #[error(transparent)]
    Window(#[from] WindowError),
    /// The calendar's record can't be changed so, or would be too long.
    #[error(transparent)]
    CalendarRecord(#[from] RecordError),
}
