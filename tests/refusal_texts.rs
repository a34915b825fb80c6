//! The texts of refusals that users and operators read. Their scripts match these, so they
//! are pinned to the letter.

use serde::Deserialize;
use sorrelhinge::control::{Infeasible, InvalidJob, InvalidRequest, OperatorError, SubmitError};
use sorrelhinge::types::{JobId, NodeId};
use sorrelhinge_protocol::invalid::InvalidField;
use sorrelhinge_reservations::settings::WindowError;
use sorrelhinge_sharding::shard::ShardId;

fn job(id: &str) -> JobId {
    JobId::from(id)
}

/// A field that is not valid, as `path: reason`.
fn field() -> InvalidField {
    InvalidField::Value {
        path: "topology.spread[0].max".into(),
        reason: "is 0".into(),
    }
}

#[test]
fn submissions_are_refused_in_these_words() {
    let texts: [(SubmitError, &str); 12] = [
        (InvalidJob::Field("unknown rank").into(), "unknown rank"),
        (
            InvalidJob::PlacementRules(field()).into(),
            "topology.spread[0].max: is 0",
        ),
        (
            InvalidJob::NamesTooLong.into(),
            "the job's names are too long to be recorded",
        ),
        (Infeasible::UnknownTeam.into(), "unknown team"),
        (
            Infeasible::OverTeamLimit.into(),
            "more than the team's limit",
        ),
        (
            Infeasible::FitsNoMachineType.into(),
            "a task fits no allowed machine type",
        ),
        (
            Infeasible::PlacementRules("no such level".into()).into(),
            "no such level",
        ),
        (Infeasible::DependsOnItself.into(), "it waits on itself"),
        (
            Infeasible::UnknownDependency(job("run-1")).into(),
            "run-1 was never accepted",
        ),
        (
            Infeasible::DependsOnService(job("run-2")).into(),
            "run-2 is a service",
        ),
        (SubmitError::Unavailable, "can't decide now, ask again"),
        (
            SubmitError::from(InvalidJob::Field("pieces is not within 1 to 100000")),
            "pieces is not within 1 to 100000",
        ),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn operators_are_refused_in_these_words() {
    let malformed = u32::deserialize(serde_json::json!("x")).expect_err("not a number");
    let cause = malformed.to_string();
    let body = InvalidRequest::Body {
        name: "drain",
        cause: malformed,
    };
    assert_eq!(body.to_string(), format!("drain: {cause}"));
    let texts: [(OperatorError, &str); 12] = [
        (OperatorError::NoTopology, "this controller has no topology"),
        (OperatorError::NoCalendar, "this controller has no calendar"),
        (OperatorError::NoSuchDrain, "no such drain"),
        (OperatorError::NoSuchWindow, "no such window"),
        (OperatorError::Unavailable, "can't tell now, ask again"),
        (
            InvalidRequest::Field(field()).into(),
            "topology.spread[0].max: is 0",
        ),
        (
            InvalidRequest::UnknownTarget("rack \"7\"".into()).into(),
            "there is no domain \"rack \\\"7\\\"\" in the file, and no machine of that name",
        ),
        (
            InvalidRequest::TooManyDrains.into(),
            "too many drains at a time",
        ),
        (
            InvalidRequest::UnknownShard {
                shard: ShardId(7),
                shards: 3,
            }
            .into(),
            "there is no block 7: there are 3, from 0",
        ),
        (
            InvalidRequest::UnknownController(NodeId::from("node-9")).into(),
            "there is no controller node-9",
        ),
        (
            InvalidRequest::UnreadableCalendar.into(),
            "the calendar's record can't be read",
        ),
        (
            InvalidRequest::Window(WindowError {
                window: "launch".into(),
                field: "team",
                reason: "unknown".into(),
            })
            .into(),
            "window \"launch\": team: unknown",
        ),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
